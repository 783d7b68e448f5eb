"""History of primary log positions, to bound the age of replicas."""

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Final

#: Recorded positions of the primary.
_MAX_POSITIONS: Final = 4096
#: Shortest time between recorded positions.
_MIN_INTERVAL_S: Final = 0.01


class PositionHistory:
    """Log positions of the primary over time.

    All times are on one clock, so bounds of ages need no synchronized clocks.

    Examples
    --------
    >>> history = PositionHistory()
    >>> history.record(term=1, offset=10, started_at=5.0)
    >>> history.record(term=1, offset=30, started_at=6.0)
    >>> history.bound_age(offset=20, now=6.5)
    1.5
    >>> history.bound_age(offset=30, now=6.5)
    0.5
    """

    def __init__(self) -> None:
        self._term = 0
        self._offsets: deque[int] = deque(maxlen=_MAX_POSITIONS)
        self._times: deque[float] = deque(maxlen=_MAX_POSITIONS)
        #: When the primary was first seen at each offset.
        self._first_times: deque[float] = deque(maxlen=_MAX_POSITIONS)

    @property
    def term(self) -> int:
        """Term of the recorded positions."""
        return self._term

    @property
    def latest(self) -> tuple[int, float]:
        """The latest position, and when its probe was sent.

        The time is negative infinity if there is no position.
        """
        if not self._times:
            return 0, float('-inf')
        return self._offsets[-1], self._times[-1]

    def record(self, term: int, offset: int, started_at: float) -> None:
        """Record a position that the primary of `term` reported.

        Parameters
        ----------
        term, offset : int
            Term and log offset of the primary.
        started_at : float
            When the probe was sent, on curio's clock.  A majority must have
            reported later that it still takes part in `term`; otherwise the
            age of replicas of a replaced primary would be underestimated.
        """
        if term != self._term:
            self._term = term
            self._offsets.clear()
            self._times.clear()
            self._first_times.clear()
        if self._offsets and self._offsets[-1] == offset:
            # The primary has not moved, so the data is still current.
            self._times[-1] = max(self._times[-1], started_at)
            return
        if self._offsets and self._offsets[-1] > offset:
            # A later answer arrived first.
            return
        if self._times and started_at - self._times[-1] < _MIN_INTERVAL_S:
            return
        self._offsets.append(offset)
        self._times.append(started_at)
        self._first_times.append(started_at)

    def bound_age(self, offset: int, now: float) -> float:
        """Return an upper bound on the age of data at `offset`, in seconds.

        This is the time since the last probe was sent at which the primary was
        at or below `offset`.
        """
        index = bisect_right(self._offsets, offset)
        if index == 0:
            return float('inf')
        return now - self._times[index - 1]

    def find_last_seen_below(self, offset: int) -> float:
        """Return the time at which the primary was last seen below `offset`.

        The record at `offset` was appended after that time.  It is negative
        infinity if the primary was not seen below `offset`.

        Examples
        --------
        >>> history = PositionHistory()
        >>> history.record(term=1, offset=10, started_at=5.0)
        >>> history.record(term=1, offset=30, started_at=6.0)
        >>> history.find_last_seen_below(offset=30)
        5.0
        >>> history.find_last_seen_below(offset=31)
        6.0
        """
        index = bisect_left(self._offsets, offset)
        return self._times[index - 1] if index else float('-inf')

    def find_first_seen(self, offset: int) -> float | None:
        """Return when the primary was first seen at or beyond `offset`.

        Returns
        -------
        float or None
            None if the primary was not seen there.

        Examples
        --------
        >>> history = PositionHistory()
        >>> history.record(term=1, offset=10, started_at=5.0)
        >>> history.record(term=1, offset=10, started_at=6.0)
        >>> history.find_first_seen(offset=10)
        5.0
        >>> history.find_first_seen(offset=11)
        """
        index = bisect_left(self._offsets, offset)
        if index == len(self._offsets):
            return None
        return self._first_times[index]

    def find_min_offset(self, max_age: float, now: float) -> int | None:
        """Return the lowest offset that is at most `max_age` seconds old.

        Data at or beyond that offset includes all changes acknowledged more
        than `max_age` seconds before `now`.

        Returns
        -------
        int or None
            None if the primary was not probed within `max_age` seconds.

        Examples
        --------
        >>> history = PositionHistory()
        >>> history.record(term=1, offset=10, started_at=5.0)
        >>> history.record(term=1, offset=30, started_at=6.0)
        >>> history.find_min_offset(max_age=2.0, now=6.5)
        10
        >>> history.find_min_offset(max_age=0.2, now=6.5)
        """
        index = bisect_left(self._times, now - max_age)
        if index == len(self._times):
            return None
        return self._offsets[index]
