"""Backend databases: the interface and its PostgreSQL implementation."""

from deckdrum.databases.base import (
    Database,
    DatabaseLink,
    DatabaseState,
    QueryResult,
    Role,
)
from deckdrum.databases.postgres import Credentials, PostgresDatabase

__all__ = [
    'Credentials',
    'Database',
    'DatabaseLink',
    'DatabaseState',
    'PostgresDatabase',
    'QueryResult',
    'Role',
]
