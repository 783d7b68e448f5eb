"""The configuration document: groups, users, services and kinds of read."""

from deckdrum.configuration.documents import (
    Difference,
    compare_documents,
    parse_document,
)
from deckdrum.configuration.models import (
    DatabaseEntry,
    Document,
    Group,
    ReadKind,
    Service,
    User,
)

__all__ = [
    'DatabaseEntry',
    'Difference',
    'Document',
    'Group',
    'ReadKind',
    'Service',
    'User',
    'compare_documents',
    'parse_document',
]
