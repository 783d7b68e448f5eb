"""Rejection of statements that their holder would reject.

During overload, a holder rejects most less urgent statements at once, but each
of them costs a message there and back, and processor time of the holder.  A
rejection tells for how long the next ones will be rejected as well; the node to
which the caller is connected rejects these itself.

A workspace with too many statements is rejected while others are served, since
workspaces take turns.  Therefore a rejection applies to its own workspace only,
until statements of a second one are rejected.  A statement that only the
primary can run may be rejected while replicas have capacity, so its rejection
does not apply to reads that a replica can serve.
"""

from dataclasses import dataclass
from typing import Final

#: Longest time for which a rejection applies.  It is the shortest latency
#: objective of a deployment: a caller that waits for it has lost no more.
MAX_SHED_S: Final = 0.1
#: Interval at which a statement is sent anyway, to find that capacity is
#: available again.  It costs a holder at most 50 statements a second.
PROBE_INTERVAL_S: Final = 0.02
#: Workspaces whose rejections together apply to all others.
_MIN_REJECTED_WORKSPACES: Final = 2


@dataclass(frozen=True, slots=True)
class StatementKind:
    """What decides whether a rejection applies to a statement.

    Attributes
    ----------
    priority : int
        Priority of its route; 0 is the most urgent.
    workspace : str
        Its workspace; empty if there are none.
    needs_primary : bool
        Whether only the primary can run it.
    """

    priority: int
    workspace: str
    needs_primary: bool

    def is_covered_by(self, other: 'StatementKind') -> bool:
        """Return whether it gets a connection no sooner than another kind."""
        is_as_urgent = other.priority <= self.priority
        return is_as_urgent and (self.needs_primary or not other.needs_primary)


@dataclass(frozen=True, slots=True)
class _Rejection:
    rejected_at: float
    until: float


class HolderRejections:
    """Rejections by one holder that may still apply.

    Examples
    --------
    >>> rejections = HolderRejections()
    >>> usual = StatementKind(1, 'growers', needs_primary=True)
    >>> background = StatementKind(2, 'growers', needs_primary=True)
    >>> rejections.record_rejection(usual, retry_after=0.05, now=1.0)
    >>> round(rejections.find_remaining(background, now=1.01), 3)
    0.04

    One statement is admitted every 20 ms, and urgent ones always are.

    >>> rejections.find_remaining(background, now=1.02)
    0
    >>> round(rejections.find_remaining(background, now=1.021), 3)
    0.029
    >>> urgent = StatementKind(0, 'growers', needs_primary=True)
    >>> rejections.find_remaining(urgent, now=1.021)
    0
    """

    def __init__(self) -> None:
        self._rejections: dict[StatementKind, _Rejection] = {}
        self._next_probe_at: float = 0

    def record_rejection(
        self, kind: StatementKind, retry_after: float, now: float
    ) -> None:
        """Record a rejection that applies for `retry_after` seconds."""
        self._discard_expired(now)
        if not self._rejections:
            self._next_probe_at = now + PROBE_INTERVAL_S
        until = now + min(retry_after, MAX_SHED_S)
        self._rejections[kind] = _Rejection(now, until)

    def record_success(self, kind: StatementKind, sent_at: float) -> None:
        """Record that a statement sent at `sent_at` was not rejected.

        Earlier rejections of its workspace no longer apply to kinds that are
        served no later.
        """
        self._rejections = {
            rejected: rejection
            for rejected, rejection in self._rejections.items()
            if rejection.rejected_at > sent_at
            or rejected.workspace != kind.workspace
            or not kind.is_covered_by(rejected)
        }

    def find_remaining(self, kind: StatementKind, now: float) -> float:
        """Return for how many seconds a statement is rejected; 0 to send it."""
        if kind.priority <= 0:
            return 0
        self._discard_expired(now)
        covering = [
            rejected
            for rejected in self._rejections
            if kind.is_covered_by(rejected)
        ]
        workspaces = {rejected.workspace for rejected in covering}
        if len(workspaces) < _MIN_REJECTED_WORKSPACES:
            covering = [
                rejected
                for rejected in covering
                if rejected.workspace == kind.workspace
            ]
        if not covering:
            return 0
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            return 0
        return max(self._rejections[each].until for each in covering) - now

    def _discard_expired(self, now: float) -> None:
        self._rejections = {
            kind: rejection
            for kind, rejection in self._rejections.items()
            if rejection.until > now
        }
