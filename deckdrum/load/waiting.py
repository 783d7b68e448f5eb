"""Which waiting statement is next, and which are turned away while they wait.

The load that this answers: replicas fall behind, so all reads of a group go to
its primary, which is asked for as much as it can do or a little more.  First
come, first served, the queue grows until each statement has waited longer than
its objective: nearly all are answered, and nearly all late.  Here those that
can still be in time go first.  What is late already is run in the time that is
left over; of that only a little may wait, and the others are told at once.

Beside it: one workspace sends many times its usual.  By the order of arrival
all others would wait behind it.  Here the workspaces take turns: a statement
waits for those of its own workspace that came before it, and for as many of
each other.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

#: Statements that may wait though they are late, for each connection: as many
#: as are run soon once the load is over.  With more, those behind would be told
#: only when their time is up.
LATE_WAITERS_PER_CONNECTION: Final = 1
#: Parts into which the time to come back is spread, so that callers who are
#: turned away together do not return together.
RETRY_SPREAD_STEPS: Final = 8


def count_own_ahead(
    owners: Iterable[str], held: Mapping[str, int]
) -> list[int]:
    """Return how many of its own workspace go before each waiter.

    Parameters
    ----------
    owners : iterable of str
        Workspaces of the waiters, in the order in which they came.
    held : mapping of str to int
        Connections that workspaces use now; each counts as one before.

    Examples
    --------
    >>> count_own_ahead(['growers', 'growers', 'shoppers'], {})
    [0, 1, 0]
    >>> count_own_ahead(['growers', 'shoppers'], {'growers': 2})
    [2, 0]
    """
    before = Counter(held)
    turns = []
    for owner in owners:
        turns.append(before[owner])
        before[owner] += 1
    return turns


def select_next(dues: Sequence[float], turns: Sequence[int], now: float) -> int:
    """Return the place of the waiter that is next.

    Parameters
    ----------
    dues : sequence of float
        Until when each must have its turn to be answered in time, in the order
        in which they came, in kernel seconds.
    turns : sequence of int
        How many of its own workspace go before each.
    now : float
        In kernel seconds.

    Examples
    --------
    The first is late already, the second is not.

    >>> select_next([1.0, 5.0, 6.0], [0, 1, 2], now=2.0)
    1
    >>> select_next([1.0, 1.5], [0, 1], now=2.0)
    0

    The last is of another workspace than the others.

    >>> select_next([5.0, 5.1, 5.2], [1, 2, 0], now=2.0)
    2
    """
    places = range(len(dues))
    in_time = [place for place in places if dues[place] >= now]
    return min(in_time or places, key=lambda place: (turns[place], place))


def count_before(
    dues: Sequence[float],
    turns: Sequence[int],
    turn: int,
    now: float,
) -> int:
    """Return how many waiters go before one that has just come.

    `turn` is how many of its own workspace go before it.

    Examples
    --------
    >>> count_before([5.0, 5.1, 5.2], [0, 1, 2], turn=0, now=2.0)
    1
    >>> count_before([5.0, 5.1, 5.2], [0, 1, 2], turn=3, now=2.0)
    3
    """
    return sum(
        due >= now and other <= turn
        for due, other in zip(dues, turns, strict=True)
    )


def can_queue_late(dues: Iterable[float], now: float, connections: int) -> bool:
    """Tell whether one more statement may wait that will be late.

    Examples
    --------
    >>> can_queue_late([1.0, 9.0], now=2.0, connections=2)
    True
    >>> can_queue_late([1.0, 1.0], now=2.0, connections=2)
    False
    """
    late = sum(due < now for due in dues)
    return late < connections * LATE_WAITERS_PER_CONNECTION


def compute_retry_after(wait: float, turned_away: int) -> float:
    """Return when a caller that is turned away should come back, in seconds.

    Parameters
    ----------
    wait : float
        How long the queue takes to empty, in seconds.
    turned_away : int
        How many were turned away before.

    Examples
    --------
    >>> (
    ...     compute_retry_after(0.4, turned_away=0),
    ...     compute_retry_after(0.4, turned_away=4),
    ... )
    (0.4, 0.6)
    """
    return round(
        wait * (1 + turned_away % RETRY_SPREAD_STEPS / RETRY_SPREAD_STEPS), 3
    )
