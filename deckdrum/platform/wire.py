"""The line protocol that clients and databases share.

A message is one line: a word, then fields separated by single blanks, closed
by CR LF; the last field runs to the end and may hold blanks.
"""

import re
from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Deallocate,
    Effect,
    Execute,
    Operation,
    Prepare,
    Rejection,
    RejectionCause,
    Request,
    Rollback,
    Run,
    SetValue,
    Standing,
)
from deckdrum.outcomes import Code, Refusal
from deckdrum.sessions import Position
from deckdrum.utils import Stream

#: Largest message, in bytes.
MAX_LINE_BYTES: Final = 1024 * 1024
#: The id of statements that no client has sent.
OWN_ID: Final = '-'
#: Stands where there is no position and no signature.
NOTHING: Final = '-'
_END: Final = b'\r\n'
_MS: Final = 1000
_STANDING_WORDS: Final = MappingProxyType(
    {'I': Standing.IDLE, 'T': Standing.OPEN, 'E': Standing.FAILED},
)
_WORDS_OF_STANDING: Final = MappingProxyType(
    {standing: word for word, standing in _STANDING_WORDS.items()},
)
_EFFECTS: Final = MappingProxyType(
    {'READ': Effect.READ, 'WRITE': Effect.WRITE},
)
_CAUSES: Final = MappingProxyType(
    {
        'BUSY': RejectionCause.OVERLOADED,
        'TOOMANY': RejectionCause.TOO_MANY_CONNECTIONS,
        'LAGGING': RejectionCause.BEHIND,
        'READONLY': RejectionCause.NOT_PRIMARY,
        'NOSTMT': RejectionCause.UNKNOWN_STATEMENT,
        'MISROUTED': RejectionCause.WRONG_SERVER,
        'FAILED': RejectionCause.FAILED,
        'TIMEOUT': RejectionCause.TIMED_OUT,
        'ABORTED': RejectionCause.ABORTED,
    },
)
#: How clients are told of a refusal.  BUSY and ABORTED promise that nothing
#: is kept; INDOUBT and TIMEOUT promise nothing.
_ERROR_WORDS: Final = MappingProxyType(
    {
        Code.QUEUE_FULL: 'BUSY',
        Code.QUEUE_TIMEOUT: 'BUSY',
        Code.NO_PRIMARY: 'BUSY',
        Code.NO_KEEPER: 'BUSY',
        Code.READ_NOT_POSSIBLE: 'BUSY',
        Code.PRIMARY_REFUSED: 'BUSY',
        Code.DRAINING: 'ABORTED',
        Code.TRANSACTION_LOST: 'ABORTED',
        Code.IDLE_TRANSACTION: 'ABORTED',
        Code.NOT_CONFIGURED: 'NODB',
        Code.UNCONFIRMED: 'INDOUBT',
        Code.CONNECTION_LOST: 'INDOUBT',
        Code.ANSWER_TOO_LARGE: 'INDOUBT',
        Code.STATEMENT_FAILED: 'FAILED',
        Code.TIMED_OUT: 'TIMEOUT',
        Code.READ_ONLY: 'READONLY',
        Code.UNKNOWN_STATEMENT: 'NOSTMT',
        Code.PROTOCOL_VIOLATION: 'MALFORMED',
    },
)
_DEFAULT_ERROR: Final = 'INDOUBT'
_UNSAFE: Final = re.compile(r'[\r\n\x00]')
_POSITION: Final = re.compile(r'(\d+)\.(\d+)')


class LineError(ValueError):
    """A message that breaks the protocol."""


class LineReader:
    """Reads messages of one connection.

    Parameters
    ----------
    stream : Stream
        The connection.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._searched = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that are no whole message yet."""
        return bool(self._buffer)

    async def read(self) -> str | None:
        """Return the next message without its end; None at a clean end.

        Raises
        ------
        LineError
            If the message is too long or is no text.
        ConnectionError
            If the connection ends within a message.
        """
        while True:
            end = self._buffer.find(_END, self._searched)
            if end >= 0:
                return self._take(end)
            self._searched = max(0, len(self._buffer) - 1)
            if len(self._buffer) > MAX_LINE_BYTES:
                raise LineError(
                    f'a message has over {MAX_LINE_BYTES} bytes',
                )
            chunk = await self._stream.receive()
            if chunk:
                self._buffer.extend(chunk)
            elif self._buffer:
                raise ConnectionResetError('the peer closed within a message')
            else:
                return None

    def _take(self, end: int) -> str:
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(_END)]
        self._searched = 0
        if len(line) > MAX_LINE_BYTES:
            raise LineError(f'a message has over {MAX_LINE_BYTES} bytes')
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise LineError('a message is no text') from error
        if _UNSAFE.search(text):
            # A database might take what follows for a message of its own.
            raise LineError('a message holds a bare line end or NUL')
        return text


