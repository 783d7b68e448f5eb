"""Weights of nodes by the capacity of their machines.

In a fleet with machines of 2.15 and 0.36 cores, equal chances put most holders,
coordinators, collectors and feeders on the small machines, which are the first
to run out of processor time.  Weighted rendezvous hashing (`utils.ranks`)
chooses them in proportion to capacity instead.

Fleets whose machines are about equal keep the unweighted order, because a
different order would close and open connections and gain nothing.
"""

import math
from collections.abc import Mapping
from typing import Final

#: Ratio of the largest to the smallest capacity from which a fleet is uneven.
#: Below it, the weights would be rounded to 1 or differ by a single step.
MIN_UNEVEN_RATIO: Final = 2.0
#: Bounds the part of a node that publishes a wrong, huge capacity.  The ratio
#: of capacities in known deployments is at most 6.
MAX_WEIGHT: Final = 16


def is_uneven(capacities: Mapping[str, float]) -> bool:
    """Return whether the largest capacity is at least twice the smallest one.

    Parameters
    ----------
    capacities : mapping of str to float
        Published capacities in cores by node name.  Values that are not
        positive and finite count as not published.

    Examples
    --------
    >>> is_uneven({'n1': 2.15, 'n2': 0.5, 'n3': 0})
    True
    >>> is_uneven({'n1': 2.15, 'n2': 0, 'n3': 1.5})
    False
    """
    published = _list_published(capacities)
    return bool(published) and (
        max(published) >= min(published) * MIN_UNEVEN_RATIO
    )


def compute_weights(capacities: Mapping[str, float]) -> dict[str, int]:
    """Return the weights of an uneven fleet's nodes; empty for an even fleet.

    Weights are multiples of the smallest capacity, rounded, so that small
    differences do not change any choice.  A node without capacity has weight 1.

    Parameters
    ----------
    capacities : mapping of str to float
        Published capacities in cores by node name, as in `is_uneven`.

    Examples
    --------
    >>> compute_weights({'n1': 2.15, 'n2': 0.516, 'n3': 0.54, 'n4': 0})
    {'n1': 4, 'n2': 1, 'n3': 1, 'n4': 1}
    >>> compute_weights({'n1': 2.15, 'n2': 2, 'n3': 0})
    {}
    """
    if not is_uneven(capacities):
        return {}
    published = _list_published(capacities)
    unit = max(min(published), max(published) / MAX_WEIGHT)
    return {
        name: max(1, round(capacity / unit)) if _is_published(capacity) else 1
        for name, capacity in capacities.items()
    }


def _list_published(capacities: Mapping[str, float]) -> list[float]:
    return [each for each in capacities.values() if _is_published(each)]


def _is_published(capacity: float) -> bool:
    return math.isfinite(capacity) and capacity > 0
