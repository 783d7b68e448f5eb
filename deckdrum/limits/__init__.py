"""Keeping the limits of workspaces over all nodes, in touch or not."""

from deckdrum.limits.client import LimitClient
from deckdrum.limits.counting import LimitCounter

__all__ = ['LimitClient', 'LimitCounter']
