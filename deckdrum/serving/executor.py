"""Running statements on a group's servers, with retries and hedging."""

import math
from typing import Final

import curio

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Effect, Rejection
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.attempts import (
    CHANGE_LOST_FACTOR,
    REPEATABLE_LOST_FACTOR,
    Attempt,
    AttemptOutcome,
    NoAnswer,
)
from deckdrum.serving.dispatches import (
    Dispatch,
    FinishedAttempt,
    release_late_attempt,
)
from deckdrum.serving.retries import (
    RETRY_BUDGET_CAPACITY,
    RetryBudget,
    RetryPolicy,
)
from deckdrum.serving.routing import Router, Target
from deckdrum.serving.runners import StartedTransaction, StatementRunner
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.state import PinnedConnection, Statement
from deckdrum.sessions import Position

#: Part of a statement's time limit reserved for returning the answer.
ANSWER_MARGIN_S: Final = 0.04
#: A server without an answer for this time is checked, and reads are hedged.
#: Most statements take 6 to 40 ms.
UNRESPONSIVE_AFTER_S: Final = 0.25
#: Fraction of a read's time limit after which it is hedged even if its server
#: answers other requests: its own answer may be lost.
HEDGE_AFTER_FRACTION: Final = 0.4
#: Timeout for a target while another server already runs the read.
HEDGE_PRIMARY_TIMEOUT_S: Final = 0.02
#: Attempts per statement; more would be due to a fault, not to bad luck.
MAX_ATTEMPTS: Final = 12
#: Servers that run one read concurrently.
MAX_CONCURRENT_ATTEMPTS: Final = 3


