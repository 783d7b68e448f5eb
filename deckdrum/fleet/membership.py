"""Members of the fleet, and the choice of the keeper of each service.

Keepers are chosen by rendezvous hashing over the platform's list of instances,
which is eventually consistent.  Proxies may temporarily see different lists;
this only makes the sharing of connections less efficient.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from deckdrum.store.records import Instance, InstanceState

_DIGEST_BYTES: Final = 8
#: How long a proxy that failed is ranked last as a keeper.
SUSPICION_LIFETIME_S: Final = 5.0


def rank_keepers(service: str, names: Iterable[str]) -> list[str]:
    """Return names ordered by preference as the keeper of a service.

    Examples
    --------
    >>> first = rank_keepers('stalls', ['p1', 'p2', 'p3'])
    >>> first == rank_keepers('stalls', ['p3', 'p1', 'p2'])
    True
    >>> left = [name for name in ('p1', 'p2', 'p3') if name != first[0]]
    >>> rank_keepers('stalls', left) == first[1:]
    True
    """
    return sorted(
        names, key=lambda name: _compute_weight(service, name), reverse=True
    )


def _compute_weight(service: str, name: str) -> bytes:
    text = f'{service}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


@dataclass(slots=True)
class Membership:
    """The members of the fleet as known to this proxy.

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
        """The listed proxies by name, including this one."""
        return self._proxies | {self.own.name: self.own}

    @property
    def leaving_databases(self) -> frozenset[str]:
        """Names of the listed databases that are leaving."""
        return self._leaving_databases

    def apply(self, instances: Iterable[Instance]) -> None:
        """Apply the platform's list of instances."""
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
        """Temporarily rank a proxy last as a keeper."""
        self._suspected_until[name] = now + SUSPICION_LIFETIME_S

    def list_keepers(self, service: str, now: float) -> list[Instance]:
        """Return the candidates to keep a service, best first.

        Suspected proxies come last; there is a candidate even if all are.
        """
        known = {
            name: each
            for name, each in self.proxies.items()
            if self._may_keep(each)
        }
        ranked = rank_keepers(service, known)
        trusted = [name for name in ranked if not self._is_suspect(name, now)]
        suspected = [name for name in ranked if self._is_suspect(name, now)]
        return [known[name] for name in trusted + suspected]

    def list_remote_proxies(self) -> list[Instance]:
        """Return the proxies in other data centres."""
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
