"""Running the statements of a caller's transaction."""

import math
from typing import Final

import curio

from deckdrum.fleet.policies import Policy
from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Rejection,
    RejectionCause,
    Request,
    SetValue,
    TransactionState,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.attempts import (
    NO_SLOT_REASON,
    compute_slot_timeout,
    prepare_link,
    release_link,
    run_on_link,
)
from deckdrum.serving.executor import ANSWER_MARGIN_S
from deckdrum.serving.host import Outcome, SessionHost, is_unsent
from deckdrum.serving.slots import SlotPermit
from deckdrum.serving.state import (
    ForwardedTransaction,
    PinnedConnection,
    SessionState,
    Statement,
    Transaction,
)

#: A statement in an open transaction times out after this multiple of the
#: server's answer timeout, but not before the minimum.  The transaction is
#: rolled back, so the caller can safely retry it within its own deadline.
PINNED_TIMEOUT_FACTOR: Final = 6
MIN_PINNED_TIMEOUT_S: Final = 0.25
#: Delays before a statement is repeated that a server was too busy to run.
#: Repeating it costs less than running the whole transaction again.
BUSY_RETRY_DELAYS_S: Final = (0.005, 0.01, 0.02, 0.04)


class TransactionRunner:
    """Runs statements inside the transactions of one session.

    Parameters
    ----------
    host : SessionHost
        The node.
    state : SessionState
        The session's state.
    """

    def __init__(self, host: SessionHost, state: SessionState) -> None:
        self._host = host
        self._state = state

    async def run(
        self,
        request: Request,
        transaction: Transaction,
    ) -> Outcome:
        """Run a statement; the first one opens the transaction."""
        if transaction.forwarded is not None:
            return await self._run_forwarded(
                self._state.capture(request),
                transaction,
                transaction.forwarded,
            )
        if transaction.pin is None:
            return await self._run_first(request, transaction)
        return await self._run_pinned(
            self._state.capture(request), transaction, transaction.pin
        )

    async def fail(
        self,
        reason: str,
        transaction_state: TransactionState = TransactionState.OPEN,
        code: Code = Code.TRANSACTION_LOST,
    ) -> Outcome:
        """Mark the transaction as failed and roll it back on its server."""
        transaction = self._state.transaction
        if transaction is not None:
            transaction.is_failed = True
            await self.release_connection(transaction, transaction_state)
        return refuse(code, reason)

    async def release_connection(
        self,
        transaction: Transaction,
        transaction_state: TransactionState,
    ) -> None:
        """Release the transaction's connection and roll back if it is open."""
        pin = transaction.pin
        forwarded = transaction.forwarded
        transaction.pin = None
        transaction.forwarded = None
        if pin is not None:
            await release_link(pin.handle, pin.lease, transaction_state)
        if forwarded is not None:
            await forwarded.release()

    async def apply_value(self, operation: SetValue) -> Outcome:
        """Set a changed session value on an open transaction's connection."""
        transaction = self._state.transaction
        if transaction is None:
            return Answer(transaction_state=self._state.transaction_state)
        if transaction.forwarded is not None:
            return await self._run_forwarded(
                self._state.capture(Request('', operation)),
                transaction,
                transaction.forwarded,
            )
        pin = transaction.pin
        if pin is None:
            return Answer(transaction_state=self._state.transaction_state)
        statement = self._state.capture(Request('', operation))
        timeout = transaction.route.statement_timeout - ANSWER_MARGIN_S
        if Policy.LOST_ANSWERS in self._host.policies:
            timeout = min(
                timeout, _compute_timeout(statement.request, transaction, pin)
            )
        try:
            async with curio.timeout_after(timeout):
                rejection = await prepare_link(pin.lease.link, statement)
        except curio.TaskTimeout:
            pin.handle.record_timeout(await curio.clock())
            return await self._fail_pinned(statement.request, 'no answer')
        except ConnectionError as error:
            return await self._fail_pinned(statement.request, repr(error))
        if rejection is not None:
            return await self.fail(rejection.text, rejection.transaction_state)
        return Answer(transaction_state=self._state.transaction_state)

    async def _run_first(
        self,
        request: Request,
        transaction: Transaction,
    ) -> Outcome:
        """Open the transaction on a server with its first statement."""
        # The configuration may have changed since BEGIN was answered.
        access = self._host.authorize(self._state)
        if isinstance(access, Refusal):
            return await self.fail(access.text, code=access.code)
        route = access.route
        self._state.workspace = access.workspace.name
        runner = self._host.find_runner(route.service, self._state.workspace)
        if runner is None:
            return await self.fail(f'no group {route.service} here')
        transaction.route = route
        begin = Begin(transaction.read_only)
        statement = self._state.capture(request, begin)
        begun = await runner.begin(statement, route)
        if isinstance(begun, Refusal):
            transaction.is_failed = True
            if is_unsent(begun, is_read=transaction.read_only):
                await self._host.withdraw_operation(access)
            return begun
        transaction.pin = begun.pin
        transaction.forwarded = begun.forwarded
        if isinstance(request.operation, Commit):
            await self.release_connection(
                transaction, begun.answer.transaction_state
            )
        return begun.answer

    async def _run_forwarded(
        self,
        statement: Statement,
        transaction: Transaction,
        forwarded: ForwardedTransaction,
    ) -> Outcome:
        """Run a statement on the node that runs the transaction."""
        is_commit = isinstance(statement.operation, Commit)
        outcome = await forwarded.run(
            statement,
            may_have_committed=is_commit and transaction.has_written,
        )
        if isinstance(outcome, Refusal) or is_commit:
            transaction.forwarded = None
        if isinstance(outcome, Refusal):
            transaction.is_failed = True
        elif is_commit and transaction.has_written:
            self._state.record_change(outcome)
        return outcome

    async def _run_pinned(
        self,
        statement: Statement,
        transaction: Transaction,
        pin: PinnedConnection,
    ) -> Outcome:
        timeout = transaction.route.statement_timeout - ANSWER_MARGIN_S
        deadline = await curio.clock() + timeout
        gate = pin.handle.gate
        permit = await gate.acquire(
            transaction.route.priority,
            await compute_slot_timeout(pin.handle, deadline),
            is_open=True,
        )
        if permit is None:
            # Also a COMMIT has not been sent, so nothing is kept.
            return await self.fail(NO_SLOT_REASON)
        try:
            return await self._run_admitted(
                statement, transaction, pin, permit, deadline
            )
        finally:
            await gate.release(permit)

    async def _run_admitted(
        self,
        statement: Statement,
        transaction: Transaction,
        pin: PinnedConnection,
        permit: SlotPermit,
        deadline: float,
    ) -> Outcome:
        request = statement.request
        timeout = deadline - await curio.clock()
        if Policy.LOST_ANSWERS in self._host.policies:
            timeout = min(timeout, _compute_timeout(request, transaction, pin))
        try:
            async with curio.timeout_after(timeout):
                reply = await self._send_until_run(statement, pin)
        except curio.TaskTimeout:
            pin.handle.record_timeout(await curio.clock())
            return await self._fail_pinned(request, 'no answer in time')
        except ConnectionError as error:
            pin.handle.record_failure(await curio.clock(), error)
            return await self._fail_pinned(request, repr(error))
        await pin.handle.gate.release(permit)
        pin.handle.record_answer(await curio.clock())
        if isinstance(reply, Rejection):
            return await self._reject_pinned(request, reply)
        if isinstance(request.operation, Commit):
            return await self._finish_commit(reply, transaction, pin)
        return reply

    async def _send_until_run(
        self,
        statement: Statement,
        pin: PinnedConnection,
    ) -> Answer | Rejection:
        """Send a statement; repeat it if the server was too busy to run it."""
        for delay in BUSY_RETRY_DELAYS_S:
            reply = await self._send_pinned(statement, pin)
            if not _can_repeat(reply):
                return reply
            await curio.sleep(delay)
        return await self._send_pinned(statement, pin)

    async def _send_pinned(
        self,
        statement: Statement,
        pin: PinnedConnection,
    ) -> Answer | Rejection:
        link = pin.lease.link
        rejection = await prepare_link(link, statement)
        if rejection is not None:
            return rejection
        sent_at = await curio.clock()
        reply = await run_on_link(link, statement)
        if isinstance(reply, Answer):
            seconds = await curio.clock() - sent_at
            pin.handle.response_times.record(seconds)
        return reply

    async def _finish_commit(
        self,
        answer: Answer,
        transaction: Transaction,
        pin: PinnedConnection,
    ) -> Outcome:
        await self.release_connection(transaction, answer.transaction_state)
        executor = self._host.find_executor(transaction.route.service)
        if executor is None or not transaction.has_written:
            return answer
        confirmed = await executor.confirm_change(answer, pin.term)
        if isinstance(confirmed, Answer):
            self._state.record_change(confirmed)
        return confirmed

    async def _fail_pinned(self, request: Request, reason: str) -> Outcome:
        """Fail the transaction after a statement that was not answered."""
        transaction = self._state.transaction
        if transaction is None or transaction.pin is None:
            return refuse(Code.TRANSACTION_LOST, reason)
        pin = transaction.pin
        transaction.pin = None
        transaction.is_failed = True
        await pin.handle.release(pin.lease, is_clean=False)
        is_commit = isinstance(request.operation, Commit)
        if is_commit and transaction.has_written:
            return refuse(Code.CONNECTION_LOST, reason)
        # Without COMMIT the transaction has no effect.
        return refuse(Code.TRANSACTION_LOST, reason)

    async def _reject_pinned(
        self,
        request: Request,
        rejection: Rejection,
    ) -> Outcome:
        transaction = self._state.transaction
        is_commit = isinstance(request.operation, Commit)
        is_not_run = rejection.cause.is_not_run
        if is_commit and transaction is not None:
            may_have_committed = transaction.has_written and not is_not_run
            if (
                may_have_committed
                and rejection.transaction_state is not TransactionState.IDLE
            ):
                may_have_committed = False
            await self.release_connection(
                transaction, rejection.transaction_state
            )
            code = (
                Code.CONNECTION_LOST
                if may_have_committed
                else Code.TRANSACTION_LOST
            )
            return refuse(code, rejection.text)
        return await self.fail(rejection.text, rejection.transaction_state)


def _can_repeat(reply: Answer | Rejection) -> bool:
    """Return whether a statement was not run and its transaction is open."""
    return (
        isinstance(reply, Rejection)
        and reply.cause is RejectionCause.OVERLOADED
        and reply.transaction_state is TransactionState.OPEN
    )


def _compute_timeout(
    request: Request,
    transaction: Transaction,
    pin: PinnedConnection,
) -> float:
    """Return the timeout of a statement in a transaction, in seconds.

    A COMMIT of changes has none besides the statement limit of the route: its
    outcome is unknown without an answer.
    """
    if isinstance(request.operation, Commit) and transaction.has_written:
        return math.inf
    timeout = pin.handle.response_times.timeout * PINNED_TIMEOUT_FACTOR
    return max(MIN_PINNED_TIMEOUT_S, timeout)
