"""Messages between proxies, also from a peer that sends nonsense."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.fleet.messages import (
    MessageError,
    PreparedStatement,
    RunBatch,
    decode_message,
    encode_message,
)

NONSENSE = st.recursive(
    st.none() | st.integers() | st.binary(max_size=5) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=10,
)


def test_a_batch_with_statements_comes_back() -> None:
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
@given(NONSENSE)
def test_nonsense_is_refused_or_harmless(parts: object) -> None:
    try:
        decode_message(parts)
    except MessageError:
        return


@pytest.mark.parametrize('parts', [[], [99], [0], [3, 1, 2], {}, None, 'x'])
def test_wrong_shapes(parts: object) -> None:
    with pytest.raises(MessageError):
        decode_message(parts)
