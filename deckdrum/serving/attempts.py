"""One try to run a statement on one server."""

import math
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.backends import BackendLink, Call
from deckdrum.operations import (
    Answer,
    Begin,
    Execute,
    Operation,
    Prepare,
    Rejection,
    RejectionCause,
    Rollback,
    SetValue,
    Standing,
)
from deckdrum.outcomes import Refusal
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.serving.state import PreparedStatement, SessionState
from deckdrum.sessions import Position

#: Least time for a connection and a statement, in seconds.
_MIN_ATTEMPT_TIMEOUT_S: Final = 0.005
#: Longest wait until a statement can be sent, in seconds: more than that for
#: one of few connections (0.25).  What was not sent may be tried another way,
#: and with a limit of 1 s twice.
PREPARE_TIMEOUT_S: Final = 0.4
#: Longest wait in this node's own queue of it, in seconds: the rest is for a
#: new connection, so that one that does not come tells of the server.
POOL_QUEUE_TIMEOUT_S: Final = 0.3
#: Times the patience with a server after which an answer counts as lost, if
#: the server has answered others meanwhile; of a statement that leaves nothing
#: behind, and of a change, which is in doubt then.
READ_LOST_FACTOR: Final = 3
CHANGE_LOST_FACTOR: Final = 8
#: Longest wait for a rollback that frees a connection, in seconds.
_ROLLBACK_TIMEOUT_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came.

    Attributes
    ----------
    was_sent : bool
        Whether the statement may have reached the server.
    is_late : bool
        Whether the time was up; otherwise the connection broke.
    reason : str
        For the log.
    """

    was_sent: bool
    is_late: bool
    reason: str


AttemptEnd = Answer | Rejection | Refusal | NoAnswer


@dataclass(slots=True, eq=False)
class Attempt:
    """A try to run one statement on one server.

    Attributes
    ----------
    handle : ServerHandle
        The server.
    state : SessionState
        Whose values the connection must have.
    operation : Operation
        The statement, as the caller gave it.
    request_id : str
        The caller's id of it.
    floor : Position or None
        What the server's log must include.
    deadline : float
        When to give up, in kernel seconds.
    begin : Begin or None
        Open a transaction first and keep the connection.
    due : float
        Until when it must have a connection to be in time, in kernel seconds.
    """

    handle: ServerHandle
    state: SessionState
    operation: Operation
    request_id: str
    floor: Position | None
    deadline: float
    begin: Begin | None = None
    due: float = math.inf
    #: The connection; kept after success if a transaction was opened.
    lease: ServerLease | None = None
    started_at: float = 0
    was_sent: bool = False
    #: When it was sent, in kernel seconds; infinite if it waits for no answer.
    sent_at: float = float('inf')
    #: Whether it was given up because its answer is lost.
    is_cut: bool = False

    async def run(self) -> AttemptEnd:
        """Run the statement; the connection is given back or kept."""
        self.started_at = await curio.clock()
        limit = max(self.deadline - self.started_at, _MIN_ATTEMPT_TIMEOUT_S)
        try:
            async with curio.timeout_after(limit):
                end = await self._run(limit)
        except curio.TaskTimeout:
            if self.handle.answered_at < self.started_at:
                self.handle.record_timeout(await curio.clock())
            return await self._lose('no answer in time', is_late=True)
        except ConnectionError as error:
            if self.is_cut:
                return await self._lose('the answer is lost', is_late=True)
            self.handle.note_failure(await curio.clock(), error)
            return await self._lose(repr(error), is_late=False)
        except curio.CancelledError:
            await self._lose('cancelled', is_late=True)
            raise
        if isinstance(end, Refusal | NoAnswer):
            return end
        now = await curio.clock()
        is_work = isinstance(end, Answer)
        self.handle.record_answer(
            now, now - self.started_at if is_work else None
        )
        if self.begin is None or not isinstance(end, Answer):
            await self._finish(end.standing)
        return end

    def is_overdue(self, now: float) -> bool:
        """Tell whether nearly every answer would have come by now."""
        return now > self.sent_at + self.handle.times.patience

    def is_lost(self, now: float, patience: float) -> bool:
        """Tell whether the answer is lost, as far as can be told.

        Parameters
        ----------
        now : float
            In kernel seconds.
        patience : float
            How overdue it must be, in times of the server's usual.
        """
        usual = self.handle.times.patience
        has_answered_since = self.handle.answered_at > self.sent_at + usual
        if self.is_cut or not has_answered_since:
            return False
        return now > self.sent_at + usual * patience

    async def cut(self) -> None:
        """Give up the wait for an answer: the connection is closed."""
        lease = self.lease
        if lease is not None and not self.is_cut:
            self.is_cut = True
            await lease.link.close()

    async def _run(self, limit: float) -> AttemptEnd:
        try:
            async with curio.timeout_after(min(limit, PREPARE_TIMEOUT_S)):
                refused = await self._prepare_connection(limit)
        except curio.TaskTimeout:
            self.handle.record_timeout(await curio.clock())
            return await self._lose('no connection in time', is_late=False)
        if refused is not None:
            return refused
        lease = self.lease
        if lease is None:
            raise BrokenInvariantError('a try that is ready has a connection')
        self.was_sent = True
        self.sent_at = await curio.clock()
        end = await run_on_link(
            lease.link,
            self.state,
            self.operation,
            self.request_id,
            self.floor if self.begin is None else None,
        )
        if isinstance(end, Answer):
            self.handle.times.note(await curio.clock() - self.sent_at)
        self.sent_at = float('inf')
        return end

    async def _prepare_connection(
        self, limit: float
    ) -> Rejection | Refusal | None:
        """Get a connection that is ready for the statement.

        Returns
        -------
        Rejection, Refusal or None
            Why there is none.
        """
        lease = await self.handle.acquire(
            self.state.database,
            min(limit, POOL_QUEUE_TIMEOUT_S),
            self.state.values,
            max(0, self.due - self.started_at),
            self.state.workspace,
        )
        if isinstance(lease, Refusal):
            return lease
        self.lease = lease
        rejection = await prepare_link(lease.link, self.state, self.operation)
        if rejection is not None or self.begin is None:
            return rejection
        opened = await lease.link.run(Call(self.begin, floor=self.floor))
        return opened if isinstance(opened, Rejection) else None

    async def _lose(self, reason: str, *, is_late: bool) -> NoAnswer:
        lease = self.lease
        self.lease = None
        if lease is not None:
            await self.handle.release(lease, is_clean=False)
        return NoAnswer(self.was_sent, is_late, reason)

    async def _finish(self, standing: Standing) -> None:
        lease = self.lease
        self.lease = None
        if lease is not None:
            await release_link(self.handle, lease, standing)


async def release_link(
    handle: ServerHandle,
    lease: ServerLease,
    standing: Standing,
) -> None:
    """Give a connection back after a whole answer; roll it back if open."""
    is_clean = standing is Standing.IDLE or await _roll_back(lease.link)
    await handle.release(lease, is_clean)


async def _roll_back(link: BackendLink) -> bool:
    """Roll a connection back; tell whether it may be lent again."""
    try:
        async with curio.timeout_after(_ROLLBACK_TIMEOUT_S):
            reply = await link.run(Call(Rollback()))
    except (ConnectionError, curio.TaskTimeout):
        return False
    return isinstance(reply, Answer)


async def run_on_link(
    link: BackendLink,
    state: SessionState,
    operation: Operation,
    request_id: str,
    floor: Position | None = None,
) -> Answer | Rejection:
    """Run a caller's statement on a connection that is ready for it."""
    if isinstance(operation, Execute):
        statement = state.prepared[operation.name]
        name = link.state.prepared[statement.effect, statement.shape]
        operation = Execute(name, operation.arguments)
    return await link.run(Call(operation, request_id, floor))


