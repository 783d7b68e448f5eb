"""Running one batch on one connection and relaying its answer.

Answer bytes are streamed to the caller up to the first message that completes
a command.  From there on they are held back until the keeper has confirmed the
batch, so that no unconfirmed change is acknowledged.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from deckdrum.databases import DatabaseLink, QueryResult
from deckdrum.fleet.messages import RunBatch
from deckdrum.keepers.access import Access
from deckdrum.keepers.rewriting import ExpectedReply, Rewriter
from deckdrum.keepers.routing import Route
from deckdrum.wire import Frame, WireError, tags
from deckdrum.wire.messages import decode_backend

#: Answer bytes buffered before they are relayed.
_CHUNK_BYTES: Final = 32768
#: Largest held-back part of the answer to a change.
MAX_HELD_BYTES: Final = 4_000_000
_COMMAND_END_TAGS: Final = frozenset(
    (
        tags.COMMAND_COMPLETE,
        tags.EMPTY_QUERY,
        tags.PORTAL_SUSPENDED,
    )
)
_REPLY_END_TAGS: Final = _COMMAND_END_TAGS.union((b'T', b'n'))
_COPY_TAGS: Final = frozenset((tags.COPY_IN, tags.COPY_OUT, tags.COPY_BOTH))
_EXPECTED_TAGS: Final = frozenset(
    (
        tags.PARSE_COMPLETE,
        tags.BIND_COMPLETE,
        tags.CLOSE_COMPLETE,
    )
)
_FLUSH: Final = Frame.build(tags.FLUSH).raw
#: Read-only transaction, admin shutdown, crash shutdown, cannot connect now,
#: too many connections: the database did not execute the request.
_NOT_EXECUTED_SQLSTATES: Final = frozenset(
    (
        '25006',
        '57P01',
        '57P02',
        '57P03',
        '53300',
    )
)

Sink = Callable[[bytes], Awaitable[None]]


class AnswerTooLargeError(Exception):
    """The held-back answer to a change exceeded `MAX_HELD_BYTES`."""


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Outcome of a batch on its connection.

    Attributes
    ----------
    status : str
        Transaction status, or empty after Flush.
    held : bytes
        Held-back end of the answer, still to be relayed.
    rejected : str
        SQLSTATE, if the database executed nothing and nothing was relayed.
    failed : bool
        Whether the database reported an error.
    trailer : QueryResult or None
        Result of the query that was pipelined after the batch.
    """

    status: str
    held: bytes = b''
    rejected: str = ''
    failed: bool = False
    trailer: QueryResult | None = None


