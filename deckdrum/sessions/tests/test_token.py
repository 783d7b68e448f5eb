"""Session tokens: encoding, signatures, size limit and monotonicity."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.sessions import BadTokenError, KeyRing, Position, Token
from deckdrum.sessions.token import MAX_GROUPS, MAX_TOKEN_CHARACTERS

RING = KeyRing([b'new key', b'old key'])
POSITIONS = st.builds(Position, st.integers(0, 9), st.integers(0, 2**60))


@settings(derandomize=True)
@given(st.dictionaries(st.text(max_size=20), POSITIONS, max_size=MAX_GROUPS))
def test_token_round_trip(positions: dict[str, Position]) -> None:
    token = Token(dict(positions))
    assert Token.decode(token.encode(RING), RING).positions == positions


@settings(derandomize=True)
@given(st.text(max_size=200))
def test_arbitrary_text_is_rejected(text: str) -> None:
    with pytest.raises(BadTokenError):
        Token.decode(text, RING)


def test_modified_token_is_rejected() -> None:
    token = Token({'stalls': Position(1, 5)})
    text = token.encode(RING)
    for index in range(len(text) - 2):
        other = 'A' if text[index] != 'A' else 'B'
        with pytest.raises(BadTokenError):
            Token.decode(text[:index] + other + text[index + 1 :], RING)


def test_previous_key_verifies() -> None:
    token = Token({'stalls': Position(1, 5)})
    text = token.encode(KeyRing([b'old key']))
    assert Token.decode(text, RING).min_position('stalls') == Position(1, 5)


def test_token_size_is_bounded_and_positions_never_decrease() -> None:
    token = Token()
    for number in range(MAX_GROUPS + 5):
        token.advance(f'service-with-a-long-name-{number}', Position(1, 1))
    assert len(token.positions) == MAX_GROUPS
    assert len(token.encode(RING)) < MAX_TOKEN_CHARACTERS
    token.advance('stalls', Position(2, 1))
    assert not token.advance('stalls', Position(1, 900))
    assert token.min_position('stalls') == Position(2, 1)
