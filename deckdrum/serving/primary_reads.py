"""Bound on reads at the primary while more urgent statements wait there."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.load.replica_reads import plan_primary_wait
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle

if TYPE_CHECKING:
    from deckdrum.serving.attempts import Attempt

#: Interval at which a read beyond the bound checks whether it may go on; a
#: fraction of the time of a statement.
_RECHECK_INTERVAL_S: Final = 0.005
#: Expected time of a statement before the first answer.
_DEFAULT_STATEMENT_TIME_S: Final = 0.01


@dataclass(frozen=True, slots=True, eq=False)
class _PrimaryStatement:
    """A statement that uses the primary, or waits for a connection to it."""

    attempt: 'Attempt'
    priority: int
    #: Whether a replica could run it, if one had the position that it needs.
    is_movable: bool


class PrimaryReads:
    """Statements of this node at the primary, and reads held back from it.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    """

    def __init__(self, runtime: ServiceRuntime) -> None:
        self._runtime = runtime
        self._statements: list[_PrimaryStatement] = []
        #: Reads that wait until they are within the bound.
        self._held_back = 0

    @contextmanager
    def track(
        self, attempt: 'Attempt', route: Route, *, is_read: bool
    ) -> Iterator[None]:
        """Count an attempt on the primary while it lasts."""
        statement = _PrimaryStatement(
            attempt, route.priority, is_read and _is_movable(route)
        )
        self._statements.append(statement)
        try:
            yield
        finally:
            self._statements.remove(statement)

    async def wait_within_bound(
        self,
        handle: ServerHandle,
        route: Route,
        deadline: float,
        gives_up_at: float,
    ) -> Refusal | None:
        """Wait until a read may go to the primary.

        Parameters
        ----------
        handle : ServerHandle
            The primary.
        route : Route
            Route of the read.
        deadline : float
            Time by which the answer must arrive to be in time.
        gives_up_at : float
            Time at which the wait ends.

        Returns
        -------
        Refusal or None
            A refusal at once if the read cannot be in time.
        """
        is_active = self._runtime.declaration.has_urgent_routes
        if not is_active or not _is_movable(route):
            return None
        now = await curio.clock()
        # Reads that come later do not delay this one.
        held_back_before = self._held_back
        while self._is_urgent_waiting(route.priority):
            wait = self._plan_wait(handle, held_back_before, deadline - now)
            held_back_before = 0
            if wait == 0:
                return None
            if wait is None or now >= gives_up_at:
                self._runtime.counters.count('primary_reads_rejected')
                return refuse(
                    Code.QUEUE_TIMEOUT,
                    'more urgent statements wait for the primary',
                    handle.response_times.mean,
                )
            self._held_back += 1
            try:
                await curio.sleep(_RECHECK_INTERVAL_S)
            finally:
                self._held_back -= 1
            now = await curio.clock()
        return None

    def _is_urgent_waiting(self, priority: int) -> bool:
        """Return whether a statement of higher priority waits."""
        return any(
            each.priority < priority and not each.attempt.was_sent
            for each in self._statements
        )

    def _plan_wait(
        self, handle: ServerHandle, held_back_before: int, time_left: float
    ) -> float | None:
        """Return the expected wait of a read; see `plan_primary_wait`."""
        most_urgent = min(
            each.priority
            for each in self._statements
            if not each.attempt.was_sent
        )
        reads = sum(
            each.is_movable and each.priority > most_urgent
            for each in self._statements
        )
        return plan_primary_wait(
            reads,
            held_back_before,
            handle.pool.queue.slots,
            handle.response_times.mean or _DEFAULT_STATEMENT_TIME_S,
            time_left,
        )


def _is_movable(route: Route) -> bool:
    return route.guarantee is not ConsistencyGuarantee.CURRENT
