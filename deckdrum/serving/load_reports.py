"""Reports between the holders of a group about the load of its servers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import curio
import msgspec

from deckdrum.control import Member
from deckdrum.fleet.load_messages import AskLoad, LoadAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.reports import (
    SERVER_REPORT_LIFETIME_S,
    ServerReport,
    decode_server_report,
)
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle

#: Interval at which a holder asks one other.
ASK_INTERVAL_S: Final = 0.5
#: Longest wait for a report.
ASK_TIMEOUT_S: Final = 0.2
#: A holder that has run no statement for this time does not ask.
ACTIVE_WINDOW_S: Final = 1.0
#: Time for which a holder that did not answer is not asked again.
SILENCE_PAUSE_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a server as other holders see it.

    Attributes
    ----------
    load : int
        Statements of other holders that run or wait.
    mean_time : float
        Shortest mean time of a statement that a holder reports, in seconds; 0
        if there is none.
    failed_at : float
        Latest failure after which another holder avoids the server, in seconds
        of `curio.clock`; negative infinity if none avoids it.
    """

    load: int = 0
    mean_time: float = 0
    failed_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class _DatedReport:
    """A report and when it was made (`curio.clock`)."""

    report: ServerReport
    made_at: float


def _is_recent(dated: _DatedReport, now: float) -> bool:
    return now - dated.made_at <= SERVER_REPORT_LIFETIME_S


class LoadReports:
    """Keeps the latest report of each other holder of a group."""

    def __init__(self) -> None:
        #: When this node last began to run a statement (`curio.clock`).
        self.ran_at = float('-inf')
        self._reports: dict[str, dict[str, _DatedReport]] = {}

    def record(
        self,
        holder: str,
        reports: Sequence[Sequence[Any]],
        asked_at: float,
    ) -> int:
        """Record the answer of a holder; return the number of invalid reports.

        The holder made the reports after `asked_at`, so they are no older than
        is recorded.
        """
        decoded = [decode_server_report(report) for report in reports]
        valid = [report for report in decoded if report is not None]
        self._discard_old(asked_at)
        self._reports[holder] = {
            report.server: _DatedReport(report, asked_at - report.age)
            for report in valid
        }
        return len(decoded) - len(valid)

    def summarize(self, server: str, now: float) -> ServerLoad:
        """Return the load of a server from the recent reports."""
        recent = [
            each[server]
            for each in self._reports.values()
            if server in each and _is_recent(each[server], now)
        ]
        if not recent:
            return ServerLoad()
        reports = [dated.report for dated in recent]
        return ServerLoad(
            sum(report.in_flight + report.waiting for report in reports),
            min(
                (each.mean_time for each in reports if each.mean_time),
                default=0,
            ),
            max(
                (each.made_at for each in recent if each.report.is_avoided),
                default=float('-inf'),
            ),
        )

    def _discard_old(self, now: float) -> None:
        """Discard old reports, such as those of holders that have left."""
        for holder, reports in list(self._reports.items()):
            if not any(_is_recent(each, now) for each in reports.values()):
                self._reports.pop(holder)


class LoadExchange:
    """Asks the other holders of a group for their reports, one at a time.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    peers : NodePeers
        The other nodes.
    reports : LoadReports
        Receives the reports.
    """

    def __init__(
        self,
        runtime: ServiceRuntime,
        peers: NodePeers,
        reports: LoadReports,
    ) -> None:
        self._runtime = runtime
        self._peers = peers
        self._reports = reports
        #: Name of the holder that was asked last.
        self._last_asked = ''
        #: Time until which a holder is not asked, by name.
        self._paused_until: dict[str, float] = {}

    async def run(self) -> None:
        """Ask one holder after the other, without end."""
        while True:
            await curio.sleep(ASK_INTERVAL_S)
            await self.ask_next()

    async def ask_next(self) -> None:
        """Ask the next holder, if load counts and this node has run any."""
        asked_at = await curio.clock()
        is_active = asked_at - self._reports.ran_at <= ACTIVE_WINDOW_S
        if not is_active or not self._runtime.is_uneven:
            return
        holder = self._pick_holder(asked_at)
        if holder is None:
            return
        self._last_asked = holder.name
        self._runtime.counters.count('load_questions')
        answer = await self._peers.ask(
            holder.endpoint, AskLoad(self._runtime.name), ASK_TIMEOUT_S
        )
        if not isinstance(answer, LoadAnswer):
            self._paused_until[holder.name] = asked_at + SILENCE_PAUSE_S
            self._runtime.counters.count('load_questions_unanswered')
            self._runtime.journal.record_rate_limited(
                'load.not_reported',
                service=self._runtime.name,
                peer=holder.name,
            )
            return
        invalid = self._reports.record(holder.name, answer.reports, asked_at)
        for _ in range(invalid):
            self._runtime.counters.count('invalid_load_reports')

    def _pick_holder(self, now: float) -> Member | None:
        """Return the holder after the one that was asked last, by name."""
        allocator = self._runtime.allocator
        if not allocator.is_holder:
            return None
        # A node that publishes no capacity does not know the message.
        candidates = {
            holder.name: holder
            for holder in allocator.others or self._peers.others
            if holder.capacity > 0
            and self._paused_until.get(holder.name, 0) <= now
            and not self._peers.health.is_unresponsive(holder.name)
        }
        names = sorted(candidates)
        following = [name for name in names if name > self._last_asked]
        chosen = next(iter((*following, *names)), None)
        return None if chosen is None else candidates[chosen]


def build_load_answer(runtime: ServiceRuntime, now: float) -> LoadAnswer:
    """Return the reports of this node about the servers of a group."""
    return LoadAnswer(
        [
            msgspec.to_builtins(_build_report(handle, now))
            for handle in runtime.servers.values()
        ],
    )


def _build_report(handle: ServerHandle, now: float) -> ServerReport:
    # Borrowed connections are counted by their lender.
    queue = handle.pool.queue
    is_recent = handle.has_answered(now - ACTIVE_WINDOW_S)
    failed_at = handle.find_failure(now)
    return ServerReport(
        handle.id,
        queue.held,
        queue.waiting,
        handle.mean_time if is_recent else 0,
        failed_at is not None,
        0 if failed_at is None else now - failed_at,
    )
