"""Stand-ins for the platform of the users: store, databases, promotion API.

They implement the protocols of that platform independently of the product's
own code for them.
"""

from deckdrum.standins.users.databases import DatabaseGroup
from deckdrum.standins.users.lines import read_line
from deckdrum.standins.users.servers import Connectivity, DatabaseServer
from deckdrum.standins.users.store import StandinStore, StoreFault

__all__ = [
    'Connectivity',
    'DatabaseGroup',
    'DatabaseServer',
    'StandinStore',
    'StoreFault',
    'read_line',
]
