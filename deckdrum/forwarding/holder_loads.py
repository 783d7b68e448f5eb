"""Expected waits at the holders of one group, and the choice among them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from deckdrum.control import Member
from deckdrum.load.reports import (
    FRESH_REPORT_AGE_S,
    HolderWaits,
    decode_waits,
    encode_waits,
    estimate_delay,
    estimate_wait,
)
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle


@dataclass(frozen=True, slots=True)
class _Report:
    """Waits at a holder and when they were reported (`curio.clock`)."""

    waits: HolderWaits
    received_at: float


_NO_REPORT = _Report(HolderWaits(), float('-inf'))


class HolderLoads:
    """Keeps the latest report of each holder and chooses by it.

    Points in time are those of `curio.clock`.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    data_centre : str
        Data centre of this node.
    """

    def __init__(self, runtime: ServiceRuntime, data_centre: str) -> None:
        self._runtime = runtime
        self._data_centre = data_centre
        self._reports: dict[str, _Report] = {}

    def record(self, holder: Member, load: Sequence[float], now: float) -> None:
        """Record the load that came with an answer of a holder.

        A node that publishes no capacity is of an earlier version.  It reports
        no load, which does not show that it has free capacity.
        """
        if not self._runtime.is_uneven or holder.capacity <= 0:
            return
        waits = decode_waits(load)
        if waits is None:
            self._runtime.counters.count('invalid_load_reports')
            self._reports.pop(holder.name, None)
            return
        self._reports[holder.name] = _Report(waits, now)

    def choose(
        self,
        candidates: Sequence[Member],
        workspace: str,
        now: float,
        *,
        uses_primary: bool,
    ) -> Member | None:
        """Return the candidate with the lowest expected delay.

        Among equals it is the first one; without recent reports it is the first
        candidate.  It is None if this node is a holder with a lower delay.
        """
        if not self._runtime.is_uneven:
            return candidates[0]
        delays = [
            self._estimate_delay(holder, workspace, now, uses_primary)
            for holder in candidates
        ]
        lowest = min(delays)
        if self._runtime.allocator.is_holder:
            own_delay = estimate_delay(
                _select_wait(measure_waits(self._runtime, now), uses_primary),
                0,
                has_connection=not workspace,
                is_remote=False,
            )
            if own_delay < lowest:
                self._runtime.counters.count('holders_passed_over')
                return None
        chosen = candidates[delays.index(lowest)]
        if chosen is not candidates[0]:
            self._runtime.counters.count('holders_passed_over')
        return chosen

    def find_free(
        self,
        candidates: Iterable[Member],
        workspace: str,
        now: float,
        time_left: float,
        *,
        uses_primary: bool,
    ) -> Member | None:
        """Return a candidate that has just reported free capacity, if any.

        `time_left` is the time left until the objective, in seconds.
        """
        if not self._runtime.is_uneven:
            return None
        for holder in candidates:
            report = self._reports.get(holder.name, _NO_REPORT)
            is_free = (
                now - report.received_at <= FRESH_REPORT_AGE_S
                and not _select_wait(report.waits, uses_primary)
            )
            delay = self._estimate_delay(holder, workspace, now, uses_primary)
            if is_free and delay < time_left:
                return holder
        return None

    def _estimate_delay(
        self,
        holder: Member,
        workspace: str,
        now: float,
        uses_primary: bool,
    ) -> float:
        """Return the expected delay at a holder, in seconds."""
        report = self._reports.get(holder.name, _NO_REPORT)
        ranked = self._runtime.allocator.find_holders(workspace)
        is_first = bool(ranked) and ranked[0].name == holder.name
        return estimate_delay(
            _select_wait(report.waits, uses_primary),
            now - report.received_at,
            # Connections that belong to no workspace are shared by all.
            has_connection=not workspace or is_first,
            is_remote=holder.data_centre != self._data_centre,
        )


def measure_load(runtime: ServiceRuntime, now: float) -> tuple[float, ...]:
    """Return the load that this node reports as a holder of a group.

    It is empty in a fleet of even machines.
    """
    if not runtime.is_uneven:
        return ()
    return encode_waits(measure_waits(runtime, now))


def measure_waits(runtime: ServiceRuntime, now: float) -> HolderWaits:
    """Return the expected waits of a further statement at this node."""
    primary = runtime.primary
    primary_wait = 0 if primary is None else _estimate_wait(primary)
    replica_waits = [
        _estimate_wait(handle)
        for handle in runtime.replicas
        if not handle.server.is_draining and not handle.is_backing_off(now)
    ]
    return HolderWaits(primary_wait, min(replica_waits, default=primary_wait))


def _estimate_wait(handle: ServerHandle) -> float:
    """Return the expected wait for a connection to a server, in seconds.

    Transactions hold connections for longer than one statement, so the wait of
    recent statements counts if it is longer than that computed from the queue.
    """
    queue = handle.pool.queue
    hold_time = handle.response_times.mean
    wait = estimate_wait(queue.waiting, queue.held, queue.slots, hold_time)
    return max(wait, handle.mean_time - hold_time) if wait else 0


def _select_wait(waits: HolderWaits, uses_primary: bool) -> float:
    return waits.primary if uses_primary else waits.replica
