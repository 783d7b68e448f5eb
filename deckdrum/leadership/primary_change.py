"""Replacing a group's primary, step by step.

1. *claim*: a conditional update of the leadership record names this node as
   the driver.  The new revision of the record is the fencing token, so tokens
   only increase.
2. *end the term*: every node is told to stop using the primary.  Only a node
   that confirms no longer has proof of the term: one that refuses connections
   may run on behind a cut.
3. *step down* (planned changes): the primary stops accepting writes, and a
   successor catches up with it.
4. *fence*: the replicas stop receiving the old primary's log, so that no node
   can get new proof and the replicas' positions are final.
5. *wait* until existing proof has expired, unless every node has confirmed.
6. *promote* the most advanced replica, if the replicas are still fenced, and
   *settle* the record.  A replica that was told to lead and is not seen to may
   lead all the same: another one is promoted only for a new claim, which ends
   that term first.

Proof of a term comes from a majority of the servers or from the store.  Once
the record is claimed and the replicas are fenced, no node can get any, even one
that the driver cannot reach.  A majority of the nodes must confirm only if too
few replicas are fenced, or if the change is planned and can be postponed.
Nothing is claimed before enough replicas or nodes have answered.

If a driver dies, another node takes over its claim.  It announces a later term,
and looks for a server that the claim before has promoted.  The terms before a
claim never resume once it is taken over, so that servers which still lead them
can be fenced as well.
"""

from collections.abc import Sequence
from typing import Final

import curio

from deckdrum.backends import ServerRole, ServerStatus
from deckdrum.fleet.messages import Heartbeat
from deckdrum.leadership.context import (
    POLL_INTERVAL_S,
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
)
from deckdrum.leadership.fencing import (
    PromotionCandidate,
    ReplicaFencing,
    rank_promotion_candidates,
)
from deckdrum.leadership.peer_observation import Leader, PeerObserver
from deckdrum.leadership.record_store import LeadershipRecordStore
from deckdrum.leadership.server_promotion import ServerPromoter
from deckdrum.leadership.state import PROOF_LIFETIME_S
from deckdrum.leadership.term_end import (
    END_TERM_TIMEOUT_S,
    TermEnd,
    TermEndVotes,
)
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.sessions import Position

#: Longest wait for a successor to catch up in a planned change.
SUCCESSOR_CATCH_UP_TIMEOUT_S: Final = 1.5


