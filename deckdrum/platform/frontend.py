"""Client connections in the platform's line protocol."""

from random import Random
from typing import Final

import curio

from deckdrum.node import Node
from deckdrum.node.shutdown import ClientListener
from deckdrum.operations import TransactionState
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.platform.framing import LineError, LineReader
from deckdrum.platform.wire import (
    decode_request,
    decode_startup,
    encode_outcome,
    encode_ready,
    encode_refusal,
)
from deckdrum.serving import CallerSession
from deckdrum.utils import Address, Listener, Stream
from deckdrum.workspaces import fingerprint_key

#: Timeout for a client's STARTUP message.
STARTUP_TIMEOUT_S: Final = 10.0
#: Timeout for the node's first configuration.  Clients disconnect if STARTUP is
#: not answered within 2 s.
CONFIGURATION_TIMEOUT_S: Final = 1.8


class ClientConnection:
    """A connection from a client.

    Parameters
    ----------
    node : Node
        Node that serves the client.
    stream : Stream
        Accepted stream.
    """

    def __init__(self, node: Node, stream: Stream) -> None:
        self._node = node
        self._stream = stream
        self._reader = LineReader(stream)
        self._session: CallerSession | None = None
        #: Whether a message is being handled, until its answer has been sent.
        self._is_serving = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending and no transaction is open."""
        if self._is_serving or self._session is None:
            return False
        has_bytes = self._reader.has_unread or not self._stream.is_idle()
        return self._session.is_inactive and not has_bytes

    async def run(self) -> None:
        """Serve the client until it disconnects."""
        try:
            await self._serve()
        except LineError as error:
            self._node.counters.count('bad_messages')
            await self._send_protocol_error(str(error))
        except ConnectionError:
            self._node.counters.count('broken_clients')
        finally:
            if self._session is not None:
                await self._node.close_session(self._session)

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.close()

    async def _serve(self) -> None:
        session = await self._open_session()
        if session is None:
            return
        self._session = session
        await self._stream.send(encode_ready(TransactionState.IDLE))
        while True:
            self._is_serving = False
            line = await self._reader.read()
            self._is_serving = True
            request = None if line is None else decode_request(line)
            if request is None:
                return
            outcome = await session.execute(request)
            payload = encode_outcome(outcome, session.transaction_state)
            await self._stream.send(payload)
            await self._node.finish_operation(session)
            if self._node.is_closing_sessions and session.is_inactive:
                # The client reconnects to another node.
                return

    async def _open_session(self) -> CallerSession | None:
        line = None
        async with curio.ignore_after(STARTUP_TIMEOUT_S):
            line = await self._reader.read()
        if line is None:
            return None
        database, key = decode_startup(line)
        if not await self._node.wait_for_configuration(CONFIGURATION_TIMEOUT_S):
            refusal = refuse(Code.NOT_READY)
            await self._stream.send(encode_refusal(refusal))
            return None
        opened = self._node.host.open_session(database, fingerprint_key(key))
        if isinstance(opened, Refusal):
            await self._stream.send(encode_refusal(opened))
            return None
        return opened

    async def _send_protocol_error(self, text: str) -> None:
        refusal = refuse(Code.PROTOCOL_VIOLATION, text)
        try:
            await self._stream.send(encode_refusal(refusal))
        except ConnectionError:
            self._node.counters.count('broken_clients')


class Frontend(ClientListener):
    """Listener for client connections.

    Parameters
    ----------
    node : Node
        Node that serves the clients.
    address : Address
        Address to listen on.
    """

    def __init__(self, node: Node, address: Address) -> None:
        self._node = node
        self._listener = Listener(address, self._serve)
        self._connections: set[ClientConnection] = set()
        self._randomness = Random(node.settings.name)

    @property
    def address(self) -> Address:
        """Address on which the frontend listens."""
        return self._listener.address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    async def stop_accepting(self) -> None:
        """Refuse new connections and keep the open ones."""
        await self._listener.stop_accepting()

    async def close(self) -> None:
        """Close every connection."""
        await self._listener.close()

    async def close_idle_connections(self, share: float) -> None:
        """Close a fraction (0 to 1) of the idle connections."""
        for connection in list(self._connections):
            is_chosen = self._randomness.random() < share
            if is_chosen and connection.is_idle:
                await connection.close()

    async def _serve(self, stream: Stream) -> None:
        connection = ClientConnection(self._node, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
