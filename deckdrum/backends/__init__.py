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
from deckdrum.backends.pool import Lease, Pool, PooledLink

__all__ = [
    'Backend',
    'BackendLink',
    'BackendServer',
    'Call',
    'ConnectionLimitError',
    'Lease',
    'NoneFreeError',
    'Pool',
    'PooledLink',
    'ServerRole',
    'ServerStatus',
    'WrongServerError',
]
