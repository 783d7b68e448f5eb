"""Control plane: the store's records, its interface and a node's view of it."""

from deckdrum.control.access import Access, authorize
from deckdrum.control.feed import StoreFeed
from deckdrum.control.records import (
    HIGHEST_PRIORITY,
    Configuration,
    ConsistencyGuarantee,
    Member,
    Route,
    ServiceDeclaration,
)
from deckdrum.control.store import (
    Changes,
    ControlStore,
    Entry,
    HistoryGoneError,
    Kind,
    Listing,
)
from deckdrum.control.view import ControlView

__all__ = [
    'HIGHEST_PRIORITY',
    'Access',
    'Changes',
    'Configuration',
    'ConsistencyGuarantee',
    'ControlStore',
    'ControlView',
    'Entry',
    'HistoryGoneError',
    'Kind',
    'Listing',
    'Member',
    'Route',
    'ServiceDeclaration',
    'StoreFeed',
    'authorize',
]