class Relay:
    """One batch on one connection.

    Parameters
    ----------
    link : DatabaseLink
        The connection.
    batch : RunBatch
        The batch.
    sink : callable
        Coroutine function that receives the answer bytes.
    trailer : bytes
        Encoded query to pipeline after the batch, which saves a round trip.
    """

    def __init__(
        self,
        link: DatabaseLink,
        batch: RunBatch,
        sink: Sink,
        trailer: bytes = b'',
    ) -> None:
        self._link = link
        self._batch = batch
        self._sink = sink
        self._trailer = trailer
        self._buffer = bytearray()
        self._held = bytearray()
        self._is_holding = False
        self._sqlstate = ''
        #: Number of frames received from the database.
        self.frames = 0
        #: Whether any byte of the batch was sent.
        self.is_sent = False
        #: Whether any byte of the answer was relayed.
        self.has_relayed_bytes = False

    async def run(self) -> RelayResult:
        """Send the batch and relay its answer.

        Raises
        ------
        ConnectionError
            If the connection breaks.
        AnswerTooLargeError
            If the held-back answer to a change is too large.
        """
        rewriter = Rewriter(self._batch.statements, self._link.prepared)
        rewritten = rewriter.rewrite(self._batch.payload)
        self.is_sent = True
        await self._link.send(rewritten.payload + self._trailer)
        replies = rewritten.replies
        while rewritten.ends_with_sync or replies > 0:
            frame = await self._next_frame()
            if frame.tag == tags.READY:
                answer = await self._read_trailer()
                return self._finish(frame.body.decode(), answer)
            if frame.tag in _EXPECTED_TAGS:
                expected = rewritten.expected.popleft()
                replies -= int(not expected.is_suppressed)
                self._record_expected_reply(expected)
                if expected.is_suppressed:
                    continue
            elif frame.tag in _REPLY_END_TAGS:
                replies -= 1
            elif frame.tag == tags.ERROR:
                self._record_error(frame)
                rewritten.expected.clear()
                replies = 0
            await self._relay_frame(frame)
        await self.flush()
        return self._finish('')

    async def flush(self) -> None:
        """Relay the buffered bytes that are not held back."""
        if self._buffer:
            self.has_relayed_bytes = True
            payload = bytes(self._buffer)
            self._buffer.clear()
            await self._sink(payload)

    async def _read_trailer(self) -> QueryResult | None:
        return await self._link.read_result() if self._trailer else None

    async def _next_frame(self) -> Frame:
        frame = self._link.pop_frame()
        if frame is None:
            if len(self._buffer) > _CHUNK_BYTES:
                await self.flush()
            frame = await self._link.read_frame()
        self.frames += 1
        return frame

    async def _relay_frame(self, frame: Frame) -> None:
        if frame.tag == tags.NOTIFICATION:
            return
        if frame.tag in _COPY_TAGS:
            raise WireError('the database began a COPY')
        if frame.tag in _COMMAND_END_TAGS:
            self._is_holding = True
        if self._is_holding:
            self._held.extend(frame.raw)
            if len(self._held) > MAX_HELD_BYTES:
                await self._handle_overflow()
            return
        self._buffer.extend(frame.raw)
        if len(self._buffer) > _CHUNK_BYTES:
            await self.flush()

    async def _handle_overflow(self) -> None:
        if self._batch.access == Access.WRITE:
            raise AnswerTooLargeError
        self._buffer.extend(self._held)
        self._held.clear()
        await self.flush()

    def _finish(
        self,
        status: str,
        trailer: QueryResult | None = None,
    ) -> RelayResult:
        is_rejected = (
            self._sqlstate in _NOT_EXECUTED_SQLSTATES and status != 'E'
        )
        if is_rejected and not self._is_holding and not self.has_relayed_bytes:
            return RelayResult(status, rejected=self._sqlstate, failed=True)
        held = bytes(self._buffer) + bytes(self._held)
        failed = bool(self._sqlstate)
        return RelayResult(status, held, failed=failed, trailer=trailer)

    def _record_error(self, frame: Frame) -> None:
        fields = decode_backend(frame).fields
        self._sqlstate = fields.get('C', '')

    def _record_expected_reply(self, expected: ExpectedReply) -> None:
        if expected.prepared:
            self._link.prepared.add(expected.prepared)
        if expected.closed:
            self._link.prepared.discard(expected.closed)


async def replay_settings(link: DatabaseLink, batch: RunBatch) -> str:
    """Apply the session settings of the caller to a connection.

    Returns
    -------
    str
        Error message of the database, or empty on success.

    Raises
    ------
    ConnectionError
        If the connection breaks; the batch has not been sent.
    """
    requested = tuple((name, text) for name, text in batch.settings)
    if link.settings == requested:
        return ''
    link.settings = (('', ''),)
    statements = ['RESET ALL']
    statements.extend(
        f'SET {name} = {_quote_literal(text)}' for name, text in requested
    )
    for statement in statements:
        answer = await link.query(statement)
        if answer.sqlstate:
            return answer.text
    link.settings = requested
    return ''


def _quote_literal(text: str) -> str:
    doubled = text.replace("'", "''")
    return f"'{doubled}'"


def choose_trailer(route: Route, batch: RunBatch) -> bytes:
    """Return the state query to pipeline after a replica read, if any."""
    if route.is_primary or batch.payload.endswith(_FLUSH):
        return b''
    return route.pool.database.state_request
