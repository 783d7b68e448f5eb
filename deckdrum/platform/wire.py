"""Messages of the line protocol, spoken by clients and servers."""

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

#: Request id of statements that the proxy itself sends.
PROXY_REQUEST_ID: Final = '-'
#: Placeholder for a missing position or an empty COMPLETE text.
NO_VALUE: Final = '-'
_MS: Final = 1000
_READY_FIELDS: Final = 3
_TRANSACTION_STATES: Final = MappingProxyType(
    {
        'I': TransactionState.IDLE,
        'T': TransactionState.OPEN,
        'E': TransactionState.FAILED,
    },
)
_TRANSACTION_STATE_LETTERS: Final = MappingProxyType(
    {state: word for word, state in _TRANSACTION_STATES.items()},
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
#: Error words of refusals.  BUSY and ABORTED guarantee that no change was kept;
#: after INDOUBT and TIMEOUT the outcome is unknown.
_CODES_BY_ERROR_WORD: Final = (
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
    {code: word for word, codes in _CODES_BY_ERROR_WORD for code in codes},
)
_DEFAULT_ERROR: Final = 'INDOUBT'
_POSITION: Final = re.compile(r'(\d+)\.(\d+)')


def decode_startup(line: str) -> tuple[str, str]:
    """Decode STARTUP into the database name and the client's name or key.

    Raises
    ------
    LineError
        If the message is not a valid STARTUP.
    """
    word, _, rest = line.partition(' ')
    database, _, client_name = rest.partition(' ')
    if word != 'STARTUP' or not database:
        raise LineError(f'{shorten(line)}, expected STARTUP database who')
    return database, client_name


def decode_request(line: str) -> Request | None:
    """Decode a client's request; return None for TERMINATE.

    Raises
    ------
    LineError
        If clients may not send the message.

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
    """Encode a position for a message."""
    if position is None:
        return NO_VALUE
    return f'{position.term}.{position.offset}'


def decode_position(text: str) -> Position | None:
    """Decode a position from a message; return None for the placeholder.

    Raises
    ------
    LineError
        If the text is neither.
    """
    if text == NO_VALUE:
        return None
    match = _POSITION.fullmatch(text)
    if match is None:
        raise LineError(f'{text!r} is no position, expected TERM.NUMBER')
    return Position(int(match[1]), int(match[2]))


def decode_ready(line: str) -> tuple[TransactionState, Position | None]:
    """Decode READY into the transaction state and the log position.

    Raises
    ------
    LineError
        If the message is not a valid READY.
    """
    fields = line.split(' ')
    if len(fields) != _READY_FIELDS or fields[0] != 'READY':
        raise LineError(f'{shorten(line)}, expected READY state position')
    state = _TRANSACTION_STATES.get(fields[1])
    if state is None:
        raise LineError(f'{fields[1]!r} is no state, expected I, T or E')
    return state, decode_position(fields[2])


def decode_error(text: str) -> tuple[RejectionCause, str]:
    """Decode a server's error into its cause and text."""
    word, _, rest = text.partition(' ')
    return _CAUSES.get(word, RejectionCause.OTHER), f'{word} {rest}'.strip()


def encode_ready(
    state: TransactionState, position: Position | None = None
) -> bytes:
    """Encode READY, the message that ends an answer."""
    word = _TRANSACTION_STATE_LETTERS[state]
    return encode_line('READY', word, encode_position(position))


def encode_outcome(outcome: Answer | Refusal, state: TransactionState) -> bytes:
    """Encode the complete answer to a client's request."""
    if isinstance(outcome, Refusal):
        return encode_refusal(outcome) + encode_ready(state)
    parts = [encode_line('ROW', row) for row in outcome.rows]
    parts.append(encode_line('COMPLETE', outcome.completion or NO_VALUE))
    parts.append(encode_ready(state, outcome.position))
    return b''.join(parts)


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as ERROR, with the retry delay if there is one."""
    word = _ERROR_WORDS.get(refusal.code, _DEFAULT_ERROR)
    text = UNSAFE_CHARACTERS.sub(' ', refusal.text)
    if refusal.retry_after is not None:
        text = f'{text}; retry after {int(refusal.retry_after * _MS)} ms'
    return encode_line('ERROR', word, text)
