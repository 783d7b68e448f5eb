"""Who is in the fleet, and who should keep which service.

The keeper is chosen by rendezvous hashing over the platform's lagging list.
Lists may differ between proxies; nothing but the sharing of connections
depends on their being equal.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from deckdrum.store.records import Instance, InstanceState

_DIGEST_BYTES: Final = 8
#: How long a keeper that failed is passed over, in seconds.
SUSPICION_LIFETIME_S: Final = 5.0


def rank_keepers(service: str, names: Iterable[str]) -> list[str]:
    """Return names in the order in which they should keep a service.

    Examples
    --------
    >>> first = rank_keepers('stalls', ['p1', 'p2', 'p3'])
    >>> first == rank_keepers('stalls', ['p3', 'p1', 'p2'])
    True
    >>> left = [name for name in ('p1', 'p2', 'p3') if name != first[0]]
    >>> rank_keepers('stalls', left) == first[1:]
    True
    """
    return sorted(names, key=lambda name: _weigh(service, name), reverse=True)


def _weigh(service: str, name: str) -> bytes:
    text = f'{service}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


@dataclass(slots=True)
class Membership:
    """The proxies that this proxy believes in.

    Parameters
    ----------
    own : Instance
        This proxy.
    """

    own: Instance
    is_leaving: bool = False
    _proxies: dict[str, Instance] = field(default_factory=dict)
    _leaving_databases: frozenset[str] = frozenset()
    _suspected_until: dict[str, float] = field(default_factory=dict)

    @property
    def proxies(self) -> Mapping[str, Instance]:
        """The listed proxies by name, this one included."""
        return self._proxies | {self.own.name: self.own}

    @property
    def leaving_databases(self) -> frozenset[str]:
        """Names of listed databases that are about to leave."""
        return self._leaving_databases

    def adopt(self, instances: Iterable[Instance]) -> None:
        """Take over the platform's list."""
        listed = list(instances)
        self._proxies = {
            each.name: each for each in listed if each.kind == 'proxy'
        }
        self._leaving_databases = frozenset(
            each.name
            for each in listed
            if each.kind == 'database' and each.state is InstanceState.LEAVING
        )

    def suspect(self, name: str, now: float) -> None:
        """Pass a proxy over for a while."""
        self._suspected_until[name] = now + SUSPICION_LIFETIME_S

    def list_keepers(self, service: str, now: float) -> list[Instance]:
        """Return candidates to keep a service; the best first.

        Suspected proxies come last: if all are suspected, asking is better
        than refusing.
        """
        known = {
            name: each
            for name, each in self.proxies.items()
            if self._may_keep(each)
        }
        ranked = rank_keepers(service, known)
        trusted = [name for name in ranked if not self._is_suspect(name, now)]
        doubted = [name for name in ranked if self._is_suspect(name, now)]
        return [known[name] for name in trusted + doubted]

    def list_remote_proxies(self) -> list[Instance]:
        """Return proxies of other data centres."""
        return [
            each
            for each in self._proxies.values()
            if each.data_centre != self.own.data_centre
        ]

    def _may_keep(self, instance: Instance) -> bool:
        if instance.name == self.own.name:
            return not self.is_leaving
        return instance.state is InstanceState.LIVE

    def _is_suspect(self, name: str, now: float) -> bool:
        return self._suspected_until.get(name, 0) > now
