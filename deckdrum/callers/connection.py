"""The connection of one caller, which serves its batches in sequence."""

from typing import Final

from deckdrum.callers.answers import (
    LocalAnswer,
    encode_answer,
    encode_refusal,
)
from deckdrum.callers.batches import Batch, BatchReader, Handling
from deckdrum.callers.execution import Execution
from deckdrum.callers.host import CallerHost, CancelKey
from deckdrum.callers.login import Login, LoginTask
from deckdrum.callers.session_statements import execute_locally
from deckdrum.callers.state import SESSION, CallerState, read_options
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.utils import Stream
from deckdrum.wire import (
    FrameReader,
    WireError,
    encode_error,
    encode_parameter_status,
    encode_ready_for_query,
    tags,
)
from deckdrum.wire.messages import codec

_ABORTED: Final = 'current transaction is aborted, commands ignored'
_TRANSACTION_END_COMMANDS: Final = frozenset(
    ('ROLLBACK', 'ABORT', 'COMMIT', 'END')
)
#: ReadyForQuery status outside a transaction.
_IDLE: Final = 'I'
_READY_BYTES: Final = 6
_CLOSE_TAGS: Final = frozenset((tags.CLOSE, tags.SYNC, tags.FLUSH))
_SERVER_PARAMETERS: Final = (
    ('server_version', '16.0'),
    ('server_encoding', 'UTF8'),
    ('client_encoding', 'UTF8'),
    ('DateStyle', 'ISO, MDY'),
    ('IntervalStyle', 'postgres'),
    ('TimeZone', 'UTC'),
    ('integer_datetimes', 'on'),
    ('standard_conforming_strings', 'on'),
)


class CallerConnection:
    """Serves the connection of one caller.

    Parameters
    ----------
    host : CallerHost
        The proxy.
    stream : Stream
        The caller's connection.
    """

    def __init__(self, host: CallerHost, stream: Stream) -> None:
        self._host = host
        self._stream = stream
        self._reader = FrameReader(stream, host.limits.max_message_bytes)
        self._is_busy = False
        self._execution: Execution | None = None
        #: Key of the caller's cancel requests; None until it has logged in.
        self.key: CancelKey | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request and no transaction is in progress."""
        is_open = self._execution is not None and self._execution.is_open
        return not self._is_busy and not is_open

    async def run(self) -> None:
        """Serve the caller until it disconnects or the proxy drains."""
        try:
            await self._run()
        except WireError as error:
            self._host.metrics.count('caller.bad_input')
            refusal = refuse(Code.PROTOCOL_VIOLATION, str(error))
            await self._send_fatal(refusal)
        except ConnectionError:
            self._host.metrics.count('caller.broken')
        finally:
            if self._execution is not None:
                await self._execution.close()

    async def cancel(self) -> None:
        """Cancel the caller's running request, if any."""
        if self._execution is not None:
            await self._execution.cancel()

    async def close_if_idle(self) -> None:
        """Send an idle caller a DRAINING error and close its connection."""
        if self.is_idle and self._execution is not None:
            await self._send_fatal(refuse(Code.DRAINING))
            await self._stream.close()

    async def _run(self) -> None:
        task = LoginTask(self._host, self._stream, self._reader)
        login = await task.run()
        if login is None:
            return
        state = self._open_session(login)
        refusal = state.apply_startup_options(read_options(login.startup))
        if refusal is not None:
            await self._send_fatal(refusal)
            return
        self._execution = Execution(self._host, self._stream, state)
        await self._complete_startup(state)
        await self._serve(state, self._execution)

    async def _serve(self, state: CallerState, execution: Execution) -> None:
        batches = BatchReader(self._reader, state, self._host)
        while not (self._host.is_draining and self.is_idle):
            batch = await batches.read_batch()
            if batch is None:
                return
            self._is_busy = True
            await self._handle(batch, state, execution)
            self._is_busy = False
        await self._send_fatal(refuse(Code.DRAINING))

    def _open_session(self, login: Login) -> CallerState:
        return CallerState(
            login.user.name,
            login.user.group,
            login.startup.get('database', login.user.name),
            self._host.ring,
        )

    async def _complete_startup(self, state: CallerState) -> None:
        key = self._host.make_key()
        self.key = key
        parts = [codec.AuthenticationOk().to_wire()]
        parts.extend(
            encode_parameter_status(name, text)
            for name, text in _SERVER_PARAMETERS
        )
        if state.token.positions:
            parts.append(
                encode_parameter_status(
                    SESSION, state.token.encode(state.ring)
                ),
            )
        parts.append(codec.BackendKeyData(key.process, key.secret).to_wire())
        parts.append(encode_ready_for_query(state.status))
        await self._stream.send(b''.join(parts))

    async def _handle(
        self,
        batch: Batch,
        state: CallerState,
        execution: Execution,
    ) -> None:
        if state.is_transaction_lost and batch.statements:
            payload = _answer_lost_transaction(batch, state)
        elif batch.handling is Handling.REFUSED:
            commands = ', '.join(each.command for each in batch.statements)
            payload = encode_refusal(refuse(Code.NOT_SUPPORTED, commands))
        elif _is_answered_locally(batch, execution):
            payload = _answer_locally(batch, state)
        else:
            payload = await execution.run(batch)
            if _has_ready(payload):
                await self._stream.send(payload)
                return
        if batch.frames[-1].tag != tags.FLUSH:
            payload += encode_ready_for_query(state.status)
        if payload:
            await self._stream.send(payload)

    async def _send_fatal(self, refusal: Refusal) -> None:
        try:
            await self._stream.send(encode_refusal(refusal, 'FATAL'))
        except ConnectionError:
            self._host.metrics.count('caller.broken')


def _has_ready(payload: bytes) -> bool:
    """Return whether a response already ends with ReadyForQuery."""
    ready = payload[-_READY_BYTES:]
    return ready.startswith(tags.READY)


def _is_answered_locally(batch: Batch, execution: Execution) -> bool:
    """Return whether the proxy answers a batch without a database."""
    if batch.handling is not Handling.LOCAL:
        return False
    if batch.statements:
        return True
    only_closes = all(frame.tag in _CLOSE_TAGS for frame in batch.frames)
    return only_closes and not execution.is_open


def _answer_locally(batch: Batch, state: CallerState) -> bytes:
    outcome = execute_locally(batch, state)
    if isinstance(outcome, Refusal):
        return encode_refusal(outcome)
    return encode_answer(batch.frames, outcome)


def _answer_lost_transaction(batch: Batch, state: CallerState) -> bytes:
    """Reject statements of a lost transaction until the caller ends it."""
    commands = {each.command for each in batch.statements}
    if not batch.executes or not commands <= _TRANSACTION_END_COMMANDS:
        return encode_error('25P02', _ABORTED)
    state.is_transaction_lost = False
    state.status = _IDLE
    return encode_answer(batch.frames, LocalAnswer('ROLLBACK'))
