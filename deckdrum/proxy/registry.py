"""Registry of the callers of one proxy, with their cancel keys."""

import hashlib
import hmac
import itertools
from random import Random
from typing import Final

from deckdrum.callers import CallerConnection
from deckdrum.callers.host import CancelKey

_SECRET_BYTES: Final = 4
#: A process number is a 15-bit proxy tag and a 16-bit caller number.
_CALLER_BITS: Final = 16
_TAG_MASK: Final = 0x7FFF
_CALLER_MASK: Final = 0xFFFF


def compute_proxy_tag(name: str) -> int:
    """Return the tag that identifies a proxy in the cancel keys it issues.

    Examples
    --------
    >>> compute_proxy_tag('p1') == compute_proxy_tag('p1')
    True
    >>> 0 <= compute_proxy_tag('p2') <= 0x7FFF
    True
    """
    digest = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest, 'big') & _TAG_MASK


def get_proxy_tag(key: CancelKey) -> int:
    """Return the tag of the proxy that issued a key."""
    return key.process >> _CALLER_BITS


class CallerRegistry:
    """Connected callers of a proxy.

    Parameters
    ----------
    proxy : str
        Name of the proxy.
    randomness : random.Random
        Source of the secrets in cancel keys.
    """

    def __init__(self, proxy: str, randomness: Random) -> None:
        self._tag = compute_proxy_tag(proxy)
        self._randomness = randomness
        self._numbers = itertools.count(1)
        # A dictionary, since it preserves the insertion order.
        self._callers: dict[CallerConnection, None] = {}

    @property
    def callers(self) -> list[CallerConnection]:
        """The connected callers."""
        return list(self._callers)

    def add(self, caller: CallerConnection) -> None:
        """Add a caller."""
        self._callers[caller] = None

    def remove(self, caller: CallerConnection) -> None:
        """Remove a caller."""
        self._callers.pop(caller, None)

    def make_key(self) -> CancelKey:
        """Return a new cancel key."""
        number = next(self._numbers) & _CALLER_MASK
        return CancelKey(
            (self._tag << _CALLER_BITS) | number,
            self._randomness.randbytes(_SECRET_BYTES),
        )

    def find(self, key: CancelKey) -> CallerConnection | None:
        """Return the caller with this key, or None."""
        for caller in self._callers:
            caller_key = caller.key
            if caller_key is not None and caller_key.process == key.process:
                if hmac.compare_digest(caller_key.secret, key.secret):
                    return caller
        return None
