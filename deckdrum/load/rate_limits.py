"""Enforcing a workspace's rate limit across many nodes.

Dividing a limit among the nodes would refuse uneven callers far below it.
Instead one node, the *coordinator* of the workspace, counts for all nodes.
*Deputies* stand in for a coordinator that cannot be reached, and a node that
reaches neither has a small allowance of its own.  The operations begun beyond
the limit in any window stay within a `Tolerance`, even while nodes are cut off,
killed or frozen.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Final

from deckdrum.utils.ranks import compute_rendezvous_rank, rank_by_weight

#: More than one, so that a data centre can lose a coordinator.
MIN_COORDINATORS_PER_DATA_CENTRE: Final = 2
NODES_PER_COORDINATOR: Final = 24
#: Operations that a coordinator admits at once when it takes over.
INITIAL_TOKENS: Final = 3.0
#: Longest retry delay that is returned to a caller.
MAX_RETRY_AFTER_S: Final = 60.0
#: Fractions of the tolerance: for bursts at the coordinator, for deputies while
#: the coordinator may still count, and for isolated nodes.  What is left covers
#: operations admitted twice while coordinators change.
COORDINATOR_FRACTION: Final = 0.25
DEPUTY_FRACTION: Final = 0.4
ISOLATED_FRACTION: Final = 0.25
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
    """

    def __init__(self, level: float, since: float) -> None:
        self._level = level
        #: When a token was last requested, in kernel seconds.
        self.asked_at = since

    def try_spend(self, rate: float, burst: float, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available.

        A lower rate or burst takes effect with this call.
        """
        filled = self._level + max(0, now - self.asked_at) * rate
        self._level = min(max(burst, 1), filled)
        self.asked_at = max(now, self.asked_at)
        if self._level >= 1:
            self._level -= 1
            return 0
        missing = 1 - self._level
        # With a rate of zero, callers retry in case the limit is raised.
        return (
            min(MAX_RETRY_AFTER_S, missing / rate)
            if rate
            else MAX_RETRY_AFTER_S
        )


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
