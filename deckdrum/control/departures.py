"""The planned ends of servers, as a node knows them."""

import math
from collections.abc import Container
from dataclasses import dataclass
from typing import Final

#: For how long a leaving server serves on where the settings do not say, in s.
DEFAULT_DRAIN_TIME_S: Final = 7.0
#: Part of that time in which it still gets new work, if nobody has followed it.
#: The rest is for news that come late and for work that waits: a server that is
#: used for as long as it answers gets requests after its time.
NEW_WORK_FRACTION: Final = 0.5
#: How long a server that is not listed any more is remembered, in seconds.  An
#: entry that comes back after a lapse must not give a leaving server new time;
#: lapses last as long as the store is away, and a few seconds.
DRAIN_START_LIFETIME_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """The planned end of one server.

    Attributes
    ----------
    since : float
        When it was first known to leave, in kernel seconds; infinite if it
        stays.
    drain_time : float
        For how long it serves on at least, in seconds.

    Examples
    --------
    >>> leaving = DrainStatus(100.0, 7.0)
    >>> leaving.is_past_cutoff(103.0), leaving.is_past_cutoff(103.5)
    (False, True)
    >>> leaving.may_terminate(106.9), leaving.may_terminate(107.0)
    (False, True)
    >>> DrainStatus().is_past_cutoff(1e9)
    False
    """

    since: float = math.inf
    drain_time: float = DEFAULT_DRAIN_TIME_S

    def is_past_cutoff(self, now: float) -> bool:
        """Tell whether the server gets no new work any more."""
        return now - self.since >= self.drain_time * NEW_WORK_FRACTION

    def may_terminate(self, now: float) -> bool:
        """Tell whether its process may end at any moment."""
        return now - self.since >= self.drain_time


class DrainTracker:
    """Remembers when each server was first known to leave.

    Parameters
    ----------
    drain_time : float
        For how long a server that leaves serves on at least, in seconds.

    Examples
    --------
    >>> departures = DrainTracker(7.0)
    >>> departures.note('i-1', 10.0)
    >>> departures.note('i-1', 12.0)
    >>> departures.find('i-1')
    Departure(since=10.0, drain_time=7.0)
    >>> departures.discard_unlisted((), 10.0 + DRAIN_START_LIFETIME_S)
    >>> departures.find('i-1').since
    inf
    """

    def __init__(self, drain_time: float) -> None:
        self._drain_time = drain_time
        self._since: dict[str, float] = {}

    def find(self, server: str) -> DrainStatus:
        """Return what is known of a server's end."""
        since = self._since.get(server, math.inf)
        return DrainStatus(since, self._drain_time)

    def note(self, server: str, now: float) -> None:
        """Note that a server leaves."""
        self._since.setdefault(server, now)

    def clear(self, server: str) -> None:
        """Note that a server stays."""
        self._since.pop(server, None)

    def discard_unlisted(self, listed: Container[str], now: float) -> None:
        """Forget servers that left long ago and are not listed."""
        old = [
            server
            for server, since in self._since.items()
            if now - since >= DRAIN_START_LIFETIME_S and server not in listed
        ]
        for server in old:
            self._since.pop(server)
