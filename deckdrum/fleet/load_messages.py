"""Messages between the holders of a group about the load of its servers."""

from collections.abc import Sequence
from typing import Any

from deckdrum.fleet.base import Message


class AskSlots(Message, frozen=True):
    """Asks the slot coordinator of a server for a part of its spare slots.

    Attributes
    ----------
    service, server : str
        Database group and id of the server.
    holder : str
        Node that asks.
    wanted : int
        Statements that it has in flight or waiting for the server.
    urgent : int
        How many of them have priority 0.
    in_flight : int
        How many of them are in flight.  The coordinator lends no slots that
        statements admitted under an earlier lease still use.
    """

    service: str
    server: str
    holder: str
    wanted: int
    urgent: int = 0
    in_flight: int = 0


class SlotsAnswer(Message, frozen=True):
    """Spare slots that the holder may use, and for how long, in seconds.

    The time counts from when the holder sent its request.
    """

    granted: int
    lifetime: float


class AskLoad(Message, frozen=True):
    """Asks another holder of a group how its servers are doing."""

    service: str


class LoadAnswer(Message, frozen=True):
    """Load of a group's servers as one holder sees it.

    Each report has the server's id, this holder's statements in flight and
    waiting, the mean time of a statement in seconds, whether the holder avoids
    the server after failures, and the age of the report in seconds.
    """

    reports: Sequence[Sequence[Any]] = ()
