"""Bounds for the age of replicas, from one clock."""

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Final

#: Primary positions kept.
_HISTORY_ENTRIES: Final = 4096
#: Least time between kept positions, in seconds.
_HISTORY_STEP: Final = 0.01


class History:
    """Positions of the primary over time, to bound the age of replicas.

    Examples
    --------
    >>> history = History()
    >>> history.note(term=1, offset=10, started_at=5.0)
    >>> history.note(term=1, offset=30, started_at=6.0)
    >>> history.bound_age(offset=20, now=6.5)
    1.5
    >>> history.bound_age(offset=30, now=6.5)
    0.5
    """

    def __init__(self) -> None:
        self._term = 0
        self._offsets: deque[int] = deque(maxlen=_HISTORY_ENTRIES)
        self._times: deque[float] = deque(maxlen=_HISTORY_ENTRIES)

    @property
    def term(self) -> int:
        """Term of the noted positions."""
        return self._term

    @property
    def latest(self) -> tuple[int, float]:
        """The latest position and when it was asked for, in kernel seconds.

        The time lies infinitely far back if there is none.
        """
        if not self._times:
            return 0, float('-inf')
        return self._offsets[-1], self._times[-1]

    def note(self, term: int, offset: int, started_at: float) -> None:
        """Remember a position that the primary of `term` had at a time.

        Parameters
        ----------
        term, offset : int
            Term and log offset of the primary.
        started_at : float
            When the probe was sent, in kernel seconds.  A majority must have
            reported later that it still takes part in `term`; otherwise a
            replaced primary would make its replicas look young.
        """
        if term != self._term:
            self._term = term
            self._offsets.clear()
            self._times.clear()
        if self._offsets and self._offsets[-1] == offset:
            # Still the same position: a replica there is younger now.
            self._times[-1] = max(self._times[-1], started_at)
            return
        if self._offsets and self._offsets[-1] > offset:
            # An answer that was overtaken by a later one.
            return
        if self._times and started_at - self._times[-1] < _HISTORY_STEP:
            return
        self._offsets.append(offset)
        self._times.append(started_at)

    def bound_age(self, offset: int, now: float) -> float:
        """Return an upper bound of the age of data at `offset`, in seconds.

        Notes
        -----
        The bound uses one clock: the start of the last probe at which the
        primary was at or below `offset`.
        """
        place = bisect_right(self._offsets, offset)
        if place == 0:
            return float('inf')
        return now - self._times[place - 1]

    def find_last_seen_below(self, offset: int) -> float:
        """Return when the primary was last seen below `offset`.

        What stands at `offset` was appended after that time, in kernel
        seconds; it lies infinitely far back if the primary was not seen there.

        Examples
        --------
        >>> history = History()
        >>> history.note(term=1, offset=10, started_at=5.0)
        >>> history.note(term=1, offset=30, started_at=6.0)
        >>> history.find_last_seen_below(offset=30)
        5.0
        >>> history.find_last_seen_below(offset=31)
        6.0
        """
        place = bisect_left(self._offsets, offset)
        return self._times[place - 1] if place else float('-inf')

    def find_floor(self, max_age: float, now: float) -> int | None:
        """Return the lowest offset that is at most `max_age` seconds old.

        Data at that offset or beyond has every change that was answered
        more than `max_age` seconds before `now`.

        Returns
        -------
        int or None
            None if the primary was not seen within `max_age` seconds.

        Examples
        --------
        >>> history = History()
        >>> history.note(term=1, offset=10, started_at=5.0)
        >>> history.note(term=1, offset=30, started_at=6.0)
        >>> history.find_floor(max_age=2.0, now=6.5)
        10
        >>> history.find_floor(max_age=0.2, now=6.5)
        """
        place = bisect_left(self._times, now - max_age)
        if place == len(self._times):
            return None
        return self._offsets[place]
