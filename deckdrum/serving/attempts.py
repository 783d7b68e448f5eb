"""A single attempt to run a statement on one server."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

import curio

from deckdrum.backends import BackendLink, Call
from deckdrum.load.queueing import compute_retry_after
from deckdrum.operations import (
    Answer,
    Execute,
    Prepare,
    Rejection,
    RejectionCause,
    Rollback,
    SetValue,
    TransactionState,
)
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.servers import (
    RECENT_ANSWER_WINDOW_S,
    ServerHandle,
    ServerLease,
)
from deckdrum.serving.slots import NoSlotError, SlotPermit
from deckdrum.serving.state import PreparedStatement, Statement
from deckdrum.sessions import Position

#: Lower bound for the timeout of an attempt.
_MIN_ATTEMPT_TIMEOUT_S: Final = 0.005
#: Timeout for acquiring and preparing a connection.  It exceeds the wait for
#: one of few connections (`SCARCE_CONNECTION_TIMEOUT_S`) and leaves time for a
#: second attempt within a statement limit of 1 s.
PREPARE_TIMEOUT_S: Final = 0.4
#: Timeout for the wait in the local queue.  The rest of `PREPARE_TIMEOUT_S` is
#: for opening a connection, so that a timeout there indicates a server failure.
POOL_QUEUE_TIMEOUT_S: Final = 0.3
#: An answer counts as lost after this multiple of the server's answer timeout
#: if the server has answered other requests meanwhile.  A change whose answer
#: is lost has an unknown outcome, hence the longer wait.
REPEATABLE_LOST_FACTOR: Final = 3
CHANGE_LOST_FACTOR: Final = 8
#: Reason of a refusal by the gate of a server.
NO_SLOT_REASON: Final = 'the server has no slot free'
#: Timeout for the rollback before a connection is returned to the pool.
_ROLLBACK_TIMEOUT_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The result of an attempt that received no answer.

    Attributes
    ----------
    was_sent : bool
        Whether the statement may have reached the server.
    is_late : bool
        Whether the attempt timed out; otherwise the connection failed.
    reason : str
        Description of the failure.
    """

    was_sent: bool
    is_late: bool
    reason: str


