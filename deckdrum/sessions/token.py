"""Signed tokens with the log positions that a session has seen.

A token consists of a truncated HMAC-SHA-256 and the MessagePack array
``[version, [[group, term, offset], ...]]`` that it signs, in URL-safe base64.
The signature prevents callers from stalling reads with a forged position.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import msgpack

from deckdrum.sessions.position import LOG_START, Position

_VERSION: Final = 1
_SIGNATURE_BYTES: Final = 16
#: Database groups in a token; beyond that, the least recently updated one is
#: dropped.
MAX_GROUPS: Final = 16
MAX_TOKEN_CHARACTERS: Final = 2048


class BadTokenError(ValueError):
    """A token is malformed, too long or not signed with a known key."""


class KeyRing:
    """Secret keys that sign and verify tokens.

    Parameters
    ----------
    keys : sequence of bytes
        The first one signs, any of them verifies; this allows key rotation.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError('a key ring needs at least one key')
        self._keys = tuple(keys)

    def sign(self, payload: bytes) -> bytes:
        """Return the signature of `payload` by the first key."""
        return _sign(self._keys[0], payload)

    def verify(self, payload: bytes, signature: bytes) -> bool:
        """Return whether `signature` was made with any key of the ring."""
        return any(
            hmac.compare_digest(_sign(key, payload), signature)
            for key in self._keys
        )


@dataclass(slots=True)
class Token:
    """Log positions that a session has seen, by database group.

    Examples
    --------
    >>> ring = KeyRing([b'key'])
    >>> token = Token()
    >>> token.advance('stalls', Position(2, 40))
    True
    >>> Token.decode(token.encode(ring), ring).min_position('stalls')
    Position(term=2, offset=40)
    >>> Token.decode(token.encode(ring), KeyRing([b'other']))
    Traceback (most recent call last):
        ...
    deckdrum.sessions.token.BadTokenError: the token is not signed by this fleet
    """

    positions: dict[str, Position] = field(default_factory=dict)

    @classmethod
    def decode(cls, text: str, ring: KeyRing) -> 'Token':
        """Verify and decode a token received from a caller.

        Raises
        ------
        BadTokenError
            If it is malformed, too long or not signed with a known key.
        """
        payload = _open_envelope(text, ring)
        version, entries = msgpack.unpackb(payload)
        if version != _VERSION:
            raise BadTokenError(f'token version {version}, expected 1')
        return cls(_decode_positions(entries))

    def encode(self, ring: KeyRing) -> str:
        """Encode and sign the token with the first key of the ring."""
        entries = [
            [group, seen.term, seen.offset]
            for group, seen in self.positions.items()
        ]
        payload = msgpack.packb([_VERSION, entries])
        envelope = ring.sign(payload) + payload
        return base64.urlsafe_b64encode(envelope).decode()

    def min_position(self, group: str) -> Position:
        """Return the minimum position for the next read of `group`."""
        return self.positions.get(group, LOG_START)

    def advance(self, group: str, seen: Position) -> bool:
        """Record that the session has seen the position `seen`.

        Returns
        -------
        bool
            Whether the token changed.
        """
        if seen <= self.min_position(group):
            return False
        self.positions.pop(group, None)
        self.positions[group] = seen
        if len(self.positions) > MAX_GROUPS:
            self.positions.pop(next(iter(self.positions)))
        return True

    def merge(self, other: 'Token') -> None:
        """Advance to the positions of another token."""
        for group, seen in other.positions.items():
            self.advance(group, seen)


def _sign(key: bytes, payload: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()[:_SIGNATURE_BYTES]


def _open_envelope(text: str, ring: KeyRing) -> bytes:
    if len(text) > MAX_TOKEN_CHARACTERS:
        raise BadTokenError(f'the token has {len(text)} characters')
    try:
        envelope = base64.urlsafe_b64decode(text.encode('ascii'))
    except (binascii.Error, UnicodeEncodeError) as error:
        raise BadTokenError('the token is not base64') from error
    payload = envelope[_SIGNATURE_BYTES:]
    if not ring.verify(payload, envelope[:_SIGNATURE_BYTES]):
        raise BadTokenError('the token is not signed by this fleet')
    return payload


def _decode_positions(entries: Any) -> dict[str, Position]:
    return {group: Position(term, offset) for group, term, offset in entries}
