"""Encoding and decoding of the line protocol, and rejection of bad input."""

import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Execute,
    Operation,
    Prepare,
    RejectionCause,
    Run,
    TransactionState,
)
from deckdrum.outcomes import CODES, Code, Fate, refuse
from deckdrum.platform.backends import decode_status
from deckdrum.platform.framing import MAX_LINE_BYTES, LineError
from deckdrum.platform.statements import decode_operation, encode_operation
from deckdrum.platform.wire import (
    decode_error,
    decode_position,
    decode_ready,
    decode_request,
    decode_startup,
    encode_outcome,
    encode_position,
)
from deckdrum.sessions import Position
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import CURRENT, Deployment, run_scenario
from deckdrum.utils import dial

#: Error words that guarantee to clients that no change was kept.
NOT_KEPT_WORDS = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'),
)
WORDS = st.text(string.ascii_letters + string.digits, min_size=1, max_size=12)
TEXTS = st.one_of(
    st.sampled_from(('BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK')),
    WORDS.map('READ {}'.format),
    st.tuples(WORDS, WORDS).map(lambda each: 'WRITE {} {}'.format(*each)),
    st.tuples(WORDS, WORDS).map(lambda each: 'SET {} {}'.format(*each)),
    st.tuples(WORDS, WORDS).map(
        lambda each: 'PREPARE {} READ {}'.format(*each)
    ),
    st.tuples(WORDS, WORDS, WORDS).map(
        lambda each: 'EXECUTE {} {} {}'.format(*each),
    ),
    WORDS.map('DEALLOCATE {}'.format),
)


@given(TEXTS)
def test_statement_round_trip(text: str) -> None:
    assert encode_operation(decode_operation(text)) == text


@given(st.text(max_size=60))
@settings(max_examples=300)
def test_arbitrary_text_is_decoded_or_rejected(text: str) -> None:
    try:
        operation = decode_operation(text)
    except LineError:
        return
    assert encode_operation(operation) == text


@pytest.mark.parametrize(
    ('text', 'operation'),
    [
        ('BEGIN READ', Begin(read_only=True)),
        ('COMMIT', Commit()),
        ('EXECUTE s1 1a4 xkqp', Execute('s1', '1a4 xkqp')),
    ],
)
def test_statement_is_decoded(text: str, operation: Operation) -> None:
    assert decode_operation(text) == operation


@pytest.mark.parametrize(
    'line',
    [
        'QUERY',
        'QUERY 1',
        'QUERY 1 ',
        'QUERY - STATUS',
        'QUERY - READ a',
        'QUERY 1 STATUS',
        'QUERY 1 RESET',
        'QUERY 1 PAUSE 4',
        'QUERY 1 RESUME',
        'QUERY 1 DEMOTE 4',
        'QUERY 1 AFTER 3.1 READ a',
        'QUERY 1 READ',
        'QUERY 1 READ a b',
        'QUERY 1 WRITE a',
        'QUERY 1 BEGIN WRITE',
        'QUERY 1 COMMIT now',
        'QUERY 1 PREPARE s DROP q',
        'STARTUP db who',
        'HELLO',
        '',
    ],
)
def test_invalid_request_is_rejected(line: str) -> None:
    with pytest.raises(LineError):
        decode_request(line)


@pytest.mark.parametrize('line', ['', 'STARTUP', 'STARTUP ', 'QUERY 1 READ a'])
def test_invalid_startup_is_rejected(line: str) -> None:
    with pytest.raises(LineError):
        decode_startup(line)


@pytest.mark.parametrize('code', list(Code))
def test_promises_are_given_only_where_nothing_has_run(code: Code) -> None:
    line = encode_outcome(refuse(code), TransactionState.IDLE).decode()
    word = line.split(' ')[1]
    if word in NOT_KEPT_WORDS:
        assert CODES[code].fate is Fate.NOT_RUN


