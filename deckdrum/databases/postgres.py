"""Backend databases over the PostgreSQL protocol."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

import curio
import scramp
from pygwire import ConnectionPhase

from deckdrum.configuration.models import DatabaseEntry
from deckdrum.databases.base import (
    Database,
    DatabaseLink,
    DatabaseState,
    QueryResult,
    Role,
)
from deckdrum.utils import Stream, dial
from deckdrum.wire import Frame, FrameReader, WireError, tags
from deckdrum.wire.messages import codec, decode_backend

_MAX_MESSAGE_BYTES: Final = 1_000_000_000
_SCRAM_MECHANISMS: Final = ('SCRAM-SHA-256',)
_CANCEL_TIMEOUT_S: Final = 1.0
_TRUE_VALUES: Final = frozenset(('1', 't', 'true'))
_STATE_QUERY: Final = 'SELECT * FROM deckdrum_state'
#: Columns of the view; an extension that lacks some is not used.
_STATE_COLUMN_COUNT: Final = 7
_STATE_REQUEST: Final = codec.Query(query_string=_STATE_QUERY).to_wire()


@dataclass(frozen=True, slots=True)
class Credentials:
    """Credentials with which the proxy logs in to databases.

    `application` is sent as ``application_name`` and identifies the proxy.
    """

    user: str
    password: str
    application: str
    database: str = 'main'

    def __repr__(self) -> str:
        return ''.join(('Credentials(', self.user, ', password hidden)'))


class PostgresLink(DatabaseLink):
    """Connection to a PostgreSQL database.

    Parameters
    ----------
    entry : DatabaseEntry
        The database.
    stream : Stream
        The open connection.
    """

    def __init__(self, entry: DatabaseEntry, stream: Stream) -> None:
        self._entry = entry
        self._stream = stream
        self._reader = FrameReader(stream, _MAX_MESSAGE_BYTES)
        self._cancel_request = b''
        self.prepared: set[bytes] = set()
        #: Latest ParameterStatus value of each server parameter.
        self.reported: dict[str, str] = {}
        #: Transaction status from the last ReadyForQuery.
        self.status = ''
        self.settings: tuple[tuple[str, str], ...] = ()

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread input."""
        return not self._reader.buffered_bytes and self._stream.is_idle()

    async def start(
        self,
        credentials: Credentials,
        options: Mapping[str, str],
    ) -> None:
        """Log in.

        Raises
        ------
        ConnectionError
            If the database rejects the login.
        """
        startup = codec.StartupMessage(
            params={
                'user': credentials.user,
                'database': credentials.database,
                'application_name': credentials.application,
                **options,
            },
        )
        await self._stream.send(startup.to_wire())
        login = _ScramExchange(self, credentials)
        while True:
            frame = await self.read_frame()
            if frame.tag == tags.READY:
                return
            if frame.tag == tags.ERROR:
                raise ConnectionRefusedError(_describe_error(frame))
            if frame.tag == tags.AUTHENTICATION:
                await login.handle_message(frame)
            elif frame.tag == tags.BACKEND_KEY:
                self._record_cancel_key(frame)
            elif frame.tag == tags.PARAMETER:
                self._record_parameter(frame)

    async def send(self, payload: bytes) -> None:
        """Send encoded protocol messages."""
        await self._stream.send(payload)

    async def read_frame(self) -> Frame:
        """Return the next message."""
        frame = await self._reader.read_frame()
        if frame is None:
            raise ConnectionResetError('the database closed')
        return frame

    def pop_frame(self) -> Frame | None:
        """Return the next buffered message, or None."""
        return self._reader.pop_frame()

    async def query(self, text: str) -> QueryResult:
        """Run a simple query and return its complete result."""
        await self.send(codec.Query(query_string=text).to_wire())
        return await self.read_result()

    async def read_result(self) -> QueryResult:
        """Read the complete result of a query that was already sent."""
        rows: list[tuple[str | None, ...]] = []
        failure = QueryResult()
        while True:
            frame = await self.read_frame()
            if frame.tag == tags.READY:
                self.status = frame.body.decode()
                break
            if frame.tag == tags.DATA_ROW:
                rows.append(_decode_row(frame))
            elif frame.tag == tags.PARAMETER:
                self._record_parameter(frame)
            elif frame.tag == tags.ERROR:
                fields = decode_backend(frame).fields
                failure = QueryResult(
                    (),
                    fields['C'],
                    fields['M'],
                    fields.get('D', ''),
                )
        return failure if failure.sqlstate else QueryResult(rows)

    async def cancel(self) -> None:
        """Request cancellation of the statement running on the connection."""
        try:
            stream = await dial(self._entry.endpoint, _CANCEL_TIMEOUT_S)
        except ConnectionError:
            return
        try:
            await stream.send(self._cancel_request)
        finally:
            await stream.close()

    async def close(self) -> None:
        """Close the connection; further calls have no effect."""
        await self._stream.close()

    def _record_parameter(self, frame: Frame) -> None:
        message = decode_backend(frame)
        self.reported[message.name] = message.value

    def _record_cancel_key(self, frame: Frame) -> None:
        key = decode_backend(frame, ConnectionPhase.INITIALIZATION)
        self._cancel_request = codec.CancelRequest(
            process_id=key.process_id,
            secret_key=bytes(key.secret_key),
        ).to_wire()


