"""One caller's connection: a task that serves batch after batch."""

from typing import Final

import curio

from deckdrum.callers.answers import (
    LocalAnswer,
    encode_answer,
    encode_refusal,
)
from deckdrum.callers.batches import Batch, BatchReader, Handling, build_run
from deckdrum.callers.host import CallerHost, CancelKey, OpenedChannel
from deckdrum.callers.login import Login, LoginTask
from deckdrum.callers.state import SESSION, CallerState, read_options
from deckdrum.fleet.messages import (
    BatchEnd,
    BatchRefused,
    Message,
    Rows,
    RunBatch,
)
from deckdrum.keepers import Access
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.sessions import Position
from deckdrum.statements import Effect, Statement
from deckdrum.utils import Stream
from deckdrum.wire import (
    FrameReader,
    WireError,
    encode_error,
    encode_parameter,
    encode_ready,
    tags,
)
from deckdrum.wire.messages import codec

#: Keepers that a batch may be handed to, one after the other.
_MAX_KEEPERS: Final = 3
_ABORTED: Final = 'current transaction is aborted, commands ignored'
_ENDING_COMMANDS: Final = frozenset(('ROLLBACK', 'ABORT', 'COMMIT', 'END'))
_GREETING: Final = (
    ('server_version', '16.0'),
    ('server_encoding', 'UTF8'),
    ('client_encoding', 'UTF8'),
    ('DateStyle', 'ISO, MDY'),
    ('IntervalStyle', 'postgres'),
    ('TimeZone', 'UTC'),
    ('integer_datetimes', 'on'),
    ('standard_conforming_strings', 'on'),
)
#: Transaction status outside any transaction.
_IDLE: Final = 'I'
_MOVED_CODES: Final = frozenset((Code.DRAINING, Code.NO_KEEPER))