def test_refusal_contains_retry_delay() -> None:
    line = encode_outcome(
        refuse(Code.NO_PRIMARY), TransactionState.IDLE
    ).decode()
    assert line.startswith('ERROR BUSY not run')
    assert 'retry after 1000 ms' in line
    assert line.endswith('READY I -\r\n')


def test_answer_is_encoded_with_rows_signature_and_position() -> None:
    answer = Answer(
        ('x', 'y'), '7.1f', TransactionState.IDLE, Position(3, 1209)
    )
    assert encode_outcome(answer, TransactionState.IDLE) == (
        b'ROW x\r\nROW y\r\nCOMPLETE 7.1f\r\nREADY I 3.1209\r\n'
    )


@given(st.integers(0, 10**9), st.integers(0, 10**12))
def test_position_round_trip(term: int, offset: int) -> None:
    position = Position(term, offset)
    assert decode_position(encode_position(position)) == position


@pytest.mark.parametrize('text', ['', '3', '3.', '.4', 'a.b', '3.4.5', '-1.2'])
def test_invalid_position_is_rejected(text: str) -> None:
    with pytest.raises(LineError):
        decode_position(text)


@pytest.mark.parametrize('line', ['READY', 'READY I', 'READY X -', 'ROW a'])
def test_invalid_ready_is_rejected(line: str) -> None:
    with pytest.raises(LineError):
        decode_ready(line)


def test_server_error_words_map_to_causes() -> None:
    assert decode_error('BUSY i-1')[0].is_not_run
    assert not decode_error('FAILED i-1')[0].is_not_run
    assert decode_error('NEWWORD x')[0] is RejectionCause.OTHER


@pytest.mark.parametrize(
    'row', ['', 'primary', 'king 1 1.1 0', 'primary x 1.1 0']
)
def test_invalid_status_row_is_rejected(row: str) -> None:
    with pytest.raises(LineError):
        decode_status((row,))


def test_prepared_statement_may_contain_spaces() -> None:
    operation = decode_operation('PREPARE s1 WRITE a b c')
    assert isinstance(operation, Prepare)
    assert operation.template == 'a b c'
    assert not isinstance(operation, Run)


@pytest.mark.parametrize(
    'payload',
    [
        b'QUERY 1 READ a\nQUERY 2 WRITE a 1\r\n',
        b'QUERY 1 READ a\rWRITE b\r\n',
        b'QUERY 1 READ a\x00\r\n',
        b'QUERY 1 READ \xff\xfe\r\n',
        b'QUERY 1 WRITE a ' + b'x' * (MAX_LINE_BYTES + 10) + b'\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
    ],
)
def test_invalid_message_ends_only_its_own_session(
    payload: bytes,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        other = await deployment.connect(CURRENT)
        broken = await deployment.connect(CURRENT)
        await broken.stream.send(payload)
        reply = await broken.read_reply()
        assert reply.text.startswith('MALFORMED')
        assert await broken.stream.receive() == b''
        assert not deployment.group.executed_statements
        assert (await other.ask('WRITE a 1')).is_done

    run_scenario(scenario)


def test_connection_closed_within_a_message_is_removed() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.stream.send(b'QUERY 1 REA')
        await client.close()
        await deployment.wait_for(
            lambda: deployment.nodes[0].frontend.connections == 0,
        )

    run_scenario(scenario)


def test_unknown_database_is_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        stream = await dial(deployment.nodes[0].frontend.address, 1)
        client = LineClient(stream)
        await client.send('STARTUP nothing test')
        reply = await client.read_reply()
        assert reply.text.startswith('NODB')

    run_scenario(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.stream.send(
            b'QUERY 1 WRITE a 1\r\nQUERY 2 WRITE b 2\r\nQUERY 3 READ b\r\n',
        )
        replies = [await client.read_reply() for _ in range(3)]
        assert all(reply.is_done for reply in replies)
        assert replies[2].rows == ['b-2']

    run_scenario(scenario)