class PrimaryChanger:
    """Changes the primary of one group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    context : LeadershipContext
        Services of the node.
    """

    def __init__(
        self, runtime: ServiceRuntime, context: LeadershipContext
    ) -> None:
        self._runtime = runtime
        self._context = context
        self._records = LeadershipRecordStore(runtime, context)
        self._fencing = ReplicaFencing(runtime, context.view.left_servers)
        self._observer = PeerObserver(runtime, context.peers)
        self._term_end = TermEnd(runtime, context)
        self._promoter = ServerPromoter(runtime, context, self._records)

    async def run(self, report: PrimaryChangeReport) -> bool:
        """Change the primary; return whether it succeeded."""
        if self._runtime.is_changing_primary:
            return False
        self._runtime.is_changing_primary = True
        try:
            return await self._run_claimed(report)
        finally:
            self._runtime.is_changing_primary = False

    async def reconcile_servers(self) -> None:
        """Make every server follow the current term."""
        if not self._runtime.leadership_state.has_primary:
            return
        # Concurrently: an unresponsive server must not delay the others.
        async with curio.TaskGroup() as reconciling:
            for handle in self._runtime.replicas:
                await reconciling.spawn(self._reconcile_server, handle)

    async def _run_claimed(self, report: PrimaryChangeReport) -> bool:
        if not await self._can_succeed(report.former):
            self._log(
                'leadership.change_hopeless', report, 'too few servers answer'
            )
            return False
        claim = await self._records.claim(report)
        if claim is None:
            return False
        await report.record_phase('claim')
        try:
            prepared = await self._prepare(report, claim)
            if prepared is None:
                return await self._abandon(report, claim)
            leader = await self._order(report, claim, prepared)
        except StoreError as error:
            self._log('leadership.change_failed', report, str(error))
            return False
        if leader is None:
            self._log(
                'leadership.change_failed',
                report,
                'no candidate became primary',
            )
            return False
        await self._finish(report, claim, leader)
        return True

    async def _order(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        prepared: Leader | list[PromotionCandidate],
    ) -> Leader | None:
        """Return the new primary; order one if none is in use."""
        if not isinstance(prepared, Leader):
            return await self._promoter.promote(report, claim, prepared)
        if prepared.term >= claim.record.term:
            return prepared
        # The claim has ended its term, and a server that is not listed any more
        # may have taken over since.
        return await self._promoter.confirm(claim, prepared)

    async def _finish(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        leader: Leader,
    ) -> None:
        """Record the new primary and make the servers follow it."""
        report.promoted = leader.server
        if not self._records.is_superseded(claim):
            state = self._runtime.leadership_state
            await state.resume_term(
                leader.term,
                leader.server,
                'found leading by this node',
                claim.fencing_token,
            )
        await self._records.settle(report, claim, leader)
        await report.record_phase('settle')
        await self.reconcile_servers()
        self._log('leadership.changed', report, report.reason)

    async def _can_succeed(self, former: str) -> bool:
        """Return whether enough replicas, or enough nodes, answer now."""
        answering = await self._fencing.count_reachable_replicas(former)
        if answering >= self._fencing.required:
            return True
        answers = await self._context.peers.ask_all(
            Heartbeat(), END_TERM_TIMEOUT_S
        )
        alive = [
            answer
            for answer in answers.values()
            if isinstance(answer, Heartbeat)
        ]
        # Plus one for this node.
        registered = self._context.peers.count_registered()
        return answering > 0 and (len(alive) + 1) * 2 > registered

    async def _reconcile_server(self, handle: ServerHandle) -> None:
        """Make one server follow the current term."""
        term = self._runtime.leadership_state.term
        status = await self._runtime.query_server(handle)
        if status is None:
            return
        if status.role is ServerRole.PRIMARY and status.term < term:
            await handle.execute_command('step_down', term)
        elif status.fenced_term:
            await handle.execute_command('release_hold')

    async def _prepare(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
    ) -> list[PromotionCandidate] | Leader | None:
        """End the old term safely; return the candidates, the best first.

        A server that leads already is returned instead.
        """
        term = claim.record.term
        former = self._runtime.servers.get(report.former)
        ended = await self._stop_old_term(report, claim)
        if ended is None or isinstance(ended, Leader):
            return ended
        fenced, votes = ended
        fenced_at = await curio.clock()
        all_ended = await self._term_end.has_ended_everywhere(votes)
        if not all_ended:
            unfenced = self._fencing.list_unfenced(fenced, report.former)
            asking = await curio.spawn(self._ask_for_leader, claim, unfenced)
            await curio.sleep(PROOF_LIFETIME_S)
            await report.record_phase('wait')
            leader: Leader | None = await asking.join()
            if leader is not None:
                return leader
        if not await self._fencing.are_still_fenced(fenced, term):
            # A replica that restarted may have given proof of the old term.
            report.failure_detail = (
                f'no longer fenced: {self._fencing.describe()}'
            )
            return None
        self._log(
            'leadership.prepared',
            report,
            f'{len(fenced)} fenced, all ended: {all_ended}, '
            f'{await curio.clock() - fenced_at:.3f} s waited',
        )
        candidates = rank_promotion_candidates(
            self._runtime, fenced, report.former
        )
        if not candidates:
            report.failure_detail = (
                f'no replica has the complete log: {self._fencing.describe()}'
            )
            return None
        if former is not None:
            # It may be reachable again; the promotion ends its term.
            await former.execute_command(
                'step_down', term, timeout=POLL_INTERVAL_S
            )
        return candidates

    async def _stop_old_term(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
    ) -> tuple[dict[str, ServerStatus], TermEndVotes] | Leader | None:
        """End the old term at nodes, primary and replicas.

        Returns the fenced replicas and the votes; None if they are too few, or
        a server that leads already.
        """
        term = claim.record.term
        ending = await curio.spawn(self._term_end.ask_nodes, report, claim)
        if report.is_planned:
            planned: TermEndVotes = await ending.join()
            if planned.leader is not None:
                return planned.leader
            if not planned.has_majority:
                report.failure_detail = (
                    'no majority of the nodes has ended the term'
                )
                return None
            await self._step_down(report, term)
        # An unplanned change fences at once, as nodes may be unreachable.
        fenced = await self._fencing.fence(
            term, report.former, claim.record.former_term
        )
        await report.record_phase('hold')
        votes: TermEndVotes = await ending.join()
        await report.record_phase('end term')
        unfenced = self._fencing.list_unfenced(fenced, report.former)
        leader = (
            self._find_own_leader()
            or votes.leader
            or _find_sole_leader(claim, unfenced)
        )
        if leader is not None:
            return leader
        if not await self._fencing.is_enough(fenced):
            completed = await self._complete_fencing(report, claim, fenced)
            if completed is None or isinstance(completed, Leader):
                return completed
            fenced = completed
        if len(fenced) < self._fencing.required and not votes.has_majority:
            report.failure_detail = (
                'too few replicas fenced and nodes stopped: '
                f'{self._fencing.describe()}'
            )
            return None
        return fenced, votes

    async def _complete_fencing(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        fenced: dict[str, ServerStatus],
    ) -> dict[str, ServerStatus] | Leader | None:
        """Fence more servers, or find one that leads, if too few are fenced."""
        unfenced = self._fencing.list_unfenced(fenced, report.former)
        leader = await self._ask_for_leader(claim, unfenced)
        if leader is not None:
            return leader
        if report.is_takeover:
            former_term = claim.record.former_term
            fenced = await self._fencing.fence_leftovers(
                claim.record.term, former_term, fenced
            )
            if await self._fencing.is_enough(fenced):
                return fenced
            leader = await self._fencing.find_leader(former_term, fenced)
            if leader is not None:
                return leader
        report.failure_detail = (
            f'too few replicas fenced: {self._fencing.describe()}'
        )
        return None

    def _find_own_leader(self) -> Leader | None:
        """Return the primary of the claimed term that this node has found."""
        state = self._runtime.leadership_state
        if not state.has_primary:
            return None
        return Leader(state.primary, state.term)

    async def _ask_for_leader(
        self, claim: LeadershipClaim, unfenced: Sequence[ServerHandle]
    ) -> Leader | None:
        """Return the only unfenced server if peers see it lead.

        An earlier claim may have promoted it, and this claim ended its term.
        As all others are fenced, it need not be replaced.
        """
        if len(unfenced) != 1:
            return None
        server = unfenced[0].id
        term = await self._observer.ask_led_term(server)
        is_later = term > claim.record.former_term
        return Leader(server, term) if is_later else None

    async def _step_down(
        self,
        report: PrimaryChangeReport,
        term: int,
    ) -> None:
        """Make a primary step down, and let a successor catch up."""
        former = self._runtime.servers.get(report.former)
        if former is None:
            return
        report.step_down_requested = True
        status = await former.execute_command('step_down', term)
        final = None if status is None else status.received
        self._fencing.final = final
        await self._catch_up(final, former.id)
        await report.record_phase('step down')

    async def _catch_up(self, final: Position | None, former: str) -> None:
        """Wait until a successor has received all acknowledged writes."""
        if final is None:
            return
        async with curio.ignore_after(SUCCESSOR_CATCH_UP_TIMEOUT_S):
            while not await self._has_caught_up(final, former):
                await curio.sleep(POLL_INTERVAL_S)

    async def _has_caught_up(self, final: Position, former: str) -> bool:
        """Return whether a server that is not draining has received `final`."""
        for handle in list(self._runtime.servers.values()):
            if handle.id == former or handle.server.is_draining:
                continue
            status = await handle.query_status()
            if status is not None and status.received >= final:
                return True
        return False

    async def _abandon(
        self, report: PrimaryChangeReport, claim: LeadershipClaim
    ) -> bool:
        """Release the fences; resume the old term if nothing was promoted."""
        if self._records.is_superseded(claim):
            # The fences are those of a later claim now.
            return False
        for handle in list(self._runtime.servers.values()):
            await handle.execute_command('release_hold')
        # An earlier claim may have promoted a server that is not seen here, or
        # not even listed.
        if not report.is_takeover and not report.step_down_requested:
            await self._records.revert(report, claim)
        else:
            await self._records.release(claim)
        self._log('leadership.change_given_up', report, report.reason)
        return False

    def _log(
        self, event: str, report: PrimaryChangeReport, reason: str
    ) -> None:
        report.log(self._runtime.journal, event, reason)


def _find_sole_leader(
    claim: LeadershipClaim, unfenced: Sequence[ServerHandle]
) -> Leader | None:
    """Return the only unfenced server if it says that it leads."""
    if len(unfenced) != 1:
        return None
    status = unfenced[0].status
    if status is None or status.role is not ServerRole.PRIMARY:
        return None
    is_later = status.term > claim.record.former_term
    return Leader(unfenced[0].id, status.term) if is_later else None
