"""The steps by which a group gets another primary.

1. *claim*: a conditional update of the group's record names this node as the
   driver; the record's new revision is the fence, so fences only rise.
2. *end the term*: every node is told to stop using the primary.  A node that
   confirms, or whose process does not run, holds no proof any more.
3. *step down*: a primary that still answers takes no more changes, and a
   successor catches up with it.
4. *hold*: the replicas stop to receive, so that no node finds new proof and
   their positions stand still.
5. *wait* until old proof has run out, unless every node has confirmed.
6. *promote* the furthest, and *settle* the record.

A driver that dies leaves a claimed record; another node takes it over.
"""

import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.control import ControlStore, ControlView, Entry, Kind
from deckdrum.fleet.detours import DetourDialer
from deckdrum.fleet.nodes import NodePeers
from deckdrum.fleet.questions import (
    EndTerm,
    TermEnded,
)
from deckdrum.leadership.belief import VALIDITY
from deckdrum.leadership.duty import (
    PromotionDuty,
    PromotionOrder,
    PromotionOutcome,
)
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime
from deckdrum.sessions import Position
from deckdrum.store.objects import Stored
from deckdrum.store.records import GroupRecord, Phase

#: How long a claim may be used to promote, in seconds.  Another node takes a
#: claim over only after `TAKE_OVER_AFTER`, so that two never promote at once.
CLAIM_TIME: Final = 3.5
TAKE_OVER_AFTER: Final = 5.0
#: Longest wait for the nodes to confirm that they have stopped, in seconds;
#: above a round trip between data centres and one statement under way.
END_TERM_LIMIT: Final = 0.3
#: Longest wait for a successor to catch up with a planned change, in seconds.
CATCH_UP_LIMIT: Final = 1.5
#: Longest wait for enough replicas to hold, in seconds; after it a group
#: without synchronous replicas goes on with those that there are.
HOLD_LIMIT: Final = 1.2
#: Pause between two rounds of questions, in seconds.
ROUND_PAUSE: Final = 0.03
#: Longest wait for the platform's answer to a promotion, in seconds.
ORDER_LIMIT: Final = 0.6
#: Longest wait for a promoted server to lead, in seconds; a promotion takes
#: 0.3 to 0.6 s.
LEAD_LIMIT: Final = 2.0
#: Time between a promotion without an answer and its repetition, in seconds.
REPEAT_AFTER: Final = 0.9
_OPERATION_BITS: Final = 128