async def prepare_link(
    link: BackendLink,
    state: SessionState,
    operation: Operation,
) -> Rejection | None:
    """Give a connection the session's values and the statement's name.

    Returns
    -------
    Rejection or None
        Why the server refused; the statement was not sent then.
    """
    if link.state.values != state.values:
        rejection = await _replace_values(link, state)
        if rejection is not None:
            return rejection
    if isinstance(operation, Execute):
        return await _prepare_statement(link, state.prepared[operation.name])
    return None


async def _replace_values(
    link: BackendLink,
    state: SessionState,
) -> Rejection | None:
    has_others = any(name not in state.values for name in link.state.values)
    if has_others and not await link.reset():
        return Rejection(RejectionCause.OVERLOADED, 'cannot be reset')
    for name, value in state.values.items():
        if link.state.values.get(name) == value:
            continue
        reply = await link.run(Call(SetValue(name, value)))
        if isinstance(reply, Rejection):
            return reply
        link.state.values[name] = value
    return None


async def _prepare_statement(
    link: BackendLink,
    statement: PreparedStatement,
) -> Rejection | None:
    key = (statement.effect, statement.shape)
    if key in link.state.prepared:
        return None
    # Names of one connection are never used twice, so that a name cannot
    # stand for another caller's statement.
    name = f'p{len(link.state.prepared) + 1}'
    reply = await link.run(
        Call(Prepare(name, statement.effect, statement.shape)),
    )
    if isinstance(reply, Rejection):
        return reply
    link.state.prepared[key] = name
    return None
