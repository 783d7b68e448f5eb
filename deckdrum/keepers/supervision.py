"""Supervision of a group: failure detection, failover and replica repair."""

from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.databases import DatabaseState, Role
from deckdrum.failover import FailoverDriver, FailoverReport
from deckdrum.failover.driver import Handover
from deckdrum.failover.steps import repoint_replica
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import VersionedRecord

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

SUPERVISION_INTERVAL_S: Final = 0.1
#: A primary unresponsive for this long is replaced, unless a peer reaches it.
PRIMARY_LOST_AFTER_S: Final = 0.8
#: Consecutive failed probes required in addition.
MIN_FAILED_PROBES: Final = 2
#: Time without a renewal after which the unfinished failover of another driver
#: is taken over.
FAILOVER_TAKEOVER_DELAY_S: Final = 3.0
#: Delay after a failover that failed or was vetoed by a peer.
FAILOVER_RETRY_DELAY_S: Final = 0.5
#: Delay between attempts to replace a primary that is being removed.
HANDOVER_RETRY_DELAY_S: Final = 10.0
_PRIMARY_LEAVING: Final = 'the primary is leaving'
#: Time without replication progress while the majority lags the primary.
REPLICATION_STALLED_AFTER_S: Final = 1.5
REPLICATION_STALLED: Final = 'no majority receives its log'
#: How long a keeper rejects batches after a peer vetoed its failover.
STEP_ASIDE_DURATION_S: Final = 3.0
#: Reports kept for ``deckdrumctl explain``.
_MAX_REPORTS: Final = 50


