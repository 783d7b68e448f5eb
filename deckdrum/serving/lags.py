"""Whether a replica has just lacked a position that a read needed."""

from typing import Final

from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE

#: How long a replica that lacked a position is passed over for reads that
#: need as much, in seconds; doubled while it stays behind.
MIN_LAG_BACKOFF_S: Final = 0.02
MAX_LAG_BACKOFF_S: Final = 0.32


class ReplicaLag:
    """What a replica's log lacked lately.

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
        self._until = float('-inf')
        self._pause = MIN_LAG_BACKOFF_S
        self._lacked = NOWHERE

    def is_behind(self, floor: Position, now: float) -> bool:
        """Tell whether a position up to `floor` was lacked just now."""
        return now < self._until and floor >= self._lacked

    def record_lag(self, floor: Position, now: float) -> None:
        """Note that the log lacks a position."""
        if now < self._until + MAX_LAG_BACKOFF_S:
            self._pause = min(self._pause * 2, MAX_LAG_BACKOFF_S)
        else:
            self._pause = MIN_LAG_BACKOFF_S
        self._until = now + self._pause
        self._lacked = floor
