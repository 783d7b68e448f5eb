"""Enforcing a workspace's rate limit across many nodes.

Dividing a limit among the nodes would refuse uneven callers far below it.
Instead one node, the *coordinator* of the workspace, counts for all nodes.
*Deputies* stand in for a coordinator that cannot be reached, and a node that
reaches neither has a small allowance of its own.  The operations begun beyond
the limit in any window stay within a `Tolerance`, even while nodes are cut off,
killed or frozen.

Where routes have priorities, a part of the burst is reserved for more urgent
operations.  It addresses a workspace that sends 3 to 7.5 times its usual load:
nearly all of its operations are rejected, and without a reserve an urgent one
is rejected as often as any other.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Final

from deckdrum.utils.ranks import compute_rendezvous_rank, rank_by_weight

#: More than one, so that a data centre can lose a coordinator.
MIN_COORDINATORS_PER_DATA_CENTRE: Final = 2
NODES_PER_COORDINATOR: Final = 24
#: Operations that a coordinator admits at once when it takes over: enough for
#: callers that arrive unevenly, and few beside the tolerance (20 in a window).
INITIAL_TOKENS: Final = 3.0
#: Longest retry delay that is returned to a caller.
MAX_RETRY_AFTER_S: Final = 60.0
#: Fractions of the tolerance: for bursts at the coordinator, for deputies while
#: the coordinator may still count, and for isolated nodes.  What is left covers
#: operations admitted twice while coordinators change.  Without the first, 15
#: of 123 operations sent at 0.6 of a limit of three a second were rejected, and
#: none with it.
COORDINATOR_FRACTION: Final = 0.25
DEPUTY_FRACTION: Final = 0.4
ISOLATED_FRACTION: Final = 0.25
#: Members of a panel that are asked most while none has a share, and their part
#: of what deputies admit.
FIRST_MEMBERS: Final = 2
FIRST_MEMBERS_FRACTION: Final = 0.75
#: Part of a member's allowance that it admits at once: usual work needs it
#: within the 0.4 s until shares are lent anew.
AT_ONCE_FRACTION: Final = 0.8
#: Priority of urgent operations, and of all where routes have no priorities.
URGENT_PRIORITY: Final = 0
#: Urgent operations arrive at random, at 0.63 of the limit in a workspace at
#: 4.7 times its limit: five tokens cover all but 0.3 % of their bursts.
MAX_RESERVE: Final = 5.0
#: Largest reserve, as a fraction of the burst.
RESERVE_FRACTION: Final = 0.2
#: Part of the rate that less urgent operations keep if urgent ones alone reach
#: the limit.
FLOOR_FRACTION: Final = 0.1
#: Tokens kept for less urgent operations: one, so that a whole operation can
#: begin.
FLOOR_TOKENS: Final = 1.0
#: A bucket with a smaller burst has no reserve: it could not keep one and hold
#: a token for a less urgent operation.
MIN_RESERVING_BURST: Final = 2.0
#: Part of the rate by which the reserve of a new bucket grows.  A coordinator
#: that takes over would otherwise reject less urgent operations until the
#: reserve is full.
RESERVE_GROWTH_FRACTION: Final = 0.2
#: How long the floor is kept without a less urgent request, and a small
#: allowance for urgent operations after one of them was rejected, in seconds.
PRIORITY_MEMORY_S: Final = 5.0
_RANK_KEY: Final = 'limits'
#: Leading bytes of a rank that are read as a number.
_DRAW_BYTES: Final = 4
_BYTE_VALUES: Final = 256
_NO_WEIGHTS: Final[Mapping[str, float]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far the operations begun in any window may exceed a limit.

    Attributes
    ----------
    window : float
        Length of the window, in seconds.
    overrun : float
        Allowed excess, as a fraction of what the limit allows in a window.
    slack : float
        Allowed excess in operations, in addition.

    Examples
    --------
    >>> Tolerance(window=5, overrun=0.1, slack=20).compute_allowed_excess(
    ...     rate=12, burst=12
    ... )
    27.2
    """

    window: float = 5
    overrun: float = 0.1
    slack: float = 20

    def compute_allowed_excess(self, rate: float, burst: float) -> float:
        """Return the number of operations allowed beyond a limit."""
        return (rate * self.window + burst) * self.overrun + self.slack