class Supervisor:
    """Supervises the group of one keeper.

    Parameters
    ----------
    keeper : Keeper
        The keeper.
    """

    def __init__(self, keeper: 'Keeper') -> None:
        self._keeper = keeper
        self._context = keeper.context
        self.reports: deque[FailoverReport] = deque(maxlen=_MAX_REPORTS)
        #: Version of the latest claim or renewal, and when it was first seen.
        self._fencing_since: tuple[int, float] = (0, 0)
        self._unresponsive_since: float | None = None
        self._next_handover_at: float = 0
        self._awaited_report: FailoverReport | None = None
        #: Task that asks peers, started at the first failed probe.
        self._peer_check: Any = None
        #: Offset that a majority holds, and since when it is unchanged.
        self._majority_offset: int | None = None
        self._majority_offset_since: float = 0
        #: Version of the group record, and when it was first seen.
        self._record_seen: tuple[int, float] = (0, 0)

    async def run(self) -> None:
        """Supervise the group until cancelled."""
        while True:
            self._keeper.apply_group_record()
            delay = await self._supervise_once()
            await self._wait_for_change(delay)

    async def _wait_for_change(self, delay: float) -> None:
        """Wait for a change of the platform's records, at most `delay`."""
        changed = self._context.view.changed
        async with curio.ignore_after(delay):
            async with changed:
                await changed.wait()

    async def _supervise_once(self) -> float:
        current = self._context.view.records.get(self._keeper.service.name)
        if current is None:
            return await self._create_record()
        if current.record.phase is Phase.FENCING:
            return await self._check_fencing(current)
        await self._record_learned(current)
        reason = await self._find_failure(current)
        if reason:
            return await self._replace(current, reason)
        if await self._should_hand_over(current.record):
            return await self._replace(
                current, _PRIMARY_LEAVING, self._plan_handover()
            )
        await self._repoint_stray_replicas(current.record)
        return SUPERVISION_INTERVAL_S

    async def _create_record(self) -> float:
        """Create the group record from the states of the databases."""
        states = self._get_states()
        primaries = [
            (state.term, name)
            for name, state in states.items()
            if state.role is Role.PRIMARY
        ]
        is_known = self._context.view.is_reachable
        if (
            not primaries
            or not is_known
            or len(states) < self._keeper.watch.majority
        ):
            return SUPERVISION_INTERVAL_S
        term, primary = max(primaries)
        record = GroupRecord(
            service=self._keeper.service.name,
            term=term,
            primary=primary,
            phase=Phase.SETTLED,
            operation=f'first-{self._context.proxy}',
            driver=self._context.proxy,
        )
        try:
            await self._context.view.put_record(record, 0)
        except StoreError:
            return FAILOVER_RETRY_DELAY_S
        return SUPERVISION_INTERVAL_S

    def _get_states(self) -> dict[str, DatabaseState]:
        states = {}
        for name in self._keeper.databases:
            state = self._keeper.watch.get_state(name)
            if state is not None:
                states[name] = state
        return states

    async def _check_fencing(self, current: VersionedRecord) -> float:
        """Take over a failover that its driver has not finished in time."""
        now = await curio.clock()
        version, since = self._fencing_since
        if version != current.version:
            self._fencing_since = (current.version, now)
            return SUPERVISION_INTERVAL_S
        is_own = current.record.driver == self._context.proxy
        delay = FAILOVER_RETRY_DELAY_S if is_own else FAILOVER_TAKEOVER_DELAY_S
        if now - since < delay:
            return SUPERVISION_INTERVAL_S
        return await self._replace(current, 'the driver did not finish')

    async def _find_failure(self, current: VersionedRecord) -> str:
        """Return why the primary must be replaced, or an empty string."""
        record = current.record
        watcher = self._keeper.watch.watchers.get(record.primary)
        if watcher is None:
            return 'the primary was taken out of the configuration'
        now = await curio.clock()
        if self._record_seen[0] != current.version:
            self._record_seen = (current.version, now)
            self._unresponsive_since = None
        state = self._keeper.watch.get_state(record.primary)
        if state is not None and watcher.sample is not None:
            self._unresponsive_since = None
            self._peer_check = None
            # Ignore states that were probed before the record changed.
            if watcher.sample.started_at < self._record_seen[1]:
                return ''
            fault = _check_primary_state(state, record.term)
            return fault or self._check_progress(record, state, now)
        if not watcher.failures:
            return ''
        if self._unresponsive_since is None:
            # Unresponsive since the last successful probe.
            sample = watcher.sample
            last = sample.started_at if sample else now
            self._unresponsive_since = max(last, self._record_seen[1])
            await self._start_peer_check(record)
        is_expired = now - self._unresponsive_since >= PRIMARY_LOST_AFTER_S
        if not is_expired or watcher.failures < MIN_FAILED_PROBES:
            return ''
        return 'the primary does not answer'

    def _check_progress(
        self,
        record: GroupRecord,
        primary: DatabaseState,
        now: float,
    ) -> str:
        """Return why replication has stalled, or an empty string.

        A majority that this proxy can reach then no longer receives the
        primary's log: the primary is partitioned from the other databases.
        """
        others = [
            state
            for name, state in self._get_states().items()
            if name != record.primary and state.is_in_term(record.term)
        ]
        required = self._keeper.watch.majority - 1
        ranked = sorted((state.received for state in others), reverse=True)
        majority_offset = (
            ranked[required - 1] if 0 < required <= len(ranked) else None
        )
        is_behind = (
            majority_offset is not None and majority_offset < primary.received
        )
        if not is_behind or majority_offset != self._majority_offset:
            self._majority_offset = majority_offset
            self._majority_offset_since = now
            return ''
        can_continue = len(others) >= self._keeper.watch.majority
        is_stalled = (
            now - self._majority_offset_since >= REPLICATION_STALLED_AFTER_S
        )
        return REPLICATION_STALLED if is_stalled and can_continue else ''

    async def _should_hand_over(self, record: GroupRecord) -> bool:
        """Whether the primary is being removed and a successor exists."""
        states = self._get_states()
        leaving = self._list_leaving(states)
        if record.primary not in leaving:
            return False
        remaining = [
            name
            for name, state in states.items()
            if name not in leaving and state.is_in_term(record.term)
        ]
        now: float = await curio.clock()
        if not remaining or now < self._next_handover_at:
            return False
        # If no successor catches up, the old primary stays until then.
        self._next_handover_at = now + HANDOVER_RETRY_DELAY_S
        return True

    def _list_leaving(self, states: Mapping[str, DatabaseState]) -> set[str]:
        own = {name for name, state in states.items() if state.leaving}
        return own | self._keeper.router.leaving

    def _plan_handover(self) -> Handover:
        leaving = frozenset(self._list_leaving(self._get_states()))
        return Handover(partial(self._has_successor, leaving), leaving)

    def _has_successor(self, leaving: frozenset[str], end: int) -> bool:
        """Whether a database that is not being removed has received `end`."""
        return any(
            state.received >= end
            for name, state in self._get_states().items()
            if name not in leaving
        )

    async def _replace(
        self,
        current: VersionedRecord,
        reason: str,
        handover: Handover | None = None,
    ) -> float:
        report = FailoverReport(
            current.record.service,
            current.record.term + 1,
            self._context.proxy,
            current.record.primary,
            reason,
        )
        report.phases['last answer'] = (
            self._unresponsive_since or await curio.clock()
        )
        report.phases['detect'] = await curio.clock()
        if current.record.phase is Phase.SETTLED and self._unresponsive_since:
            if await self._is_reached_by_peer(current.record):
                # A peer reaches the primary, so only this proxy's network
                # path is broken.
                self._keeper.count('failover.vetoed')
                await self._step_aside()
                return FAILOVER_RETRY_DELAY_S
        report.phases['decide'] = await curio.clock()
        driver = FailoverDriver(
            self._keeper.databases,
            self._context.view,
            self._context.proxy,
            self._context.journal,
            self._context.randomness,
        )
        if reason == REPLICATION_STALLED:
            # Log entries that only this primary holds are not confirmed.
            report.excluded = current.record.primary
        is_settled = await driver.run_failover(current, report, handover)
        self._keeper.apply_group_record()
        if not is_settled:
            return FAILOVER_RETRY_DELAY_S
        self._keeper.count('failover.settled')
        self._unresponsive_since = None
        self.reports.append(report)
        self._awaited_report = report
        return SUPERVISION_INTERVAL_S

    async def _start_peer_check(self, record: GroupRecord) -> None:
        """Ask peers at the first failed probe, to have their answer early."""
        self._peer_check = await curio.spawn(
            self._context.ask_peers,
            record.service,
            record.primary,
            daemon=True,
        )

    async def _is_reached_by_peer(self, record: GroupRecord) -> bool:
        """Whether a peer can reach the primary.

        An early "no" is final.  An early "yes" may predate the failure, so the
        peers are asked again.
        """
        early = self._peer_check
        self._peer_check = None
        if early is not None and not await early.join():
            return False
        reached = await self._context.ask_peers(record.service, record.primary)
        return bool(reached)

    async def _step_aside(self) -> None:
        """Leave the service to a proxy that can reach the primary."""
        now: float = await curio.clock()
        if now >= self._keeper.unavailable_until:
            self._context.journal.record(
                'keeper.steps_aside',
                service=self._keeper.service.name,
            )
        self._keeper.unavailable_until = now + STEP_ASIDE_DURATION_S

    async def _record_learned(self, current: VersionedRecord) -> None:
        """Record when the new primary was first seen in its term."""
        report = self._awaited_report
        if report is None or report.term != current.record.term:
            return
        state = self._keeper.watch.get_state(report.promoted)
        if state is not None and state.is_in_term(report.term):
            report.phases['learn'] = await curio.clock()
            self._awaited_report = None

    async def _repoint_stray_replicas(self, record: GroupRecord) -> None:
        """Repoint databases that are in another term to the primary."""
        for name, state in self._get_states().items():
            if name == record.primary or state.is_in_term(record.term):
                continue
            if state.fenced > record.term:
                continue
            database = self._keeper.databases[name]
            if await repoint_replica(database, record.primary, record.term):
                self._context.journal.record(
                    'database.follows',
                    database=name,
                    term=record.term,
                )


def _check_primary_state(state: DatabaseState, term: int) -> str:
    """Return why a responsive primary cannot lead, or an empty string."""
    if state.fenced > term:
        return f'the primary is fenced at term {state.fenced}'
    if state.role is not Role.PRIMARY or state.term != term:
        return f'the database is a {state.role} of term {state.term}'
    return ''
