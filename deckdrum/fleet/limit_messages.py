"""Messages between nodes about the operation limits of workspaces."""

from enum import StrEnum

from deckdrum.fleet.base import Message


class LimitRole(StrEnum):
    """Role in which a node is asked to count an operation."""

    #: It coordinates the limit.
    COORDINATOR = 'keeper'
    #: It replaces a coordinator that no longer counts.
    SUCCESSOR = 'successor'
    #: It stands in for a coordinator that may still count for other nodes.
    DEPUTY = 'deputy'


class AskLimit(Message, frozen=True):
    """Asks a peer whether a workspace may begin another operation.

    `asked_as` is a value of `LimitRole`.
    """

    workspace: str
    asked_as: str


class LimitAnswer(Message, frozen=True):
    """Whether the peer counts for the workspace, and the delay.

    `wait` is the time until an operation may begin, in seconds.  If it is 0,
    the operation has been counted and may begin now.
    """

    is_kept: bool
    wait: float