class StatementExecutor(StatementRunner):
    """Runs callers' statements on the servers of one database group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    router : Router
        Chooses a server for each attempt.
    """

    def __init__(self, runtime: ServiceRuntime, router: Router) -> None:
        self.runtime = runtime
        self._router = router
        self._policies = runtime.policies
        capacity = RETRY_BUDGET_CAPACITY
        if Policy.RETRY_BUDGET not in self._policies:
            capacity = math.inf
        self._budget = RetryBudget(capacity)
        self._retry_policy = RetryPolicy(runtime, self._budget)

    async def run_autocommit(
        self,
        statement: Statement,
        effect: Effect,
        route: Route,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction."""
        is_read = effect is Effect.READ
        dispatch = await self._create_dispatch(statement, route, is_read)
        finished = await self._run_dispatch(dispatch, route)
        if isinstance(finished, Refusal):
            return finished
        if is_read:
            return finished[1]
        return await self.confirm_change(finished[1], finished[0].target.term)

    async def begin(
        self,
        statement: Statement,
        route: Route,
    ) -> StartedTransaction | Refusal:
        """Open a transaction on a server with its first statement."""
        begin = statement.begin
        is_read = begin is not None and begin.read_only
        dispatch = await self._create_dispatch(statement, route, is_read)
        finished = await self._run_dispatch(dispatch, route)
        if isinstance(finished, Refusal):
            return finished
        target = finished[0].target
        lease = finished[0].attempt.lease
        if lease is None:
            raise BrokenInvariantError('begun transaction has no connection')
        pin = PinnedConnection(
            target.handle, lease, target.term, target.is_primary
        )
        return StartedTransaction(finished[1], pin)

    async def confirm_change(
        self,
        answer: Answer,
        term: int,
    ) -> Answer | Refusal:
        """Return the answer of a change if its term is still valid.

        Otherwise another primary may lead already, and the outcome of the
        change is unknown.
        """
        leadership_state = self.runtime.leadership_state
        is_confirmed = leadership_state.can_acknowledge(
            term, await curio.clock()
        )
        if not is_confirmed and leadership_state.term == term:
            await self.runtime.renew_proof()
            is_confirmed = leadership_state.can_acknowledge(
                term, await curio.clock()
            )
        if not is_confirmed:
            self.runtime.counters.count('unvouched_changes')
            self.runtime.journal.record_rate_limited(
                'change.unvouched',
                service=self.runtime.name,
                term=term,
                known_term=leadership_state.term,
                ended_term=leadership_state.ended_term,
                closed_term=leadership_state.closed_term,
                proof_until=leadership_state.get_proof_expiry(),
                primary=leadership_state.primary,
            )
            return refuse(Code.UNCONFIRMED, f'term {term} has ended')
        return answer

    def log_refusal(self, refusal: Refusal, dispatch: Dispatch) -> None:
        """Log the refusal of a request."""
        self.runtime.journal.record_rate_limited(
            'request.refused',
            request=dispatch.statement.request.id,
            service=self.runtime.name,
            workspace=dispatch.statement.workspace,
            code=refusal.code,
            fate=refusal.fate,
            term=self.runtime.leadership_state.term,
            primary=self.runtime.leadership_state.primary,
            reason=dispatch.describe(),
        )

    async def _create_dispatch(
        self,
        statement: Statement,
        route: Route,
        is_read: bool,
    ) -> Dispatch:
        await self.runtime.set_route_share(route)
        now = await curio.clock()
        timeout = route.statement_timeout - ANSWER_MARGIN_S
        # Current reads run on the primary only, so they cannot be hedged.
        is_current = route.guarantee is ConsistencyGuarantee.CURRENT
        return Dispatch(
            statement,
            is_read,
            is_read and not is_current,
            now,
            now + timeout,
        )

    async def _run_dispatch(
        self,
        dispatch: Dispatch,
        route: Route,
    ) -> tuple[FinishedAttempt, Answer] | Refusal:
        """Run a dispatch, and end the attempts that its caller outlives.

        Once a refusal is returned, nothing more is sent to a server.
        """
        try:
            outcome = await self._dispatch_until_answered(dispatch, route)
            is_refused = isinstance(outcome, Refusal)
            await dispatch.end(is_awaited=is_refused)
        except BaseException:
            await dispatch.end(is_awaited=False)
            if dispatch.answered is not None:
                await release_late_attempt(dispatch.answered)
            raise
        return outcome

    async def _dispatch_until_answered(
        self,
        dispatch: Dispatch,
        route: Route,
    ) -> tuple[FinishedAttempt, Answer] | Refusal:
        """Start attempts until one succeeds or the statement is refused."""
        while True:
            refusal = dispatch.final_refusal
            if refusal is None:
                refusal = await self._start_attempt(dispatch, route)
            if refusal is not None and not dispatch.running:
                return self._refuse(refusal, dispatch)
            finished = await self._wait_for_attempt(dispatch)
            if finished is None:
                continue
            if isinstance(finished.outcome, Answer):
                dispatch.answered = finished
                await self._record_success(dispatch, finished)
                return finished, finished.outcome
            refusal = await self._decide(dispatch, finished)
            if refusal is not None:
                return self._refuse(refusal, dispatch)

    async def _decide(
        self, dispatch: Dispatch, finished: FinishedAttempt
    ) -> Refusal | None:
        """Return a refusal after a failed attempt, or None to go on."""
        refusal = await self._retry_policy.decide(dispatch, finished)
        if refusal is None:
            return None
        if dispatch.is_in_flight and refusal.promises_not_run:
            # Another server may be running it, and may yet answer.
            dispatch.final_refusal = refusal
            return None
        return refusal

    def _refuse(self, refusal: Refusal, dispatch: Dispatch) -> Refusal:
        """Log and return a refusal that is true after all attempts."""
        if dispatch.may_have_run:
            refusal = refusal.qualify()
        self.log_refusal(refusal, dispatch)
        return refusal

    async def _start_attempt(
        self, dispatch: Dispatch, route: Route
    ) -> Refusal | None:
        """Start another attempt; return a refusal if none is possible."""
        now = await curio.clock()
        remaining = dispatch.deadline - now
        if remaining <= 0 or dispatch.attempt_count >= MAX_ATTEMPTS:
            return self._retry_policy.build_refusal(dispatch, now)
        target = await self._choose_target(dispatch, route, remaining)
        if target is None:
            return self._retry_policy.build_refusal(dispatch, now)
        if isinstance(target, Refusal):
            if dispatch.may_have_run:
                return self._retry_policy.build_refusal(dispatch, now)
            return target
        if dispatch.running and target.handle.id in dispatch.excluded_servers:
            # The only eligible server is already running the statement.
            return None
        if target.is_primary and target.handle.is_unreachable:
            # Refuse without waiting.  The report makes supervision ask other
            # nodes whether they reach the primary.
            self.runtime.report_server_failure(target.handle)
            if dispatch.may_have_run:
                return self._retry_policy.build_refusal(dispatch, now)
            return refuse(Code.NO_PRIMARY, 'it does not answer this node')
        if target.handle.server.is_draining:
            self._log_draining_server(dispatch, target, now)
        dispatch.attempt_count += 1
        self._router.load_reports.ran_at = now
        # A hedged attempt must go to another server.
        dispatch.excluded_servers.add(target.handle.id)
        if not target.is_primary:
            await curio.spawn(self._router.refresh_sample, route, daemon=True)
        attempt = Attempt(
            target.handle,
            dispatch.statement,
            target.min_position,
            dispatch.deadline,
            dispatch.began
            + route.latency_objective
            - target.handle.response_times.mean,
            route.priority,
        )
        dispatch.running.append(attempt)
        attempt.task = await curio.spawn(
            self._run_attempt, dispatch, attempt, target, route, daemon=True
        )
        return None

    def _log_draining_server(
        self,
        dispatch: Dispatch,
        target: Target,
        now: float,
    ) -> None:
        """Log that a statement is sent to a draining server."""
        self.runtime.counters.count('leaving_servers_used')
        self.runtime.journal.record_rate_limited(
            'server.used_while_leaving',
            request=dispatch.statement.request.id,
            service=self.runtime.name,
            server=target.handle.id,
            role='primary' if target.is_primary else 'replica',
            term=target.term,
            known_for=round(now - target.handle.drain_status.since, 3),
        )

    async def _choose_target(
        self,
        dispatch: Dispatch,
        route: Route,
        remaining: float,
    ) -> Target | Refusal | None:
        if dispatch.running:
            # Return soon to waiting for the attempt in progress.
            remaining = min(remaining, HEDGE_PRIMARY_TIMEOUT_S)
        if dispatch.is_read:
            return await self._router.choose_reader(
                route,
                dispatch.statement,
                dispatch.excluded_servers,
                remaining,
                dispatch.began + route.latency_objective,
            )
        return await self._router.choose_primary(remaining)

    async def _run_attempt(
        self,
        dispatch: Dispatch,
        attempt: Attempt,
        target: Target,
        route: Route,
    ) -> None:
        """Run an attempt and pass on its result, however it ends."""
        try:
            outcome = await self._run_and_record(
                dispatch, attempt, target, route
            )
        except BaseException as error:
            # Without a result the caller would wait without end.
            await attempt.discard()
            outcome = NoAnswer(attempt.was_sent, False, repr(error))
            await _pass_on(dispatch, FinishedAttempt(attempt, target, outcome))
            if not isinstance(error, Exception):
                raise
            self._log_defect(dispatch, attempt, error)
            return
        await _pass_on(dispatch, FinishedAttempt(attempt, target, outcome))

    async def _run_and_record(
        self,
        dispatch: Dispatch,
        attempt: Attempt,
        target: Target,
        route: Route,
    ) -> AttemptOutcome:
        if target.is_primary:
            outcome = await self._run_on_primary(dispatch, attempt, route)
        else:
            outcome = await attempt.run()
        if isinstance(outcome, NoAnswer):
            self.runtime.report_server_failure(attempt.handle)
        elif not isinstance(outcome, Refusal):
            self._record_position(attempt, target, outcome)
        return outcome

    def _log_defect(
        self, dispatch: Dispatch, attempt: Attempt, error: Exception
    ) -> None:
        """Log an attempt that ended by an unexpected error."""
        self.runtime.counters.count('attempts_broken')
        self.runtime.journal.record_rate_limited(
            'attempt.broken',
            request=dispatch.statement.request.id,
            service=self.runtime.name,
            server=attempt.handle.id,
            was_sent=attempt.was_sent,
            error=repr(error),
        )

    async def _run_on_primary(
        self, dispatch: Dispatch, attempt: Attempt, route: Route
    ) -> AttemptOutcome:
        reads = self._router.primary_reads
        self.runtime.statements.count += 1
        try:
            with reads.track(attempt, route, is_read=dispatch.is_read):
                return await attempt.run()
        finally:
            self.runtime.statements.count -= 1

    def _record_position(
        self,
        attempt: Attempt,
        target: Target,
        outcome: Answer | Rejection,
    ) -> None:
        """Record the log position that came with an answer.

        A rejection by an overloaded primary counts as a sample too: no other
        sample may be available then.
        """
        if outcome.position is None:
            return
        if not target.is_primary:
            self._record_replica_position(target.handle, outcome.position)
            return
        if isinstance(outcome, Rejection) and not outcome.reports_position:
            return
        self.runtime.record_position(outcome.position, attempt.started_at)

    def _record_replica_position(
        self, handle: ServerHandle, position: Position
    ) -> None:
        """Use the position of a replica's log for its lag and as proof."""
        history = self.runtime.history
        if position.term != history.term:
            return
        max_age = history.bound_age(position.offset, handle.answered_at)
        handle.replica_lag.record_age(max_age, handle.answered_at)
        if Policy.PROOF_FROM_READS in self._policies:
            since = history.find_last_seen_below(position.offset)
            self.runtime.leadership_state.record_replicated_change(
                handle.id, position.term, since
            )

    async def _wait_for_attempt(
        self, dispatch: Dispatch
    ) -> FinishedAttempt | None:
        """Return the next finished attempt; None to start another one."""
        began = await curio.clock()
        while True:
            async with curio.ignore_after(
                dispatch.compute_wait(UNRESPONSIVE_AFTER_S)
            ):
                finished: FinishedAttempt = (
                    await dispatch.finished_attempts.get()
                )
                dispatch.running.remove(finished.attempt)
                return finished
            now = await curio.clock()
            await self._abandon_lost(dispatch, now)
            if self._should_hedge(dispatch, began, now):
                return None

    async def _abandon_lost(self, dispatch: Dispatch, now: float) -> None:
        """Abandon attempts whose answers are presumed lost."""
        if Policy.LOST_ANSWERS not in self._policies:
            return
        timeout_factor = (
            REPEATABLE_LOST_FACTOR
            if dispatch.is_repeatable
            else CHANGE_LOST_FACTOR
        )
        for attempt in dispatch.running:
            if dispatch.is_repeatable and attempt.handle.is_unreachable:
                await attempt.abandon()
            if not attempt.is_lost(now, timeout_factor):
                continue
            if dispatch.is_repeatable and not self._budget.try_spend():
                return
            self.runtime.counters.count('answers_lost')
            self.runtime.journal.record_rate_limited(
                'answer.lost',
                request=dispatch.statement.request.id,
                service=self.runtime.name,
                server=attempt.handle.id,
                seconds=round(now - attempt.sent_at, 3),
                patience=round(attempt.handle.response_times.timeout, 3),
            )
            await attempt.abandon()

    def _should_hedge(
        self,
        dispatch: Dispatch,
        began: float,
        now: float,
    ) -> bool:
        """Report unresponsive servers; return whether to hedge a read."""
        unresponsive = [
            handle
            for handle in self.runtime.servers.values()
            if handle.load and handle.answered_at <= began
        ]
        if now - began < UNRESPONSIVE_AFTER_S:
            unresponsive = []
        for handle in unresponsive:
            self.runtime.report_server_failure(handle)
        if Policy.HEDGED_READS not in self._policies:
            return False
        if (
            not dispatch.may_hedge
            or dispatch.final_refusal is not None
            or len(dispatch.running) >= MAX_CONCURRENT_ATTEMPTS
        ):
            return False
        is_overdue = any(each.is_overdue(now) for each in dispatch.running)
        hedge_after = (dispatch.deadline - began) * HEDGE_AFTER_FRACTION
        if not unresponsive and not is_overdue and now - began < hedge_after:
            return False
        return now < dispatch.deadline and self._budget.try_spend()

    async def _record_success(
        self, dispatch: Dispatch, finished: FinishedAttempt
    ) -> None:
        self._budget.record_success()
        target = finished.target
        role = 'primary' if target.is_primary else 'replica'
        kind = 'read' if dispatch.is_read else 'change'
        self.runtime.counters.count_served(
            dispatch.statement.database, kind, role
        )
        now = await curio.clock()
        self.runtime.journal.record_rate_limited(
            'request.served',
            request=dispatch.statement.request.id,
            database=dispatch.statement.database,
            workspace=dispatch.statement.workspace,
            kind=kind,
            server=target.handle.id,
            role=role,
            term=target.term,
            floor=str(target.min_position),
            proof_left=round(
                self.runtime.leadership_state.get_proof_expiry() - now, 3
            ),
            tries=dispatch.attempt_count,
            seconds=round(now - dispatch.began, 3),
        )


async def _pass_on(dispatch: Dispatch, finished: FinishedAttempt) -> None:
    """Pass a result to the dispatch, or release it if that has finished."""
    if dispatch.is_finished:
        await release_late_attempt(finished)
    else:
        await dispatch.finished_attempts.put(finished)
