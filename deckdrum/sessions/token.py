"""Signed tokens with a session's positions.

A token is made of a MessagePack array ``[version, [[group, term, offset],
...]]`` and a truncated HMAC-SHA-256 over it, in URL-safe base64.  The
signature keeps a caller from stalling replicas with a made-up position.
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
#: Database groups remembered by one token; the least recent go first.
MAX_GROUPS: Final = 16
#: Longest token accepted from a caller, in characters.
MAX_TOKEN_CHARACTERS: Final = 2048


class BadTokenError(ValueError):
    """A token is malformed, too long or not signed by the fleet."""


class KeyRing:
    """Secret keys of the fleet's tokens.

    Parameters
    ----------
    keys : sequence of bytes
        The first signs; all verify, so that a key can be rotated.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError('a key ring needs at least one key')
        self._keys = tuple(keys)

    def sign(self, payload: bytes) -> bytes:
        """Return the signature of `payload` by the first key."""
        return _sign(self._keys[0], payload)

    def verify(self, payload: bytes, signature: bytes) -> bool:
        """Tell whether any key of the ring made `signature`."""
        return any(
            hmac.compare_digest(_sign(key, payload), signature)
            for key in self._keys
        )


@dataclass(slots=True)
class Token:
    """The positions that a session has seen, for each database group.

    Examples
    --------
    >>> ring = KeyRing([b'key'])
    >>> token = Token()
    >>> token.advance('stalls', Position(2, 40))
    True
    >>> Token.decode(token.encode(ring), ring).floor('stalls')
    Position(term=2, offset=40)
    >>> Token.decode(token.encode(ring), KeyRing([b'other']))
    Traceback (most recent call last):
        ...
    deckdrum.sessions.token.BadTokenError: the token is not signed by this fleet
    """

    positions: dict[str, Position] = field(default_factory=dict)

    @classmethod
    def decode(cls, text: str, ring: KeyRing) -> 'Token':
        """Read a token that a caller brought.

        Raises
        ------
        BadTokenError
            If it is malformed, too long or signed by nobody we know.
        """
        payload = _open_envelope(text, ring)
        version, entries = msgpack.unpackb(payload)
        if version != _VERSION:
            raise BadTokenError(f'token version {version}, expected 1')
        return cls(_read_positions(entries))

    def encode(self, ring: KeyRing) -> str:
        """Return the token as text."""
        entries = [
            [group, seen.term, seen.offset]
            for group, seen in self.positions.items()
        ]
        payload = msgpack.packb([_VERSION, entries])
        envelope = ring.sign(payload) + payload
        return base64.urlsafe_b64encode(envelope).decode()

    def floor(self, group: str) -> Position:
        """Return the position that the next read of `group` must include."""
        return self.positions.get(group, LOG_START)

    def advance(self, group: str, seen: Position) -> bool:
        """Note that the session has seen `seen`.

        Returns
        -------
        bool
            Whether the token changed.
        """
        if seen <= self.floor(group):
            return False
        self.positions.pop(group, None)
        self.positions[group] = seen
        if len(self.positions) > MAX_GROUPS:
            self.positions.pop(next(iter(self.positions)))
        return True

    def merge(self, other: 'Token') -> None:
        """Advance to every position of `other`."""
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


def _read_positions(entries: Any) -> dict[str, Position]:
    return {group: Position(term, offset) for group, term, offset in entries}
