"""Draining of backend servers that announced their shutdown."""

import math
from collections.abc import Container
from dataclasses import dataclass
from typing import Final

#: How long a draining server keeps serving unless the settings say otherwise,
#: in seconds.
DEFAULT_DRAIN_TIME_S: Final = 7.0
#: Fraction of the drain time in which a server without a successor still gets
#: new work.  The rest covers delayed notifications and queued requests.
NEW_WORK_FRACTION: Final = 0.5
#: How long the drain start of an unlisted server is kept, in seconds.  An entry
#: that expires during a store outage and is then published again must not
#: restart the drain time.
DRAIN_START_LIFETIME_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """Drain status of one server.

    Attributes
    ----------
    since : float
        When it was first seen draining, in seconds of the event loop clock;
        infinite if it is not draining.
    drain_time : float
        Minimum time for which it keeps serving, in seconds.

    Examples
    --------
    >>> draining = DrainStatus(100.0, 7.0)
    >>> draining.is_past_cutoff(103.0), draining.is_past_cutoff(103.5)
    (False, True)
    >>> draining.may_terminate(106.9), draining.may_terminate(107.0)
    (False, True)
    >>> DrainStatus().is_past_cutoff(1e9)
    False
    """

    since: float = math.inf
    drain_time: float = DEFAULT_DRAIN_TIME_S

    def is_past_cutoff(self, now: float) -> bool:
        """Return whether the server must not be given new work."""
        return now - self.since >= self.drain_time * NEW_WORK_FRACTION

    def may_terminate(self, now: float) -> bool:
        """Return whether the server's process may exit at any moment."""
        return now - self.since >= self.drain_time


class DrainTracker:
    """Tracks when each server started to drain.

    Parameters
    ----------
    drain_time : float
        Minimum time for which a draining server keeps serving, in seconds.

    Examples
    --------
    >>> tracker = DrainTracker(7.0)
    >>> tracker.mark_draining('i-1', 10.0)
    >>> tracker.mark_draining('i-1', 12.0)
    >>> tracker.get_status('i-1')
    DrainStatus(since=10.0, drain_time=7.0)
    >>> tracker.discard_unlisted((), 10.0 + DRAIN_START_LIFETIME_S)
    >>> tracker.get_status('i-1').since
    inf
    """

    def __init__(self, drain_time: float) -> None:
        self._drain_time = drain_time
        self._since: dict[str, float] = {}

    def get_status(self, server: str) -> DrainStatus:
        """Return the drain status of a server."""
        since = self._since.get(server, math.inf)
        return DrainStatus(since, self._drain_time)

    def mark_draining(self, server: str, now: float) -> None:
        """Record that a server drains; the first time is kept."""
        self._since.setdefault(server, now)

    def mark_active(self, server: str) -> None:
        """Record that a server is not draining."""
        self._since.pop(server, None)

    def discard_unlisted(self, listed: Container[str], now: float) -> None:
        """Discard the old drain starts of servers that are not listed."""
        expired = [
            server
            for server, since in self._since.items()
            if now - since >= DRAIN_START_LIFETIME_S and server not in listed
        ]
        for server in expired:
            self._since.pop(server)
