"""Running a caller's batches on the keeper of its service."""

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
from deckdrum.wire import (
    WireError,
    encode_parameter_status,
    encode_ready_for_query,
)

#: Keepers that are tried in turn for one batch.
_MAX_KEEPER_ATTEMPTS: Final = 3
#: Time without a message after which the keeper is sent a heartbeat.
_SILENCE_TIMEOUT_S: Final = 1.0
_IDLE: Final = 'I'
_FAILED: Final = 'E'
#: Refusals after which another keeper is tried.
_RETRY_ELSEWHERE_CODES: Final = frozenset((Code.DRAINING, Code.NO_KEEPER))


class CallerLeftError(Exception):
    """The caller disconnected while rows were being sent to it."""


class Execution:
    """Runs the batches of one caller.

    Parameters
    ----------
    host : CallerHost
        The proxy.
    stream : Stream
        The caller's connection.
    state : CallerState
        The caller's session.
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
        """Whether a request or a transaction is in progress."""
        return self._opened is not None

    async def run(self, batch: Batch) -> bytes:
        """Run a batch and stream its rows to the caller.

        Returns
        -------
        bytes
            The end of the response; empty after a successful Flush.

        Raises
        ------
        ConnectionError
            If the caller has disconnected.
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
        return await self._apply_refusal(end)

    async def cancel(self) -> None:
        """Cancel the running batch, if any."""
        if self._opened is not None:
            await self._host.cancel_channel(self._opened)

    async def close(self) -> None:
        """Close the channel, which rolls back an open transaction."""
        opened = self._opened
        self._opened = None
        if opened is not None:
            await opened.channel.close()

    async def _run_on_any_keeper(self, message: RunBatch) -> BatchEnd | Refusal:
        """Try keepers in turn until one has run the batch."""
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
                # Must be sent only once, so no other keeper is tried.
                break
        return end

    async def _exchange(
        self,
        message: RunBatch,
        opened: OpenedChannel,
    ) -> BatchEnd | Refusal:
        """Run a batch on one keeper and forward its rows to the caller."""
        has_forwarded_rows = False
        try:
            await opened.channel.send(message)
            while True:
                answer = await self._receive(opened)
                if not isinstance(answer, Rows):
                    return self._decode_end(answer)
                has_forwarded_rows = True
                await self._forward_rows(answer)
        except CallerLeftError as error:
            raise ConnectionResetError('the caller disconnected') from error
        except ConnectionError as error:
            await self._host.suspect(opened.keeper)
            is_change = message.access == Access.WRITE
            # A read without forwarded rows can be retried on another keeper.
            is_outcome_unknown = is_change or has_forwarded_rows
            code = (
                Code.CONNECTION_LOST if is_outcome_unknown else Code.NO_KEEPER
            )
            return refuse(code, f'keeper {opened.keeper}: {error}')

    async def _receive(self, opened: OpenedChannel) -> Message:
        """Return the keeper's next message; send heartbeats while waiting.

        Raises
        ------
        ConnectionError
            If the channel is broken or the keeper's process is unresponsive.
        """
        while True:
            async with curio.ignore_after(_SILENCE_TIMEOUT_S):
                return await opened.channel.receive()
            if not await self._host.is_running(opened.keeper):
                raise ConnectionResetError('its process does not answer')

    def _decode_end(self, answer: Message) -> BatchEnd | Refusal:
        if isinstance(answer, BatchEnd):
            return answer
        if not isinstance(answer, BatchRefused):
            raise WireError(f'the keeper sent {type(answer).__name__}')
        if answer.lost_transaction:
            self._state.is_transaction_lost = True
        default = refuse(Code(answer.code))
        return Refusal(
            default.code, default.fate, answer.text, default.retry_after
        )

    def _should_try_another_keeper(self, end: BatchEnd | Refusal) -> bool:
        """Return whether another keeper should be tried."""
        if isinstance(end, BatchEnd) or self._state.status != _IDLE:
            return False
        return end.code in _RETRY_ELSEWHERE_CODES

    async def _forward_rows(self, rows: Rows) -> None:
        try:
            await self._stream.send(rows.payload)
        except ConnectionError as error:
            raise CallerLeftError from error

    async def _finish(self, end: BatchEnd) -> bytes:
        state = self._state
        state.accepted_settings = dict(state.settings)
        parts = []
        if state.token.advance(state.service, Position(*end.floor)):
            state.knows_min_position = True
            parts.append(
                encode_parameter_status(
                    SESSION, state.token.encode(state.ring)
                ),
            )
        if end.status:
            state.status = end.status
            parts.append(encode_ready_for_query(end.status))
        if end.status == _IDLE and self._opened is not None:
            opened = self._opened
            self._opened = None
            await self._host.release_channel(opened)
        return b''.join(parts)

    async def _apply_refusal(self, refusal: Refusal) -> bytes:
        """Update the session after a refusal; return the encoded error."""
        state = self._state
        if refusal.code is Code.BAD_SETTING:
            state.settings = dict(state.accepted_settings)
        if refusal.code is Code.CONNECTION_LOST and state.status != _IDLE:
            state.is_transaction_lost = True
        if state.is_transaction_lost:
            state.status = _FAILED
        elif state.status != _IDLE:
            state.status = _IDLE
        await self.close()
        return encode_refusal(refusal)