class _ScramExchange:
    """SCRAM authentication exchange of one connection."""

    def __init__(self, link: PostgresLink, credentials: Credentials) -> None:
        self._link = link
        self._client = scramp.ScramClient(
            _SCRAM_MECHANISMS,
            credentials.user,
            credentials.password,
        )

    async def handle_message(self, frame: Frame) -> None:
        """Respond to one authentication message."""
        message = decode_backend(frame, ConnectionPhase.AUTHENTICATING)
        try:
            await self._step(message)
        except scramp.ScramException as error:
            raise ConnectionRefusedError('SCRAM exchange failed') from error

    async def _step(self, message: Any) -> None:
        if isinstance(message, codec.AuthenticationSASL):
            first = codec.SASLInitialResponse(
                mechanism=_SCRAM_MECHANISMS[0],
                data=self._client.get_client_first().encode(),
            )
            await self._link.send(first.to_wire())
        elif isinstance(message, codec.AuthenticationSASLContinue):
            self._client.set_server_first(bytes(message.data).decode())
            final = codec.SASLResponse(
                data=self._client.get_client_final().encode(),
            )
            await self._link.send(final.to_wire())
        elif isinstance(message, codec.AuthenticationSASLFinal):
            self._client.set_server_final(bytes(message.data).decode())
        elif not isinstance(message, codec.AuthenticationOk):
            raise ConnectionRefusedError('the database asks for no SCRAM')


class PostgresDatabase(Database):
    """A database that speaks the PostgreSQL protocol.

    The state is read from the view ``deckdrum_state`` and changed by the
    functions ``deckdrum_fence``, ``deckdrum_promote`` and
    ``deckdrum_follow``, which the operator installs as an extension
    (docs/databases.rst).

    Parameters
    ----------
    entry : DatabaseEntry
        Its configuration entry.
    credentials : Credentials
        Login credentials.
    """

    def __init__(self, entry: DatabaseEntry, credentials: Credentials) -> None:
        super().__init__(entry)
        self._credentials = credentials

    @property
    def state_request(self) -> bytes:
        """Encoded query for the state, to be pipelined after a batch."""
        return _STATE_REQUEST

    def decode_state(self, answer: QueryResult) -> DatabaseState | None:
        """Decode the state from a result; None if it has no state."""
        if answer.sqlstate or not answer.rows:
            return None
        if len(answer.rows[0]) != _STATE_COLUMN_COUNT:
            return None
        role, *numbers, leaving, log_term = answer.rows[0]
        term, received, applied, fenced = (
            int(number or 0) for number in numbers
        )
        return DatabaseState(
            Role(role or ''),
            term,
            received,
            applied,
            fenced,
            leaving in _TRUE_VALUES,
            int(log_term or 0),
        )

    async def connect(self, timeout: float) -> DatabaseLink:
        """Open a connection within `timeout` seconds."""
        stream = await dial(self.entry.endpoint, timeout)
        link = PostgresLink(self.entry, stream)
        try:
            async with curio.timeout_after(timeout):
                await link.start(self._credentials, {})
        except curio.TaskTimeout as error:
            await link.close()
            raise ConnectionRefusedError(f'{self.name} is silent') from error
        except (ConnectionError, curio.CancelledError):
            await link.close()
            raise
        return link

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Query the database for its state."""
        state = await self._query_state(link, _STATE_QUERY)
        if state is None:
            raise WireError(
                f'{self.name} did not return its state'
                f' in {_STATE_COLUMN_COUNT} columns',
            )
        return state

    async def fence(
        self, link: DatabaseLink, term: int
    ) -> DatabaseState | None:
        """Fence the database at `term`; return its state, None if refused."""
        return await self._query_state(
            link, f'SELECT * FROM deckdrum_fence({term})'
        )

    async def promote(
        self,
        link: DatabaseLink,
        term: int,
    ) -> DatabaseState | None:
        """Promote it to primary of `term`; return None if refused."""
        return await self._query_state(
            link, f'SELECT * FROM deckdrum_promote({term})'
        )

    async def follow(
        self,
        link: DatabaseLink,
        primary: str,
        term: int,
    ) -> DatabaseState | None:
        """Make it replicate from `primary` in `term`; None if refused."""
        # Configuration validates names, so `primary` contains no quotes.
        call = f"SELECT * FROM deckdrum_follow('{primary}', {term})"
        return await self._query_state(link, call)

    async def _query_state(
        self, link: DatabaseLink, text: str
    ) -> DatabaseState | None:
        return self.decode_state(await link.query(text))


def _decode_row(frame: Frame) -> tuple[str | None, ...]:
    return tuple(
        None if column is None else bytes(column).decode()
        for column in decode_backend(frame).columns
    )


def _describe_error(frame: Frame) -> str:
    fields = decode_backend(frame).fields
    return ' '.join((fields['C'], fields['M']))
