"""Running statements with retries, until an answer or the end of the time."""

import math
from typing import Final

import curio

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Begin, Effect, Rejection, Request
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.attempts import (
    CHANGE_LOST_FACTOR,
    READ_LOST_FACTOR,
    Attempt,
    NoAnswer,
)
from deckdrum.serving.retries import (
    RETRY_BUDGET_CAPACITY,
    RetryBudget,
    RetryPolicy,
)
from deckdrum.serving.routing import Router, Target
from deckdrum.serving.runners import StartedTransaction, StatementRunner
from deckdrum.serving.searches import (
    Dispatch,
    FinishedAttempt,
    release_late_attempt,
)
from deckdrum.serving.service import ServiceRuntime
from deckdrum.serving.state import PinnedConnection, SessionState
from deckdrum.sessions import Position

#: Time kept at the end of a statement's limit for the answer to arrive, in s.
ANSWER_MARGIN_S: Final = 0.04
#: Silence of a server after which it is looked at, and a read is tried on
#: another server, in seconds; several times a usual statement (6 to 40 ms).
UNRESPONSIVE_AFTER_S: Final = 0.25
#: Part of the time after which a read is tried elsewhere although its server
#: answers others: its answer may be lost.
HEDGE_AFTER_FRACTION: Final = 0.4
#: Longest wait for a primary while another server works on a read, in s.
HEDGE_PRIMARY_TIMEOUT_S: Final = 0.02
#: Tries of one statement; more means that something is wrong beyond luck.
MAX_ATTEMPTS: Final = 12
#: Most servers that work on one read at a time.
MAX_CONCURRENT_ATTEMPTS: Final = 3