class CallerConnection:
    """Serves one caller.

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
        self._reader = FrameReader(stream, host.limits.message)
        self._opened: OpenedChannel | None = None
        self._is_busy = False
        self._state: CallerState | None = None
        #: The key by which the caller cancels; set once it has logged in.
        self.key: CancelKey | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request and no transaction is under way."""
        return not self._is_busy and self._opened is None

    async def run(self) -> None:
        """Serve the caller from start-up to its end."""
        try:
            login = await LoginTask(
                self._host,
                self._stream,
                self._reader,
            ).run()
            if login is not None:
                await self._serve(login)
        except WireError as error:
            self._host.metrics.count('caller.bad_input')
            refusal = refuse(Code.PROTOCOL_VIOLATION, str(error))
            await self._say_last(refusal)
        except ConnectionError:
            self._host.metrics.count('caller.broken')
        finally:
            await self._drop_channel()

    async def cancel(self) -> None:
        """Cancel the caller's request, if one runs."""
        if self._opened is not None:
            await self._host.cancel_channel(self._opened)

    async def say_goodbye(self) -> None:
        """Tell an idle caller that the proxy stops, and close."""
        if self.is_idle and self._state is not None:
            await self._say_last(refuse(Code.DRAINING))
            await self._stream.close()

    async def _serve(self, login: Login) -> None:
        service = login.startup.get('database', login.user.name)
        state = CallerState(
            login.user.name,
            login.user.group,
            service,
            self._host.ring,
        )
        refusal = state.start(read_options(login.startup))
        if refusal is not None:
            await self._say_last(refusal)
            return
        self._state = state
        await self._greet(state)
        batches = BatchReader(self._reader, state, self._host.classifier)
        while not (self._host.is_draining and self.is_idle):
            batch = await batches.read()
            if batch is None:
                return
            self._is_busy = True
            await self._handle(batch, state)
            self._is_busy = False
        await self._say_last(refuse(Code.DRAINING))

    async def _greet(self, state: CallerState) -> None:
        key = self._host.make_key()
        self.key = key
        parts = [codec.AuthenticationOk().to_wire()]
        parts.extend(encode_parameter(name, text) for name, text in _GREETING)
        if state.token.positions:
            parts.append(
                encode_parameter(SESSION, state.token.encode(state.ring)),
            )
        parts.append(codec.BackendKeyData(key.process, key.secret).to_wire())
        parts.append(encode_ready(state.status))
        await self._stream.send(b''.join(parts))

    async def _handle(self, batch: Batch, state: CallerState) -> None:
        if state.is_lost and batch.statements:
            await self._handle_lost(batch, state)
            return
        if batch.handling is Handling.REFUSED:
            refusal = refuse(Code.NOT_SUPPORTED, _name_commands(batch))
            await self._answer(batch, encode_refusal(refusal))
        elif batch.handling is Handling.LOCAL and not self._is_forced(batch):
            await self._handle_local(batch, state)
        else:
            await self._run(batch, state)

    def _is_forced(self, batch: Batch) -> bool:
        """Tell whether a batch without statements belongs to the keeper."""
        is_bare = not batch.statements
        names_more = len(batch.frames) > 1 and not _only_closes(batch)
        return is_bare and (self._opened is not None or names_more)

    async def _handle_lost(self, batch: Batch, state: CallerState) -> None:
        """Answer a caller whose transaction is gone until it ends it."""
        commands = {each.command for each in batch.statements}
        if batch.runs and commands <= _ENDING_COMMANDS:
            state.is_lost = False
            state.status = _IDLE
            await self._answer_locally(batch, LocalAnswer('ROLLBACK'))
        else:
            await self._answer(batch, encode_error('25P02', _ABORTED))

    async def _handle_local(self, batch: Batch, state: CallerState) -> None:
        if not batch.statements:
            await self._answer_locally(batch, LocalAnswer(''))
            return
        outcome = self._apply(batch.statements[0], batch, state)
        if isinstance(outcome, Refusal):
            await self._answer(batch, encode_refusal(outcome))
        else:
            await self._answer_locally(batch, outcome)

    def _apply(
        self,
        statement: Statement,
        batch: Batch,
        state: CallerState,
    ) -> LocalAnswer | Refusal:
        """Carry out a statement that concerns the session only."""
        if statement.command == 'SHOW':
            return _show(statement, state)
        answer = LocalAnswer(statement.command)
        if not batch.runs:
            return answer
        if statement.command == 'DEALLOCATE':
            state.deallocate(statement.name)
            return answer
        if statement.effect is Effect.SETTING and state.status != _IDLE:
            told = 'SET inside a transaction; use SET LOCAL'
            return refuse(Code.NOT_SUPPORTED, told)
        if statement.command == 'DISCARD ALL':
            state.deallocate('ALL')
            state.reset('all')
        elif statement.command == 'RESET':
            state.reset(statement.name)
        else:
            refusal = state.change(statement.name, statement.argument)
            return refusal or answer
        return answer

    async def _run(self, batch: Batch, state: CallerState) -> None:
        document = self._host.document
        if document is None:
            raise RuntimeError('a caller logged in without a configuration')
        run = build_run(batch, state, document)
        started_at = await curio.clock()
        for _ in range(_MAX_KEEPERS):
            opened = self._opened or await self._host.open_channel(
                state.service,
                state.group,
            )
            if isinstance(opened, Refusal):
                await self._answer(batch, encode_refusal(opened))
                return
            self._opened = opened
            end = await self._exchange(run, opened)
            if not await self._should_move(end, run, state):
                break
        await self._finish(batch, state, end)
        seconds = await curio.clock() - started_at
        access = 'change' if run.access == Access.WRITE else 'read'
        self._host.metrics.latency.labels(
            state.service,
            state.group,
            access,
        ).observe(seconds)

    async def _exchange(
        self,
        run: RunBatch,
        opened: OpenedChannel,
    ) -> Message | Refusal:
        """Have the keeper run a batch; pass its rows to the caller."""
        touched = False
        try:
            await opened.channel.send(run)
            while True:
                message = await opened.channel.receive()
                if not isinstance(message, Rows):
                    return message
                touched = True
                await self._pass_rows(message)
        except _CallerLeftError as error:
            raise ConnectionResetError('the caller left') from error
        except ConnectionError as error:
            await self._host.suspect(opened.keeper)
            code = Code.CONNECTION_LOST
            if run.access != Access.WRITE and not touched:
                # A read that nobody has seen may be asked of another keeper.
                code = Code.NO_KEEPER
            return refuse(code, f'keeper {opened.keeper}: {error}')

    async def _should_move(
        self,
        end: Message | Refusal,
        run: RunBatch,
        state: CallerState,
    ) -> bool:
        """Tell whether another keeper should be asked."""
        code = _read_code(end)
        if code not in _MOVED_CODES or state.status != _IDLE:
            return False
        if isinstance(end, BatchRefused) and self._opened is not None:
            await self._host.suspect(self._opened.keeper)
        await self._drop_channel()
        return run.repeatable

    async def _pass_rows(self, rows: Rows) -> None:
        try:
            await self._stream.send(rows.payload)
        except ConnectionError as error:
            raise _CallerLeftError from error

    async def _finish(
        self,
        batch: Batch,
        state: CallerState,
        end: Message | Refusal,
    ) -> None:
        if isinstance(end, BatchEnd):
            await self._finish_done(batch, state, end)
            return
        was_open = state.status != _IDLE
        is_lost = True
        if isinstance(end, BatchRefused):
            is_lost = end.lost_transaction
            refusal = refuse(Code(end.code))
            refusal = Refusal(
                refusal.code,
                refusal.fate,
                end.text,
                refusal.retry_after,
            )
        elif isinstance(end, Refusal):
            refusal = end
        else:
            raise WireError(f'the keeper sent {type(end).__name__}')
        await self._drop_channel()
        if refusal.code is Code.BAD_SETTING:
            state.settings = dict(state.good_settings)
        if was_open and is_lost:
            state.is_lost = True
            state.status = 'E'
        elif was_open:
            state.status = _IDLE
        await self._answer(batch, encode_refusal(refusal))

    async def _finish_done(
        self,
        batch: Batch,
        state: CallerState,
        end: BatchEnd,
    ) -> None:
        state.good_settings = dict(state.settings)
        parts = []
        if state.token.advance(state.service, Position(*end.floor)):
            state.knows_floor = True
            parts.append(
                encode_parameter(SESSION, state.token.encode(state.ring)),
            )
        if end.status:
            state.status = end.status
            parts.append(encode_ready(end.status))
        if end.status == _IDLE:
            await self._keep_channel()
        if parts:
            await self._stream.send(b''.join(parts))

    async def _answer_locally(self, batch: Batch, answer: LocalAnswer) -> None:
        await self._answer(batch, encode_answer(batch.frames, answer))

    async def _answer(self, batch: Batch, payload: bytes) -> None:
        """Send an answer, and ReadyForQuery where the batch asks for it."""
        if batch.frames[-1].tag != tags.FLUSH:
            status = self._state.status if self._state else _IDLE
            payload += encode_ready(status)
        await self._stream.send(payload)

    async def _keep_channel(self) -> None:
        opened = self._opened
        self._opened = None
        if opened is not None:
            await self._host.keep_channel(opened)

    async def _drop_channel(self) -> None:
        opened = self._opened
        self._opened = None
        if opened is not None:
            await opened.channel.close()

    async def _say_last(self, refusal: Refusal) -> None:
        try:
            await self._stream.send(encode_refusal(refusal, 'FATAL'))
        except ConnectionError:
            self._host.metrics.count('caller.broken')


class _CallerLeftError(Exception):
    """The caller closed its connection while rows were on their way."""


def _read_code(end: Message | Refusal) -> str:
    if isinstance(end, BatchRefused | Refusal):
        return end.code
    return ''


def _name_commands(batch: Batch) -> str:
    return ', '.join(each.command for each in batch.statements)


def _only_closes(batch: Batch) -> bool:
    return all(frame.tag in {tags.CLOSE, tags.SYNC} for frame in batch.frames)


def _show(statement: Statement, state: CallerState) -> LocalAnswer | Refusal:
    text = state.read(statement.name)
    if text is None:
        return refuse(Code.BAD_SETTING, f'{statement.name} is unknown')
    return LocalAnswer('SHOW', statement.name, text)