AttemptOutcome = Answer | Rejection | Refusal | NoAnswer


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to run one statement on one server.

    Points in time are those of `curio.clock`.

    Attributes
    ----------
    handle : ServerHandle
        The server.
    statement : Statement
        The statement as it was read.
    min_position : Position or None
        Position that the server's log must include.
    deadline : float
        Time at which the attempt is given up.
    start_deadline : float
        Time by which a connection is needed to meet the route's objective.
    priority : int
        Priority of the route; 0 is the most urgent.
    """

    handle: ServerHandle
    statement: Statement
    min_position: Position | None
    deadline: float
    start_deadline: float = math.inf
    priority: int = 1
    #: The leased connection; kept after success if a transaction was opened.
    lease: ServerLease | None = None
    #: The server's slot, from sending the statement until its answer or until
    #: the connection is closed.
    permit: SlotPermit | None = None
    started_at: float = 0
    was_sent: bool = False
    #: When the statement was sent; infinite unless an answer is pending.
    sent_at: float = float('inf')
    #: Whether `abandon` has closed the connection.
    is_abandoned: bool = False
    #: The task that runs the attempt.
    task: Any = None
    #: Whether the caller has been answered, so that nothing more is sent.
    is_ended: bool = False
    #: Whether the connection is prepared and nothing was sent on it since.
    _is_waiting_for_slot: bool = False

    async def run(self) -> AttemptOutcome:
        """Run the statement and release the connection unless it is kept."""
        try:
            return await self._run_in_time()
        except BaseException:
            await self.discard()
            raise
        finally:
            await self._release_slot()

    async def end(self, *, is_awaited: bool) -> None:
        """End the attempt if it still waits; one that was sent goes on.

        Parameters
        ----------
        is_awaited : bool
            Whether to wait until nothing of the attempt is in progress.
        """
        if not self.was_sent and not self.is_ended:
            self.is_ended = True
            await self.task.cancel(blocking=is_awaited)

    async def discard(self) -> None:
        """Return the connection of an attempt that did not end as planned.

        It is closed if something may be in progress on it.
        """
        lease = self.lease
        self.lease = None
        if lease is not None:
            is_clean = self._is_waiting_for_slot and not self.statement.begin
            await self.handle.release(lease, is_clean)

    def is_overdue(self, now: float) -> bool:
        """Return whether the answer exceeds the server's answer timeout."""
        return now > self.sent_at + self.handle.response_times.timeout

    def is_lost(self, now: float, timeout_factor: float) -> bool:
        """Return whether the answer is presumed lost.

        Parameters
        ----------
        now : float
            Current time of `curio.clock`.
        timeout_factor : float
            Multiple of the server's answer timeout that must have passed.
        """
        answer_timeout = self.handle.response_times.timeout
        has_answered_since = (
            self.handle.answered_at > self.sent_at + answer_timeout
        )
        if self.is_abandoned or not has_answered_since:
            return False
        return now > self.sent_at + answer_timeout * timeout_factor

    async def abandon(self) -> None:
        """Stop waiting for an answer by closing the connection."""
        lease = self.lease
        if lease is not None and not self.is_abandoned:
            self.is_abandoned = True
            await lease.link.close()

    async def _run_in_time(self) -> AttemptOutcome:
        self.started_at = await curio.clock()
        timeout = max(self.deadline - self.started_at, _MIN_ATTEMPT_TIMEOUT_S)
        try:
            async with curio.timeout_after(timeout):
                outcome = await self._run(timeout)
        except curio.TaskTimeout:
            if self.handle.answered_at < self.started_at:
                self.handle.record_timeout(await curio.clock())
            return await self._give_up('no answer in time', is_late=True)
        except ConnectionError as error:
            if self.is_abandoned:
                return await self._give_up('the answer is lost', is_late=True)
            self.handle.record_failure(await curio.clock(), error)
            return await self._give_up(repr(error), is_late=False)
        if isinstance(outcome, Refusal | NoAnswer):
            return outcome
        now = await curio.clock()
        has_answer = isinstance(outcome, Answer)
        self.handle.record_answer(
            now, now - self.started_at if has_answer else None
        )
        if self.statement.begin is None or not isinstance(outcome, Answer):
            await self._release_lease(outcome.transaction_state)
        return outcome

    async def _run(self, timeout: float) -> AttemptOutcome:
        gate = self.handle.gate
        try:
            async with curio.timeout_after(min(timeout, PREPARE_TIMEOUT_S)):
                refusal = await self._prepare_connection(timeout)
        except curio.TaskTimeout:
            now = await curio.clock()
            is_up = self.handle.has_answered(now - RECENT_ANSWER_WINDOW_S)
            if self.lease is None and is_up and gate.is_full(now):
                # It has waited for a slot, which is no failure of the server.
                return await refuse_without_slot(self.handle)
            self.handle.record_timeout(now)
            return await self._give_up('no connection in time', is_late=False)
        if refusal is not None:
            return refusal
        lease = self.lease
        if lease is None:
            raise BrokenInvariantError('a prepared attempt has no connection')
        not_admitted = await self._acquire_slot()
        if not_admitted is not None:
            return not_admitted
        self.was_sent = True
        self.sent_at = await curio.clock()
        outcome = await run_on_link(
            lease.link,
            self.statement,
            self.min_position if self.statement.begin is None else None,
        )
        await self._release_slot()
        if isinstance(outcome, Answer):
            self.handle.response_times.record(
                await curio.clock() - self.sent_at
            )
        self.sent_at = float('inf')
        return outcome

    async def _acquire_slot(self) -> Refusal | NoAnswer | None:
        """Wait for a slot; return why the statement is not sent, or None."""
        self._is_waiting_for_slot = True
        self.permit = await self.handle.gate.acquire(
            self.priority,
            await compute_slot_timeout(self.handle, self.deadline),
        )
        if self.permit is None:
            await self._release_unsent()
            return await refuse_without_slot(self.handle)
        if self.is_ended:
            # It was admitted before its task noticed that it is cancelled.
            return await self._give_up('its caller is answered', is_late=True)
        self._is_waiting_for_slot = False
        return None

    async def _prepare_connection(
        self, timeout: float
    ) -> Rejection | Refusal | None:
        """Acquire and prepare a connection; return why it failed, or None."""
        statement = self.statement
        self.handle.gate.priorities[statement.database] = self.priority
        try:
            lease = await self.handle.acquire(
                statement.database,
                min(timeout, POOL_QUEUE_TIMEOUT_S),
                statement.values,
                max(0, self.start_deadline - self.started_at),
                statement.workspace,
            )
        except NoSlotError:
            return await refuse_without_slot(self.handle)
        if isinstance(lease, Refusal):
            return lease
        self.lease = lease
        rejection = await prepare_link(lease.link, statement)
        if rejection is not None or statement.begin is None:
            return rejection
        begun = await lease.link.run(
            Call(statement.begin, min_position=self.min_position)
        )
        return begun if isinstance(begun, Rejection) else None

    async def _give_up(self, reason: str, *, is_late: bool) -> NoAnswer:
        await self.discard()
        return NoAnswer(self.was_sent, is_late, reason)

    async def _release_slot(self) -> None:
        permit = self.permit
        self.permit = None
        if permit is not None:
            await self.handle.gate.release(permit)

    async def _release_unsent(self) -> None:
        """Release the connection if only BEGIN was sent on it, or nothing."""
        await self._release_lease(
            TransactionState.IDLE
            if self.statement.begin is None
            else TransactionState.OPEN
        )

    async def _release_lease(self, transaction_state: TransactionState) -> None:
        lease = self.lease
        self.lease = None
        if lease is not None:
            await release_link(self.handle, lease, transaction_state)


