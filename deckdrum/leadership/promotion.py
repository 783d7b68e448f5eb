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
6. *promote* the furthest, if the replicas hold still, and *settle* the record.

Proof comes from a majority of the servers, or from the store.  Once the record
is claimed and the replicas hold there is none, whoever is out of reach: so many
nodes may be cut off from the driver.  Only if fewer replicas hold than that
takes, or if the change is planned and may as well wait, most nodes consent.
Nothing is claimed, and nobody's term ends, before the replicas have answered.

A driver that dies leaves a claimed record; another node takes it over.
"""

from typing import Final

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.control import Kind
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_messages import EndTerm, TermEnded
from deckdrum.leadership.context import (
    POLL_INTERVAL_S,
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
    TermEndVotes,
)
from deckdrum.leadership.fencing import (
    ReplicaFencing,
    rank_promotion_candidates,
)
from deckdrum.leadership.orders import ServerPromoter
from deckdrum.leadership.record_store import LeadershipRecordStore
from deckdrum.leadership.state import PROOF_LIFETIME_S
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime
from deckdrum.sessions import Position

#: Longest wait for the nodes to confirm that they have stopped, in seconds;
#: above a round trip between data centres and one statement under way.
END_TERM_TIMEOUT_S: Final = 0.3
#: Longest wait for a successor to catch up with a planned change, in seconds.
SUCCESSOR_CATCH_UP_TIMEOUT_S: Final = 1.5
#: Silent nodes that a line of the log names.
MAX_LOGGED_NODES: Final = 8


class PrimaryChanger:
    """Gives one group another primary.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    tools : ChangeTools
        What the node provides.
    """

    def __init__(
        self, runtime: ServiceRuntime, tools: LeadershipContext
    ) -> None:
        self._runtime = runtime
        self._tools = tools
        self._claims = LeadershipRecordStore(runtime, tools)
        self._holds = ReplicaFencing(runtime)
        self._orders = ServerPromoter(runtime, tools, self._claims)

    async def drive(self, report: PrimaryChangeReport) -> bool:
        """Change the primary; tell whether the group has one afterwards."""
        if self._runtime.is_changing_primary:
            return False
        self._runtime.is_changing_primary = True
        try:
            return await self._drive(report)
        finally:
            self._runtime.is_changing_primary = False

    async def mend(self) -> None:
        """Have every server follow the present term."""
        if not self._runtime.leadership_state.has_primary:
            return
        # At once: a server that is silent must not keep others waiting.
        async with curio.TaskGroup() as mending:
            for handle in self._runtime.replicas:
                await mending.spawn(self._mend_one, handle)

    async def _drive(self, report: PrimaryChangeReport) -> bool:
        if not await self._may_win(report.former):
            self._log('leadership.change_hopeless', report, 'too few answer')
            return False
        claim = await self._claims.make(report)
        if claim is None:
            return False
        await report.note('claim')
        try:
            successors = await self._prepare(report, claim)
            if successors is None:
                return await self._give_up(report, claim)
            promoted = await self._orders.promote(report, claim, successors)
        except StoreError as error:
            self._log('leadership.change_failed', report, str(error))
            return False
        if promoted is None:
            self._log('leadership.change_failed', report, 'nobody leads')
            return False
        await self._claims.settle(report, claim, promoted)
        await report.note('settle')
        await self.mend()
        self._log('leadership.changed', report, report.reason)
        return True

    async def _may_win(self, former: str) -> bool:
        """Tell whether replicas enough answer now, or nodes enough."""
        answering = await self._holds.count_reachable_replicas(former)
        if answering >= self._holds.needed:
            return True
        answers = await self._tools.peers.ask_all(
            Heartbeat(), END_TERM_TIMEOUT_S
        )
        alive = [
            answer
            for answer in answers.values()
            if isinstance(answer, Heartbeat | ConnectionRefusedError)
        ]
        # This node counts as one of them.
        registered = self._tools.peers.count_registered()
        return answering > 0 and (len(alive) + 1) * 2 > registered

    async def _mend_one(self, handle: ServerHandle) -> None:
        """Have one server follow the present term."""
        term = self._runtime.leadership_state.term
        status = await self._runtime.ask(handle)
        if status is None:
            return
        if status.role is ServerRole.PRIMARY and status.term < term:
            await handle.execute_command('step_down', term)
        elif status.held_term:
            await handle.execute_command('release_hold')

    async def _prepare(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
    ) -> list[ServerHandle] | None:
        """End the old term safely; return who may lead, the best first."""
        term = claim.record.term
        former = self._runtime.servers.get(report.former)
        ready = await self._stop_term(report, claim)
        if ready is None:
            return None
        held, consent = ready
        held_at = await curio.clock()
        all_ended = await self._has_ended_everywhere(consent)
        if not all_ended:
            await curio.sleep(PROOF_LIFETIME_S)
            await report.note('wait')
        if not await self._holds.are_still_fenced(held, term):
            # One that has restarted may have given proof meanwhile.
            report.finding = f'no longer held: {self._holds.describe()}'
            return None
        if former is not None:
            # It may have come to life meanwhile; a promotion ends its term.
            await former.execute_command(
                'step_down', term, limit=POLL_INTERVAL_S
            )
        self._log(
            'leadership.prepared',
            report,
            f'{len(held)} hold, all ended: {all_ended}, '
            f'{await curio.clock() - held_at:.3f} s waited',
        )
        successors = rank_promotion_candidates(
            self._runtime, held, report.former
        )
        if not successors:
            report.finding = f'none has the log: {self._holds.describe()}'
        return successors or None

    async def _stop_term(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
    ) -> tuple[dict[str, ServerStatus], TermEndVotes] | None:
        """Have nodes, primary and replicas stop; None if that is too few.

        Returns
        -------
        tuple or None
            The replicas that hold, and the nodes that have stopped.
        """
        term = claim.record.term
        ending = await curio.spawn(self._end_term, report, claim)
        if report.is_planned:
            if not (await ending.join()).has_majority:
                report.finding = 'most nodes do not consent'
                return None
            await self._step_down(report, term)
        # Otherwise at the same time: the nodes may be out of reach.
        held = await self._holds.hold(term, report.former)
        await report.note('hold')
        consent: TermEndVotes = await ending.join()
        await report.note('end term')
        if held is None:
            report.finding = f'nobody holds: {self._holds.describe()}'
            return None
        if len(held) < self._holds.needed and not consent.has_majority:
            report.finding = f'few hold or consent: {self._holds.describe()}'
            return None
        return held, consent

    async def _step_down(
        self,
        report: PrimaryChangeReport,
        term: int,
    ) -> None:
        """Have a primary step down, and a successor catch up with it."""
        former = self._runtime.servers.get(report.former)
        if former is None:
            return
        report.step_down_requested = True
        status = await former.execute_command('step_down', term)
        final = None if status is None else status.received
        await self._catch_up(final, former.id)
        await report.note('step down')

    async def _end_term(
        self, report: PrimaryChangeReport, claim: LeadershipClaim
    ) -> TermEndVotes:
        """Tell every node to stop; return how many have."""
        term = claim.record.term - 1
        await self._runtime.leadership_state.end_term(
            term, 'this node changes it'
        )
        question = EndTerm(
            self._runtime.name,
            term,
            report.is_planned,
            claim.fence,
        )
        own = await curio.spawn(
            self._runtime.close_term,
            term,
            report.is_planned,
            claim.fence,
            daemon=True,
        )
        answers = await self._tools.peers.ask_all(question, END_TERM_TIMEOUT_S)
        await own.join()
        silent = [
            name
            for name, answer in answers.items()
            if not isinstance(answer, TermEnded | ConnectionRefusedError)
        ]
        if silent:
            self._log_silent(silent, term)
        # This node counts as one that has stopped.
        stopped = len(answers) - len(silent) + 1
        registered = self._tools.peers.count_registered()
        has_majority = stopped * 2 > registered
        # A node that is gone may run on, cut off: its proof must run out.
        is_unanimous = not silent and not self._tools.peers.has_gone_members
        asked = frozenset((self._tools.node, *answers))
        return TermEndVotes(has_majority, is_unanimous, asked)

    async def _has_ended_everywhere(self, consent: TermEndVotes) -> bool:
        """Tell whether no node has proof of the old term any more.

        Called once the replicas hold: a node that registers later finds no
        proof.  One that has registered unseen may have some.
        """
        if not consent.is_unanimous:
            return False
        view = self._tools.view
        if not await view.refresh(Kind.MEMBERS):
            return False
        return view.members.keys() <= consent.asked

    async def _catch_up(self, final: Position | None, former: str) -> None:
        """Wait until a successor has received all that was acknowledged."""
        if final is None:
            return
        async with curio.ignore_after(SUCCESSOR_CATCH_UP_TIMEOUT_S):
            while not await self._has_caught_up(final, former):
                await curio.sleep(POLL_INTERVAL_S)

    async def _has_caught_up(self, final: Position, former: str) -> bool:
        """Tell whether a server that is to stay has received `final`."""
        for handle in list(self._runtime.servers.values()):
            if handle.id == former or handle.server.is_draining:
                continue
            status = await handle.query_status()
            if status is not None and status.received >= final:
                return True
        return False

    async def _give_up(
        self, report: PrimaryChangeReport, claim: LeadershipClaim
    ) -> bool:
        """Let the old term go on: nobody was told to lead the next one."""
        for handle in list(self._runtime.servers.values()):
            await handle.execute_command('release_hold')
        if not report.step_down_requested:
            await self._claims.undo(report, claim)
        self._log('leadership.change_given_up', report, report.reason)
        return False

    def _log_silent(self, silent: list[str], term: int) -> None:
        self._runtime.journal.record(
            'leadership.nodes_silent',
            service=self._runtime.name,
            term=term,
            nodes=silent[:MAX_LOGGED_NODES],
            count=len(silent),
        )

    def _log(
        self, event: str, report: PrimaryChangeReport, reason: str
    ) -> None:
        report.log(self._runtime.journal, event, reason)
