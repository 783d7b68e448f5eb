"""Whether a replica has just lacked a position that a read needed."""

from typing import Final

from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE

#: How long a replica that lacked a position is passed over for reads that
#: need as much, in seconds; doubled while it stays behind.
FIRST_BEHIND: Final = 0.02
LONGEST_BEHIND: Final = 0.32


class ReplicaLag:
    """What a replica's log lacked lately.

    Examples
    --------
    >>> lag = ReplicaLag()
    >>> lag.note_behind(Position(1, 7), now=5.0)
    >>> lag.is_behind(Position(1, 8), now=5.01)
    True
    >>> lag.is_behind(Position(1, 6), now=5.01)
    False
    """

    def __init__(self) -> None:
        self._until = float('-inf')
        self._pause = FIRST_BEHIND
        self._lacked = NOWHERE

    def is_behind(self, floor: Position, now: float) -> bool:
        """Tell whether a position up to `floor` was lacked just now."""
        return now < self._until and floor >= self._lacked

    def note_behind(self, floor: Position, now: float) -> None:
        """Note that the log lacks a position."""
        if now < self._until + LONGEST_BEHIND:
            self._pause = min(self._pause * 2, LONGEST_BEHIND)
        else:
            self._pause = FIRST_BEHIND
        self._until = now + self._pause
        self._lacked = floor
