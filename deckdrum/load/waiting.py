"""Which waiting statement is next, and which are turned away while they wait.

The load that this answers: replicas fall behind, so all reads of a group go to
its primary, which is asked for as much as it can do or a little more.  First
come, first served, the queue grows until each statement has waited longer than
its objective: nearly all are answered, and nearly all late.  Here those that
can still be in time go first.  What is late already is run in the time that is
left over; of that only a little may wait, and the others are told at once.
"""

from collections.abc import Iterable
from typing import Final

#: Statements that may wait though they are late, for each connection: as many
#: as are run soon once the load is over.  With more, those behind would be told
#: only when their time is up.
LATE_FOR_EACH: Final = 1
#: Parts into which the time to come back is spread, so that callers who are
#: turned away together do not return together.
SPREAD: Final = 8


def pick_next(dues: Iterable[float], now: float) -> int:
    """Return the place of the waiter that is next.

    Parameters
    ----------
    dues : iterable of float
        Until when each must have its turn to be answered in time, in the order
        in which they came, in kernel seconds.
    now : float
        In kernel seconds.

    Examples
    --------
    The first is late already, the second is not.

    >>> pick_next([1.0, 5.0, 6.0], now=2.0)
    1
    >>> pick_next([1.0, 1.5], now=2.0)
    0
    """
    for place, due in enumerate(dues):
        if due >= now:
            return place
    return 0


def count_before(dues: Iterable[float], now: float) -> int:
    """Return how many waiters go before one that has just come."""
    return sum(due >= now for due in dues)


def may_wait_late(dues: Iterable[float], now: float, connections: int) -> bool:
    """Tell whether one more statement may wait that will be late.

    Examples
    --------
    >>> may_wait_late([1.0, 9.0], now=2.0, connections=2)
    True
    >>> may_wait_late([1.0, 1.0], now=2.0, connections=2)
    False
    """
    late = sum(due < now for due in dues)
    return late < connections * LATE_FOR_EACH


def find_return(wait: float, turned_away: int) -> float:
    """Return when a caller that is turned away should come back, in seconds.

    Parameters
    ----------
    wait : float
        How long the queue takes to empty, in seconds.
    turned_away : int
        How many were turned away before.

    Examples
    --------
    >>> find_return(0.4, turned_away=0), find_return(0.4, turned_away=4)
    (0.4, 0.6)
    """
    return round(wait * (1 + turned_away % SPREAD / SPREAD), 3)
