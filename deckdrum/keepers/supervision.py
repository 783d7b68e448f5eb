"""What a keeper does on its own: notice a lost primary and mend the group."""

from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.databases import DatabaseState, Role
from deckdrum.failover import FailoverDriver, FailoverReport
from deckdrum.failover.driver import Handover, repoint_replica
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import VersionedRecord

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

#: How often the supervisor looks, in seconds.
SUPERVISION_INTERVAL_S: Final = 0.1
#: Silence of a primary before peers are asked, in seconds.
PRIMARY_LOST_AFTER_S: Final = 0.8
#: Failed probes in a row that must have been seen as well.
MIN_FAILED_PROBES: Final = 2
#: Time that another driver is given before its failover is taken over.
FAILOVER_TAKEOVER_DELAY_S: Final = 3.0
#: Pause after a failover that could not be driven or was vetoed, in seconds.
FAILOVER_RETRY_DELAY_S: Final = 0.5
#: Pause between two tries to hand over from a leaving primary, in seconds.
HANDOVER_RETRY_DELAY_S: Final = 10.0
_LEAVING: Final = 'the primary is leaving'
#: Time without progress of a majority behind the primary, in seconds.
REPLICATION_STALLED_AFTER_S: Final = 1.5
REPLICATION_STALLED: Final = 'no majority receives its log'
#: How long a keeper leaves its service to others, in seconds.
STEP_ASIDE_DURATION_S: Final = 3.0
#: Reports kept for ``deckdrumctl explain``.
_MAX_REPORTS: Final = 50


