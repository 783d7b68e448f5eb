"""Questions between nodes about the limits of workspaces."""

from enum import StrEnum

from deckdrum.fleet.base import Message


class LimitRole(StrEnum):
    """What a node is to the one that asks it about a limit."""

    #: It keeps the limit.
    KEEPER = 'keeper'
    #: It stands in for a keeper that counts no more.
    SUCCESSOR = 'successor'
    #: It stands in for one that may count on for other nodes.
    DEPUTY = 'deputy'


class AskLimit(Message, frozen=True):
    """Ask a peer whether a workspace may begin one more operation.

    `asked_as` is a value of `LimitRole`.
    """

    workspace: str
    asked_as: str


class LimitAnswer(Message, frozen=True):
    """Whether the peer counts for the workspace, and when one may begin.

    `wait` is in seconds; 0 if the operation may begin now, and is counted.
    """

    is_kept: bool
    wait: float