def encode_line(*fields: str) -> bytes:
    r"""Return a message.

    Examples
    --------
    >>> encode_line('STARTUP', 'stalls', 'u1')
    b'STARTUP stalls u1\r\n'
    """
    return ' '.join(fields).encode() + _END


def decode_startup(line: str) -> tuple[str, str]:
    """Return the database name and the client's name for itself.

    Raises
    ------
    LineError
        If the message is no such message.
    """
    word, _, rest = line.partition(' ')
    database, _, who = rest.partition(' ')
    if word != 'STARTUP' or not database:
        raise LineError(f'{line[:40]!r}, expected STARTUP database who')
    return database, who


def decode_request(line: str) -> Request | None:
    """Return a client's request, or None for its good-bye.

    Raises
    ------
    LineError
        If clients do not send such messages.

    Examples
    --------
    >>> decode_request('QUERY 5c0e READ 1a4').operation
    Run(effect=<Effect.READ: 'read'>, text='READ 1a4')
    """
    if line == 'TERMINATE':
        return None
    word, _, rest = line.partition(' ')
    request_id, _, text = rest.partition(' ')
    if word != 'QUERY' or not request_id or not text:
        raise LineError(f'{line[:40]!r}, expected QUERY id text')
    if request_id == OWN_ID:
        raise LineError('the id - is not for clients')
    return Request(request_id, decode_operation(text))


def decode_operation(text: str) -> Operation:
    """Return the operation of a statement's text.

    Raises
    ------
    LineError
        If clients do not send such statements.
    """
    word, _, rest = text.partition(' ')
    decode = _OPERATIONS.get(word)
    if decode is None:
        raise LineError(f'{word[:20]!r} is no statement for clients')
    return decode(text, rest)


def encode_operation(operation: Operation) -> str:
    """Return a statement's text as databases take it."""
    return _TEXTS[type(operation)](operation)


def encode_position(position: Position | None) -> str:
    """Return a position as it stands in messages."""
    if position is None:
        return NOTHING
    return f'{position.term}.{position.offset}'


def decode_position(text: str) -> Position | None:
    """Return the position in a message, or None if it holds none.

    Raises
    ------
    LineError
        If it is neither.
    """
    if text == NOTHING:
        return None
    found = _POSITION.fullmatch(text)
    if found is None:
        raise LineError(f'{text!r} is no position, expected TERM.NUMBER')
    return Position(int(found[1]), int(found[2]))


def decode_ready(line: str) -> tuple[Standing, Position | None]:
    """Return standing and position of the message that ends an answer.

    Raises
    ------
    LineError
        If the message is another.
    """
    fields = line.split(' ')
    if len(fields) != 3 or fields[0] != 'READY':
        raise LineError(f'{line[:40]!r}, expected READY state position')
    standing = _STANDING_WORDS.get(fields[1])
    if standing is None:
        raise LineError(f'{fields[1]!r} is no state, expected I, T or E')
    return standing, decode_position(fields[2])


def decode_error(text: str) -> tuple[RejectionCause, str]:
    """Return cause and text of a database's error."""
    word, _, rest = text.partition(' ')
    return _CAUSES.get(word, RejectionCause.OTHER), f'{word} {rest}'.strip()


def encode_ready(standing: Standing, position: Position | None = None) -> bytes:
    """Return the message that ends an answer."""
    word = _WORDS_OF_STANDING[standing]
    return encode_line('READY', word, encode_position(position))