async def compute_slot_timeout(handle: ServerHandle, deadline: float) -> float:
    """Return how long a statement may wait for a slot, in seconds.

    This leaves the time within which the server answers, but at most half of
    the time to `deadline`.
    """
    now: float = await curio.clock()
    remaining = max(0, deadline - now)
    return remaining - min(handle.response_times.timeout, remaining / 2)


async def refuse_without_slot(handle: ServerHandle) -> Refusal:
    """Return a refusal with the time after which a slot is expected."""
    gate = handle.gate
    slots = max(1, gate.compute_limit(await curio.clock()))
    wait = handle.response_times.mean * (gate.waiting + 1) / slots
    retry_after = compute_retry_after(wait, gate.rejected.total())
    return refuse(Code.QUEUE_TIMEOUT, NO_SLOT_REASON, retry_after)


async def release_link(
    handle: ServerHandle,
    lease: ServerLease,
    transaction_state: TransactionState,
) -> None:
    """Release a connection after a complete answer.

    A transaction that is still open is rolled back.
    """
    is_clean = transaction_state is TransactionState.IDLE
    try:
        if not is_clean:
            # A rollback frees resources of the server, so it does not wait.
            async with handle.gate.count():
                is_clean = await _roll_back(lease.link)
    finally:
        await handle.release(lease, is_clean)


async def _roll_back(link: BackendLink) -> bool:
    """Roll back and return whether the connection can be reused."""
    try:
        async with curio.timeout_after(_ROLLBACK_TIMEOUT_S):
            reply = await link.run(Call(Rollback()))
    except (ConnectionError, curio.TaskTimeout):
        return False
    return isinstance(reply, Answer)


async def run_on_link(
    link: BackendLink,
    statement: Statement,
    min_position: Position | None = None,
) -> Answer | Rejection:
    """Run a caller's statement on a prepared connection."""
    operation = statement.operation
    prepared = statement.prepared
    if isinstance(operation, Execute) and prepared is not None:
        name = link.state.prepared[prepared.effect, prepared.template]
        operation = Execute(name, operation.arguments)
    return await link.run(Call(operation, statement.request.id, min_position))


async def prepare_link(
    link: BackendLink,
    statement: Statement,
) -> Rejection | None:
    """Set the session's values and prepare the statement on a connection.

    Returns a rejection by the server; the statement has not been sent then.
    """
    if link.state.values != statement.values:
        rejection = await _replace_values(link, statement.values)
        if rejection is not None:
            return rejection
    if statement.prepared is not None:
        return await _prepare_statement(link, statement.prepared)
    return None


async def _replace_values(
    link: BackendLink,
    session_values: Mapping[str, str],
) -> Rejection | None:
    has_extra = any(name not in session_values for name in link.state.values)
    if has_extra and not await link.reset():
        return Rejection(RejectionCause.OVERLOADED, 'cannot be reset')
    for name, value in session_values.items():
        if link.state.values.get(name) == value:
            continue
        reply = await link.run(Call(SetValue(name, value)))
        if isinstance(reply, Rejection):
            return reply
        link.state.values[name] = value
    return None


async def _prepare_statement(
    link: BackendLink,
    prepared: PreparedStatement,
) -> Rejection | None:
    key = (prepared.effect, prepared.template)
    if key in link.state.prepared:
        return None
    # A name is never reused on a connection: it must not refer to another
    # caller's statement.
    name = f'p{len(link.state.prepared) + 1}'
    reply = await link.run(
        Call(Prepare(name, prepared.effect, prepared.template)),
    )
    if isinstance(reply, Rejection):
        return reply
    link.state.prepared[key] = name
    return None
