"""Ranks of nodes and servers that are the same on every node."""

import hashlib


def weigh(*parts: str) -> bytes:
    """Return a place by rendezvous hashing.

    Examples
    --------
    >>> names = ['n1', 'n2', 'n3']
    >>> min(names, key=lambda name: weigh('stalls', name))
    'n1'
    """
    return hashlib.sha256('/'.join(parts).encode()).digest()
