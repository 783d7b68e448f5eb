"""Tokens: made by the fleet, bounded, never going back."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.sessions import BadTokenError, KeyRing, Position, Token
from deckdrum.sessions.token import MAX_GROUPS, MAX_TOKEN_CHARACTERS

RING = KeyRing([b'new key', b'old key'])
POSITIONS = st.builds(Position, st.integers(0, 9), st.integers(0, 2**60))


@settings(derandomize=True)
@given(st.dictionaries(st.text(max_size=20), POSITIONS, max_size=MAX_GROUPS))
def test_a_token_comes_back_as_it_went(positions: dict[str, Position]) -> None:
    token = Token(dict(positions))
    assert Token.decode(token.encode(RING), RING).positions == positions


@settings(derandomize=True)
@given(st.text(max_size=200))
def test_anything_else_is_refused(text: str) -> None:
    with pytest.raises(BadTokenError):
        Token.decode(text, RING)


def test_a_changed_byte_is_noticed() -> None:
    token = Token({'stalls': Position(1, 5)})
    text = token.encode(RING)
    for place in range(len(text) - 2):
        other = 'A' if text[place] != 'A' else 'B'
        with pytest.raises(BadTokenError):
            Token.decode(text[:place] + other + text[place + 1 :], RING)


def test_an_old_key_still_verifies() -> None:
    token = Token({'stalls': Position(1, 5)})
    text = token.encode(KeyRing([b'old key']))
    assert Token.decode(text, RING).floor('stalls') == Position(1, 5)


def test_tokens_are_bounded_and_advance_only() -> None:
    token = Token()
    for number in range(MAX_GROUPS + 5):
        token.advance(f'service-with-a-long-name-{number}', Position(1, 1))
    assert len(token.positions) == MAX_GROUPS
    assert len(token.encode(RING)) < MAX_TOKEN_CHARACTERS
    token.advance('stalls', Position(2, 1))
    assert not token.advance('stalls', Position(1, 900))
    assert token.floor('stalls') == Position(2, 1)
