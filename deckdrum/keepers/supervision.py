"""What a keeper does on its own: notice a lost primary and mend the group."""

from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import curio

from deckdrum.databases import DatabaseState, Role
from deckdrum.failover import FailoverDriver, FailoverReport
from deckdrum.failover.driver import Handover, direct_follower
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import VersionedRecord

if TYPE_CHECKING:
    from deckdrum.keepers.core import Keeper

#: How often the supervisor looks, in seconds.
ROUND: Final = 0.1
#: Silence of a primary before peers are asked, in seconds.
DETECT_AFTER: Final = 0.8
#: Failed probes in a row that must have been seen as well.
DETECT_FAILURES: Final = 2
#: Time that another driver is given before its failover is taken over.
TAKEOVER_AFTER: Final = 3.0
#: Pause after a failover that could not be driven or was vetoed, in seconds.
RETRY_AFTER: Final = 0.5
#: Pause between two tries to hand over from a leaving primary, in seconds.
HAND_OVER_AGAIN: Final = 10.0
_LEAVING: Final = 'the primary is leaving'
#: Time without progress of a majority behind the primary, in seconds.
STALLED_AFTER: Final = 1.5
STALLED: Final = 'no majority receives its log'
#: How long a keeper leaves its service to others, in seconds.
UNFIT_TIME: Final = 3.0
#: Reports kept for ``deckdrumctl explain``.
_REPORTS: Final = 50


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
        self.reports: deque[FailoverReport] = deque(maxlen=_REPORTS)
        self._fencing_since: tuple[int, float] = (0, 0)
        self._silent_since: float | None = None
        self._hand_over_after: float = 0
        self._learned: FailoverReport | None = None
        #: The peers' answer, asked for at the first failure.
        self._opinion: Any = None
        #: Offset that a majority holds, and since when it is the same.
        self._held: int | None = None
        self._held_since: float = 0
        #: Version of the record, and since when it is known.
        self._known: tuple[int, float] = (0, 0)

    async def run(self) -> None:
        """Look after the group for ever."""
        while True:
            self._keeper.adopt_record()
            pause = await self._look()
            await self._rest(pause)

    async def _rest(self, pause: float) -> None:
        """Rest until the platform's objects change, or for `pause` seconds."""
        changed = self._around.view.changed
        async with curio.ignore_after(pause):
            async with changed:
                await changed.wait()

    async def _look(self) -> float:
        held = self._around.view.records.get(self._keeper.service.name)
        if held is None:
            return await self._create_record()
        if held.record.phase is Phase.FENCING:
            return await self._look_at_fencing(held)
        await self._note_learned(held)
        reason = await self._find_loss(held)
        if reason:
            return await self._replace(held, reason)
        if await self._should_hand_over(held.record):
            return await self._replace(held, _LEAVING, self._plan_handover())
        await self._mend(held.record)
        return ROUND

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
            return ROUND
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
            return RETRY_AFTER
        return ROUND

    def _read_states(self) -> dict[str, DatabaseState]:
        states = {}
        for name in self._keeper.databases:
            state = self._keeper.watch.read_state(name)
            if state is not None:
                states[name] = state
        return states

    async def _look_at_fencing(self, held: VersionedRecord) -> float:
        """Take a failover over if its driver seems to be gone."""
        now = await curio.clock()
        term, since = self._fencing_since
        if term != held.record.term:
            self._fencing_since = (held.record.term, now)
            return ROUND
        is_own = held.record.driver == self._around.proxy
        patience = RETRY_AFTER if is_own else TAKEOVER_AFTER
        if now - since < patience:
            return ROUND
        return await self._replace(held, 'the driver did not finish')

    async def _find_loss(self, held: VersionedRecord) -> str:
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
            self._opinion = None
            # An answer from before the promotion says nothing against it.
            if watcher.sample.started_at < self._known[1]:
                return ''
            fault = _judge_answer(state, record.term)
            return fault or self._judge_progress(record, state, now)
        if not watcher.failures:
            return ''
        if self._silent_since is None:
            # The silence began with the last probe that was answered.
            sample = watcher.sample
            last = sample.started_at if sample else now
            self._silent_since = max(last, self._known[1])
            await self._ask_early(record)
        is_long = now - self._silent_since >= DETECT_AFTER
        if not is_long or watcher.failures < DETECT_FAILURES:
            return ''
        return 'the primary does not answer'

    def _judge_progress(
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
            if name != record.primary and state.takes_part(record.term)
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
        is_stalled = now - self._held_since >= STALLED_AFTER
        return STALLED if is_stalled and can_go_on else ''

    async def _should_hand_over(self, record: GroupRecord) -> bool:
        """Tell whether the primary leaves and another can take its place."""
        states = self._read_states()
        leaving = self._list_leaving(states)
        if record.primary not in leaving:
            return False
        staying = [
            name
            for name, state in states.items()
            if name not in leaving and state.takes_part(record.term)
        ]
        now: float = await curio.clock()
        if not staying or now < self._hand_over_after:
            return False
        # If no successor catches up, the old primary leads on for a while.
        self._hand_over_after = now + HAND_OVER_AGAIN
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
            if await self._hear_peers(held.record):
                # Only this proxy's link is bad: no reason to promote.
                self._keeper.count('failover.vetoed')
                await self._step_aside()
                return RETRY_AFTER
        report.phases['decide'] = await curio.clock()
        driver = FailoverDriver(
            self._keeper.databases,
            self._around.view,
            self._around.proxy,
            self._around.journal,
            self._around.randomness,
        )
        if reason == STALLED:
            # Whatever it holds beyond the others is not confirmed.
            report.excluded = held.record.primary
        is_settled = await driver.drive(held, report, handover)
        self._keeper.adopt_record()
        if not is_settled:
            return RETRY_AFTER
        self._keeper.count('failover.settled')
        self._silent_since = None
        self.reports.append(report)
        self._learned = report
        return ROUND

    async def _ask_early(self, record: GroupRecord) -> None:
        """Ask peers at the first failure, so that their answer is there."""
        self._opinion = await curio.spawn(
            self._around.ask_peers,
            record.service,
            record.primary,
            daemon=True,
        )

    async def _hear_peers(self, record: GroupRecord) -> bool:
        """Tell whether a peer reaches the primary.

        An early "no" counts; an early "yes" may rest on an answer from just
        before the loss, so it is asked for again.
        """
        early = self._opinion
        self._opinion = None
        if early is not None and not await early.join():
            return False
        reached = await self._around.ask_peers(record.service, record.primary)
        return bool(reached)

    async def _step_aside(self) -> None:
        """Leave the service to a proxy that reaches the primary."""
        now: float = await curio.clock()
        if now >= self._keeper.unfit_until:
            self._around.journal.record(
                'keeper.steps_aside',
                service=self._keeper.service.name,
            )
        self._keeper.unfit_until = now + UNFIT_TIME

    async def _note_learned(self, held: VersionedRecord) -> None:
        """Note when the new primary was first seen to lead."""
        report = self._learned
        if report is None or report.term != held.record.term:
            return
        state = self._keeper.watch.read_state(report.promoted)
        if state is not None and state.takes_part(report.term):
            report.phases['learn'] = await curio.clock()
            self._learned = None

    async def _mend(self, record: GroupRecord) -> None:
        """Have databases that follow another term follow this one."""
        for name, state in self._read_states().items():
            if name == record.primary or state.takes_part(record.term):
                continue
            if state.fenced > record.term:
                continue
            database = self._keeper.databases[name]
            if await direct_follower(database, record.primary, record.term):
                self._around.journal.record(
                    'database.follows',
                    database=name,
                    term=record.term,
                )


def _judge_answer(state: DatabaseState, term: int) -> str:
    """Return why a primary that answers cannot lead, or nothing."""
    if state.fenced > term:
        return f'the primary is fenced at term {state.fenced}'
    if state.role is not Role.PRIMARY or state.term != term:
        return f'the database is a {state.role} of term {state.term}'
    return ''
