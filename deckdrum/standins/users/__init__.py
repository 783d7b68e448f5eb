"""Test stand-ins of the users' platform: its store, databases and calls.

They speak what the users' pages say and nothing of the product.
"""

from deckdrum.standins.users.databases import DatabaseGroup
from deckdrum.standins.users.lines import read_line
from deckdrum.standins.users.servers import DatabaseServer
from deckdrum.standins.users.store import StandinStore, StoreFault

__all__ = [
    'DatabaseGroup',
    'DatabaseServer',
    'StandinStore',
    'StoreFault',
    'read_line',
]
