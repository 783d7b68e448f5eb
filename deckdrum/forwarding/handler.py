"""Running statements that other nodes have handed to this one."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

import curio

from deckdrum.control import Access, Configuration
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.messages import MessageError
from deckdrum.fleet.node_messages import Forward, ForwardNext
from deckdrum.fleet.policies import Policy
from deckdrum.forwarding.admission import check_forward
from deckdrum.forwarding.encoding import (
    decode_begin,
    decode_position,
    decode_prepared,
    decode_request,
    decode_route,
    encode_outcome,
)
from deckdrum.operations import Execute, Request
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving import (
    CallerSession,
    Execution,
    Outcome,
    SessionHost,
)
from deckdrum.serving.runners import StatementRunner
from deckdrum.serving.state import SessionState, Transaction
from deckdrum.sessions.position import NOWHERE
from deckdrum.utils.counters import Counters
from deckdrum.workspaces import Workspace

#: Longest rest of a stream inside a transaction, in seconds.  Transactions that
#: rest are ended much earlier; this frees the stream of a node that is gone.
STREAM_IDLE_TIMEOUT_S: Final = 60.0

FindExecution = Callable[[str], Execution | None]
ReadConfiguration = Callable[[], Configuration | None]


class SessionRegistry(ABC):
    """Keeps the sessions that a node serves."""

    @abstractmethod
    def add(self, session: CallerSession) -> None:
        """Enter a session that has just been opened."""

    @abstractmethod
    def discard(self, session: CallerSession) -> None:
        """Forget a session that has ended."""


class ForwardedSessionHost(SessionHost):
    """What the session of another node's caller needs of this node.

    Parameters
    ----------
    access : Access
        What the other node has found, and this one has checked.
    execution : Execution
        What runs statements of its group here.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    def __init__(
        self,
        access: Access,
        execution: Execution,
        policies: frozenset[Policy],
    ) -> None:
        self.policies = policies
        self._access = access
        self._execution = execution

    def find_access(self, state: SessionState) -> Access | Refusal:
        """Return what the other node has found."""
        return self._access

    async def spend_limit(self, access: Access) -> Refusal | None:
        """Leave the limit to the node whose caller it is."""

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return what runs statements here: they are handed over once."""
        return self._execution

    def find_execution(self, service: str) -> Execution | None:
        """Return what runs statements here."""
        return self._execution

    def note_outcome(
        self,
        session: CallerSession,
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Leave the count to the node whose caller it is."""


class ForwardedStatementHandler:
    """Runs what other nodes hand over.

    Parameters
    ----------
    find_execution : callable
        Returns what runs statements of a group here, if anything.
    read_configuration : callable
        Returns the configuration in force here, if any.
    register : SessionRegister
        Told of each session that begins and ends.
    policies : frozenset of Policy
        Mechanisms in force.
    counters : Counters
        For metrics.
    """

    def __init__(
        self,
        find_execution: FindExecution,
        read_configuration: ReadConfiguration,
        register: SessionRegistry,
        policies: frozenset[Policy],
        counters: Counters,
    ) -> None:
        #: Statements and transactions under way.
        self.running = 0
        self._find_execution = find_execution
        self._read_configuration = read_configuration
        self._register = register
        self._policies = policies
        self._counters = counters

    async def serve(self, channel: StreamChannel, message: Forward) -> None:
        """Run a statement, and the transaction that it opens to its end.

        Raises
        ------
        ConnectionError
            If the other node is gone; its transaction is rolled back then.
        """
        session = self._open(message)
        if isinstance(session, Refusal):
            await channel.send(encode_outcome(session, is_open=False))
            return
        self._counters.count('forwards_run')
        self.running += 1
        self._register.add(session)
        try:
            await _run_to_end(session, channel, message)
        finally:
            await self._end(session)

    async def _end(self, session: CallerSession) -> None:
        self.running -= 1
        self._register.discard(session)
        await session.close()

    def _open(self, message: Forward) -> CallerSession | Refusal:
        """Return a session in the state of the caller's own."""
        route = decode_route(message)
        forbidden = check_forward(self._read_configuration(), message, route)
        if forbidden is not None:
            return forbidden
        execution = self._find_execution(route.service)
        if execution is None:
            return refuse(Code.NOT_READY, 'the group is not known here yet')
        access = Access(route, Workspace(message.workspace))
        host = ForwardedSessionHost(access, execution, self._policies)
        session = CallerSession(host, route.database, message.fingerprint)
        session.state.workspace = message.workspace
        session.state.values = dict(message.values)
        session.state.floor = decode_position(message.floor) or NOWHERE
        begin = decode_begin(message)
        if begin is not None:
            session.state.transaction = Transaction(begin.read_only, route)
        return session


async def _run_to_end(
    session: CallerSession,
    channel: StreamChannel,
    message: Forward | ForwardNext,
) -> None:
    while True:
        request = decode_request(message)
        prepared = decode_prepared(message)
        if isinstance(request.operation, Execute) and prepared is not None:
            session.state.prepared[request.operation.name] = prepared
        outcome = await session.execute(request)
        transaction = session.state.transaction
        is_open = transaction is not None and not transaction.is_failed
        await channel.send(encode_outcome(outcome, is_open=is_open))
        if not is_open:
            return
        message = await _receive_next(channel)


async def _receive_next(channel: StreamChannel) -> ForwardNext:
    try:
        async with curio.timeout_after(STREAM_IDLE_TIMEOUT_S):
            message = await channel.receive()
    except curio.TaskTimeout as error:
        raise ConnectionAbortedError('the stream rests too long') from error
    if not isinstance(message, ForwardNext):
        name = type(message).__name__
        raise MessageError(f'{name} inside a transaction')
    return message
