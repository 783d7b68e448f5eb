"""Handing statements to a node that holds connections to their group.

A statement that may have run is handed over once, unless it leaves nothing
behind.  One that was not sent goes to the next holder.
"""

from dataclasses import dataclass, field, replace
from typing import Any, Final, TypeGuard

import curio

from deckdrum.control import Member, Route
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.health import HEARTBEAT_TIMEOUT_S
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_messages import Forward, ForwardAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.forwarding.encoding import decode_outcome, encode_forward
from deckdrum.forwarding.transactions import RemoteTransaction
from deckdrum.operations import Answer, Begin, Effect, Request
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.execution import UNRESPONSIVE_AFTER_S, Execution
from deckdrum.serving.host import Outcome
from deckdrum.serving.retries import RetryBudget
from deckdrum.serving.runners import StartedTransaction, StatementRunner
from deckdrum.serving.service import ServiceRuntime
from deckdrum.serving.state import SessionState

#: Time kept at the end of a statement's limit for the answer to arrive, in s:
#: less than the holder keeps, so that its word comes first.
FORWARD_MARGIN_S: Final = 0.02
#: Part of the time after which what leaves nothing behind is handed to another
#: holder although the first is alive: its stream may have gone silent.
ATTEMPT_TIMEOUT_FRACTION: Final = 0.4
#: Pause before the holders are tried again while the processes of some do not
#: run, and longest time of that, in seconds: nodes that lost power together
#: come back within half a second of one another.
HOLDER_RETRY_DELAY_S: Final = 0.05
HOLDER_RETRY_TIMEOUT_S: Final = 0.25
#: Holders that are asked for one statement.
MAX_HOLDER_ATTEMPTS: Final = 4
#: How long a holder is asked last that does not reach the primary, in seconds.
HOLDER_BACKOFF_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """What came of a hand-over: an answer and its stream, or neither.

    `was_sent` tells whether the statement may have run.
    """

    answer: ForwardAnswer | None
    channel: StreamChannel | None
    was_sent: bool


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """What a holder said of a statement, and on which stream."""

    outcome: Outcome
    channel: StreamChannel
    holder: Member


@dataclass(slots=True)
class Handover:
    """A statement on its way to a holder.

    Attributes
    ----------
    request, begin, route, state
        The statement, the transaction that it opens, what binds it, and its
        caller's session.
    version : int
        Version of the configuration that binds it.
    is_repeatable : bool
        Whether a try without an answer leaves nothing behind.
    began, deadline : float
        When it began and must end, in kernel seconds.
    tried : set of str
        Holders that were asked.
    refusal : Refusal or None
        What the last one said that could not do it.
    may_have_run : bool
        Whether one of them may have run it.
    """

    request: Request
    begin: Begin | None
    route: Route
    state: SessionState
    version: int
    is_repeatable: bool
    began: float
    deadline: float
    tried: set[str] = field(default_factory=set)
    refusal: Refusal | None = None
    may_have_run: bool = False

    @classmethod
    async def start(
        cls,
        request: Request,
        begin: Begin | None,
        route: Route,
        state: SessionState,
        version: int,
        is_repeatable: bool,
    ) -> 'Handover':
        """Begin to hand a statement over now."""
        began: float = await curio.clock()
        deadline = began + route.statement_timeout - FORWARD_MARGIN_S
        return cls(
            request,
            begin,
            route,
            state,
            version,
            is_repeatable,
            began,
            deadline,
        )

    async def make_remaining_route(self) -> Route:
        """Return the route with the time that is left for the statement."""
        left = self.deadline + FORWARD_MARGIN_S - await curio.clock()
        return replace(
            self.route, statement_timeout=max(left, FORWARD_MARGIN_S)
        )

    def encode(self, limit: float) -> Forward:
        """Return the message that gives a holder `limit` seconds."""
        bound = replace(self.route, statement_timeout=limit)
        return encode_forward(
            self.request,
            bound,
            self.state,
            self.begin,
            self.version,
        )


_RETRYABLE_CODES: Final = frozenset((Code.NOT_READY, Code.NO_PRIMARY))
_NOT_SENT: Final = ForwardAttempt(None, None, was_sent=False)
_NO_ANSWER: Final = ForwardAttempt(None, None, was_sent=True)


