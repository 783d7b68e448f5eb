"""Forwarding statements to a node that holds connections to their group.

A statement that may have run on a holder is forwarded again only if it has no
lasting effect.  One that was not sent is forwarded to the next holder.
"""

from typing import Any, Final, TypeGuard

import curio

from deckdrum.control import Member, Route
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.health import HEARTBEAT_TIMEOUT_S
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_messages import Forward, ForwardAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.forwarding.encoding import decode_outcome
from deckdrum.forwarding.holder_loads import HolderLoads
from deckdrum.forwarding.pending import (
    FORWARD_MARGIN_S,
    ForwardAttempt,
    ForwardResult,
    PendingForward,
)
from deckdrum.forwarding.shedding import LoadShedder
from deckdrum.forwarding.transactions import RemoteTransaction
from deckdrum.load.reports import IMMEDIATE_REJECTION_FRACTION
from deckdrum.operations import Answer, Effect, Request
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.executor import UNRESPONSIVE_AFTER_S, StatementExecutor
from deckdrum.serving.host import Outcome
from deckdrum.serving.retries import RetryBudget
from deckdrum.serving.runners import StartedTransaction, StatementRunner
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.state import Statement

#: Fraction of the timeout after which a repeatable statement is forwarded to
#: another holder even if the first is alive, since its stream may be broken.
ATTEMPT_TIMEOUT_FRACTION: Final = 0.4
#: Delay between retries, and their longest duration, while some holders may be
#: starting.
HOLDER_RETRY_DELAY_S: Final = 0.05
HOLDER_RETRY_TIMEOUT_S: Final = 0.25
#: Holders tried for one statement.
MAX_HOLDER_ATTEMPTS: Final = 4
#: Time for which a holder that cannot reach the primary is avoided.
HOLDER_BACKOFF_S: Final = 0.5
#: Time for which a holder to which no stream could be opened is avoided.  Its
#: answers to heartbeats over older streams do not show that one can be opened.
STREAM_BACKOFF_S: Final = 1.0


_RETRYABLE_CODES: Final = frozenset((Code.NOT_READY, Code.NO_PRIMARY))
#: Codes of statements that a holder rejects because of its queue.
_QUEUE_CODES: Final = frozenset((Code.QUEUE_FULL, Code.QUEUE_TIMEOUT))
_NOT_SENT: Final = ForwardAttempt(None, None, was_sent=False)
_NO_ANSWER: Final = ForwardAttempt(None, None, was_sent=True)


