"""Rendezvous hashing: orders that are the same on every node."""

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Final

#: Holds several times the ranks of 195 nodes for ten services, so that a change
#: of one node does not recompute the others.
_CACHE_SIZE: Final = 8192
#: Leading bits of a hash that are read as a number; a float holds them exactly.
_DRAW_BITS: Final = 53
_HASH_BITS: Final = 256


@lru_cache(maxsize=_CACHE_SIZE)
def compute_rendezvous_rank(*parts: str) -> bytes:
    """Return a hash of `parts`, by which candidates are ordered.

    Examples
    --------
    >>> names = ['n1', 'n2', 'n3']
    >>> min(names, key=lambda name: compute_rendezvous_rank('stalls', name))
    'n1'
    """
    return hashlib.sha256('/'.join(parts).encode()).digest()


def rank_by_weight(
    names: Iterable[str],
    weights: Mapping[str, float],
    *parts: str,
) -> list[str]:
    """Return names by weighted rendezvous hashing, the first choice first.

    A name is first with a probability in proportion to its weight.  Changing a
    weight moves only that name in the order.  With equal weights, the order is
    that of `compute_rendezvous_rank`.

    Parameters
    ----------
    names : iterable of str
        The candidates.
    weights : mapping of str to float
        Positive weights by name; 1 where a name is missing.
    *parts : str
        What a candidate is chosen for; hashed before the name.

    Examples
    --------
    >>> rank_by_weight(['n1', 'n2', 'n3'], {}, 'stalls')
    ['n1', 'n2', 'n3']
    >>> rank_by_weight(['n1', 'n2', 'n3'], {'n3': 8}, 'stalls')
    ['n3', 'n1', 'n2']
    """
    return sorted(
        names,
        key=lambda name: _compute_weighted_rank(
            weights.get(name, 1), *parts, name
        ),
    )


def _compute_weighted_rank(weight: float, *parts: str) -> tuple[float, bytes]:
    """Return the reciprocal of the score ``-weight / ln(u)``, and the hash.

    The lowest hash comes first, so `u` is 1 minus the hash as a fraction.  The
    hash itself orders candidates whose fractions are equal after rounding.
    """
    rank = compute_rendezvous_rank(*parts)
    draw = int.from_bytes(rank) >> (_HASH_BITS - _DRAW_BITS)
    return -math.log1p(-draw / 2**_DRAW_BITS) / weight, rank
