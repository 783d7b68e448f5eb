"""Order and rejection of statements that wait for a connection.

A group may be asked for more than it can do, for instance when lagging replicas
send all reads to the primary.  With first come, first served, nearly every
statement would be answered late.  Here statements that can still be answered
within their objective go first.  A few late ones may wait for spare capacity;
the others are rejected at once.

Workspaces take turns: a statement waits for the earlier statements of its own
workspace and for as many of each other workspace, so that one busy workspace
does not delay the rest.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

#: Late statements that may wait, per connection: as many as run soon once the
#: overload ends.  More of them would be rejected only after their timeout.
LATE_WAITERS_PER_CONNECTION: Final = 1
#: Number of different retry times, so that callers rejected together do not
#: retry together.
RETRY_SPREAD_STEPS: Final = 8


def count_own_ahead(
    owners: Iterable[str], held: Mapping[str, int]
) -> list[int]:
    """Return how many of its own workspace are ahead of each waiter.

    Parameters
    ----------
    owners : iterable of str
        Workspaces of the waiters, in order of arrival.
    held : mapping of str to int
        Connections in use by workspace; each counts as one ahead.

    Examples
    --------
    >>> count_own_ahead(['growers', 'growers', 'shoppers'], {})
    [0, 1, 0]
    >>> count_own_ahead(['growers', 'shoppers'], {'growers': 2})
    [2, 0]
    """
    ahead_by_owner = Counter(held)
    own_ahead = []
    for owner in owners:
        own_ahead.append(ahead_by_owner[owner])
        ahead_by_owner[owner] += 1
    return own_ahead


def select_next(
    deadlines: Sequence[float], own_ahead: Sequence[int], now: float
) -> int:
    """Return the index of the waiter that is served next.

    Parameters
    ----------
    deadlines : sequence of float
        Latest start of each waiter that meets its objective, in order of
        arrival, in kernel seconds.
    own_ahead : sequence of int
        How many of its own workspace are ahead of each.
    now : float
        Current time, in kernel seconds.

    Examples
    --------
    The first waiter is late, the second is not.

    >>> select_next([1.0, 5.0, 6.0], [0, 1, 2], now=2.0)
    1
    >>> select_next([1.0, 1.5], [0, 1], now=2.0)
    0

    The last waiter belongs to another workspace than the others.

    >>> select_next([5.0, 5.1, 5.2], [1, 2, 0], now=2.0)
    2
    """
    indices = range(len(deadlines))
    in_time = [index for index in indices if deadlines[index] >= now]
    return min(in_time or indices, key=lambda index: (own_ahead[index], index))


def count_ahead(
    deadlines: Sequence[float],
    own_ahead: Sequence[int],
    own_ahead_of_new: int,
    now: float,
) -> int:
    """Return how many waiters are ahead of a new one.

    `own_ahead_of_new` is how many of its own workspace are ahead of it.

    Examples
    --------
    >>> count_ahead([5.0, 5.1, 5.2], [0, 1, 2], own_ahead_of_new=0, now=2.0)
    1
    >>> count_ahead([5.0, 5.1, 5.2], [0, 1, 2], own_ahead_of_new=3, now=2.0)
    3
    """
    return sum(
        deadline >= now and other <= own_ahead_of_new
        for deadline, other in zip(deadlines, own_ahead, strict=True)
    )


def find_crowded_out(
    own_ahead: Sequence[int], own_ahead_of_new: int
) -> int | None:
    """Return the waiter that makes room for a new one in a full queue.

    This is the one served last, if workspaces that take turns leave it behind
    the new one.

    Examples
    --------
    >>> find_crowded_out([0, 1, 2, 0], own_ahead_of_new=1)
    2
    >>> find_crowded_out([0, 1, 2, 0], own_ahead_of_new=2) is None
    True
    """
    last = max(
        range(len(own_ahead)),
        key=lambda index: (own_ahead[index], index),
        default=None,
    )
    if last is None or own_ahead[last] <= own_ahead_of_new:
        return None
    return last


def can_queue_late(
    deadlines: Iterable[float], now: float, connections: int
) -> bool:
    """Return whether one more late statement may wait.

    Examples
    --------
    >>> can_queue_late([1.0, 9.0], now=2.0, connections=2)
    True
    >>> can_queue_late([1.0, 1.0], now=2.0, connections=2)
    False
    """
    late = sum(deadline < now for deadline in deadlines)
    return late < connections * LATE_WAITERS_PER_CONNECTION


def compute_retry_after(wait: float, rejected: int) -> float:
    """Return after how many seconds a rejected caller should retry.

    Parameters
    ----------
    wait : float
        Expected time until the queue is empty, in seconds.
    rejected : int
        Number of callers rejected so far.

    Examples
    --------
    >>> (
    ...     compute_retry_after(0.4, rejected=0),
    ...     compute_retry_after(0.4, rejected=4),
    ... )
    (0.4, 0.6)
    """
    return round(
        wait * (1 + rejected % RETRY_SPREAD_STEPS / RETRY_SPREAD_STEPS), 3
    )