class Forwarder(StatementRunner):
    """Forwards the statements of one group to the holders of its connections.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group, with the list of its holders.
    peers : NodePeers
        Connections to the other nodes.
    local_executor : StatementExecutor
        Runs statements on this node, over connections from the unallocated
        reserve, if no holder can be reached.
    data_centre : str
        Data centre of this node.
    """

    def __init__(
        self,
        runtime: ServiceRuntime,
        peers: NodePeers,
        local_executor: StatementExecutor,
        data_centre: str,
    ) -> None:
        self._local_execution = local_executor
        self._runtime = runtime
        self._peers = peers
        self._health = peers.health
        self._budget = RetryBudget()
        self._shedder = LoadShedder(runtime)
        #: Time until which a holder that could not reach the primary is
        #: avoided, by name.
        self._backoff_until: dict[str, float] = {}
        #: Time until which a holder counts as one to which this node can open
        #: no stream, by name.
        self._no_stream_until: dict[str, float] = {}
        self._loads = HolderLoads(runtime, data_centre)

    async def run_autocommit(
        self,
        statement: Statement,
        effect: Effect,
        route: Route,
    ) -> Answer | Refusal:
        """Run a statement outside a transaction on a holder."""
        is_read = effect is Effect.READ
        version = self._peers.version
        pending = await PendingForward.start(statement, route, version, is_read)
        forwarded = await self._forward(pending)
        if forwarded is None:
            local_route = await pending.make_remaining_route()
            return pending.qualify(
                await self._local_execution.run_autocommit(
                    statement, effect, local_route
                )
            )
        if isinstance(forwarded, Refusal):
            return forwarded
        holder = forwarded.holder
        await self._peers.forward_streams.put_back(
            holder.endpoint, forwarded.channel
        )
        return forwarded.outcome

    async def begin(
        self,
        statement: Statement,
        route: Route,
    ) -> StartedTransaction | Refusal:
        """Open a transaction with its first statement on a holder."""
        # The holder rolls the transaction back if the stream breaks, so a
        # lost first statement may be repeated.
        version = self._peers.version
        pending = await PendingForward.start(statement, route, version, True)
        forwarded = await self._forward(pending)
        if forwarded is None:
            local_route = await pending.make_remaining_route()
            return pending.qualify(
                await self._local_execution.begin(statement, local_route)
            )
        if isinstance(forwarded, Refusal):
            return forwarded
        transaction = RemoteTransaction(
            self._peers,
            forwarded.holder,
            forwarded.channel,
            route.statement_timeout - FORWARD_MARGIN_S,
        )
        if isinstance(forwarded.outcome, Refusal):
            await transaction.end()
            return forwarded.outcome
        transaction.is_open = True
        return StartedTransaction(forwarded.outcome, forwarded=transaction)

    def _can_run_locally(self, now: float) -> bool:
        """Return whether this node is a holder, or cut off from all holders."""
        if self._runtime.allocator.is_holder:
            return True
        return all(
            self._is_unreachable(holder.name, now)
            for holder in self._runtime.allocator.others
        )

    def _is_unreachable(self, name: str, now: float) -> bool:
        """Return whether a holder is silent or accepts no stream lately."""
        is_closed = now < self._no_stream_until.get(name, float('-inf'))
        return is_closed or self._health.is_unresponsive(name)

    async def _forward(
        self, pending: PendingForward
    ) -> ForwardResult | Refusal | None:
        """Try holders until one answers; None to run the statement locally."""
        while True:
            now = await curio.clock()
            holder = self._choose_holder(pending, now)
            if holder is None and await self._wait_for_starting_holders(
                pending, now
            ):
                continue
            if holder is None and self._can_run_locally(now):
                return None
            if holder is None or now >= pending.deadline:
                return self._refuse(pending)
            shed = self._shed(holder, pending, now)
            if shed is not None:
                return shed
            pending.tried.add(holder.name)
            forwarded = await self._forward_to(
                holder, pending, pending.deadline - now
            )
            if forwarded is not None:
                return forwarded

    def _shed(
        self, holder: Member, pending: PendingForward, now: float
    ) -> Refusal | None:
        """Return a refusal if the holder is known to reject the statement."""
        if pending.may_have_run:
            # A shed statement is reported as not run.
            return None
        return self._shedder.check(holder.name, pending.kind, now)

    async def _forward_to(
        self,
        holder: Member,
        pending: PendingForward,
        timeout: float,
    ) -> ForwardResult | Refusal | None:
        """Forward a statement to a holder; None if another is to be tried."""
        sent_at = await curio.clock()
        timeout = max(timeout, HEARTBEAT_TIMEOUT_S)
        message = pending.encode(timeout)
        attempt = await self._attempt(
            holder, message, timeout, pending.is_repeatable
        )
        if attempt.answer is None or attempt.channel is None:
            pending.may_have_run = pending.may_have_run or attempt.was_sent
            is_doubtful = attempt.was_sent and not pending.is_repeatable
            return (
                self._refuse_unknown_outcome(pending.statement.request, holder)
                if is_doubtful
                else None
            )
        outcome = decode_outcome(attempt.answer)
        await self._shedder.record(holder.name, pending.kind, outcome, sent_at)
        now = await curio.clock()
        if _is_retryable(outcome):
            self._backoff_until[holder.name] = now + HOLDER_BACKOFF_S
            pending.refusal = outcome
        else:
            if isinstance(outcome, Answer) or outcome.code in _QUEUE_CODES:
                self._loads.record(holder, attempt.answer.load, now)
            if not self._find_free_holder(pending, outcome, now):
                self._budget.record_success()
                return ForwardResult(
                    pending.qualify(outcome), attempt.channel, holder
                )
        await self._peers.forward_streams.put_back(
            holder.endpoint, attempt.channel
        )
        return None

    def _list_candidates(
        self, pending: PendingForward, now: float
    ) -> list[Member]:
        """Return the holders that may be tried, the preferred one first."""
        return [
            holder
            for holder in self._runtime.allocator.find_holders(
                pending.statement.workspace
            )
            if holder.name not in pending.tried
            and not self._is_unreachable(holder.name, now)
        ]

    def _choose_holder(
        self, pending: PendingForward, now: float
    ) -> Member | None:
        """Return the next holder to try, None if there is none."""
        tried = pending.tried
        if len(tried) >= MAX_HOLDER_ATTEMPTS:
            return None
        free = pending.next_holder
        if free is not None and free.name not in tried:
            return free
        candidates = self._list_candidates(pending, now)
        preferred = [
            holder
            for holder in candidates
            if self._backoff_until.get(holder.name, 0) <= now
        ]
        if preferred:
            return self._loads.choose(
                preferred,
                pending.statement.workspace,
                now,
                uses_primary=pending.uses_primary,
            )
        # No candidate could reach the primary lately: try one anyway, but only
        # on the first attempt.
        return candidates[0] if candidates and not tried else None

    def _find_free_holder(
        self, pending: PendingForward, outcome: Outcome, now: float
    ) -> bool:
        """Return whether a statement goes to one more holder.

        That is if a holder has rejected it at once because of its queue, and
        another one has reported free capacity.
        """
        if isinstance(outcome, Answer) or outcome.code not in _QUEUE_CODES:
            return False
        if pending.next_holder is not None:
            return False
        objective = pending.route.latency_objective
        elapsed = now - pending.began
        if elapsed > objective * IMMEDIATE_REJECTION_FRACTION:
            return False
        pending.next_holder = self._loads.find_free(
            self._list_candidates(pending, now),
            pending.statement.workspace,
            now,
            objective - elapsed,
            uses_primary=pending.uses_primary,
        )
        if pending.next_holder is None:
            return False
        pending.refusal = outcome
        self._runtime.counters.count('rejections_forwarded')
        return True

    async def _wait_for_starting_holders(
        self, pending: PendingForward, now: float
    ) -> bool:
        """Wait briefly if holders may be starting; return whether to retry."""
        if self._runtime.allocator.is_holder:
            return False
        is_starting = any(
            self._health.may_be_starting(holder.name, now)
            for holder in self._runtime.allocator.others
        )
        has_time = now - pending.began <= HOLDER_RETRY_TIMEOUT_S
        if (
            not is_starting
            or not has_time
            or len(pending.tried) >= MAX_HOLDER_ATTEMPTS
        ):
            return False
        await curio.sleep(HOLDER_RETRY_DELAY_S)
        return True

    async def _attempt(
        self,
        holder: Member,
        message: Forward,
        timeout: float,
        is_repeatable: bool,
    ) -> ForwardAttempt:
        """Send a statement to one holder and wait for its answer."""
        streams = self._peers.forward_streams
        try:
            async with curio.timeout_after(min(timeout, HEARTBEAT_TIMEOUT_S)):
                channel = await streams.open(holder.endpoint)
                if not is_repeatable:
                    # Check that the stream works: a change sent over a broken
                    # stream would have an unknown outcome.
                    await channel.ask(Heartbeat())
        except (ConnectionError, curio.TaskTimeout) as error:
            now = await curio.clock()
            self._no_stream_until[holder.name] = now + STREAM_BACKOFF_S
            await self._health.record_failure(holder, error)
            await self._health.check_all()
            return _NOT_SENT
        self._no_stream_until.pop(holder.name, None)
        self._runtime.counters.count('forwards')
        answer_task = await curio.spawn(_ask, channel, message, daemon=True)
        try:
            await self._wait_for_answer(
                holder, answer_task, timeout, is_repeatable
            )
        finally:
            if not answer_task.terminated:
                await answer_task.cancel()
        answer = None if answer_task.cancelled else answer_task.result
        if answer is None:
            self._runtime.counters.count('forwards_lost')
            if self._health.is_unresponsive(holder.name):
                await self._health.check_all()
            return _NO_ANSWER
        return ForwardAttempt(answer, channel, was_sent=True)

    async def _wait_for_answer(
        self,
        holder: Member,
        answer_task: Any,
        timeout: float,
        is_repeatable: bool,
    ) -> None:
        """Wait for an answer until the timeout or until a retry is due."""
        async with curio.ignore_after(min(timeout, UNRESPONSIVE_AFTER_S)):
            await answer_task.wait()
        if answer_task.terminated or not is_repeatable:
            async with curio.ignore_after(
                max(0, timeout - UNRESPONSIVE_AFTER_S)
            ):
                await answer_task.wait()
            return
        if not await self._health.check(holder):
            return
        rest = max(0, timeout * ATTEMPT_TIMEOUT_FRACTION - UNRESPONSIVE_AFTER_S)
        async with curio.ignore_after(rest):
            await answer_task.wait()
        if not answer_task.terminated and not self._budget.try_spend():
            async with curio.ignore_after(
                timeout * (1 - ATTEMPT_TIMEOUT_FRACTION)
            ):
                await answer_task.wait()

    def _refuse(self, pending: PendingForward) -> Refusal:
        """Return the refusal of a statement that has no lasting effect."""
        if pending.refusal is not None and not pending.may_have_run:
            return pending.refusal
        reason = 'no holder answers'
        self._log(pending.statement.request, reason)
        code = Code.QUEUE_TIMEOUT
        if pending.may_have_run:
            code = Code.TRANSACTION_LOST
        return refuse(code, reason)

    def _refuse_unknown_outcome(
        self, request: Request, holder: Member
    ) -> Refusal:
        """Return the refusal of a change that may have been applied."""
        reason = f'{holder.name} gave no answer'
        self._log(request, reason)
        return refuse(Code.CONNECTION_LOST, reason)

    def _log(self, request: Request, reason: str) -> None:
        self._runtime.journal.record_rate_limited(
            'forward.refused',
            request=request.id,
            service=self._runtime.name,
            reason=reason,
        )


def _is_retryable(outcome: Outcome) -> TypeGuard[Refusal]:
    """Return whether another holder may succeed where one has refused.

    The one may not know the group yet, or not reach its primary.
    """
    return isinstance(outcome, Refusal) and outcome.code in _RETRYABLE_CODES


async def _ask(
    channel: StreamChannel,
    message: Forward,
) -> ForwardAnswer | None:
    """Send a request over a stream; None if the stream breaks."""
    try:
        answer = await channel.ask(message)
    except ConnectionError:
        return None
    return answer if isinstance(answer, ForwardAnswer) else None
