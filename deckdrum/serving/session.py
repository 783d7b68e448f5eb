"""Protocol-independent handling of a caller's operations."""

from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.control import Access
from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Prepare,
    Request,
    Rollback,
    Run,
    SetValue,
    TransactionState,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.host import Outcome, SessionHost, is_unsent
from deckdrum.serving.state import (
    PreparedStatement,
    SessionState,
    Transaction,
)
from deckdrum.serving.transactions import TransactionRunner


class CallerSession:
    """Runs the operations of one caller, one at a time.

    Parameters
    ----------
    host : SessionHost
        The node.
    database : str
        Database name that the caller has connected to.
    fingerprint : str
        Fingerprint of the caller's key.
    """

    def __init__(
        self,
        host: SessionHost,
        database: str,
        fingerprint: str = '',
    ) -> None:
        self._host = host
        self.state = SessionState(database, fingerprint)
        self._transactions = TransactionRunner(host, self.state)
        self.is_busy = False
        #: When the last operation ended, on the clock of `curio.clock`.
        self.idle_since: float = 0

    @property
    def transaction_state(self) -> TransactionState:
        """Transaction status of the session."""
        return self.state.transaction_state

    @property
    def is_inactive(self) -> bool:
        """Whether no operation is running and no transaction is open."""
        return not self.is_busy and self.state.transaction is None

    @property
    def has_idle_transaction(self) -> bool:
        """Whether a transaction is open while no operation is running."""
        return not self.is_busy and self.state.transaction is not None

    async def execute(self, request: Request) -> Outcome:
        """Run an operation and return its outcome."""
        self.is_busy = True
        began = await curio.clock()
        try:
            method = _OPERATION_METHODS[type(request.operation)]
            outcome = await method(self, request)
        except Exception as error:
            # A defect.  Without an answer the caller could not tell it from a
            # failure of the network.
            outcome = await self._fail_operation(error)
        finally:
            self.is_busy = False
            self.idle_since = await curio.clock()
        seconds = self.idle_since - began
        self._host.record_outcome(self, request, outcome, seconds)
        return outcome

    async def abort_transaction(self, reason: str) -> None:
        """Roll back the open transaction and report it to the next request.

        Must not be called while an operation is running.
        """
        transaction = self.state.transaction
        if transaction is not None and not transaction.is_failed:
            transaction.is_failed = True
            transaction.unreported_failure = reason
            await self._transactions.release_connection(
                transaction, TransactionState.OPEN
            )

    async def close(self) -> None:
        """End the session and roll back an open transaction."""
        transaction = self.state.transaction
        self.state.transaction = None
        if transaction is not None:
            await self._transactions.release_connection(
                transaction, TransactionState.OPEN
            )

    async def _fail_operation(self, error: Exception) -> Refusal:
        """Return the refusal of an operation that ended unexpectedly."""
        transaction = self.state.transaction
        if transaction is not None:
            transaction.is_failed = True
            await self._transactions.release_connection(
                transaction, TransactionState.OPEN
            )
        return refuse(Code.CONNECTION_LOST, repr(error))

    async def _set_value(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, SetValue) or self._has_failed():
            return _refuse_out_of_order(request)
        acknowledged = self.state.values
        self.state.values = {**acknowledged, operation.name: operation.value}
        is_applied = False
        try:
            outcome = await self._transactions.apply_value(operation)
            is_applied = isinstance(outcome, Answer)
        finally:
            if not is_applied:
                # Statements run with the values that the caller knows to be
                # set.
                self.state.values = acknowledged
        return outcome

    async def _prepare(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, Prepare) or self._has_failed():
            return _refuse_out_of_order(request)
        self.state.prepared[operation.name] = PreparedStatement(
            operation.effect,
            operation.template,
        )
        return Answer(transaction_state=self.transaction_state)

    async def _deallocate(self, request: Request) -> Outcome:
        operation = request.operation
        if not isinstance(operation, Deallocate) or self._has_failed():
            return _refuse_out_of_order(request)
        if self.state.prepared.pop(operation.name, None) is None:
            return refuse(Code.UNKNOWN_STATEMENT, operation.name)
        return Answer(transaction_state=self.transaction_state)

    async def _begin(self, request: Request) -> Outcome:
        operation = request.operation
        is_open = self.state.transaction is not None
        if not isinstance(operation, Begin) or is_open:
            return _refuse_out_of_order(request)
        access = await self._admit()
        if isinstance(access, Refusal):
            return access
        self.state.transaction = Transaction(operation.read_only, access.route)
        return Answer(transaction_state=TransactionState.OPEN)

    async def _rollback(self, request: Request) -> Outcome:
        transaction = self.state.transaction
        if transaction is None:
            return _refuse_out_of_order(request)
        self.state.transaction = None
        await self._transactions.release_connection(
            transaction, TransactionState.OPEN
        )
        return Answer()

    async def _commit(self, request: Request) -> Outcome:
        transaction = self.state.transaction
        if transaction is None:
            return _refuse_out_of_order(request)
        if transaction.is_failed:
            await self.close()
            return refuse(Code.TRANSACTION_LOST, 'it had failed before')
        outcome = await self._transactions.run(request, transaction)
        self.state.transaction = None
        return outcome

    async def _run_statement(self, request: Request) -> Outcome:
        effect = self._find_effect(request)
        if isinstance(effect, Refusal):
            return effect
        if self._has_failed():
            return self._take_unreported_failure() or _refuse_out_of_order(
                request
            )
        transaction = self.state.transaction
        if transaction is not None:
            return await self._run_in_transaction(request, effect, transaction)
        access = await self._admit()
        if isinstance(access, Refusal):
            return access
        route = access.route
        runner = self._host.find_runner(
            route.service,
            self.state.workspace,
        )
        if runner is None:
            return refuse(Code.NOT_CONFIGURED, route.service)
        outcome = await runner.run_autocommit(
            self.state.capture(request), effect, route
        )
        if isinstance(outcome, Answer) and effect is Effect.WRITE:
            self.state.record_change(outcome)
        if is_unsent(outcome, is_read=effect is Effect.READ):
            await self._host.withdraw_operation(access)
        return outcome

    async def _run_in_transaction(
        self,
        request: Request,
        effect: Effect,
        transaction: Transaction,
    ) -> Outcome:
        if effect is Effect.WRITE:
            if transaction.read_only:
                return await self._transactions.fail(
                    'it only reads', code=Code.READ_ONLY
                )
            transaction.has_written = True
        return await self._transactions.run(request, transaction)

    async def _admit(self) -> Access | Refusal:
        """Return the access of an operation that its workspace's limit admits.

        The workspace is stored in the session's state.
        """
        access = self._host.authorize(self.state)
        if isinstance(access, Refusal):
            return access
        self.state.workspace = access.workspace.name
        return await self._host.admit_operation(access) or access

    def _take_unreported_failure(self) -> Refusal | None:
        """Return a refusal for a rolled back transaction, once."""
        transaction = self.state.transaction
        if transaction is None or not transaction.unreported_failure:
            return None
        reason = transaction.unreported_failure
        transaction.unreported_failure = ''
        return refuse(Code.TRANSACTION_LOST, reason)

    def _has_failed(self) -> bool:
        return self.transaction_state is TransactionState.FAILED

    def _find_effect(self, request: Request) -> Effect | Refusal:
        operation = request.operation
        if isinstance(operation, Run):
            return operation.effect
        if not isinstance(operation, Execute):
            return _refuse_out_of_order(request)
        statement = self.state.prepared.get(operation.name)
        if statement is None:
            return refuse(Code.UNKNOWN_STATEMENT, operation.name)
        return statement.effect


def _refuse_out_of_order(request: Request) -> Refusal:
    name = type(request.operation).__name__
    return refuse(Code.PROTOCOL_VIOLATION, f'{name} is not possible here')


_OperationMethod = Callable[[CallerSession, Request], Awaitable[Outcome]]
_MethodTable = MappingProxyType[type[Any], _OperationMethod]
_OPERATION_METHODS: Final[_MethodTable] = MappingProxyType(
    {
        SetValue: CallerSession._set_value,
        Prepare: CallerSession._prepare,
        Deallocate: CallerSession._deallocate,
        Begin: CallerSession._begin,
        Rollback: CallerSession._rollback,
        Commit: CallerSession._commit,
        Run: CallerSession._run_statement,
        Execute: CallerSession._run_statement,
    },
)
