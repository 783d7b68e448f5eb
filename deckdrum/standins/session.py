"""Server side of the PostgreSQL protocol for a stand-in database.

TEST STAND-IN.
"""

import itertools
import secrets
from dataclasses import dataclass, field
from functools import lru_cache
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

import curio
import scramp
from pygwire import ConnectionPhase

from deckdrum.standins.engine import Scalar, split_statements
from deckdrum.standins.rows import decode_argument, describe_columns, encode_row
from deckdrum.standins.transactions import Answer, SqlError, Transaction
from deckdrum.utils import Stream
from deckdrum.wire import tags
from deckdrum.wire.frames import Frame, FrameReader
from deckdrum.wire.messages import (
    codec,
    decode_frontend,
    decode_startup,
    encode_command_complete,
    encode_error,
    encode_parameter_status,
    encode_ready_for_query,
)

if TYPE_CHECKING:
    from deckdrum.standins.replication import ReplicatedDatabase

_MAX_MESSAGE_BYTES: Final = 64_000_000
_ROWS_PER_SEND: Final = 200
_TEXT_OID: Final = 25
_MECHANISM: Final = scramp.ScramMechanism()
_process_ids = itertools.count(1)


@dataclass(slots=True)
class Prepared:
    """A prepared statement with its declared argument types."""

    text: str
    oids: list[int]


@dataclass(slots=True)
class Portal:
    """A bound statement, with its answer once executed."""

    prepared: Prepared
    arguments: tuple[Scalar, ...]
    answer: Answer | None = None


