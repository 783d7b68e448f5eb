"""One caller's session: what each operation means, whatever the protocol."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.control import Route
from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Prepare,
    Rejection,
    Request,
    Rollback,
    Run,
    SetValue,
    Standing,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.attempts import prepare_link, release_link, run_on_link
from deckdrum.serving.execution import ANSWER_MARGIN, Execution
from deckdrum.serving.state import (
    Pin,
    PreparedStatement,
    SessionState,
    Transaction,
)

Outcome = Answer | Refusal


class SessionHost(ABC):
    """What a session needs of its node."""

    @abstractmethod
    def find_route(self, database: str) -> Route | None:
        """Return the route in force for a database name."""

    @abstractmethod
    def find_execution(self, service: str) -> Execution | None:
        """Return what runs statements of a group."""

    @abstractmethod
    def note_outcome(
        self,
        session: 'CallerSession',
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count an answered operation."""


class CallerSession:
    """Runs one caller's operations, one at a time.

    Parameters
    ----------
    host : SessionHost
        The node.
    database : str
        The database name that the caller has connected to.
    """

    def __init__(self, host: SessionHost, database: str) -> None:
        self._host = host
        self.state = SessionState(database)
        self.is_busy = False
        #: When the last operation ended, in kernel seconds.
        self.rested_at: float = 0

    @property
    def standing(self) -> Standing:
        """Whether the session is inside a transaction."""
        return self.state.standing

    @property
    def is_at_rest(self) -> bool:
        """Whether no request and no transaction is under way."""
        return not self.is_busy and self.state.transaction is None

    async def execute(self, request: Request) -> Outcome:
        """Run an operation and return its outcome."""
        self.is_busy = True
        began = await curio.clock()
        try:
            perform = _PERFORMERS[type(request.operation)]
            outcome = await perform(self, request)
        finally:
            self.is_busy = False
            self.rested_at = await curio.clock()
        self._host.note_outcome(self, outcome, self.rested_at - began)
        return outcome

    async def abandon_transaction(self, reason: str) -> None:
        """Roll back the open transaction; the caller's next request tells it.

        Called between two operations only.
        """
        transaction = self.state.transaction
        if transaction is not None and not transaction.is_failed:
            transaction.is_failed = True
            transaction.untold = reason
            await self._free(transaction, Standing.OPEN)

    async def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        transaction = self.state.transaction
        self.state.transaction = None
        if transaction is not None:
            await self._free(transaction, Standing.OPEN)

    async def _set_value(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, SetValue) or self._has_failed():
            return _refuse_order(request)
        pin = self._pin
        self.state.values = {
            **self.state.values,
            operation.name: operation.value,
        }
        if pin is None:
            return Answer(standing=self.standing)
        try:
            rejection = await prepare_link(
                pin.lease.link, self.state, operation
            )
        except ConnectionError as error:
            return await self._fail(repr(error))
        if rejection is not None:
            return await self._fail(rejection.text, rejection.standing)
        return Answer(standing=self.standing)

    async def _prepare(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, Prepare) or self._has_failed():
            return _refuse_order(request)
        self.state.prepared[operation.name] = PreparedStatement(
            operation.effect,
            operation.shape,
        )
        return Answer(standing=self.standing)

    async def _deallocate(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, Deallocate) or self._has_failed():
            return _refuse_order(request)
        if self.state.prepared.pop(operation.name, None) is None:
            return refuse(Code.UNKNOWN_STATEMENT, operation.name)
        return Answer(standing=self.standing)

    async def _begin(self, request: Request) -> Outcome:
        operation = request.operation
        is_open = self.state.transaction is not None
        if not isinstance(operation, Begin) or is_open:
            return _refuse_order(request)
        route = self._host.find_route(self.state.database)
        if route is None:
            return refuse(Code.NOT_CONFIGURED, self.state.database)
        self.state.transaction = Transaction(operation.read_only, route)
        return Answer(standing=Standing.OPEN)

    async def _rollback(self, request: Request) -> Outcome:
        transaction = self.state.transaction
        if transaction is None:
            return _refuse_order(request)
        self.state.transaction = None
        await self._free(transaction, Standing.OPEN)
        return Answer()

    async def _commit(self, request: Request) -> Outcome:
        transaction = self.state.transaction
        if transaction is None:
            return _refuse_order(request)
        if transaction.is_failed:
            await self.close()
            return refuse(Code.TRANSACTION_LOST, 'it had failed before')
        outcome = await self._run_in_transaction(request, transaction)
        self.state.transaction = None
        return outcome

    async def _statement(self, request: Request) -> Outcome:
        effect = self._find_effect(request)
        if isinstance(effect, Refusal):
            return effect
        if self._has_failed():
            return self._tell_loss() or _refuse_order(request)
        transaction = self.state.transaction
        if transaction is not None:
            return await self._run_checked(request, effect, transaction)
        route = self._host.find_route(self.state.database)
        if route is None:
            return refuse(Code.NOT_CONFIGURED, self.state.database)
        execution = self._host.find_execution(route.service)
        if execution is None:
            return refuse(Code.NOT_CONFIGURED, route.service)
        return await execution.run_single(request, effect, route, self.state)

    async def _run_checked(
        self,
        request: Request,
        effect: Effect,
        transaction: Transaction,
    ) -> Outcome:
        if effect is Effect.WRITE:
            if transaction.read_only:
                return await self._fail('it only reads', code=Code.READ_ONLY)
            transaction.has_written = True
        return await self._run_in_transaction(request, transaction)

    async def _run_in_transaction(
        self,
        request: Request,
        transaction: Transaction,
    ) -> Outcome:
        if transaction.pin is None:
            return await self._run_first(request, transaction)
        return await self._run_pinned(request, transaction, transaction.pin)

    async def _run_first(
        self,
        request: Request,
        transaction: Transaction,
    ) -> Outcome:
        """Open the transaction on a server with its first statement."""
        # A new configuration may have come since BEGIN was answered.
        route = self._host.find_route(self.state.database)
        execution = self._host.find_execution(route.service) if route else None
        if route is None or execution is None:
            return await self._fail('its route was removed')
        transaction.route = route
        begin = Begin(transaction.read_only)
        begun = await execution.begin(request, begin, route, self.state)
        if isinstance(begun, Refusal):
            transaction.is_failed = True
            return begun
        transaction.pin = begun.pin
        if isinstance(request.operation, Commit):
            await self._free(transaction, begun.answer.standing)
        return begun.answer

    async def _run_pinned(
        self,
        request: Request,
        transaction: Transaction,
        pin: Pin,
    ) -> Outcome:
        limit = transaction.route.statement_limit - ANSWER_MARGIN
        try:
            async with curio.timeout_after(limit):
                reply = await self._send_pinned(request, pin)
        except curio.TaskTimeout:
            pin.handle.note_silence(await curio.clock())
            return await self._lose_pinned(request, 'no answer in time')
        except ConnectionError as error:
            pin.handle.note_failure(await curio.clock(), error)
            return await self._lose_pinned(request, repr(error))
        pin.handle.note_answer(await curio.clock())
        if isinstance(reply, Rejection):
            return await self._reject_pinned(request, reply)
        if isinstance(request.operation, Commit):
            return await self._finish_commit(reply, transaction, pin)
        return reply

    async def _send_pinned(
        self,
        request: Request,
        pin: Pin,
    ) -> Answer | Rejection:
        link = pin.lease.link
        rejection = await prepare_link(link, self.state, request.operation)
        if rejection is not None:
            return rejection
        return await run_on_link(
            link,
            self.state,
            request.operation,
            request.id,
        )

    async def _finish_commit(
        self,
        answer: Answer,
        transaction: Transaction,
        pin: Pin,
    ) -> Outcome:
        await self._free(transaction, answer.standing)
        execution = self._host.find_execution(transaction.route.service)
        if execution is None or not transaction.has_written:
            return answer
        return await execution.vouch(answer, pin.term, self.state)

    async def _lose_pinned(self, request: Request, reason: str) -> Outcome:
        """Answer for a statement whose connection gave no answer."""
        transaction = self.state.transaction
        pin = self._pin
        if pin is not None:
            await pin.handle.pool.release(pin.lease, is_clean=False)
        if transaction is None:
            return refuse(Code.TRANSACTION_LOST, reason)
        transaction.pin = None
        transaction.is_failed = True
        is_commit = isinstance(request.operation, Commit)
        if is_commit and transaction.has_written:
            return refuse(Code.CONNECTION_LOST, reason)
        # Without COMMIT nothing of a transaction is kept.
        return refuse(Code.TRANSACTION_LOST, reason)

    async def _reject_pinned(
        self,
        request: Request,
        rejection: Rejection,
    ) -> Outcome:
        transaction = self.state.transaction
        is_commit = isinstance(request.operation, Commit)
        is_known = rejection.cause.is_not_run
        if is_commit and transaction is not None:
            may_last = transaction.has_written and not is_known
            if may_last and rejection.standing is not Standing.IDLE:
                may_last = False
            await self._free(transaction, rejection.standing)
            code = Code.CONNECTION_LOST if may_last else Code.TRANSACTION_LOST
            return refuse(code, rejection.text)
        return await self._fail(rejection.text, rejection.standing)

    async def _fail(
        self,
        reason: str,
        standing: Standing = Standing.OPEN,
        code: Code = Code.TRANSACTION_LOST,
    ) -> Outcome:
        """Mark the transaction as failed and roll it back on its server."""
        transaction = self.state.transaction
        if transaction is not None:
            transaction.is_failed = True
            await self._free(transaction, standing)
        return refuse(code, reason)

    async def _free(
        self,
        transaction: Transaction,
        standing: Standing,
    ) -> None:
        """Give the transaction's connection back, rolled back if open."""
        pin = transaction.pin
        transaction.pin = None
        if pin is not None:
            await release_link(pin.handle, pin.lease, standing)

    def _tell_loss(self) -> Refusal | None:
        """Tell once that the product has rolled the transaction back."""
        transaction = self.state.transaction
        if transaction is None or not transaction.untold:
            return None
        reason = transaction.untold
        transaction.untold = ''
        return refuse(Code.TRANSACTION_LOST, reason)

    def _has_failed(self) -> bool:
        return self.standing is Standing.FAILED

    @property
    def _pin(self) -> Pin | None:
        transaction = self.state.transaction
        return None if transaction is None else transaction.pin

    def _find_effect(self, request: Request) -> Effect | Refusal:
        operation = request.operation
        if isinstance(operation, Run):
            return operation.effect
        if not isinstance(operation, Execute):
            return _refuse_order(request)
        statement = self.state.prepared.get(operation.name)
        if statement is None:
            return refuse(Code.UNKNOWN_STATEMENT, operation.name)
        return statement.effect


def _refuse_order(request: Request) -> Refusal:
    name = type(request.operation).__name__
    return refuse(Code.PROTOCOL_VIOLATION, f'{name} is not possible here')


_Performer = Callable[[CallerSession, Request], Awaitable[Outcome]]
_PERFORMERS: Final[MappingProxyType[type[Any], _Performer]] = MappingProxyType(
    {
        SetValue: CallerSession._set_value,
        Prepare: CallerSession._prepare,
        Deallocate: CallerSession._deallocate,
        Begin: CallerSession._begin,
        Rollback: CallerSession._rollback,
        Commit: CallerSession._commit,
        Run: CallerSession._statement,
        Execute: CallerSession._statement,
    },
)
