"""Backend servers: what every protocol to them shares."""

from deckdrum.backends.base import (
    Backend,
    BackendLink,
    BackendServer,
    Call,
    ConnectionLimitError,
    NoneFreeError,
    ServerRole,
    ServerStatus,
    WrongServerError,
)
from deckdrum.backends.pool import ConnectionFigures, Lease, Pool, PooledLink

__all__ = [
    'Backend',
    'BackendLink',
    'BackendServer',
    'Call',
    'ConnectionFigures',
    'ConnectionLimitError',
    'Lease',
    'NoneFreeError',
    'Pool',
    'PooledLink',
    'ServerRole',
    'ServerStatus',
    'WrongServerError',
]
