"""Connections to the platform's databases."""

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
#: Fields of a status row that are used, the first ones: role, term, end of
#: the received log, and the term for which the log is held.
_STATUS_FIELDS: Final = 4


class PlatformLink(BackendLink):
    """One connection to a database.

    Parameters
    ----------
    stream : ByteStream
        The connection, after its start.
    """

    def __init__(self, stream: ByteStream) -> None:
        super().__init__()
        self.stream = stream
        self._reader = LineReader(stream)

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and nothing unread has arrived."""
        return self.stream.is_quiet() and not self._reader.has_unread

    async def run(self, call: Call) -> Answer | Rejection:
        """Run one operation and return the whole answer."""
        text = encode_operation(call.operation)
        if call.floor is not None and call.floor > LOG_START:
            text = f'AFTER {encode_position(call.floor)} {text}'
        return await self._ask(call.request_id or PROXY_REQUEST_ID, text)

    async def read_status(self) -> ServerStatus | Rejection:
        """Ask the database about itself."""
        return await self._ask_status('STATUS')

    async def hold(self, term: int) -> ServerStatus | Rejection:
        """Stop a replica from receiving, for a change to `term`."""
        return await self._ask_status(f'PAUSE {term}')

    async def release_hold(self) -> ServerStatus | Rejection:
        """Let a replica receive again."""
        return await self._ask_status('RESUME')

    async def step_down(self, term: int) -> ServerStatus | Rejection:
        """Turn a primary of a term below `term` into a replica."""
        return await self._ask_status(f'DEMOTE {term}')

    async def reset(self) -> bool:
        """Drop session values and prepared statements."""
        reply = await self._ask(PROXY_REQUEST_ID, 'RESET')
        if isinstance(reply, Rejection):
            return False
        self.state.values.clear()
        self.state.prepared.clear()
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self.stream.close()

    async def _ask_status(self, text: str) -> ServerStatus | Rejection:
        reply = await self._ask(PROXY_REQUEST_ID, text)
        if isinstance(reply, Rejection):
            return reply
        try:
            return decode_status(reply.rows)
        except LineError as error:
            raise ConnectionAbortedError(str(error)) from error

    async def _ask(self, request_id: str, text: str) -> Answer | Rejection:
        await self.stream.send(encode_line('QUERY', request_id, text))
        try:
            return await self._read_answer()
        except LineError as error:
            raise ConnectionAbortedError(
                f'the database broke the protocol: {error}',
            ) from error

    async def _read_answer(self) -> Answer | Rejection:
        rows: list[str] = []
        while True:
            word, _, rest = (await read_line(self._reader)).partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                completion = '' if rest == NO_VALUE else rest
                standing, position = await self._read_ready()
                return Answer(tuple(rows), completion, standing, position)
            elif word == 'ERROR':
                cause, text = decode_error(rest)
                standing, position = await self._read_ready()
                return Rejection(cause, text, standing, position)
            else:
                raise LineError(f'{word!r}, expected ROW, COMPLETE or ERROR')

    async def _read_ready(self) -> tuple[TransactionState, Position | None]:
        """Return what the message at the end of an answer says."""
        return decode_ready(await read_line(self._reader))


class PlatformBackend(Backend):
    """A database of the platform.

    Parameters
    ----------
    server : BackendServer
        Its entry in the directory.
    node : str
        This node's name, told to the database where no workspace's is.
    dial : callable
        Opens the connection within a limit in seconds.
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

    async def connect(self, limit: float) -> BackendLink:
        """Open a connection of the node's own within `limit` seconds."""
        return await self.connect_for('', limit)

    async def connect_for(
        self,
        group: str,
        limit: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Open a connection of a workspace within `limit` seconds."""
        stream = await self._dial(self.server, limit)
        reader = LineReader(stream)
        try:
            async with curio.timeout_after(limit):
                opened_at = await self._start(
                    stream,
                    reader,
                    workspace or self._node,
                )
        except curio.TaskTimeout as error:
            await stream.close()
            raise ConnectionAbortedError(
                f'{self.name} does not answer a new connection',
            ) from error
        except (ConnectionError, curio.CancelledError):
            await stream.close()
            raise
        link = self.wrap(stream)
        link.workspace = workspace or ''
        link.opened_at = opened_at
        return link

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return the link over a connection that has been started."""
        return PlatformLink(stream)

    async def _start(
        self,
        stream: Stream,
        reader: LineReader,
        who: str,
    ) -> Position | None:
        """Start a session; return where the log of the database stands."""
        # The id makes sure that no other server has taken the address.
        await stream.send(
            encode_line('STARTUP', self.server.service, who, self.name),
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
    """Return what a status row says.

    Raises
    ------
    LineError
        If it is none.

    Examples
    --------
    >>> decode_status(('replica 3 3.1209 0 12 2 17',)).term
    3
    """
    fields = rows[0].split(' ') if rows else []
    role = _ROLES.get(fields[0]) if fields else None
    if role is None or len(fields) < _STATUS_FIELDS:
        raise LineError(f'{rows!r:.60} is no status row')
    received = decode_position(fields[2])
    if not fields[1].isdecimal() or not fields[3].isdecimal():
        raise LineError(f'{rows[0]!r:.60}, expected terms as numbers')
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
        If the connection has ended.
    """
    line = await reader.read()
    if line is None:
        raise ConnectionResetError('the database closed the connection')
    return line