#: Used where the settings specify no tolerance.
DEFAULT_TOLERANCE: Final = Tolerance()


class TokenBucket:
    """A token bucket whose rate and burst are given with each request.

    Priority 0 is the most urgent.  Less urgent operations leave a reserve of
    `compute_reserve` tokens, and keep `FLOOR_FRACTION` of the rate.

    Parameters
    ----------
    level : float
        Initial number of tokens.
    since : float
        When the bucket begins to fill, in kernel seconds.

    Examples
    --------
    >>> bucket = TokenBucket(level=1, since=0)
    >>> bucket.try_spend(rate=2, burst=4, now=0)
    0
    >>> bucket.try_spend(rate=2, burst=4, now=0)
    0.5
    >>> bucket.try_spend(rate=2, burst=4, now=0.5)
    0
    >>> bucket.try_spend(rate=0, burst=0, now=0.5)
    60.0

    Only urgent operations take the last tokens:

    >>> bucket = TokenBucket(level=10, since=0)
    >>> waits = [
    ...     bucket.try_spend(rate=20, burst=10, now=1, priority=1)
    ...     for _ in range(9)
    ... ]
    >>> [round(wait, 2) for wait in waits]
    [0, 0, 0, 0, 0, 0, 0, 0, 0.06]
    >>> bucket.try_spend(rate=20, burst=10, now=1)
    0
    """

    def __init__(self, level: float, since: float) -> None:
        self._level = level
        #: Tokens of the level that are kept for less urgent operations.
        self._floor: float = 0
        #: How far the reserve has grown.
        self._reserve: float = 0
        self._less_urgent_asked_at = float('-inf')
        self._urgent_rejected_at = float('-inf')
        #: When a token was last requested, in kernel seconds.
        self.asked_at = since

    def return_token(self) -> None:
        """Undo the count of an operation that has run nowhere.

        The level is bounded by the burst when it is next used.
        """
        self._level += 1

    def try_spend(
        self,
        rate: float,
        burst: float,
        now: float,
        priority: int = URGENT_PRIORITY,
    ) -> float:
        """Take a token; return 0, or the seconds until one is available.

        A lower rate or burst takes effect with this call.
        """
        filled = max(0, now - self.asked_at) * rate
        return self._spend(filled, rate, burst, now, priority)

    def try_spend_shares(
        self,
        shares: Sequence[float],
        rate: float,
        burst: float,
        now: float,
        priority: int = URGENT_PRIORITY,
    ) -> float:
        """Take a token of some shares of a limit; return as `try_spend`.

        Parameters
        ----------
        shares : sequence of float
            Since when each share is used, in kernel seconds; at least one.
        rate, burst : float
            Of one share.
        now : float
            Current time, in kernel seconds.
        priority : int
            Priority of the operation.

        Examples
        --------
        A new share brings no tokens of the time before:

        >>> bucket = TokenBucket(level=0, since=0)
        >>> bucket.try_spend_shares([0, 1], rate=1, burst=4, now=1)
        0
        >>> bucket.try_spend_shares([0, 1], rate=1, burst=4, now=1)
        0.5
        """
        filled = self._fill_from_shares(shares, rate, burst, now)
        count = len(shares)
        return self._spend(filled, rate * count, burst * count, now, priority)

    def settle_shares(
        self, shares: Sequence[float], rate: float, burst: float, now: float
    ) -> None:
        """Add the tokens of some shares until now, without taking one.

        It is called before shares come from other members; the parameters are
        those of `try_spend_shares`.
        """
        filled = self._fill_from_shares(shares, rate, burst, now)
        self._level = min(len(shares) * burst, self._level + filled)
        self.asked_at = max(now, self.asked_at)

    def _fill_from_shares(
        self, shares: Sequence[float], rate: float, burst: float, now: float
    ) -> float:
        """Drop tokens of shares that were lost; return the new tokens."""
        kept = sum(since <= self.asked_at for since in shares)
        self._level = min(self._level, max(1, kept * burst) if kept else 0)
        return rate * sum(
            max(0, now - max(since, self.asked_at)) for since in shares
        )

    def _spend(
        self,
        filled: float,
        rate: float,
        burst: float,
        now: float,
        priority: int,
    ) -> float:
        """Add tokens and take one; return as `try_spend`."""
        self._level = min(max(burst, 1), self._level + filled)
        self.asked_at = max(now, self.asked_at)
        if priority > URGENT_PRIORITY:
            self._less_urgent_asked_at = now
        self._fill_floor(filled, burst, now)
        available = self._level
        if burst >= MIN_RESERVING_BURST:
            available -= self._floor
        if priority > URGENT_PRIORITY:
            wait = self._compute_less_urgent_wait(available, rate, burst)
        else:
            wait = _compute_wait(1 - available, rate)
            if wait:
                self._urgent_rejected_at = now
        if not wait:
            self._level -= 1
        return wait

    def _fill_floor(self, filled: float, burst: float, now: float) -> None:
        """Add new tokens to the floor and to the reserve."""
        if now - self._less_urgent_asked_at > PRIORITY_MEMORY_S:
            self._floor = 0
        else:
            floor = self._floor + filled * FLOOR_FRACTION
            self._floor = min(FLOOR_TOKENS, floor)
        grown = self._reserve + filled * RESERVE_GROWTH_FRACTION
        self._reserve = min(compute_reserve(burst), grown)

    def _compute_less_urgent_wait(
        self, available: float, rate: float, burst: float
    ) -> float:
        """Return the wait for a token above the reserve, or of the floor."""
        floor_wait = max(
            _compute_wait(1 - self._floor, rate * FLOOR_FRACTION),
            _compute_wait(1 - self._level, rate),
        )
        if not floor_wait:
            self._floor -= 1
            return 0
        wait = _compute_wait(
            1 + self._reserve - available, rate * (1 - FLOOR_FRACTION)
        )
        if burst < MIN_RESERVING_BURST:
            urgent_age = self.asked_at - self._urgent_rejected_at
            wait = max(wait, PRIORITY_MEMORY_S - urgent_age)
        return min(wait, floor_wait)


