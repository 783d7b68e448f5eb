"""Member groups and their fair shares of connections."""

from deckdrum.members.queue import FairQueue, GroupShare, Permit

__all__ = ['FairQueue', 'GroupShare', 'Permit']