@dataclass(slots=True)
class Session:
    """One client session of a stand-in database.

    `source` is the name that the client gave in ``application_name``; faults
    select clients by it.  `latency` is the one-way network delay in seconds.
    """

    database: 'ReplicatedDatabase'
    stream: Stream
    reader: FrameReader
    source: str
    latency: float
    transaction: Transaction
    statements: dict[str, Prepared] = field(default_factory=dict)
    portals: dict[str, Portal] = field(default_factory=dict)
    is_skipping_to_sync: bool = False
    is_logged_in: bool = False

    async def run(self) -> None:
        """Handle messages until the client disconnects."""
        while True:
            frame = await self.reader.read_frame()
            if frame is None or frame.tag == tags.TERMINATE:
                return
            await self.database.wait_until_reachable(self.source)
            if frame.tag in {tags.QUERY, tags.SYNC}:
                await curio.sleep(self.latency * 2)
            await self._handle_frame(frame)

    async def query(self, message: Any) -> None:
        """Execute a simple query."""
        texts = split_statements(message.query_string)
        if not texts:
            await self.send(codec.EmptyQueryResponse().to_wire())
        for text in texts:
            answer = await self.transaction.execute(text)
            is_last = text is texts[-1]
            if is_last:
                await self.transaction.end_implicit()
            await self._send_rows(answer, with_columns=True)
        await self.send(encode_ready_for_query(self.transaction.status))

    async def parse(self, message: Any) -> None:
        """Prepare a statement."""
        if message.statement and message.statement in self.statements:
            raise SqlError('42P05', 'the statement exists')
        self.statements[message.statement] = Prepared(
            message.query,
            list(message.param_types),
        )
        await self.send(codec.ParseComplete().to_wire())

    async def bind(self, message: Any) -> None:
        """Bind arguments to a prepared statement."""
        prepared = self._find_statement(message.statement)
        formats = message.param_formats or [0]
        arguments = []
        for index, raw in enumerate(message.param_values):
            oid = prepared.oids[index] if index < len(prepared.oids) else 0
            format_code = formats[index if len(formats) > 1 else 0]
            arguments.append(decode_argument(raw, oid, format_code == 1))
        self.portals[message.portal] = Portal(prepared, tuple(arguments))
        await self.send(codec.BindComplete().to_wire())

    async def describe(self, message: Any) -> None:
        """Describe a statement or a portal."""
        if message.kind == 'S':
            await self._describe_statement(message.name)
            return
        portal = self.portals[message.name]
        answer = await self._run_portal(portal)
        await self.send(_describe(answer))

    async def execute(self, message: Any) -> None:
        """Execute a portal and send its rows."""
        portal = self.portals[message.portal]
        if not portal.prepared.text.strip():
            await self.send(codec.EmptyQueryResponse().to_wire())
            return
        answer = await self._run_portal(portal)
        await self._send_rows(answer, with_columns=False)

    async def close(self, message: Any) -> None:
        """Close a statement or a portal."""
        entries: dict[str, Any] = self.portals
        if message.kind == 'S':
            entries = self.statements
        entries.pop(message.name, None)
        await self.send(codec.CloseComplete().to_wire())

    async def flush(self, message: Any) -> None:
        """Do nothing: answers are never buffered."""

    async def send(self, payload: bytes) -> None:
        """Send an answer once no fault blocks the client."""
        await self.database.wait_until_reachable(self.source)
        if self.is_logged_in:
            await self.database.wait_until_answerable(self.source)
        await self.stream.send(payload)

    async def _handle_frame(self, frame: Frame) -> None:
        if frame.tag == tags.SYNC:
            await self._sync()
            return
        if self.is_skipping_to_sync:
            return
        try:
            await _MESSAGE_HANDLERS[frame.tag](self, decode_frontend(frame))
        except SqlError as error:
            await self.transaction.fail()
            await self.send(encode_error(error.sqlstate, str(error)))
            self.is_skipping_to_sync = frame.tag != tags.QUERY
            if frame.tag == tags.QUERY:
                await self.send(encode_ready_for_query(self.transaction.status))

    async def _sync(self) -> None:
        self.is_skipping_to_sync = False
        try:
            await self.transaction.end_implicit()
        except SqlError as error:
            await self.send(encode_error(error.sqlstate, str(error)))
        self.portals.clear()
        await self.send(encode_ready_for_query(self.transaction.status))

    def _find_statement(self, name: str) -> Prepared:
        prepared = self.statements.get(name)
        if prepared is None:
            raise SqlError('26000', f'statement {name} is unknown')
        return prepared

    async def _run_portal(self, portal: Portal) -> Answer:
        if portal.answer is None:
            portal.answer = await self.transaction.execute(
                portal.prepared.text,
                portal.arguments,
            )
        return portal.answer

    async def _describe_statement(self, name: str) -> None:
        prepared = self._find_statement(name)
        text = prepared.text.strip().rstrip(';')
        count = 0
        while ''.join(('$', str(count + 1))) in text:
            count += 1
        oids = prepared.oids + [_TEXT_OID for _ in range(count)]
        await self.send(
            codec.ParameterDescription(type_oids=oids[:count]).to_wire(),
        )
        if not text.upper().startswith(('SELECT', 'WITH', 'VALUES')):
            await self.send(codec.NoData().to_wire())
            return
        first_row_query = f'SELECT * FROM ({text}) LIMIT 1'
        null_arguments = (None,) * count
        answer = await self.transaction.execute(first_row_query, null_arguments)
        await self.send(_describe(answer))

    async def _send_rows(self, answer: Answer, with_columns: bool) -> None:
        if with_columns and answer.columns:
            await self.send(_describe(answer))
        count = 0
        rows = answer.rows
        while rows:
            count += len(rows)
            await self.send(b''.join(encode_row(row) for row in rows))
            rows = (
                []
                if answer.cursor is None
                else answer.cursor.fetchmany(_ROWS_PER_SEND)
            )
        command_tag = answer.command_tag
        if command_tag == 'SELECT':
            command_tag = f'SELECT {count}'
        await self.send(encode_command_complete(command_tag))


_MESSAGE_HANDLERS: Final = MappingProxyType(
    {
        tags.QUERY: Session.query,
        tags.PARSE: Session.parse,
        tags.BIND: Session.bind,
        tags.DESCRIBE: Session.describe,
        tags.EXECUTE: Session.execute,
        tags.CLOSE: Session.close,
        tags.FLUSH: Session.flush,
    }
)


def _describe(answer: Answer) -> bytes:
    if not answer.columns:
        return codec.NoData().to_wire()
    return describe_columns(answer.columns, answer.first_row)


