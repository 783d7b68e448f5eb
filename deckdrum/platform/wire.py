"""Messages of the protocol that clients and databases share."""

import re
from types import MappingProxyType
from typing import Final

from deckdrum.operations import (
    Answer,
    RejectionCause,
    Request,
    TransactionState,
)
from deckdrum.outcomes import Code, Refusal
from deckdrum.platform.framing import (
    UNSAFE_CHARACTERS,
    LineError,
    encode_line,
    shorten,
)
from deckdrum.platform.statements import decode_operation
from deckdrum.sessions import Position

#: The id of statements that no client has sent.
PROXY_REQUEST_ID: Final = '-'
#: Stands for a position, or the text of COMPLETE, that is not there.
NO_VALUE: Final = '-'
_MS: Final = 1000
_READY_FIELDS: Final = 3
_STANDING_WORDS: Final = MappingProxyType(
    {
        'I': TransactionState.IDLE,
        'T': TransactionState.OPEN,
        'E': TransactionState.FAILED,
    },
)
_WORDS_OF_STANDING: Final = MappingProxyType(
    {standing: word for word, standing in _STANDING_WORDS.items()},
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
_CODES: Final = (
    (
        'BUSY',
        (
            Code.QUEUE_FULL,
            Code.QUEUE_TIMEOUT,
            Code.NO_PRIMARY,
            Code.NO_KEEPER,
            Code.READ_NOT_POSSIBLE,
            Code.PRIMARY_REFUSED,
            Code.NOT_READY,
            Code.LIMIT_UNKNOWN,
        ),
    ),
    (
        'ABORTED',
        (Code.DRAINING, Code.TRANSACTION_LOST, Code.IDLE_TRANSACTION),
    ),
    (
        'INDOUBT',
        (Code.UNCONFIRMED, Code.CONNECTION_LOST, Code.ANSWER_TOO_LARGE),
    ),
    ('NODB', (Code.NOT_CONFIGURED,)),
    ('NOAUTH', (Code.UNKNOWN_KEY,)),
    ('TOOMANY', (Code.LIMIT_REACHED,)),
    ('FAILED', (Code.STATEMENT_FAILED,)),
    ('TIMEOUT', (Code.TIMED_OUT,)),
    ('READONLY', (Code.READ_ONLY,)),
    ('NOSTMT', (Code.UNKNOWN_STATEMENT,)),
    ('MALFORMED', (Code.PROTOCOL_VIOLATION,)),
)
_ERROR_WORDS: Final = MappingProxyType(
    {code: word for word, codes in _CODES for code in codes},
)
_DEFAULT_ERROR: Final = 'INDOUBT'
_POSITION: Final = re.compile(r'(\d+)\.(\d+)')


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
        raise LineError(f'{shorten(line)}, expected STARTUP database who')
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
        raise LineError(f'{shorten(line)}, expected QUERY id text')
    if request_id == PROXY_REQUEST_ID:
        raise LineError('the id - is not for clients')
    return Request(request_id, decode_operation(text))


def encode_position(position: Position | None) -> str:
    """Return a position as it stands in messages."""
    if position is None:
        return NO_VALUE
    return f'{position.term}.{position.offset}'


def decode_position(text: str) -> Position | None:
    """Return the position in a message, or None if it holds none.

    Raises
    ------
    LineError
        If it is neither.
    """
    if text == NO_VALUE:
        return None
    found = _POSITION.fullmatch(text)
    if found is None:
        raise LineError(f'{text!r} is no position, expected TERM.NUMBER')
    return Position(int(found[1]), int(found[2]))


def decode_ready(line: str) -> tuple[TransactionState, Position | None]:
    """Return standing and position of the message that ends an answer.

    Raises
    ------
    LineError
        If the message is another.
    """
    fields = line.split(' ')
    if len(fields) != _READY_FIELDS or fields[0] != 'READY':
        raise LineError(f'{shorten(line)}, expected READY state position')
    standing = _STANDING_WORDS.get(fields[1])
    if standing is None:
        raise LineError(f'{fields[1]!r} is no state, expected I, T or E')
    return standing, decode_position(fields[2])


def decode_error(text: str) -> tuple[RejectionCause, str]:
    """Return cause and text of a database's error."""
    word, _, rest = text.partition(' ')
    return _CAUSES.get(word, RejectionCause.OTHER), f'{word} {rest}'.strip()


def encode_ready(
    standing: TransactionState, position: Position | None = None
) -> bytes:
    """Return the message that ends an answer."""
    word = _WORDS_OF_STANDING[standing]
    return encode_line('READY', word, encode_position(position))


def encode_outcome(
    outcome: Answer | Refusal, standing: TransactionState
) -> bytes:
    """Return the whole answer to a client's request."""
    if isinstance(outcome, Refusal):
        return encode_refusal(outcome) + encode_ready(standing)
    parts = [encode_line('ROW', row) for row in outcome.rows]
    parts.append(encode_line('COMPLETE', outcome.completion or NO_VALUE))
    parts.append(encode_ready(standing, outcome.position))
    return b''.join(parts)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the error message of a refusal, with when to come back."""
    word = _ERROR_WORDS.get(refusal.code, _DEFAULT_ERROR)
    text = UNSAFE_CHARACTERS.sub(' ', refusal.text)
    if refusal.retry_after is not None:
        text = f'{text}; retry after {int(refusal.retry_after * _MS)} ms'
    return encode_line('ERROR', word, text)
