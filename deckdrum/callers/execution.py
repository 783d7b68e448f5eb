"""Having a caller's batches run by the keeper of its service."""

from typing import Final

import curio

from deckdrum.callers.answers import encode_refusal
from deckdrum.callers.batches import Batch, build_run_message
from deckdrum.callers.host import CallerHost, OpenedChannel
from deckdrum.callers.state import SESSION, CallerState
from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import (
    BatchEnd,
    BatchRefused,
    Rows,
    RunBatch,
)
from deckdrum.keepers import Access
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.sessions import Position
from deckdrum.utils import Stream
from deckdrum.wire import WireError, encode_parameter_status, encode_ready

#: Keepers that a batch may be handed to, one after the other.
_MAX_KEEPER_ATTEMPTS: Final = 3
#: Silence of a keeper after which it is asked whether it runs, in seconds.
_SILENCE: Final = 1.0
_IDLE: Final = 'I'
_FAILED: Final = 'E'
#: Refusals by which a keeper says that another one should be asked.
_RETRY_ELSEWHERE_CODES: Final = frozenset((Code.DRAINING, Code.NO_KEEPER))


class CallerLeftError(Exception):
    """The caller closed its connection while rows were on their way."""


class Execution:
    """Runs the batches of one caller.

    Parameters
    ----------
    host : CallerHost
        The proxy.
    stream : Stream
        The caller's connection.
    state : CallerState
        Its session.
    """

    def __init__(
        self,
        host: CallerHost,
        stream: Stream,
        state: CallerState,
    ) -> None:
        self._host = host
        self._stream = stream
        self._state = state
        self._opened: OpenedChannel | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request or a transaction is under way."""
        return self._opened is not None

    async def run(self, batch: Batch) -> bytes:
        """Run a batch; its rows go to the caller while they arrive.

        Returns
        -------
        bytes
            What ends the answer; empty after a Flush that succeeded.

        Raises
        ------
        ConnectionError
            If the caller has left.
        """
        document = self._host.document
        if document is None:
            return encode_refusal(refuse(Code.NOT_CONFIGURED))
        state = self._state
        message = build_run_message(batch, state, document)
        started_at = await curio.clock()
        end = await self._run_on_any_keeper(message)
        seconds = await curio.clock() - started_at
        is_change = message.access == Access.WRITE
        self._host.metrics.latency.labels(
            state.service,
            state.group,
            'change' if is_change else 'read',
        ).observe(seconds)
        if isinstance(end, BatchEnd):
            return await self._finish(end)
        return await self._fail(end)

    async def cancel(self) -> None:
        """Cancel what runs, if anything."""
        if self._opened is not None:
            await self._host.cancel_channel(self._opened)

    async def close(self) -> None:
        """Close the channel; an open transaction is rolled back."""
        opened = self._opened
        self._opened = None
        if opened is not None:
            await opened.channel.close()

    async def _run_on_any_keeper(self, message: RunBatch) -> BatchEnd | Refusal:
        """Ask keepers one after the other until one has run the batch."""
        end: BatchEnd | Refusal = refuse(Code.NO_KEEPER)
        for _ in range(_MAX_KEEPER_ATTEMPTS):
            opened = self._opened or await self._host.open_channel(
                self._state.service,
                self._state.group,
            )
            if isinstance(opened, Refusal):
                return opened
            self._opened = opened
            end = await self._exchange(message, opened)
            if not self._should_try_another_keeper(end):
                break
            await self._host.suspect(opened.keeper)
            await self.close()
            if not message.repeatable:
                # Sent once, ever: not to a second keeper either.
                break
        return end

    async def _exchange(
        self,
        message: RunBatch,
        opened: OpenedChannel,
    ) -> BatchEnd | Refusal:
        """Have one keeper run a batch; pass its rows to the caller."""
        touched = False
        try:
            await opened.channel.send(message)
            while True:
                answer = await self._receive(opened)
                if not isinstance(answer, Rows):
                    return self._decode_end(answer)
                touched = True
                await self._pass_rows(answer)
        except CallerLeftError as error:
            raise ConnectionResetError('the caller left') from error
        except ConnectionError as error:
            await self._host.suspect(opened.keeper)
            is_change = message.access == Access.WRITE
            # A read that nobody has seen may be asked of another keeper.
            is_lost = is_change or touched
            code = Code.CONNECTION_LOST if is_lost else Code.NO_KEEPER
            return refuse(code, f'keeper {opened.keeper}: {error}')

    async def _receive(self, opened: OpenedChannel) -> Message:
        """Return the keeper's next message; ask after it while it is silent.

        Raises
        ------
        ConnectionError
            If the channel is broken or the keeper's process does not run.
        """
        while True:
            async with curio.ignore_after(_SILENCE):
                return await opened.channel.receive()
            if not await self._host.is_running(opened.keeper):
                raise ConnectionResetError('its process does not answer')

    def _decode_end(self, answer: Message) -> BatchEnd | Refusal:
        if isinstance(answer, BatchEnd):
            return answer
        if not isinstance(answer, BatchRefused):
            raise WireError(f'the keeper sent {type(answer).__name__}')
        if answer.lost_transaction:
            self._state.is_lost = True
        told = refuse(Code(answer.code))
        return Refusal(told.code, told.fate, answer.text, told.retry_after)

    def _should_try_another_keeper(self, end: BatchEnd | Refusal) -> bool:
        """Tell whether another keeper should be asked."""
        if isinstance(end, BatchEnd) or self._state.status != _IDLE:
            return False
        return end.code in _RETRY_ELSEWHERE_CODES

    async def _pass_rows(self, rows: Rows) -> None:
        try:
            await self._stream.send(rows.payload)
        except ConnectionError as error:
            raise CallerLeftError from error

    async def _finish(self, end: BatchEnd) -> bytes:
        state = self._state
        state.good_settings = dict(state.settings)
        parts = []
        if state.token.advance(state.service, Position(*end.floor)):
            state.knows_floor = True
            parts.append(
                encode_parameter_status(
                    SESSION, state.token.encode(state.ring)
                ),
            )
        if end.status:
            state.status = end.status
            parts.append(encode_ready(end.status))
        if end.status == _IDLE and self._opened is not None:
            opened = self._opened
            self._opened = None
            await self._host.keep_channel(opened)
        return b''.join(parts)

    async def _fail(self, refusal: Refusal) -> bytes:
        """Note what a refusal means for the session; return the error."""
        state = self._state
        if refusal.code is Code.BAD_SETTING:
            state.settings = dict(state.good_settings)
        if refusal.code is Code.CONNECTION_LOST and state.status != _IDLE:
            state.is_lost = True
        if state.is_lost:
            state.status = _FAILED
        elif state.status != _IDLE:
            state.status = _IDLE
        await self.close()
        return encode_refusal(refusal)
