"""Fair sharing of connections between member groups."""

from deckdrum.members.queue import FairQueue, GroupShare, Permit

__all__ = ['FairQueue', 'GroupShare', 'Permit']
