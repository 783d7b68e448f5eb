"""Tests of the encoding of statements and outcomes between nodes."""

import math

import msgpack
import pytest

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.messages import (
    MessageError,
    decode_message,
    encode_message,
)
from deckdrum.fleet.node_messages import Forward, ForwardAnswer, ForwardNext
from deckdrum.forwarding.encoding import (
    decode_begin,
    decode_outcome,
    decode_position,
    decode_prepared,
    decode_request,
    decode_route,
    encode_forward,
    encode_forward_next,
    encode_outcome,
)
from deckdrum.operations import (
    Answer,
    Begin,
    Commit,
    Effect,
    Execute,
    Operation,
    Request,
    Rollback,
    Run,
    SetValue,
    TransactionState,
)
from deckdrum.outcomes import Code, refuse
from deckdrum.serving.state import PreparedStatement, SessionState
from deckdrum.sessions import Position

ROUTE = Route(
    'db', 'stalls', ConsistencyGuarantee.BOUNDED, math.inf, 0.8, 0.25, 1
)


def transmit(message: Forward | ForwardNext | ForwardAnswer) -> object:
    """Return a message as the receiver decodes it."""
    return decode_message(msgpack.unpackb(encode_message(message)))


@pytest.mark.parametrize(
    'operation',
    [
        Run(Effect.WRITE, 'WRITE a  1 \u017e'),
        Execute('s1', 'a 1'),
        Commit(),
        Rollback(),
        SetValue('colour', 'red green'),
    ],
)
@pytest.mark.parametrize('begin', [None, Begin(True), Begin(False)])
def test_statement_is_decoded_as_sent(
    operation: Operation,
    begin: Begin | None,
) -> None:
    state = SessionState(
        'db', 'print', 'growers', {'colour': 'red'}, min_position=Position(3, 7)
    )
    state.prepared['s1'] = PreparedStatement(Effect.WRITE, 'q1')
    request = Request('id-1', operation)
    statement = state.capture(request, begin)
    message = transmit(encode_forward(statement, ROUTE, 5))
    assert isinstance(message, Forward)
    assert decode_request(message) == request
    assert decode_route(message) == ROUTE
    assert decode_begin(message) == begin
    assert decode_position(message.floor) == Position(3, 7)
    assert message.values == {'colour': 'red'}
    assert message.workspace == 'growers'
    assert (message.fingerprint, message.version) == ('print', 5)
    prepared = decode_prepared(message)
    assert prepared == statement.prepared
    following = transmit(encode_forward_next(request, prepared))
    assert isinstance(following, ForwardNext)
    assert decode_request(following) == request
    assert decode_prepared(following) == prepared


@pytest.mark.parametrize(
    'outcome',
    [
        Answer(('a', 'b'), '7.1f3', TransactionState.OPEN, Position(3, 8)),
        Answer((), '-', TransactionState.OPEN),
        refuse(Code.QUEUE_TIMEOUT, 'no room', 0.3),
        refuse(Code.CONNECTION_LOST, 'gone'),
    ],
)
def test_outcome_is_decoded_as_sent(outcome: Answer) -> None:
    message = transmit(encode_outcome(outcome, is_open=True))
    assert isinstance(message, ForwardAnswer)
    assert decode_outcome(message) == outcome


@pytest.mark.parametrize(
    'operation',
    [[], ['drop'], ['run', 'read'], ['run', 'drop', 'x'], ['commit', 'x']],
)
def test_invalid_operation_is_rejected(operation: list[str]) -> None:
    with pytest.raises(MessageError, match='invalid operation'):
        decode_request(ForwardNext('id-1', operation, ()))


def test_unknown_outcome_code_is_rejected() -> None:
    with pytest.raises(MessageError, match='no code'):
        decode_outcome(ForwardAnswer(False, 'DD999', '', None, (), ()))