async def serve_session(database: 'ReplicatedDatabase', stream: Stream) -> None:
    """Serve one connection from its startup message on."""
    reader = FrameReader(stream, _MAX_MESSAGE_BYTES)
    body = await reader.read_startup()
    if body is None:
        return
    startup = decode_startup(body)
    if isinstance(startup, codec.CancelRequest):
        await _cancel(database, startup)
    elif isinstance(startup, codec.StartupMessage):
        await _open_session(database, stream, reader, startup)
    else:
        await stream.send(b'N')
        await serve_session(database, stream)


async def _open_session(
    database: 'ReplicatedDatabase',
    stream: Stream,
    reader: FrameReader,
    startup: Any,
) -> None:
    application_name = startup.params.get('application_name', '')
    source, _, location = application_name.partition('@')
    await database.wait_until_reachable(source)
    profile = database.profile
    if len(database.sessions) >= profile.max_connections:
        text = 'sorry, too many clients already'
        await stream.send(encode_error('53300', text, severity='FATAL'))
        return
    is_local = location in {'', profile.data_centre}
    session = Session(
        database,
        stream,
        reader,
        source,
        profile.local_latency if is_local else profile.hop_latency,
        Transaction(database),
    )
    process_id = next(_process_ids)
    database.sessions[process_id] = session
    try:
        await _run_session(session, process_id)
    finally:
        database.sessions.pop(process_id, None)
        await session.transaction.close()


async def _run_session(session: Session, process_id: int) -> None:
    setup_time = session.database.profile.connect_time + session.latency * 2
    await curio.sleep(setup_time)
    try:
        is_authenticated = await _authenticate(session)
    except scramp.ScramException:
        is_authenticated = False
    if not is_authenticated:
        text = 'password authentication failed'
        await session.send(encode_error('28P01', text, severity='FATAL'))
        return
    await session.send(_build_greeting(process_id))
    session.is_logged_in = True
    await session.run()


def _build_greeting(process_id: int) -> bytes:
    parts = [
        codec.AuthenticationOk().to_wire(),
        encode_parameter_status('server_version', '16.0'),
        encode_parameter_status('client_encoding', 'UTF8'),
        encode_parameter_status('server_encoding', 'UTF8'),
        encode_parameter_status('DateStyle', 'ISO, MDY'),
        encode_parameter_status('standard_conforming_strings', 'on'),
        encode_parameter_status('integer_datetimes', 'on'),
        encode_parameter_status('TimeZone', 'UTC'),
        codec.BackendKeyData(process_id, secrets.token_bytes(4)).to_wire(),
        encode_ready_for_query('I'),
    ]
    return b''.join(parts)


async def _cancel(database: 'ReplicatedDatabase', request: Any) -> None:
    session = database.sessions.get(request.process_id)
    if session is not None:
        await session.transaction.cancelled.set()


@lru_cache
def _make_auth_info(password: str) -> Any:
    return _MECHANISM.make_auth_info(password)


async def _authenticate(session: Session) -> bool:
    profile = session.database.profile
    server = _MECHANISM.make_server(
        lambda user: _make_auth_info(profile.password)
    )
    offer = codec.AuthenticationSASL(mechanisms=[_MECHANISM.name])
    await session.send(offer.to_wire())
    server.set_client_first(
        await _read_sasl(session, ConnectionPhase.AUTHENTICATING_SASL_INITIAL),
    )
    challenge = server.get_server_first().encode()
    await session.send(
        codec.AuthenticationSASLContinue(data=challenge).to_wire(),
    )
    server.set_client_final(
        await _read_sasl(session, ConnectionPhase.AUTHENTICATING_SASL_CONTINUE),
    )
    proof = server.get_server_final().encode()
    await session.send(codec.AuthenticationSASLFinal(data=proof).to_wire())
    return True


async def _read_sasl(session: Session, phase: ConnectionPhase) -> str:
    frame = await session.reader.read_frame()
    if frame is None:
        raise ConnectionResetError('the caller left')
    message = decode_frontend(frame, phase)
    return bytes(message.data).decode()