class Execution(StatementRunner):
    """Runs statements of callers on one database group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    router : Router
        Chooses its servers.
    """

    def __init__(self, runtime: ServiceRuntime, router: Router) -> None:
        self.runtime = runtime
        self._router = router
        self._policies = runtime.policies
        reserve = RETRY_BUDGET_CAPACITY
        if Policy.RETRY_BUDGET not in self._policies:
            reserve = math.inf
        self._budget = RetryBudget(reserve)
        self._retries = RetryPolicy(runtime, self._budget)

    async def run_single(
        self,
        request: Request,
        effect: Effect,
        route: Route,
        state: SessionState,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction."""
        is_read = effect is Effect.READ
        search = await self._start(request, route, state, None, is_read)
        ended = await self._run_dispatch(search, route)
        if isinstance(ended, Refusal):
            return ended
        if is_read:
            return ended[1]
        return await self.confirm_change(ended[1], ended[0].target.term, state)

    async def begin(
        self,
        request: Request,
        begin: Begin,
        route: Route,
        state: SessionState,
    ) -> StartedTransaction | Refusal:
        """Open a transaction on a server with its first statement."""
        is_read = begin.read_only
        search = await self._start(request, route, state, begin, is_read)
        ended = await self._run_dispatch(search, route)
        if isinstance(ended, Refusal):
            return ended
        target = ended[0].target
        lease = ended[0].attempt.lease
        if lease is None:
            raise BrokenInvariantError('a transaction without a connection')
        pin = PinnedConnection(
            target.handle, lease, target.term, target.is_primary
        )
        return StartedTransaction(ended[1], pin)

    async def confirm_change(
        self,
        answer: Answer,
        term: int,
        state: SessionState,
    ) -> Answer | Refusal:
        """Release the answer of a change only if its term has not ended."""
        leadership_state = self.runtime.leadership_state
        is_released = leadership_state.can_acknowledge(
            term, await curio.clock()
        )
        if not is_released and leadership_state.term == term:
            await self.runtime.renew_proof()
            is_released = leadership_state.can_acknowledge(
                term, await curio.clock()
            )
        if not is_released:
            self.runtime.counters.count('unvouched_changes')
            self.runtime.journal.record_often(
                'change.unvouched',
                service=self.runtime.name,
                term=term,
                known_term=leadership_state.term,
                ended_term=leadership_state.ended_term,
                closed_term=leadership_state.closed_term,
                proof_until=leadership_state.get_proof_expiry(),
            )
            return refuse(Code.UNCONFIRMED, f'term {term} has ended')
        state.note_change(answer)
        return answer

    def explain(self, refusal: Refusal, search: Dispatch) -> None:
        """Log why a request got no success."""
        self.runtime.journal.record_often(
            'request.refused',
            request=search.request.id,
            service=self.runtime.name,
            workspace=search.state.workspace,
            code=refusal.code,
            fate=refusal.fate,
            term=self.runtime.leadership_state.term,
            primary=self.runtime.leadership_state.primary,
            reason=search.describe(),
        )

    async def _start(
        self,
        request: Request,
        route: Route,
        state: SessionState,
        begin: Begin | None,
        is_read: bool,
    ) -> Dispatch:
        await self.runtime.set_route_share(route)
        now = await curio.clock()
        limit = route.statement_timeout - ANSWER_MARGIN_S
        # Current reads run on the primary alone.
        is_current = route.guarantee is ConsistencyGuarantee.CURRENT
        return Dispatch(
            request,
            state,
            begin,
            is_read,
            is_read and not is_current,
            now,
            now + limit,
        )

    async def _run_dispatch(
        self,
        search: Dispatch,
        route: Route,
    ) -> tuple[FinishedAttempt, Answer] | Refusal:
        """Search, and free what tries that come too late have taken."""
        try:
            return await self._dispatch_until_answered(search, route)
        finally:
            search.is_over = True
            while not search.ends.empty():
                await release_late_attempt(await search.ends.get())

    async def _dispatch_until_answered(
        self,
        search: Dispatch,
        route: Route,
    ) -> tuple[FinishedAttempt, Answer] | Refusal:
        """Try servers until one answers with success."""
        while True:
            refusal = await self._launch(search, route)
            if refusal is not None and not search.running:
                self.explain(refusal, search)
                return refusal
            ended = await self._await_result(search)
            if ended is None:
                continue
            if isinstance(ended.end, Answer):
                await self._note_success(search, ended)
                return ended, ended.end
            refusal = await self._retries.weigh(search, ended)
            if refusal is not None:
                self.explain(refusal, search)
                return refusal

    async def _launch(self, search: Dispatch, route: Route) -> Refusal | None:
        """Start one more try; return a refusal if there can be none."""
        now = await curio.clock()
        remaining = search.deadline - now
        if remaining <= 0 or search.tries >= MAX_ATTEMPTS:
            return self._retries.give_up(search, now)
        target = await self._choose(search, route, remaining)
        if target is None:
            return self._retries.give_up(search, now)
        if search.running and target.handle.id in search.excluded_servers:
            # The only server that may run it works on it already.
            return None
        if target.is_primary and target.handle.is_dark:
            # Known at once: another node may reach it, and is asked for that.
            self.runtime.report_server_failure(target.handle)
            if search.may_have_run:
                return self._retries.give_up(search, now)
            return refuse(Code.NO_PRIMARY, 'it does not answer this node')
        if target.handle.server.is_draining:
            self._log_draining_server(search, target, now)
        search.tries += 1
        # A second try beside this one goes to another server.
        search.excluded_servers.add(target.handle.id)
        if not target.is_primary:
            await curio.spawn(self._router.refresh_sample, route, daemon=True)
        attempt = Attempt(
            target.handle,
            search.state,
            search.request.operation,
            search.request.id,
            target.floor,
            search.deadline,
            search.begin,
            search.began + route.objective - target.handle.times.usual,
        )
        search.running.append(attempt)
        await curio.spawn(
            self._run_attempt, search, attempt, target, daemon=True
        )
        return None

    def _log_draining_server(
        self,
        search: Dispatch,
        target: Target,
        now: float,
    ) -> None:
        """Tell that a statement goes to a server that is to leave."""
        self.runtime.counters.count('leaving_servers_used')
        self.runtime.journal.record_often(
            'server.used_while_leaving',
            request=search.request.id,
            service=self.runtime.name,
            server=target.handle.id,
            role='primary' if target.is_primary else 'replica',
            term=target.term,
            known_for=round(now - target.handle.departure.since, 3),
        )

    async def _choose(
        self,
        search: Dispatch,
        route: Route,
        remaining: float,
    ) -> Target | None:
        if search.running:
            # The other server may answer meanwhile.
            remaining = min(remaining, HEDGE_PRIMARY_TIMEOUT_S)
        if search.is_read:
            return await self._router.choose_reader(
                route,
                search.state,
                search.excluded_servers,
                remaining,
            )
        return await self._router.choose_primary(remaining)

    async def _run_attempt(
        self,
        search: Dispatch,
        attempt: Attempt,
        target: Target,
    ) -> None:
        if target.is_primary:
            self.runtime.in_flight += 1
        try:
            end = await attempt.run()
        finally:
            if target.is_primary:
                self.runtime.in_flight -= 1
        if isinstance(end, NoAnswer):
            self.runtime.report_server_failure(attempt.handle)
        elif not isinstance(end, Refusal):
            self._note_position(attempt, target, end)
        ended = FinishedAttempt(attempt, target, end)
        if search.is_over:
            await release_late_attempt(ended)
        else:
            await search.ends.put(ended)

    def _note_position(
        self,
        attempt: Attempt,
        target: Target,
        end: Answer | Rejection,
    ) -> None:
        """Take what an answer tells of a log.

        Of the primary it is a sample, and so is a refusal for want of room: an
        overloaded primary gives no other.
        """
        if end.position is None:
            return
        if not target.is_primary:
            self._note_replica_position(target.handle.id, end.position)
            return
        if isinstance(end, Rejection) and not end.tells_position:
            return
        self.runtime.record_position(end.position, attempt.started_at)

    def _note_replica_position(self, name: str, position: Position) -> None:
        """Take where a replica's log stands as proof of the term."""
        if Policy.PROOF_FROM_READS not in self._policies:
            return
        history = self.runtime.history
        if position.term == history.term:
            since = history.find_last_seen_below(position.offset)
            self.runtime.leadership_state.record_replicated_change(
                name, position.term, since
            )

    async def _await_result(self, search: Dispatch) -> FinishedAttempt | None:
        """Return the next end of a try; None to try another server too."""
        began = await curio.clock()
        while True:
            async with curio.ignore_after(
                search.find_pause(UNRESPONSIVE_AFTER_S)
            ):
                ended: FinishedAttempt = await search.ends.get()
                search.running.remove(ended.attempt)
                return ended
            now = await curio.clock()
            await self._abandon_lost(search, now)
            if self._should_hedge(search, began, now):
                return None

    async def _abandon_lost(self, search: Dispatch, now: float) -> None:
        """Give up tries whose answers are lost; each frees a connection."""
        if Policy.LOST_ANSWERS not in self._policies:
            return
        patience = (
            READ_LOST_FACTOR if search.is_repeatable else CHANGE_LOST_FACTOR
        )
        for attempt in search.running:
            if search.is_repeatable and attempt.handle.is_dark:
                await attempt.cut()
            if not attempt.is_lost(now, patience):
                continue
            if search.is_repeatable and not self._budget.take():
                return
            self.runtime.counters.count('answers_lost')
            self.runtime.journal.record_often(
                'answer.lost',
                request=search.request.id,
                service=self.runtime.name,
                server=attempt.handle.id,
                seconds=round(now - attempt.sent_at, 3),
                patience=round(attempt.handle.times.patience, 3),
            )
            await attempt.cut()

    def _should_hedge(
        self,
        search: Dispatch,
        began: float,
        now: float,
    ) -> bool:
        """Look at silent servers; tell whether to hedge a read."""
        silent = [
            handle
            for handle in self.runtime.servers.values()
            if handle.load and handle.answered_at <= began
        ]
        if now - began < UNRESPONSIVE_AFTER_S:
            silent = []
        for handle in silent:
            self.runtime.report_server_failure(handle)
        if Policy.HEDGED_READS not in self._policies:
            return False
        if (
            not search.may_hedge
            or len(search.running) >= MAX_CONCURRENT_ATTEMPTS
        ):
            return False
        is_overdue = any(each.is_overdue(now) for each in search.running)
        half_time = (search.deadline - began) * HEDGE_AFTER_FRACTION
        if not silent and not is_overdue and now - began < half_time:
            return False
        return now < search.deadline and self._budget.take()

    async def _note_success(
        self, search: Dispatch, ended: FinishedAttempt
    ) -> None:
        self._budget.record_success()
        target = ended.target
        role = 'primary' if target.is_primary else 'replica'
        kind = 'read' if search.is_read else 'change'
        self.runtime.counters.count_served(search.state.database, kind, role)
        now = await curio.clock()
        self.runtime.journal.record_often(
            'request.served',
            request=search.request.id,
            database=search.state.database,
            workspace=search.state.workspace,
            kind=kind,
            server=target.handle.id,
            role=role,
            term=target.term,
            floor=str(target.floor),
            proof_left=round(
                self.runtime.leadership_state.get_proof_expiry() - now, 3
            ),
            tries=search.tries,
            seconds=round(now - search.began, 3),
        )