def encode_outcome(outcome: Answer | Refusal, standing: Standing) -> bytes:
    """Return the whole answer to a client's request."""
    if isinstance(outcome, Refusal):
        return encode_refusal(outcome) + encode_ready(standing)
    parts = [encode_line('ROW', row) for row in outcome.rows]
    parts.append(encode_line('COMPLETE', outcome.completion or NOTHING))
    parts.append(encode_ready(standing, outcome.position))
    return b''.join(parts)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the error message of a refusal, with when to come back."""
    word = _ERROR_WORDS.get(refusal.code, _DEFAULT_ERROR)
    text = _UNSAFE.sub(' ', refusal.text)
    if refusal.retry_after is not None:
        text = f'{text}; retry after {int(refusal.retry_after * _MS)} ms'
    return encode_line('ERROR', word, text)


def _decode_begin(text: str, rest: str) -> Operation:
    if rest not in {'', 'READ'}:
        raise LineError(f'{text[:40]!r}, expected BEGIN or BEGIN READ')
    return Begin(read_only=rest == 'READ')


def _decode_bare(operation: Operation) -> Callable[[str, str], Operation]:
    def decode(text: str, rest: str) -> Operation:
        if rest:
            raise LineError(f'{text[:40]!r} has more than its word')
        return operation

    return decode


def _decode_run(text: str, rest: str) -> Operation:
    word = text.partition(' ')[0]
    fields = rest.split(' ', 1)
    is_whole = all(fields) and len(fields) >= (2 if word == 'WRITE' else 1)
    if not is_whole or (word == 'READ' and len(fields) > 1):
        raise LineError(
            f'{text[:40]!r}, expected READ thing or WRITE thing data'
        )
    return Run(_EFFECTS[word], text)


def _decode_set(text: str, rest: str) -> Operation:
    name, _, value = rest.partition(' ')
    if not name or not value:
        raise LineError(f'{text[:40]!r}, expected SET name value')
    return SetValue(name, value)


def _decode_prepare(text: str, rest: str) -> Operation:
    fields = rest.split(' ', 2)
    if len(fields) != 3 or fields[1] not in _EFFECTS or not all(fields):
        raise LineError(
            f'{text[:40]!r}, expected PREPARE name READ|WRITE shape',
        )
    return Prepare(fields[0], _EFFECTS[fields[1]], fields[2])


def _decode_execute(text: str, rest: str) -> Operation:
    name, _, arguments = rest.partition(' ')
    if not name or not arguments:
        raise LineError(f'{text[:40]!r}, expected EXECUTE name thing [data]')
    return Execute(name, arguments)


def _decode_deallocate(text: str, rest: str) -> Operation:
    if not rest or ' ' in rest:
        raise LineError(f'{text[:40]!r}, expected DEALLOCATE name')
    return Deallocate(rest)


_OPERATIONS: Final = MappingProxyType(
    {
        'BEGIN': _decode_begin,
        'COMMIT': _decode_bare(Commit()),
        'ROLLBACK': _decode_bare(Rollback()),
        'READ': _decode_run,
        'WRITE': _decode_run,
        'SET': _decode_set,
        'PREPARE': _decode_prepare,
        'EXECUTE': _decode_execute,
        'DEALLOCATE': _decode_deallocate,
    },
)


def _encode_begin(operation: Begin) -> str:
    return 'BEGIN READ' if operation.read_only else 'BEGIN'


def _encode_prepare(operation: Prepare) -> str:
    effect = operation.effect.name
    return f'PREPARE {operation.name} {effect} {operation.shape}'


_TEXTS: Final[MappingProxyType[type, Callable[..., str]]] = MappingProxyType(
    {
        Begin: _encode_begin,
        Commit: lambda _: 'COMMIT',
        Rollback: lambda _: 'ROLLBACK',
        Run: lambda operation: operation.text,
        SetValue: lambda operation: f'SET {operation.name} {operation.value}',
        Prepare: _encode_prepare,
        Execute: lambda each: f'EXECUTE {each.name} {each.arguments}',
        Deallocate: lambda operation: f'DEALLOCATE {operation.name}',
    },
)


def encode_rejection(rejection: Rejection) -> bytes:
    """Return a database's error answer, as our stand-ins send it."""
    words = {cause: word for word, cause in _CAUSES.items()}
    word = words.get(rejection.cause, 'FAILED')
    line = encode_line('ERROR', word, rejection.text)
    return line + encode_ready(rejection.standing, rejection.position)