class Forwarder(StatementRunner):
    """Hands the statements of one group to the nodes that hold connections.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group; knows its holders.
    peers : NodePeers
        The other nodes.
    here : Execution
        Runs statements at this node itself if it is cut off from all holders,
        over the connections that are not dealt.
    """

    def __init__(
        self,
        runtime: ServiceRuntime,
        peers: NodePeers,
        here: Execution,
    ) -> None:
        self._here = here
        self._runtime = runtime
        self._peers = peers
        self._health = peers.health
        self._budget = RetryBudget()
        #: Until when a holder is not expected to reach the primary.
        self._backoff_until: dict[str, float] = {}

    async def run_single(
        self,
        request: Request,
        effect: Effect,
        route: Route,
        state: SessionState,
    ) -> Answer | Refusal:
        """Have a statement outside a transaction run."""
        is_read = effect is Effect.READ
        version = self._peers.version
        work = await Handover.start(
            request, None, route, state, version, is_read
        )
        ended = await self._hand_over(work)
        if ended is None:
            left = await work.make_remaining_route()
            return await self._here.run_single(request, effect, left, state)
        if isinstance(ended, Refusal):
            return ended
        holder = ended.holder
        await self._peers.forwards.keep(holder.endpoint, ended.channel)
        if isinstance(ended.outcome, Answer) and not is_read:
            state.note_change(ended.outcome)
        return ended.outcome

    async def begin(
        self,
        request: Request,
        begin: Begin,
        route: Route,
        state: SessionState,
    ) -> StartedTransaction | Refusal:
        """Have a transaction opened with its first statement."""
        # Nothing of a transaction is kept when its stream breaks.
        version = self._peers.version
        work = await Handover.start(request, begin, route, state, version, True)
        ended = await self._hand_over(work)
        if ended is None:
            left = await work.make_remaining_route()
            return await self._here.begin(request, begin, left, state)
        if isinstance(ended, Refusal):
            return ended
        transaction = RemoteTransaction(
            self._peers,
            ended.holder,
            ended.channel,
            route.statement_timeout - FORWARD_MARGIN_S,
        )
        if isinstance(ended.outcome, Refusal):
            await transaction.end()
            return ended.outcome
        transaction.is_open = True
        return StartedTransaction(ended.outcome, forwarded=transaction)

    def _can_run_locally(self) -> bool:
        """Tell whether this node holds connections, or no holder answers."""
        if self._runtime.holding.is_holder:
            return True
        names = [holder.name for holder in self._runtime.holding.others]
        return all(map(self._health.may_be_partitioned, names))

    async def _hand_over(
        self, work: Handover
    ) -> ForwardResult | Refusal | None:
        """Try holders until one answers; None if this node is cut off."""
        while True:
            now = await curio.clock()
            holder = self._pick(work, now)
            if holder is None and self._can_run_locally():
                return None
            if holder is None and await self._wait_for_restarting_holders(
                work, now
            ):
                continue
            if holder is None or now >= work.deadline:
                return self._refuse(work)
            work.tried.add(holder.name)
            end = await self._forward_to(holder, work, work.deadline - now)
            if end is not None:
                return end

    async def _forward_to(
        self,
        holder: Member,
        work: Handover,
        limit: float,
    ) -> ForwardResult | Refusal | None:
        """Hand work to one holder; None if another one is to be asked."""
        limit = max(limit, HEARTBEAT_TIMEOUT_S)
        question = work.encode(limit)
        handed = await self._try(holder, question, limit, work.is_repeatable)
        if handed.answer is None or handed.channel is None:
            work.may_have_run = work.may_have_run or handed.was_sent
            is_doubtful = handed.was_sent and not work.is_repeatable
            return self._doubt(work.request, holder) if is_doubtful else None
        outcome = decode_outcome(handed.answer)
        if not _is_retryable(outcome):
            self._budget.record_success()
            return ForwardResult(outcome, handed.channel, holder)
        until = await curio.clock() + HOLDER_BACKOFF_S
        self._backoff_until[holder.name] = until
        work.refusal = outcome
        await self._peers.forwards.keep(holder.endpoint, handed.channel)
        return None

    def _pick(self, work: Handover, now: float) -> Member | None:
        """Return the holder to ask next, the best that can help."""
        tried = work.tried
        if len(tried) >= MAX_HOLDER_ATTEMPTS:
            return None
        left = [
            holder
            for holder in self._runtime.holding.find_holders(
                work.state.workspace
            )
            if holder.name not in tried
            and not self._health.is_silent(holder.name)
        ]
        reaching = [
            holder
            for holder in left
            if self._backoff_until.get(holder.name, 0) <= now
        ]
        if reaching:
            return reaching[0]
        # None reaches the primary as far as is known: one is asked again.
        return left[0] if left and not tried else None

    async def _wait_for_restarting_holders(
        self, work: Handover, now: float
    ) -> bool:
        """Wait a moment if holders start again; tell whether to try anew."""
        names = [holder.name for holder in self._runtime.holding.others]
        is_starting = any(map(self._health.is_refusing, names))
        has_time = now - work.began <= HOLDER_RETRY_TIMEOUT_S
        if (
            not is_starting
            or not has_time
            or len(work.tried) >= MAX_HOLDER_ATTEMPTS
        ):
            return False
        await curio.sleep(HOLDER_RETRY_DELAY_S)
        return True

    async def _try(
        self,
        holder: Member,
        question: Forward,
        limit: float,
        is_repeatable: bool,
    ) -> ForwardAttempt:
        """Hand a statement to one holder and wait for what becomes of it."""
        streams = self._peers.forwards
        try:
            async with curio.timeout_after(min(limit, HEARTBEAT_TIMEOUT_S)):
                channel = await streams.open(holder.endpoint)
                if not is_repeatable:
                    # Over a stream that has gone silent nobody would know
                    # whether it ran.
                    await channel.ask(Heartbeat())
        except (ConnectionError, curio.TaskTimeout) as error:
            await self._health.note_failure(holder, error)
            await self._health.check_all()
            return _NOT_SENT
        self._runtime.counters.count('forwards')
        asking = await curio.spawn(_ask, channel, question, daemon=True)
        try:
            await self._wait_for_answer(holder, asking, limit, is_repeatable)
        finally:
            if not asking.terminated:
                await asking.cancel()
        answer = None if asking.cancelled else asking.result
        if answer is None:
            self._runtime.counters.count('forwards_lost')
            if self._health.is_silent(holder.name):
                await self._health.check_all()
            return _NO_ANSWER
        return ForwardAttempt(answer, channel, was_sent=True)

    async def _wait_for_answer(
        self,
        holder: Member,
        asking: Any,
        limit: float,
        is_repeatable: bool,
    ) -> None:
        """Wait for an answer as long as it can come, or another may."""
        async with curio.ignore_after(min(limit, UNRESPONSIVE_AFTER_S)):
            await asking.wait()
        if asking.terminated or not is_repeatable:
            async with curio.ignore_after(max(0, limit - UNRESPONSIVE_AFTER_S)):
                await asking.wait()
            return
        if not await self._health.check(holder):
            return
        rest = max(0, limit * ATTEMPT_TIMEOUT_FRACTION - UNRESPONSIVE_AFTER_S)
        async with curio.ignore_after(rest):
            await asking.wait()
        if not asking.terminated and not self._budget.take():
            async with curio.ignore_after(
                limit * (1 - ATTEMPT_TIMEOUT_FRACTION)
            ):
                await asking.wait()

    def _refuse(self, work: Handover) -> Refusal:
        """Return the refusal of a statement that leaves nothing behind."""
        if work.refusal is not None and not work.may_have_run:
            return work.refusal
        reason = 'no holder answers'
        self._log(work.request, reason)
        code = Code.QUEUE_TIMEOUT
        if work.may_have_run:
            code = Code.TRANSACTION_LOST
        return refuse(code, reason)

    def _doubt(self, request: Request, holder: Member) -> Refusal:
        """Return the refusal of a change that may have been made."""
        reason = f'{holder.name} gave no answer'
        self._log(request, reason)
        return refuse(Code.CONNECTION_LOST, reason)

    def _log(self, request: Request, reason: str) -> None:
        self._runtime.journal.record_often(
            'forward.refused',
            request=request.id,
            service=self._runtime.name,
            reason=reason,
        )


def _is_retryable(outcome: Outcome) -> TypeGuard[Refusal]:
    """Tell whether another holder may do what one cannot.

    One may not know the group yet, or not reach its primary.
    """
    return isinstance(outcome, Refusal) and outcome.code in _RETRYABLE_CODES


async def _ask(
    channel: StreamChannel,
    question: Forward,
) -> ForwardAnswer | None:
    """Ask on a stream; None if it breaks."""
    try:
        answer = await channel.ask(question)
    except ConnectionError:
        return None
    return answer if isinstance(answer, ForwardAnswer) else None
