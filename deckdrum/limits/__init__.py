"""Operation limits of workspaces, enforced across all nodes.

They also hold, within a tolerance, during network partitions.
"""

from deckdrum.limits.client import LimitClient
from deckdrum.limits.counter import LimitCounter
from deckdrum.limits.shares import LimitShares

__all__ = ['LimitClient', 'LimitCounter', 'LimitShares']
