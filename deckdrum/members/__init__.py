"""Fair sharing of connections between member groups."""

from deckdrum.members.accounts import (
    COMMAND_GROUP,
    LOAN_PREFIX,
    GroupShare,
    Permit,
)
from deckdrum.members.queue import FairQueue

__all__ = [
    'COMMAND_GROUP',
    'LOAN_PREFIX',
    'FairQueue',
    'GroupShare',
    'Permit',
]