def compute_reserve(burst: float) -> float:
    """Return the tokens that less urgent operations leave to urgent ones.

    Reserve and floor leave a token of a full bucket to less urgent operations.

    Examples
    --------
    >>> compute_reserve(burst=40), compute_reserve(burst=10)
    (5.0, 2.0)
    >>> compute_reserve(burst=2)
    0
    """
    spare = burst - FLOOR_TOKENS - 1
    return max(0, min(MAX_RESERVE, burst * RESERVE_FRACTION, spare))


def _compute_wait(missing: float, rate: float) -> float:
    """Return the seconds until missing tokens are available, 0 if none are."""
    if missing <= 0:
        return 0
    # With a rate of zero, callers retry in case the limit is raised.
    return min(MAX_RETRY_AFTER_S, missing / rate) if rate else MAX_RETRY_AFTER_S


def select_coordinators(
    nodes: Mapping[str, str],
    weights: Mapping[str, float] = _NO_WEIGHTS,
) -> tuple[str, ...]:
    """Return the nodes that coordinate limits, a few per data centre.

    Parameters
    ----------
    nodes : mapping of str to str
        Data centres by the names of the nodes.
    weights : mapping of str to float
        Weights of the nodes, within their data centres; 1 where a node is
        missing.

    Examples
    --------
    >>> nodes = {f'n{number}': 'ab'[number % 2] for number in range(20)}
    >>> len(select_coordinators(nodes))
    4
    >>> len(select_coordinators({'n1': 'a'}))
    1
    """
    by_data_centre: defaultdict[str, list[str]] = defaultdict(list)
    for name in rank_by_weight(nodes, weights, _RANK_KEY):
        by_data_centre[nodes[name]].append(name)
    coordinators: list[str] = []
    for ranked in by_data_centre.values():
        count = max(
            MIN_COORDINATORS_PER_DATA_CENTRE,
            len(ranked) // NODES_PER_COORDINATOR,
        )
        coordinators.extend(ranked[:count])
    return tuple(sorted(coordinators))


