"""Rendezvous hashing: orders that are the same on every node."""

import hashlib
from functools import lru_cache
from typing import Final

#: Holds several times the ranks of 195 nodes for ten services, so that a change
#: of one node does not recompute the others.
_CACHE_SIZE: Final = 8192


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
