"""Connections to backend servers in the platform's line protocol."""

from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.backends import (
    Backend,
    BackendLink,
    BackendServer,
    Call,
    ConnectionLimitError,
    ServerRole,
    ServerStatus,
    WrongServerError,
)
from deckdrum.operations import (
    Answer,
    Rejection,
    RejectionCause,
    TransactionState,
)
from deckdrum.platform.framing import LineError, LineReader, encode_line
from deckdrum.platform.statements import encode_operation
from deckdrum.platform.wire import (
    NO_VALUE,
    PROXY_REQUEST_ID,
    decode_error,
    decode_position,
    decode_ready,
    encode_position,
)
from deckdrum.sessions import Position
from deckdrum.sessions.position import LOG_START
from deckdrum.utils import ByteStream, Stream

_ROLES: Final = MappingProxyType(
    {'primary': ServerRole.PRIMARY, 'replica': ServerRole.REPLICA},
)
#: Number of leading fields of a status row that are read: role, term, end of
#: the received log, and fenced term.
_MIN_STATUS_FIELDS: Final = 4


class PlatformLink(BackendLink):
    """A connection to a server.

    Parameters
    ----------
    stream : ByteStream
        Byte stream on which the startup exchange is complete.
    """

    def __init__(self, stream: ByteStream) -> None:
        super().__init__()
        self.stream = stream
        self._reader = LineReader(stream)
        #: Whether a request was sent whose complete answer was not read.
        self._is_awaiting_answer = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread data."""
        if self._is_awaiting_answer or self._reader.has_unread:
            return False
        return self.stream.is_idle()

    async def run(self, call: Call) -> Answer | Rejection:
        """Run an operation and return its complete answer."""
        text = encode_operation(call.operation)
        if call.min_position is not None and call.min_position > LOG_START:
            text = f'AFTER {encode_position(call.min_position)} {text}'
        return await self._query(call.request_id or PROXY_REQUEST_ID, text)

    async def read_status(self) -> ServerStatus | Rejection:
        """Request the status of the server."""
        return await self._query_status('STATUS')

    async def hold(self, term: int) -> ServerStatus | Rejection:
        """Fence a replica for `term`, so that it receives no log."""
        return await self._query_status(f'PAUSE {term}')

    async def release_hold(self) -> ServerStatus | Rejection:
        """Release the fence of a replica, so that it receives the log again."""
        return await self._query_status('RESUME')

    async def step_down(self, term: int) -> ServerStatus | Rejection:
        """Demote a primary of a term below `term` to a replica."""
        return await self._query_status(f'DEMOTE {term}')

    async def reset(self) -> bool:
        """Discard values and prepared statements; return whether done."""
        reply = await self._query(PROXY_REQUEST_ID, 'RESET')
        if isinstance(reply, Rejection):
            return False
        self.state.values.clear()
        self.state.prepared.clear()
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self.stream.close()

    async def _query_status(self, text: str) -> ServerStatus | Rejection:
        reply = await self._query(PROXY_REQUEST_ID, text)
        if isinstance(reply, Rejection):
            return reply
        try:
            return decode_status(reply.rows)
        except LineError as error:
            raise ConnectionAbortedError(str(error)) from error

    async def _query(self, request_id: str, text: str) -> Answer | Rejection:
        if self._is_awaiting_answer:
            # The next answer belongs to the earlier request.
            raise ConnectionAbortedError('an earlier request was given up')
        self._is_awaiting_answer = True
        await self.stream.send(encode_line('QUERY', request_id, text))
        try:
            answer = await self._read_answer()
        except LineError as error:
            raise ConnectionAbortedError(
                f'the database broke the protocol: {error}',
            ) from error
        self._is_awaiting_answer = False
        return answer

    async def _read_answer(self) -> Answer | Rejection:
        rows: list[str] = []
        while True:
            word, _, rest = (await read_line(self._reader)).partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                completion = '' if rest == NO_VALUE else rest
                transaction_state, position = await self._read_ready()
                return Answer(
                    tuple(rows), completion, transaction_state, position
                )
            elif word == 'ERROR':
                cause, text = decode_error(rest)
                transaction_state, position = await self._read_ready()
                return Rejection(cause, text, transaction_state, position)
            else:
                raise LineError(f'{word!r}, expected ROW, COMPLETE or ERROR')

    async def _read_ready(self) -> tuple[TransactionState, Position | None]:
        """Read the READY message that ends an answer."""
        return decode_ready(await read_line(self._reader))


class PlatformBackend(Backend):
    """A backend server that speaks the platform's line protocol.

    Parameters
    ----------
    server : BackendServer
        Entry of the server in the directory.
    node : str
        Name of this node, sent at startup of connections without a workspace.
    dial : callable
        Opens a stream to a server within a timeout in seconds.
    """

    def __init__(
        self,
        server: BackendServer,
        node: str,
        dial: Callable[[BackendServer, float], Awaitable[Stream]],
    ) -> None:
        super().__init__(server)
        self._node = node
        self._dial = dial

    async def connect(self, timeout: float) -> BackendLink:
        """Open a connection without a workspace within `timeout` seconds."""
        return await self.connect_for('', timeout)

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Open a connection of a workspace within `timeout` seconds."""
        stream = await self._dial(self.server, timeout)
        reader = LineReader(stream)
        try:
            async with curio.timeout_after(timeout):
                position_at_open = await self._start(
                    stream,
                    reader,
                    workspace or self._node,
                )
        except curio.TaskTimeout as error:
            await stream.close()
            raise ConnectionAbortedError(
                f'{self.name} does not answer a new connection',
            ) from error
        except BaseException:
            await stream.close()
            raise
        link = self.wrap(stream)
        link.workspace = workspace or ''
        link.position_at_open = position_at_open
        return link

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return a link over a stream after its startup exchange."""
        return PlatformLink(stream)

    async def _start(
        self,
        stream: Stream,
        reader: LineReader,
        client_name: str,
    ) -> Position | None:
        """Start a session and return the log position of the server."""
        # The server rejects the startup if its id is another one: addresses
        # are reused.
        await stream.send(
            encode_line('STARTUP', self.server.service, client_name, self.name),
        )
        try:
            line = await read_line(reader)
        except LineError as error:
            raise ConnectionAbortedError(str(error)) from error
        word, _, rest = line.partition(' ')
        if word == 'READY':
            return _decode_start(line)
        cause, text = decode_error(rest)
        if cause is RejectionCause.TOO_MANY_CONNECTIONS:
            raise ConnectionLimitError(f'{self.name}: {text}')
        if cause is RejectionCause.WRONG_SERVER:
            raise WrongServerError(f'{self.name}: {text}')
        raise ConnectionAbortedError(f'{self.name}: {text}')


def decode_status(rows: tuple[str, ...]) -> ServerStatus:
    """Decode a status row.

    Raises
    ------
    LineError
        If the row is invalid.

    Examples
    --------
    >>> decode_status(('replica 3 3.1209 0 12 2 17',)).term
    3
    """
    fields = rows[0].split(' ') if rows else []
    role = _ROLES.get(fields[0]) if fields else None
    if role is None or len(fields) < _MIN_STATUS_FIELDS:
        raise LineError(f'invalid status row: {rows!r:.60}')
    received = decode_position(fields[2])
    if not fields[1].isdecimal() or not fields[3].isdecimal():
        raise LineError(
            f'invalid status row: {rows[0]!r:.60}, expected integer terms'
        )
    return ServerStatus(
        role,
        int(fields[1]),
        received or LOG_START,
        int(fields[3]),
    )


def _decode_start(line: str) -> Position | None:
    try:
        return decode_ready(line)[1]
    except LineError as error:
        raise ConnectionAbortedError(str(error)) from error


async def read_line(reader: LineReader) -> str:
    """Return the next message.

    Raises
    ------
    ConnectionError
        If the server has closed the connection.
    """
    line = await reader.read()
    if line is None:
        raise ConnectionResetError('the database closed the connection')
    return line
