"""Tracking of replicas whose log lacks positions that reads need."""

from typing import Final

from deckdrum.backends.position_history import PositionHistory
from deckdrum.load.replica_reads import ESTIMATE_LIFETIME_S, raise_lag
from deckdrum.sessions import Position
from deckdrum.sessions.position import LOG_START

#: How long a replica is excluded from reads that need a position it lacked;
#: doubled while it stays behind.
MIN_LAG_BACKOFF_S: Final = 0.02
MAX_LAG_BACKOFF_S: Final = 0.32


class ReplicaLag:
    """The latest position that a replica's log was found to lack, and its lag.

    The lag is the time from when the primary has a position to when the replica
    has it.

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
        self._expected: float = 0
        self._estimated_at = float('-inf')

    def is_behind(self, min_position: Position, now: float) -> bool:
        """Return whether the log recently lacked this or an older position."""
        return now < self._behind_until and min_position >= self._missing

    def find_expected(self, now: float) -> float | None:
        """Return the expected lag in seconds; None without recent estimate."""
        is_recent = now - self._estimated_at < ESTIMATE_LIFETIME_S
        return self._expected if is_recent and self._expected else None

    def record_lag(
        self,
        min_position: Position,
        now: float,
        created_at: float | None = None,
    ) -> None:
        """Record that the log lacks a position.

        Parameters
        ----------
        min_position : Position
            The position.
        now : float
            Current time of `curio.clock`.
        created_at : float or None
            When the primary had it, if known.
        """
        if created_at is not None:
            self._expected = raise_lag(
                self.find_expected(now) or 0, now - created_at
            )
            self._estimated_at = now
        if now < self._behind_until + MAX_LAG_BACKOFF_S:
            self._backoff = min(self._backoff * 2, MAX_LAG_BACKOFF_S)
        else:
            self._backoff = MIN_LAG_BACKOFF_S
        self._behind_until = now + self._backoff
        self._missing = min_position

    def record_age(self, max_age: float, now: float) -> None:
        """Record that the data of the replica is at most `max_age` s old."""
        expected = self.find_expected(now)
        if expected is not None and max_age < expected:
            self._expected = max_age
            self._estimated_at = now


def find_creation(history: PositionHistory, position: Position) -> float | None:
    """Return when the primary was first seen at a position, if it was."""
    if position.term != history.term:
        return None
    return history.find_first_seen(position.offset)