class Supervisor:
    """Watches over the group of one keeper.

    Parameters
    ----------
    keeper : Keeper
        The keeper.
    """

    def __init__(self, keeper: 'Keeper') -> None:
        self._keeper = keeper
        self._around = keeper.around
        self.reports: deque[FailoverReport] = deque(maxlen=_MAX_REPORTS)
        self._fencing_since: tuple[int, float] = (0, 0)
        self._silent_since: float | None = None
        self._next_handover_at: float = 0
        self._awaited_report: FailoverReport | None = None
        #: The peers' answer, asked for at the first failure.
        self._peer_check: Any = None
        #: Offset that a majority holds, and since when it is the same.
        self._held: int | None = None
        self._held_since: float = 0
        #: Version of the record, and since when it is known.
        self._known: tuple[int, float] = (0, 0)

    async def run(self) -> None:
        """Look after the group for ever."""
        while True:
            self._keeper.adopt_record()
            pause = await self._supervise_once()
            await self._wait_for_change(pause)

    async def _wait_for_change(self, pause: float) -> None:
        """Rest until the platform's objects change, or for `pause` seconds."""
        changed = self._around.view.changed
        async with curio.ignore_after(pause):
            async with changed:
                await changed.wait()

    async def _supervise_once(self) -> float:
        held = self._around.view.records.get(self._keeper.service.name)
        if held is None:
            return await self._create_record()
        if held.record.phase is Phase.FENCING:
            return await self._check_fencing(held)
        await self._record_learned(held)
        reason = await self._find_failure(held)
        if reason:
            return await self._replace(held, reason)
        if await self._should_hand_over(held.record):
            return await self._replace(held, _LEAVING, self._plan_handover())
        await self._mend(held.record)
        return SUPERVISION_INTERVAL_S

    async def _create_record(self) -> float:
        """Write the first record of a group, from what its databases say."""
        states = self._read_states()
        leading = [
            (state.term, name)
            for name, state in states.items()
            if state.role is Role.PRIMARY
        ]
        is_known = self._around.view.is_reachable
        if (
            not leading
            or not is_known
            or len(states) < self._keeper.watch.majority
        ):
            return SUPERVISION_INTERVAL_S
        term, primary = max(leading)
        record = GroupRecord(
            service=self._keeper.service.name,
            term=term,
            primary=primary,
            phase=Phase.SETTLED,
            operation=f'first-{self._around.proxy}',
            driver=self._around.proxy,
        )
        try:
            await self._around.view.put_record(record, 0)
        except StoreError:
            return FAILOVER_RETRY_DELAY_S
        return SUPERVISION_INTERVAL_S

    def _read_states(self) -> dict[str, DatabaseState]:
        states = {}
        for name in self._keeper.databases:
            state = self._keeper.watch.read_state(name)
            if state is not None:
                states[name] = state
        return states

    async def _check_fencing(self, held: VersionedRecord) -> float:
        """Take a failover over if its driver seems to be gone."""
        now = await curio.clock()
        term, since = self._fencing_since
        if term != held.record.term:
            self._fencing_since = (held.record.term, now)
            return SUPERVISION_INTERVAL_S
        is_own = held.record.driver == self._around.proxy
        patience = (
            FAILOVER_RETRY_DELAY_S if is_own else FAILOVER_TAKEOVER_DELAY_S
        )
        if now - since < patience:
            return SUPERVISION_INTERVAL_S
        return await self._replace(held, 'the driver did not finish')

    async def _find_failure(self, held: VersionedRecord) -> str:
        """Return why the primary counts as lost, or nothing."""
        record = held.record
        watcher = self._keeper.watch.watchers.get(record.primary)
        if watcher is None:
            return 'the primary was taken out of the configuration'
        now = await curio.clock()
        if self._known[0] != held.version:
            self._known = (held.version, now)
            self._silent_since = None
        state = self._keeper.watch.read_state(record.primary)
        if state is not None and watcher.sample is not None:
            self._silent_since = None
            self._peer_check = None
            # An answer from before the promotion says nothing against it.
            if watcher.sample.started_at < self._known[1]:
                return ''
            fault = _check_primary_state(state, record.term)
            return fault or self._check_progress(record, state, now)
        if not watcher.failures:
            return ''
        if self._silent_since is None:
            # The silence began with the last probe that was answered.
            sample = watcher.sample
            last = sample.started_at if sample else now
            self._silent_since = max(last, self._known[1])
            await self._start_peer_check(record)
        is_long = now - self._silent_since >= PRIMARY_LOST_AFTER_S
        if not is_long or watcher.failures < MIN_FAILED_PROBES:
            return ''
        return 'the primary does not answer'

    def _check_progress(
        self,
        record: GroupRecord,
        primary: DatabaseState,
        now: float,
    ) -> str:
        """Return why a primary that answers gets nothing confirmed.

        Its log no longer reaches a majority, although this proxy reaches
        one: it is cut off from the other databases.
        """
        others = [
            state
            for name, state in self._read_states().items()
            if name != record.primary and state.is_in_term(record.term)
        ]
        needed = self._keeper.watch.majority - 1
        ranked = sorted((state.received for state in others), reverse=True)
        held = ranked[needed - 1] if 0 < needed <= len(ranked) else None
        is_behind = held is not None and held < primary.received
        if not is_behind or held != self._held:
            self._held = held
            self._held_since = now
            return ''
        can_go_on = len(others) >= self._keeper.watch.majority
        is_stalled = now - self._held_since >= REPLICATION_STALLED_AFTER_S
        return REPLICATION_STALLED if is_stalled and can_go_on else ''

    async def _should_hand_over(self, record: GroupRecord) -> bool:
        """Tell whether the primary leaves and another can take its place."""
        states = self._read_states()
        leaving = self._list_leaving(states)
        if record.primary not in leaving:
            return False
        staying = [
            name
            for name, state in states.items()
            if name not in leaving and state.is_in_term(record.term)
        ]
        now: float = await curio.clock()
        if not staying or now < self._next_handover_at:
            return False
        # If no successor catches up, the old primary leads on for a while.
        self._next_handover_at = now + HANDOVER_RETRY_DELAY_S
        return True

    def _list_leaving(self, states: Mapping[str, DatabaseState]) -> set[str]:
        own = {name for name, state in states.items() if state.leaving}
        return own | self._keeper.router.leaving

    def _plan_handover(self) -> Handover:
        leaving = frozenset(self._list_leaving(self._read_states()))
        return Handover(partial(self._has_successor, leaving), leaving)

    def _has_successor(self, leaving: frozenset[str], end: int) -> bool:
        """Tell whether a database that is to stay has received `end`."""
        return any(
            state.received >= end
            for name, state in self._read_states().items()
            if name not in leaving
        )

    async def _replace(
        self,
        held: VersionedRecord,
        reason: str,
        handover: Handover | None = None,
    ) -> float:
        report = FailoverReport(
            held.record.service,
            held.record.term + 1,
            self._around.proxy,
            held.record.primary,
            reason,
        )
        report.phases['last answer'] = self._silent_since or await curio.clock()
        report.phases['detect'] = await curio.clock()
        if held.record.phase is Phase.SETTLED and self._silent_since:
            if await self._is_reached_by_peer(held.record):
                # Only this proxy's link is bad: no reason to promote.
                self._keeper.count('failover.vetoed')
                await self._step_aside()
                return FAILOVER_RETRY_DELAY_S
        report.phases['decide'] = await curio.clock()
        driver = FailoverDriver(
            self._keeper.databases,
            self._around.view,
            self._around.proxy,
            self._around.journal,
            self._around.randomness,
        )
        if reason == REPLICATION_STALLED:
            # Whatever it holds beyond the others is not confirmed.
            report.excluded = held.record.primary
        is_settled = await driver.run_failover(held, report, handover)
        self._keeper.adopt_record()
        if not is_settled:
            return FAILOVER_RETRY_DELAY_S
        self._keeper.count('failover.settled')
        self._silent_since = None
        self.reports.append(report)
        self._awaited_report = report
        return SUPERVISION_INTERVAL_S

    async def _start_peer_check(self, record: GroupRecord) -> None:
        """Ask peers at the first failure, so that their answer is there."""
        self._peer_check = await curio.spawn(
            self._around.ask_peers,
            record.service,
            record.primary,
            daemon=True,
        )

    async def _is_reached_by_peer(self, record: GroupRecord) -> bool:
        """Tell whether a peer reaches the primary.

        An early "no" counts; an early "yes" may rest on an answer from just
        before the loss, so it is asked for again.
        """
        early = self._peer_check
        self._peer_check = None
        if early is not None and not await early.join():
            return False
        reached = await self._around.ask_peers(record.service, record.primary)
        return bool(reached)

    async def _step_aside(self) -> None:
        """Leave the service to a proxy that reaches the primary."""
        now: float = await curio.clock()
        if now >= self._keeper.unavailable_until:
            self._around.journal.record(
                'keeper.steps_aside',
                service=self._keeper.service.name,
            )
        self._keeper.unavailable_until = now + STEP_ASIDE_DURATION_S

    async def _record_learned(self, held: VersionedRecord) -> None:
        """Note when the new primary was first seen to lead."""
        report = self._awaited_report
        if report is None or report.term != held.record.term:
            return
        state = self._keeper.watch.read_state(report.promoted)
        if state is not None and state.is_in_term(report.term):
            report.phases['learn'] = await curio.clock()
            self._awaited_report = None

    async def _mend(self, record: GroupRecord) -> None:
        """Have databases that follow another term follow this one."""
        for name, state in self._read_states().items():
            if name == record.primary or state.is_in_term(record.term):
                continue
            if state.fenced > record.term:
                continue
            database = self._keeper.databases[name]
            if await repoint_replica(database, record.primary, record.term):
                self._around.journal.record(
                    'database.follows',
                    database=name,
                    term=record.term,
                )


def _check_primary_state(state: DatabaseState, term: int) -> str:
    """Return why a primary that answers cannot lead, or nothing."""
    if state.fenced > term:
        return f'the primary is fenced at term {state.fenced}'
    if state.role is not Role.PRIMARY or state.term != term:
        return f'the database is a {state.role} of term {state.term}'
    return ''
