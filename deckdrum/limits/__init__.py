"""Keeping the limits of workspaces over all nodes, in touch or not."""

from deckdrum.limits.asking import LimitAsker
from deckdrum.limits.counting import LimitCounter

__all__ = ['LimitAsker', 'LimitCounter']
