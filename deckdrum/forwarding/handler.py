"""Running statements that other nodes forward to this one."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

import curio

from deckdrum.control import Access, Configuration
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.messages import MessageError
from deckdrum.fleet.node_messages import Forward, ForwardNext
from deckdrum.fleet.policies import Policy
from deckdrum.forwarding.abandonment import AbandonedForwards
from deckdrum.forwarding.admission import check_forward
from deckdrum.forwarding.encoding import (
    decode_begin,
    decode_position,
    decode_prepared,
    decode_request,
    decode_route,
    encode_outcome,
)
from deckdrum.forwarding.holder_loads import measure_load
from deckdrum.operations import Execute, Request
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving import (
    CallerSession,
    Outcome,
    SessionHost,
    StatementExecutor,
)
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.state import SessionState, Transaction
from deckdrum.sessions.position import LOG_START
from deckdrum.utils.counters import Counters
from deckdrum.workspaces import Workspace

#: Idle timeout of a stream inside a transaction.  The sender ends idle
#: transactions much earlier; this frees the stream of a failed node.
STREAM_IDLE_TIMEOUT_S: Final = 60.0

ExecutorFinder = Callable[[str], StatementExecutor | None]
ConfigurationGetter = Callable[[], Configuration | None]


class SessionRegistry(ABC):
    """Registry of the sessions that a node serves."""

    @abstractmethod
    def add(self, session: CallerSession) -> None:
        """Add a session that has been opened."""

    @abstractmethod
    def discard(self, session: CallerSession) -> None:
        """Remove a session that has ended."""

    @abstractmethod
    async def finish_operation(self, session: CallerSession) -> None:
        """Roll back an open transaction if the node ends transactions.

        Called between two operations, when the answer to one has been sent.
        """


class ForwardedSessionHost(SessionHost):
    """Connects the session of another node's caller to this node.

    Parameters
    ----------
    access : Access
        Access found by the sender and checked by this node.
    executor : StatementExecutor
        Runs the statements of its group on this node.
    policies : frozenset of Policy
        Enabled policies.
    """

    def __init__(
        self,
        access: Access,
        executor: StatementExecutor,
        policies: frozenset[Policy],
    ) -> None:
        self.policies = policies
        self._access = access
        self._executor = executor

    def authorize(self, state: SessionState) -> Access | Refusal:
        """Return the access that the sender has found."""
        return self._access

    async def admit_operation(self, access: Access) -> Refusal | None:
        """Do nothing: the sender has counted the operation."""

    async def withdraw_operation(self, access: Access) -> None:
        """Do nothing: the sender has counted the operation."""

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return the local runner: a statement is forwarded only once."""
        return self._executor

    def find_executor(self, service: str) -> StatementExecutor | None:
        """Return what runs statements on this node."""
        return self._executor

    def record_outcome(
        self,
        session: CallerSession,
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Do nothing: the sender counts the outcome."""


class ForwardedStatementHandler:
    """Runs statements and transactions that other nodes forward.

    Parameters
    ----------
    find_executor : callable
        Returns what runs a group's statements on this node, if any.
    get_configuration : callable
        Returns the current configuration of this node, if any.
    registry : SessionRegistry
        Receives each session that is opened or ends.
    policies : frozenset of Policy
        Enabled policies.
    counters : Counters
        Metrics of the node.
    """

    def __init__(
        self,
        find_executor: ExecutorFinder,
        get_configuration: ConfigurationGetter,
        registry: SessionRegistry,
        policies: frozenset[Policy],
        counters: Counters,
    ) -> None:
        #: Number of statements and transactions in progress.
        self.running = 0
        self._find_executor = find_executor
        self._get_configuration = get_configuration
        self._registry = registry
        self._policies = policies
        self._counters = counters
        self._abandoned = AbandonedForwards(counters)

    async def serve(self, channel: StreamChannel, message: Forward) -> None:
        """Run a statement and the rest of the transaction that it opens.

        Raises
        ------
        ConnectionError
            If the sender has disconnected; its transaction is rolled back.
        """
        session = self._open(message)
        if isinstance(session, Refusal):
            await channel.send(encode_outcome(session, is_open=False))
            return
        self._counters.count('forwards_run')
        self.running += 1
        self._registry.add(session)
        try:
            await self._run_to_end(session, channel, message)
        finally:
            await self._end(session)

    async def _run_to_end(
        self,
        session: CallerSession,
        channel: StreamChannel,
        message: Forward | ForwardNext,
    ) -> None:
        while True:
            request = decode_request(message)
            prepared = decode_prepared(message)
            if isinstance(request.operation, Execute) and prepared is not None:
                session.state.prepared[request.operation.name] = prepared
            outcome = await self._execute(session, channel, request)
            transaction = session.state.transaction
            is_open = transaction is not None and not transaction.is_failed
            load = await self._measure_load(message)
            answer = encode_outcome(outcome, is_open=is_open, load=load)
            await channel.send(answer)
            if not is_open:
                return
            await self._registry.finish_operation(session)
            message = await _receive_next(channel)

    async def _execute(
        self, session: CallerSession, channel: StreamChannel, request: Request
    ) -> Outcome:
        await self._abandoned.add(channel)
        try:
            return await session.execute(request)
        finally:
            self._abandoned.discard(channel)

    async def _measure_load(
        self, message: Forward | ForwardNext
    ) -> tuple[float, ...]:
        """Return the load of the group of a new statement or transaction."""
        if isinstance(message, ForwardNext):
            return ()
        executor = self._find_executor(decode_route(message).service)
        if executor is None:
            return ()
        return measure_load(executor.runtime, await curio.clock())

    async def _end(self, session: CallerSession) -> None:
        self.running -= 1
        self._registry.discard(session)
        await session.close()

    def _open(self, message: Forward) -> CallerSession | Refusal:
        """Return a session with the state of the caller's session."""
        route = decode_route(message)
        refusal = check_forward(self._get_configuration(), message, route)
        if refusal is not None:
            return refusal
        executor = self._find_executor(route.service)
        if executor is None:
            return refuse(Code.NOT_READY, 'the group is not known here yet')
        access = Access(route, Workspace(message.workspace))
        host = ForwardedSessionHost(access, executor, self._policies)
        session = CallerSession(host, route.database, message.fingerprint)
        session.state.workspace = message.workspace
        session.state.values = dict(message.values)
        session.state.min_position = decode_position(message.floor) or LOG_START
        begin = decode_begin(message)
        if begin is not None:
            session.state.transaction = Transaction(begin.read_only, route)
        return session


async def _receive_next(channel: StreamChannel) -> ForwardNext:
    try:
        async with curio.timeout_after(STREAM_IDLE_TIMEOUT_S):
            message = await channel.receive()
    except curio.TaskTimeout as error:
        raise ConnectionAbortedError(
            f'stream idle for {STREAM_IDLE_TIMEOUT_S} s inside a transaction',
        ) from error
    if not isinstance(message, ForwardNext):
        name = type(message).__name__
        raise MessageError(f'unexpected {name} message inside a transaction')
    return message
