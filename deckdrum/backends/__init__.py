"""Backend servers: interfaces and connection pools for all protocols."""

from deckdrum.backends.base import (
    Backend,
    BackendLink,
    BackendServer,
    Call,
    ConnectionLimitError,
    NoFreeConnectionError,
    ServerRole,
    ServerStatus,
    WrongServerError,
)
from deckdrum.backends.pool import ConnectionStats, Lease, Pool, PooledLink

__all__ = [
    'Backend',
    'BackendLink',
    'BackendServer',
    'Call',
    'ConnectionLimitError',
    'ConnectionStats',
    'Lease',
    'NoFreeConnectionError',
    'Pool',
    'PooledLink',
    'ServerRole',
    'ServerStatus',
    'WrongServerError',
]