@dataclass(slots=True)
class ChangeReport:
    """One change of primary.

    `takes_over` tells that another node has left it undone; `phases` maps
    steps to their end, in seconds.
    """

    service: str
    former: str
    reason: str
    is_planned: bool
    takes_over: bool = False
    term: int = 0
    promoted: str = ''
    phases: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Consent:
    """Which nodes have stopped to use a term; dead processes count.

    Without most of them nothing is changed: nodes that all agree that a
    term goes on must include one that has consented to its end.
    """

    has_most: bool
    is_unanimous: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to change a group's primary.

    `fence` is the revision of the claimed record; `sent_at` is when the
    claim was sent, in kernel seconds.
    """

    record: GroupRecord
    fence: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class ChangeTools:
    """What a node provides to those who watch and change its primaries.

    Attributes
    ----------
    node : str
        Name of the node.
    view : ControlView
        What it knows of the store.
    store : ControlStore
        Where claims are made.
    duty : PromotionDuty
        The platform's call.
    peers : NodePeers
        The other nodes.
    dialer : DetourDialer
        Takes the detours that are found.
    randomness : random.Random
        Source of operation ids.
    """

    node: str
    view: ControlView
    store: ControlStore
    duty: PromotionDuty
    peers: NodePeers
    dialer: DetourDialer
    randomness: Random


class Promotion:
    """Gives one group another primary.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    tools : ChangeTools
        What the node provides.
    """

    def __init__(self, runtime: ServiceRuntime, tools: ChangeTools) -> None:
        self._runtime = runtime
        self._tools = tools

    async def drive(self, report: ChangeReport) -> bool:
        """Change the primary; tell whether the group has one afterwards."""
        if self._runtime.is_changing:
            return False
        self._runtime.is_changing = True
        try:
            return await self._drive(report)
        finally:
            self._runtime.is_changing = False

    async def mend(self) -> None:
        """Have every server follow the present term."""
        if not self._runtime.belief.has_primary:
            return
        # At once: a server that is silent must not keep others waiting.
        async with curio.TaskGroup() as mending:
            for handle in self._runtime.replicas:
                await mending.spawn(self._mend_one, handle)

    async def _drive(self, report: ChangeReport) -> bool:
        claim = await self._claim(report)
        if claim is None:
            return False
        await self._note(report, 'claim')
        was_ordered = False
        try:
            leader = await self._prepare(report, claim)
            if leader is None:
                return await self._give_up(report, claim)
            was_ordered = True
            promoted = await self._promote(report, claim, leader)
        except StoreError as error:
            self._log('leadership.change_failed', report, str(error))
            return False
        if promoted is None:
            self._log('leadership.change_failed', report, 'nobody leads')
            return False if was_ordered else await self._give_up(report, claim)
        await self._settle(report, claim, promoted)
        await self.mend()
        self._log('leadership.changed', report, report.reason)
        return True

    async def _mend_one(self, handle: ServerHandle) -> None:
        """Have one server follow the present term."""
        term = self._runtime.belief.term
        status = await self._runtime.ask(handle)
        if status is None:
            return
        if status.role is ServerRole.PRIMARY and status.term < term:
            await handle.instruct('step_down', term)
        elif status.held_term:
            await handle.instruct('release_hold')

    async def _claim(self, report: ChangeReport) -> Claim | None:
        """Claim the change of the group; None if another node was first."""
        known = self._tools.view.find_leadership(self._runtime.name)
        if self._is_outdated(report):
            self._log('leadership.change_outdated', report, report.reason)
            return None
        belief = self._runtime.belief
        sent_at = await curio.clock()
        term = max(belief.term, belief.ended_term) + 1
        if known is not None and known[1].phase is Phase.FENCING:
            term = max(term, known[1].term)
        number = self._tools.randomness.getrandbits(_OPERATION_BITS)
        record = GroupRecord(
            service=self._runtime.name,
            term=term,
            primary='',
            phase=Phase.FENCING,
            operation=str(uuid.UUID(int=number)),
            driver=self._tools.node,
            former=report.former,
        )
        revision = await self._put(record, known[0] if known else 0)
        if revision is None:
            return None
        report.term = term
        return Claim(record, revision, sent_at)

    def _is_outdated(self, report: ChangeReport) -> bool:
        """Tell whether the primary was changed, or is, since the decision."""
        belief = self._runtime.belief
        if belief.has_primary and belief.primary != report.former:
            return True
        known = self._tools.view.find_leadership(self._runtime.name)
        if known is None:
            return False
        record = known[1]
        if record.phase is Phase.FENCING:
            return not report.takes_over
        return record.primary != report.former

    async def _put(self, record: GroupRecord, revision: int) -> int | None:
        """Store a record conditionally; return its new revision if done."""
        name = self._runtime.name
        try:
            outcome = await self._tools.store.put(
                Kind.LEADERSHIP,
                name,
                record,
                revision,
            )
        except StoreError as error:
            self._runtime.journal.record(
                'leadership.store_silent',
                service=name,
                reason=str(error),
            )
            return await self._read_back(record)
        if not isinstance(outcome, Stored):
            return await self._read_back(record)
        entry = Entry(name, outcome.version, record)
        await self._tools.view.adopt_entry(Kind.LEADERSHIP, entry)
        return outcome.version

    async def _read_back(self, record: GroupRecord) -> int | None:
        """Tell whether an update without an answer took effect."""
        try:
            entry = await self._tools.store.fetch(
                Kind.LEADERSHIP, self._runtime.name
            )
        except StoreError:
            # Whoever reads the store later sees what became of it.
            return None
        if entry is None:
            return None
        await self._tools.view.adopt_entry(Kind.LEADERSHIP, entry)
        return entry.revision if entry.record == record else None

    async def _prepare(
        self,
        report: ChangeReport,
        claim: Claim,
    ) -> list[ServerHandle] | None:
        """End the old term safely; return who may lead, the best first."""
        term = claim.record.term
        consent = await self._end_term(term - 1, report.is_planned)
        await self._note(report, 'end term')
        if not consent.has_most:
            return None
        all_ended = consent.is_unanimous
        final = None
        former = self._runtime.servers.get(report.former)
        if former is not None and report.is_planned:
            status = await former.instruct('step_down', term)
            final = None if status is None else status.received
            await self._catch_up(final, report.former)
            await self._note(report, 'step down')
        held = await self._hold(term, report.former)
        held_at = await curio.clock()
        await self._note(report, 'hold')
        if held is None:
            return None
        if not all_ended:
            await curio.sleep(VALIDITY)
            await self._note(report, 'wait')
        if former is not None and final is None:
            # It may have come to life meanwhile; a promotion ends its term.
            await former.instruct('step_down', term, limit=ROUND_PAUSE)
        self._log(
            'leadership.prepared',
            report,
            f'{len(held)} hold, all ended: {all_ended}, '
            f'{await curio.clock() - held_at:.3f} s waited',
        )
        return rank_successors(self._runtime, held, report.former)

    async def _end_term(self, term: int, is_planned: bool) -> Consent:
        """Tell every node to stop; return how many have."""
        await self._runtime.belief.end_term(term, 'this node changes it')
        question = EndTerm(self._runtime.name, term, is_planned)
        own = await curio.spawn(
            self._runtime.close_term,
            term,
            is_planned,
            daemon=True,
        )
        answers = await self._tools.peers.ask_all(question, END_TERM_LIMIT)
        await own.join()
        silent = [
            name
            for name, answer in answers.items()
            if not isinstance(answer, TermEnded | ConnectionRefusedError)
        ]
        if silent:
            self._runtime.journal.record(
                'leadership.nodes_silent',
                service=self._runtime.name,
                term=term,
                nodes=silent[:8],
                count=len(silent),
            )
        # This node counts as one that has stopped.
        stopped = len(answers) - len(silent) + 1
        has_most = stopped * 2 > len(answers) + 1
        # A node that is gone may run on, cut off: its proof must run out.
        is_heard = not silent and not self._tools.peers.has_gone
        is_unanimous = is_heard and self._tools.view.is_fed
        return Consent(has_most, is_unanimous)

    async def _catch_up(self, final: Position | None, former: str) -> None:
        """Wait until a successor has received all that was acknowledged."""
        if final is None:
            return
        async with curio.ignore_after(CATCH_UP_LIMIT):
            while not await self._has_caught_up(final, former):
                await curio.sleep(ROUND_PAUSE)

    async def _has_caught_up(self, final: Position, former: str) -> bool:
        """Tell whether a server that is to stay has received `final`."""
        for handle in list(self._runtime.servers.values()):
            if handle.id == former or handle.server.is_draining:
                continue
            status = await handle.ask_status()
            if status is not None and status.received >= final:
                return True
        return False

    async def _hold(
        self,
        term: int,
        former: str,
    ) -> dict[str, ServerStatus] | None:
        """Have the replicas hold; return their states, None if too few."""
        replicas = [
            handle
            for name, handle in self._runtime.servers.items()
            if name != former
        ]
        held: dict[str, ServerStatus] = {}
        needed = self._count_needed()
        async with curio.ignore_after(HOLD_LIMIT):
            while len(held) < len(replicas):
                await _hold_each(replicas, term, held)
                if len(held) >= needed and len(held) + 1 >= len(replicas):
                    break
                missing = [each for each in replicas if each.id not in held]
                is_dead = all(each.is_refusing for each in missing)
                if held and is_dead and self._may_go_on(held):
                    break
                await curio.sleep(ROUND_PAUSE)
        if len(held) >= needed or (held and self._may_go_on(held)):
            return held
        return None

    def _count_needed(self) -> int:
        """Return how many replicas must hold.

        Enough that no node finds proof of the old term, and that one of
        them has each change that a synchronous replica has received.
        """
        belief = self._runtime.belief
        replicas = len(self._runtime.servers) - 1
        synchronous = self._runtime.declaration.synchronous_replicas
        if not synchronous:
            return belief.holds_needed
        return max(belief.holds_needed, replicas - synchronous + 1)

    def _may_go_on(self, held: dict[str, ServerStatus]) -> bool:
        """Tell whether fewer holds than needed will do, after a wait.

        A change that was acknowledged by synchronous replicas must not be
        missing; without them a server that is gone for good must not keep
        the group without a primary.
        """
        return bool(held) and not (
            self._runtime.declaration.synchronous_replicas
        )

    async def _promote(
        self,
        report: ChangeReport,
        claim: Claim,
        successors: Iterable[ServerHandle],
    ) -> str | None:
        """Promote the first successor that runs; return its id."""
        for handle in successors:
            order = PromotionOrder(
                self._runtime.name,
                handle.id,
                self._tools.node,
                claim.fence,
            )
            if await self._order(order, claim, handle):
                report.promoted = handle.id
                await self._note(report, 'promote')
                return handle.id
        return None

    async def _order(
        self,
        order: PromotionOrder,
        claim: Claim,
        handle: ServerHandle,
    ) -> bool:
        """Order a promotion until the server leads or refuses."""
        while True:
            remaining = claim.sent_at + CLAIM_TIME - await curio.clock()
            if remaining < ORDER_LIMIT:
                return False
            if self._is_overtaken(claim):
                return False
            outcome = await self._tools.duty.promote(order, ORDER_LIMIT)
            self._runtime.journal.record(
                'leadership.ordered',
                service=order.service,
                server=order.server,
                fence=order.fence,
                term=claim.record.term,
                outcome=outcome,
            )
            if outcome is PromotionOutcome.REFUSED:
                return False
            if outcome is PromotionOutcome.TURNED_AWAY:
                await curio.sleep(ROUND_PAUSE)
                continue
            is_sure = outcome is PromotionOutcome.ACCEPTED
            limit = LEAD_LIMIT if is_sure else REPEAT_AFTER
            if await self._await_lead(handle, claim.record.term, limit):
                return True
            if is_sure:
                return False

    def _is_overtaken(self, claim: Claim) -> bool:
        known = self._tools.view.find_leadership(self._runtime.name)
        return known is not None and known[0] > claim.fence

    async def _await_lead(
        self,
        handle: ServerHandle,
        term: int,
        limit: float,
    ) -> bool:
        async with curio.ignore_after(limit):
            while True:
                await self._runtime.ask(handle)
                belief = self._runtime.belief
                if belief.primary == handle.id and belief.term >= term:
                    return True
                await curio.sleep(ROUND_PAUSE)
        return False

    async def _settle(
        self,
        report: ChangeReport,
        claim: Claim,
        primary: str,
    ) -> None:
        record = GroupRecord(
            service=claim.record.service,
            term=self._runtime.belief.term,
            primary=primary,
            phase=Phase.SETTLED,
            operation=claim.record.operation,
            driver=self._tools.node,
            former=report.former,
        )
        await self._put(record, claim.fence)
        await self._note(report, 'settle')

    async def _give_up(self, report: ChangeReport, claim: Claim) -> bool:
        """Let the old term go on: nobody was told to lead the next one."""
        for handle in list(self._runtime.servers.values()):
            await handle.instruct('release_hold')
        if not report.is_planned:
            record = GroupRecord(
                service=claim.record.service,
                term=claim.record.term - 1,
                primary=report.former,
                phase=Phase.SETTLED,
                operation=claim.record.operation,
                driver=self._tools.node,
            )
            await self._put(record, claim.fence)
        self._log('leadership.change_given_up', report, report.reason)
        return False

    async def _note(self, report: ChangeReport, phase: str) -> None:
        report.phases[phase] = await curio.clock()

    def _log(self, event: str, report: ChangeReport, reason: str) -> None:
        start = min(report.phases.values(), default=0)
        self._runtime.journal.record(
            event,
            service=report.service,
            term=report.term,
            former=report.former,
            primary=report.promoted,
            planned=report.is_planned,
            reason=reason,
            phases={
                name: round(ended_at - start, 3)
                for name, ended_at in report.phases.items()
            },
        )


def rank_successors(
    runtime: ServiceRuntime,
    held: dict[str, ServerStatus],
    former: str,
) -> list[ServerHandle]:
    """Return who may lead, the best first.

    The furthest log goes first, and of equals one that is to stay.  Others
    follow only in a group whose changes need no synchronous replica.
    """
    end = max((each.received for each in held.values()), default=None)
    ranked = sorted(
        (
            handle
            for name, handle in runtime.servers.items()
            if name in held and name != former
        ),
        key=lambda handle: (
            -held[handle.id].received.term,
            -held[handle.id].received.offset,
            handle.server.is_draining,
            handle.id,
        ),
    )
    if not runtime.declaration.synchronous_replicas:
        return ranked
    return [handle for handle in ranked if held[handle.id].received == end]


async def _hold_each(
    replicas: Iterable[ServerHandle],
    term: int,
    held: dict[str, ServerStatus],
) -> None:
    async with curio.TaskGroup() as holding:
        for handle in replicas:
            if handle.id not in held:
                await holding.spawn(_hold_one, handle, term, held)


async def _hold_one(
    handle: ServerHandle,
    term: int,
    held: dict[str, ServerStatus],
) -> None:
    status = await handle.instruct('hold', term)
    if status is not None and status.held_term >= term:
        held[handle.id] = status
