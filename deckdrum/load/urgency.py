"""Order of waiting requests by urgency.

A primary that serves all reads because its replicas lag, or a surge of one
class of callers, leaves more waiting requests than can be answered in time.
With shares in proportion to weights, urgent requests then wait as long as the
others.  Here the most urgent account goes first.

The less urgent accounts keep a guaranteed minimum, so that background work,
which may take several times the objective of urgent work, still completes.  A
less urgent request that cannot be in time behind more urgent ones is rejected
when these arrive: its caller can try elsewhere or later.

Requests are counted against the connections of one server at one node.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

#: One in this many connections goes to a less urgent account that was passed
#: over for all others.  An eighth lets background work with a time limit of
#: 1.5 s complete, and delays urgent work by at most one statement.
GUARANTEED_INTERVAL: Final = 8
#: Less urgent requests leave free what more urgent ones needed recently, up to
#: one in this many connections.  A quarter protected urgent requests from long
#: transactions as well as a half did, in replays, and wasted less.
RESERVED_INTERVAL: Final = 4
#: Priority of requests whose route is not known here, such as loans to other
#: nodes: that of usual work.
DEFAULT_PRIORITY: Final = 1


@dataclass(frozen=True, slots=True)
class Contender:
    """An account with waiting requests, when a connection is free.

    Attributes
    ----------
    priority : int
        Its priority; 0 is the most urgent.
    passed_over : int
        Connections granted to more urgent accounts while it waited, since it
        last got one.
    may_take : bool
        Whether the reservations for more urgent accounts leave a connection.
    rank : tuple of float
        Order among accounts of the same priority, the least first.
    """

    priority: int
    passed_over: int
    may_take: bool
    rank: tuple[float, float]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A waiting request.

    Attributes
    ----------
    priority : int
        Priority of its account.
    place : int
        How many requests of its account are served before it.
    deadline : float
        Latest start that meets its objective, in kernel seconds.
    """

    priority: int
    place: int
    deadline: float


def select_account(
    contenders: Sequence[Contender], granted_since_turn: int
) -> int | None:
    """Return the index of the account that gets a free connection.

    Parameters
    ----------
    contenders : sequence of Contender
        The accounts with waiting requests.
    granted_since_turn : int
        Connections granted since a less urgent account last got the guaranteed
        minimum.

    Returns
    -------
    int or None
        None if the connection is left free for more urgent requests.

    Examples
    --------
    >>> urgent = Contender(0, passed_over=0, may_take=True, rank=(3, 0))
    >>> usual = Contender(1, passed_over=7, may_take=False, rank=(1, 0))
    >>> select_account([usual, urgent], granted_since_turn=4)
    1
    >>> select_account([usual, urgent], granted_since_turn=7)
    0
    >>> select_account([usual], granted_since_turn=0) is None
    True
    """
    indices = range(len(contenders))
    passed_over = [
        index
        for index in indices
        if contenders[index].passed_over >= GUARANTEED_INTERVAL - 1
    ]
    if passed_over and granted_since_turn >= GUARANTEED_INTERVAL - 1:
        return max(passed_over, key=lambda index: contenders[index].passed_over)
    allowed = [index for index in indices if contenders[index].may_take]
    return min(
        allowed,
        key=lambda index: (contenders[index].priority, contenders[index].rank),
        default=None,
    )


def count_ahead_by_urgency(
    priority: int, own_ahead: int, others: Iterable[tuple[int, int]]
) -> int:
    """Return how many connections are granted before a request gets one.

    Parameters
    ----------
    priority : int
        Priority of the request.
    own_ahead : int
        Waiting requests of its account that are served before it.
    others : iterable of tuple of int
        Priority and number of waiting requests of each other account.

    Examples
    --------
    Less urgent requests do not count, and the guaranteed minimum bounds the
    effect of more urgent ones.

    >>> count_ahead_by_urgency(1, 2, [(0, 4), (1, 3), (2, 60)])
    9
    >>> count_ahead_by_urgency(1, 2, [(0, 60)])
    23
    """
    equal = own_ahead
    more_urgent = 0
    for other_priority, waiting in others:
        if other_priority == priority:
            equal += waiting
        elif other_priority < priority:
            more_urgent += waiting
    return min(equal + more_urgent, (equal + 1) * GUARANTEED_INTERVAL - 1)


def limit_reserved(needed: int, connections: int) -> int:
    """Return how many connections stay free for more urgent requests.

    `needed` is how many of these requests needed recently.

    Examples
    --------
    >>> limit_reserved(1, connections=8), limit_reserved(5, connections=8)
    (1, 2)
    >>> limit_reserved(5, connections=3)
    0
    """
    return min(needed, connections // RESERVED_INTERVAL)


def find_displaced(
    requests: Sequence[QueuedRequest],
    first: int,
    now: float,
    interval: float,
) -> list[int]:
    """Return the waiting requests that a more urgent one displaces.

    These can no longer be in time behind it.  The first of each account stays,
    for the guaranteed minimum.

    Parameters
    ----------
    requests : sequence of QueuedRequest
        The waiting requests that are less urgent than the arriving one.
    first : int
        Requests that are served before all of these, with the arriving one.
    now : float
        Current time, in kernel seconds.
    interval : float
        Expected time between two grants of a connection, in seconds.

    Returns
    -------
    list of int
        Indices, the least urgent and latest first.

    Examples
    --------
    >>> waiting = [QueuedRequest(2, place, deadline=1.25) for place in range(4)]
    >>> find_displaced(waiting, first=1, now=1.0, interval=0.1)
    [3, 2]
    >>> find_displaced(waiting, first=1, now=1.0, interval=0.05)
    []
    """
    order = sorted(
        range(len(requests)),
        key=lambda index: (requests[index].priority, requests[index].place),
    )
    displaced = []
    for position in reversed(range(len(order))):
        request = requests[order[position]]
        # The guaranteed minimum bounds the wait, as in
        # `count_ahead_by_urgency`.
        granted_before = min(
            first + position, (request.place + 1) * GUARANTEED_INTERVAL - 1
        )
        is_late = now + granted_before * interval > request.deadline
        if is_late and request.place:
            displaced.append(order[position])
    return displaced
