"""How a workspace's limit is kept over many nodes.

The load that this answers: a workspace sends many times what it may, through
every node at once, while nodes are cut off, killed or stopped.  With a part of
the limit for each node, callers that come unevenly are refused far below it:
with 71 nodes and 12 operations a second a part is one operation in six seconds.
So one node, its *keeper*, counts for all.  What is begun in any window is then
at most what the keeper's bucket lets through, and what the others may begin
while they do not reach it; the latter together stay within the tolerance.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final

from deckdrum.utils.ranks import weigh

#: Keepers of each data centre at least, so that one may go, and nodes for each
#: keeper: with 24, one keeper counts what 24 nodes begin.
MIN_COORDINATORS_PER_DATA_CENTRE: Final = 2
NODES_PER_COORDINATOR: Final = 24
#: Operations that a keeper may let through at once when it takes over: enough
#: for callers who come unevenly, and few beside the tolerance (20 in a window).
INITIAL_TOKENS: Final = 3.0
#: Longest time to come back that a caller is told, in seconds.
MAX_RETRY_AFTER_S: Final = 60.0
#: Parts of the tolerance: for the burst at the keeper, for deputies of one that
#: may still count, and for nodes that reach no keeper.  A tenth is left for
#: what is counted twice while keepers change.  The first lets a workspace with
#: three operations a second send unevenly: of 123 that were sent at 0.6 of its
#: limit 15 were refused without, none with it.
COORDINATOR_FRACTION: Final = 0.25
DEPUTY_FRACTION: Final = 0.4
ISOLATED_FRACTION: Final = 0.25
_RANK_KEY: Final = 'limits'
#: Bytes of a rank that are read as a number.
_DRAWN_BYTES: Final = 4
_BYTE_VALUES: Final = 256


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be begun beyond a limit in any window.

    Attributes
    ----------
    window : float
        Length of the window, in seconds.
    overrun : float
        Part of what the limit allows in a window.
    slack : float
        Operations beside.

    Examples
    --------
    >>> Tolerance(window=5, overrun=0.1, slack=20).measure(rate=12, burst=12)
    27.2
    """

    window: float = 5
    overrun: float = 0.1
    slack: float = 20

    def measure(self, rate: float, burst: float) -> float:
        """Return the operations that may be begun beyond a limit."""
        return (rate * self.window + burst) * self.overrun + self.slack


#: What holds where settings say nothing.
DEFAULT_TOLERANCE: Final = Tolerance()


class TokenBucket:
    """What may be begun: a bucket that fills at a rate up to a burst.

    Parameters
    ----------
    level : float
        Operations that may be begun at once.
    since : float
        From when on it fills, in kernel seconds.

    Examples
    --------
    >>> allowance = TokenBucket(level=1, since=0)
    >>> allowance.take(rate=2, burst=4, now=0)
    0
    >>> allowance.take(rate=2, burst=4, now=0)
    0.5
    >>> allowance.take(rate=2, burst=4, now=0.5)
    0
    >>> allowance.take(rate=0, burst=0, now=0.5)
    60.0
    """

    def __init__(self, level: float, since: float) -> None:
        self._level = level
        #: When it was last asked, in kernel seconds.
        self.asked_at = since

    def take(self, rate: float, burst: float, now: float) -> float:
        """Begin an operation, or return when one may be, in seconds.

        A limit that was lowered binds from this call on.
        """
        filled = self._level + max(0, now - self.asked_at) * rate
        self._level = min(max(burst, 1), filled)
        self.asked_at = max(now, self.asked_at)
        if self._level >= 1:
            self._level -= 1
            return 0
        missing = 1 - self._level
        # A limit of nothing is looked at again now and then.
        return (
            min(MAX_RETRY_AFTER_S, missing / rate)
            if rate
            else MAX_RETRY_AFTER_S
        )


def select_coordinators(nodes: Mapping[str, str]) -> tuple[str, ...]:
    """Return the nodes that count for the others, a few of each data centre.

    Parameters
    ----------
    nodes : mapping of str to str
        Data centres by the names of the nodes.

    Examples
    --------
    >>> nodes = {f'n{number}': 'ab'[number % 2] for number in range(20)}
    >>> len(select_coordinators(nodes))
    4
    >>> len(select_coordinators({'n1': 'a'}))
    1
    """
    by_centre: defaultdict[str, list[str]] = defaultdict(list)
    for name in sorted(nodes, key=partial(weigh, _RANK_KEY)):
        by_centre[nodes[name]].append(name)
    keepers: list[str] = []
    for ranked in by_centre.values():
        count = max(
            MIN_COORDINATORS_PER_DATA_CENTRE,
            len(ranked) // NODES_PER_COORDINATOR,
        )
        keepers.extend(ranked[:count])
    return tuple(sorted(keepers))


def rank_keepers(workspace: str, keepers: Iterable[str]) -> list[str]:
    """Return a workspace's keeper, and who stands in for it, in order.

    Examples
    --------
    >>> rank_keepers('growers', ['n1', 'n2', 'n3'])
    ['n2', 'n1', 'n3']
    """
    return sorted(keepers, key=partial(weigh, workspace))


def compute_coordinator_burst(
    rate: float, burst: float, tolerance: Tolerance
) -> float:
    """Return the operations that a keeper lets through after a pause.

    Examples
    --------
    >>> compute_coordinator_burst(rate=12, burst=12, tolerance=Tolerance())
    18.8
    """
    return burst + tolerance.measure(rate, burst) * COORDINATOR_FRACTION


def compute_deputy_rate(
    rate: float, burst: float, tolerance: Tolerance
) -> float:
    """Return what a deputy may let through while the keeper may count on.

    Returns
    -------
    float
        Operations a second.  The first tokens come out of the same part.
    """
    room = tolerance.measure(rate, burst) * DEPUTY_FRACTION - INITIAL_TOKENS
    return max(0, room) / tolerance.window


def compute_isolated_allowance(
    workspace: str,
    node: str,
    rate: float,
    burst: float,
    tolerance: Tolerance,
    nodes: int,
) -> tuple[float, float]:
    """Return what a node may begin that reaches no keeper.

    All nodes may be in that state at a time, so each has an equal part; half
    of it is given to some nodes at once, drawn by rank, since less than one
    operation is of no use.

    Returns
    -------
    tuple of float
        Operations at once, a whole number, and operations a second.

    Examples
    --------
    >>> tolerance = Tolerance()
    >>> at_once, _ = compute_isolated_allowance(
    ...     'growers', 'n1', 12, 12, tolerance, nodes=1
    ... )
    >>> at_once
    3.0
    """
    part = tolerance.measure(rate, burst) * ISOLATED_FRACTION / 2 / nodes
    rank = int.from_bytes(weigh(workspace, node)[:_DRAWN_BYTES])
    drawn = rank / _BYTE_VALUES**_DRAWN_BYTES
    whole, rest = divmod(part, 1)
    at_once = whole + (drawn < rest)
    return at_once, part / tolerance.window
