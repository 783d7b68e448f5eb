"""Ranks of nodes and servers that are the same on every node."""

import hashlib
from functools import lru_cache
from typing import Final

#: Ranks that are remembered: those of 195 nodes for ten groups four times over.
#: Without, each change of one node would have all of them hashed anew.
_CACHE_SIZE: Final = 8192


@lru_cache(maxsize=_CACHE_SIZE)
def compute_rendezvous_rank(*parts: str) -> bytes:
    """Return a place by rendezvous hashing.

    Examples
    --------
    >>> names = ['n1', 'n2', 'n3']
    >>> min(names, key=lambda name: compute_rendezvous_rank('stalls', name))
    'n1'
    """
    return hashlib.sha256('/'.join(parts).encode()).digest()