def rank_coordinators(workspace: str, coordinators: Iterable[str]) -> list[str]:
    """Return the coordinator of a workspace, followed by its deputies.

    Examples
    --------
    >>> rank_coordinators('growers', ['n1', 'n2', 'n3'])
    ['n2', 'n1', 'n3']
    """
    return sorted(coordinators, key=partial(compute_rendezvous_rank, workspace))


def compute_coordinator_burst(
    rate: float, burst: float, tolerance: Tolerance
) -> float:
    """Return the burst that a coordinator admits.

    Examples
    --------
    >>> compute_coordinator_burst(rate=12, burst=12, tolerance=Tolerance())
    18.8
    """
    return (
        burst
        + tolerance.compute_allowed_excess(rate, burst) * COORDINATOR_FRACTION
    )


def compute_deputy_rate(
    rate: float, burst: float, tolerance: Tolerance
) -> float:
    """Return the rate that a deputy admits while the coordinator may count.

    Returns
    -------
    float
        Operations per second.  The initial tokens use the same fraction of
        the tolerance.
    """
    budget = (
        tolerance.compute_allowed_excess(rate, burst) * DEPUTY_FRACTION
        - INITIAL_TOKENS
    )
    return max(0, budget) / tolerance.window


def compute_panel_deputy_allowance(
    rate: float,
    burst: float,
    tolerance: Tolerance,
    members: int,
    position: int,
) -> tuple[float, float]:
    """Return what a member of a panel admits while it has no share.

    All members may have none for a moment, so they divide the deputies' part of
    the tolerance.  The first two get most of it: they are asked while the first
    one is lost or starts again, until its shares are lent anew.

    Parameters
    ----------
    rate, burst : float
        The limit of the workspace.
    tolerance : Tolerance
        How far it may be exceeded.
    members : int
        Number of members of the panel.
    position : int
        Place of the member in the workspace's ranking, from 0.

    Returns
    -------
    tuple of float
        Burst, and operations per second; 0 if the part is less than one.

    Examples
    --------
    >>> tolerance = Tolerance(window=5, overrun=0, slack=100)
    >>> compute_panel_deputy_allowance(110, 50, tolerance, 6, position=0)
    (12.0, 0.6)
    >>> compute_panel_deputy_allowance(110, 50, tolerance, 6, position=2)
    (2.0, 0.1)
    """
    budget = tolerance.compute_allowed_excess(rate, burst) * DEPUTY_FRACTION
    if position < FIRST_MEMBERS:
        part = budget * FIRST_MEMBERS_FRACTION / FIRST_MEMBERS
    else:
        others = members - FIRST_MEMBERS
        part = budget * (1 - FIRST_MEMBERS_FRACTION) / others
    at_once = part * AT_ONCE_FRACTION
    if at_once < 1:
        return 0, 0
    return at_once, (part - at_once) / tolerance.window


def compute_isolated_allowance(
    workspace: str,
    node: str,
    rate: float,
    burst: float,
    tolerance: Tolerance,
    nodes: int,
) -> tuple[float, float]:
    """Return the allowance of a node that reaches no coordinator.

    All nodes may be isolated at once, so each gets an equal share.  Half of it
    is admitted at once: since parts of an operation are useless, some nodes,
    chosen by rank, get one operation more than others.

    Returns
    -------
    tuple of float
        Burst, a whole number of operations, and operations per second.

    Examples
    --------
    >>> tolerance = Tolerance()
    >>> at_once, _ = compute_isolated_allowance(
    ...     'growers', 'n1', 12, 12, tolerance, nodes=1
    ... )
    >>> at_once
    3.0
    """
    share = (
        tolerance.compute_allowed_excess(rate, burst)
        * ISOLATED_FRACTION
        / 2
        / nodes
    )
    rank = int.from_bytes(
        compute_rendezvous_rank(workspace, node)[:_DRAW_BYTES]
    )
    draw = rank / _BYTE_VALUES**_DRAW_BYTES
    whole, remainder = divmod(share, 1)
    at_once = whole + (draw < remainder)
    return at_once, share / tolerance.window
