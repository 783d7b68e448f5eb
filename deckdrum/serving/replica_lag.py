"""Tracking of replicas whose log lacks positions that reads need."""

from typing import Final

from deckdrum.sessions import Position
from deckdrum.sessions.position import LOG_START

#: How long a replica is excluded from reads that need a position it lacked;
#: doubled while it stays behind.
MIN_LAG_BACKOFF_S: Final = 0.02
MAX_LAG_BACKOFF_S: Final = 0.32


class ReplicaLag:
    """The latest position that a replica's log was found to lack.

    Examples
    --------
    >>> lag = ReplicaLag()
    >>> lag.record_lag(Position(1, 7), now=5.0)
    >>> lag.is_behind(Position(1, 8), now=5.01)
    True
    >>> lag.is_behind(Position(1, 6), now=5.01)
    False
    """

    def __init__(self) -> None:
        self._behind_until = float('-inf')
        self._backoff = MIN_LAG_BACKOFF_S
        self._missing = LOG_START

    def is_behind(self, min_position: Position, now: float) -> bool:
        """Return whether the log recently lacked this or an older position."""
        return now < self._behind_until and min_position >= self._missing

    def record_lag(self, min_position: Position, now: float) -> None:
        """Record that the log lacks a position."""
        if now < self._behind_until + MAX_LAG_BACKOFF_S:
            self._backoff = min(self._backoff * 2, MAX_LAG_BACKOFF_S)
        else:
            self._backoff = MIN_LAG_BACKOFF_S
        self._behind_until = now + self._backoff
        self._missing = min_position
