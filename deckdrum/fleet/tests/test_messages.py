"""Encoding of messages, and decoding of invalid data from a peer."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.fleet.limit_messages import AskLimit, LimitRole
from deckdrum.fleet.messages import (
    MessageError,
    PreparedStatement,
    RunBatch,
    decode_message,
    encode_message,
)

INVALID_PARTS = st.recursive(
    st.none() | st.integers() | st.binary(max_size=5) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=10,
)


def test_batch_with_statements_survives_a_round_trip() -> None:
    statement = PreparedStatement('s', 'dd_1', b'P')
    batch = RunBatch(
        b'x',
        'write',
        1.5,
        [1, 2],
        False,
        [['a', 'b']],
        (statement,),
    )
    assert decode_message(msgpack.unpackb(encode_message(batch))) == batch


@settings(derandomize=True)
@given(INVALID_PARTS)
def test_invalid_data_raises_only_message_errors(parts: object) -> None:
    try:
        decode_message(parts)
    except MessageError:
        return


@pytest.mark.parametrize('parts', [[], [99], [0], [3, 1, 2], {}, None, 'x'])
def test_malformed_messages_are_rejected(parts: object) -> None:
    with pytest.raises(MessageError):
        decode_message(parts)


def test_unused_new_fields_are_not_sent_to_nodes_of_an_earlier_version() -> (
    None
):
    plain = AskLimit('growers', LimitRole.COORDINATOR)
    urgent = AskLimit('growers', LimitRole.COORDINATOR, priority=1)
    assert len(msgpack.unpackb(encode_message(plain))) == 3
    assert decode_message(msgpack.unpackb(encode_message(urgent))) == urgent
