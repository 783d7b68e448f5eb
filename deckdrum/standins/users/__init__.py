"""Test stand-ins of the users' platform: its store, databases and calls.

They speak what the users' pages say and nothing of the product.
"""

from deckdrum.standins.users.databases import DatabaseGroup, DatabaseServer
from deckdrum.standins.users.store import StandinStore, StoreFault

__all__ = ['DatabaseGroup', 'DatabaseServer', 'StandinStore', 'StoreFault']
