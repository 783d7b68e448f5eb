"""The PostgreSQL protocol of a stand-in database, server side.

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
from deckdrum.standins.rows import describe_columns, encode_row, read_argument
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
    encode_ready,
)

if TYPE_CHECKING:
    from deckdrum.standins.replication import ReplicatedDatabase

_MAX_MESSAGE_BYTES: Final = 64_000_000
_ROWS_A_SEND: Final = 200
_TEXT_OID: Final = 25
_MECHANISM: Final = scramp.ScramMechanism()
_counter = itertools.count(1)


@dataclass(slots=True)
class Prepared:
    """A prepared statement: text and declared argument types."""

    text: str
    oids: list[int]


@dataclass(slots=True)
class Portal:
    """A bound statement, and its answer once it has run."""

    prepared: Prepared
    arguments: tuple[Scalar, ...]
    answer: Answer | None = None


@dataclass(slots=True)
class Session:
    """One caller of a stand-in database."""

    database: 'ReplicatedDatabase'
    stream: Stream
    reader: FrameReader
    source: str
    latency: float
    transaction: Transaction
    statements: dict[str, Prepared] = field(default_factory=dict)
    portals: dict[str, Portal] = field(default_factory=dict)
    skipping: bool = False

    async def run(self) -> None:
        """Answer messages until the caller leaves."""
        while True:
            frame = await self.reader.read_frame()
            if frame is None or frame.tag == tags.TERMINATE:
                return
            await self.database.wait_until_reachable(self.source)
            if frame.tag in {tags.QUERY, tags.SYNC}:
                await curio.sleep(self.latency * 2)
            await self._answer(frame)

    async def query(self, message: Any) -> None:
        """Run a simple query."""
        texts = split_statements(message.query_string)
        if not texts:
            await self.send(codec.EmptyQueryResponse().to_wire())
        for text in texts:
            answer = await self.transaction.execute(text)
            is_last = text is texts[-1]
            if is_last:
                await self.transaction.end_implicit()
            await self._send_rows(answer, with_columns=True)
        await self.send(encode_ready(self.transaction.status))

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
        for place, raw in enumerate(message.param_values):
            oid = prepared.oids[place] if place < len(prepared.oids) else 0
            form = formats[place if len(formats) > 1 else 0]
            arguments.append(read_argument(raw, oid, form == 1))
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
        """Run a portal and send its rows."""
        portal = self.portals[message.portal]
        if not portal.prepared.text.strip():
            await self.send(codec.EmptyQueryResponse().to_wire())
            return
        answer = await self._run_portal(portal)
        await self._send_rows(answer, with_columns=False)

    async def close(self, message: Any) -> None:
        """Forget a statement or a portal."""
        known: dict[str, Any] = self.portals
        if message.kind == 'S':
            known = self.statements
        known.pop(message.name, None)
        await self.send(codec.CloseComplete().to_wire())

    async def flush(self, message: Any) -> None:
        """Do nothing: answers are sent at once."""

    async def send(self, payload: bytes) -> None:
        """Send an answer unless a fault holds it back."""
        await self.database.wait_until_reachable(self.source)
        await self.stream.send(payload)

    async def _answer(self, frame: Frame) -> None:
        if frame.tag == tags.SYNC:
            await self._sync()
            return
        if self.skipping:
            return
        try:
            await _STEPS[frame.tag](self, decode_frontend(frame))
        except SqlError as error:
            await self.transaction.fail()
            await self.send(encode_error(error.sqlstate, str(error)))
            self.skipping = frame.tag != tags.QUERY
            if frame.tag == tags.QUERY:
                await self.send(encode_ready(self.transaction.status))

    async def _sync(self) -> None:
        self.skipping = False
        try:
            await self.transaction.end_implicit()
        except SqlError as error:
            await self.send(encode_error(error.sqlstate, str(error)))
        self.portals.clear()
        await self.send(encode_ready(self.transaction.status))

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
        limited = f'SELECT * FROM ({text}) LIMIT 1'
        nothing = (None,) * count
        answer = await self.transaction.execute(limited, nothing)
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
                else answer.cursor.fetchmany(_ROWS_A_SEND)
            )
        command = answer.command
        if command == 'SELECT':
            command = f'SELECT {count}'
        await self.send(encode_command_complete(command))


_STEPS: Final = MappingProxyType(
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
    return describe_columns(answer.columns, answer.first)


async def serve_session(database: 'ReplicatedDatabase', stream: Stream) -> None:
    """Serve one connection from its start-up to its end."""
    reader = FrameReader(stream, _MAX_MESSAGE_BYTES)
    body = await reader.read_startup()
    if body is None:
        return
    startup = decode_startup(body)
    if isinstance(startup, codec.CancelRequest):
        await _cancel(database, startup)
    elif isinstance(startup, codec.StartupMessage):
        await _admit(database, stream, reader, startup)
    else:
        await stream.send(b'N')
        await serve_session(database, stream)


async def _admit(
    database: 'ReplicatedDatabase',
    stream: Stream,
    reader: FrameReader,
    startup: Any,
) -> None:
    title = startup.params.get('application_name', '')
    source, _, place = title.partition('@')
    await database.wait_until_reachable(source)
    profile = database.profile
    if len(database.sessions) >= profile.max_connections:
        text = 'sorry, too many clients already'
        await stream.send(encode_error('53300', text, severity='FATAL'))
        return
    is_near = place in {'', profile.data_centre}
    session = Session(
        database,
        stream,
        reader,
        source,
        profile.local_latency if is_near else profile.hop_latency,
        Transaction(database),
    )
    number = next(_counter)
    database.sessions[number] = session
    try:
        await _run_session(session, number)
    finally:
        database.sessions.pop(number, None)
        await session.transaction.close()


async def _run_session(session: Session, number: int) -> None:
    setup_time = session.database.profile.connect_time + session.latency * 2
    await curio.sleep(setup_time)
    try:
        is_known = await _authenticate(session)
    except scramp.ScramException:
        is_known = False
    if not is_known:
        text = 'password authentication failed'
        await session.send(encode_error('28P01', text, severity='FATAL'))
        return
    await session.send(_build_greeting(number))
    await session.run()


def _build_greeting(number: int) -> bytes:
    parts = [
        codec.AuthenticationOk().to_wire(),
        encode_parameter_status('server_version', '16.0'),
        encode_parameter_status('client_encoding', 'UTF8'),
        encode_parameter_status('server_encoding', 'UTF8'),
        encode_parameter_status('DateStyle', 'ISO, MDY'),
        encode_parameter_status('standard_conforming_strings', 'on'),
        encode_parameter_status('integer_datetimes', 'on'),
        encode_parameter_status('TimeZone', 'UTC'),
        codec.BackendKeyData(number, secrets.token_bytes(4)).to_wire(),
        encode_ready('I'),
    ]
    return b''.join(parts)


async def _cancel(database: 'ReplicatedDatabase', request: Any) -> None:
    session = database.sessions.get(request.process_id)
    if session is not None:
        await session.transaction.cancelled.set()


@lru_cache
def _make_record(password: str) -> Any:
    return _MECHANISM.make_auth_info(password)


async def _authenticate(session: Session) -> bool:
    profile = session.database.profile
    server = _MECHANISM.make_server(lambda user: _make_record(profile.password))
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
