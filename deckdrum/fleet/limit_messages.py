"""Messages between nodes about the operation limits of workspaces."""

from collections.abc import Sequence
from enum import StrEnum

from deckdrum.fleet.base import Message


class LimitRole(StrEnum):
    """Role in which a node is asked to count an operation."""

    #: It coordinates the limit.
    COORDINATOR = 'keeper'
    #: It replaces a coordinator that has answered that it no longer counts.
    SUCCESSOR = 'successor'
    #: It stands in for a coordinator that may still count for other nodes.
    DEPUTY = 'deputy'


class AskLimit(Message, frozen=True):
    """Asks a peer whether a workspace may begin another operation.

    `asked_as` is a value of `LimitRole`.  `priority` is that of the route; with
    0, the default, the last token may be taken.
    """

    workspace: str
    asked_as: str
    priority: int = 0


class LimitAnswer(Message, frozen=True):
    """Whether the peer counts for the workspace, and the delay.

    `wait` is the time until an operation may begin, in seconds.  If it is 0,
    the operation has been counted and may begin now.  `is_returnable` tells
    that the peer itself has counted it and takes `ReturnToken` for it.
    """

    is_kept: bool
    wait: float
    is_returnable: bool = False


class ReturnToken(Message, frozen=True):
    """Tells a coordinator that an operation it counted has run nowhere.

    The answer is a `LimitAnswer`.  Losing it costs the workspace one operation.
    """

    workspace: str


class AskLimitShare(Message, frozen=True):
    """Asks a coordinator to lend its share of the limits to the sender.

    It concerns the workspaces for which the sender ranks higher.
    """

    borrower: str


class LimitShareAnswer(Message, frozen=True):
    """Whether the share is lent, and to whom else it may still be lent.

    Attributes
    ----------
    is_lent : bool
        Whether the sender lends its share.
    usable_after : float
        Seconds until the borrower may use it, counted from the arrival of the
        answer; negative if nobody has used it for that time.
    lifetime : float
        Seconds for which it is lent, counted from when the borrower asked.
    lent_to : sequence of str
        Other nodes to which it is lent or may still be lent.
    """

    is_lent: bool
    usable_after: float = 0
    lifetime: float = 0
    lent_to: Sequence[str] = ()
