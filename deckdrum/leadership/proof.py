"""Proof that no later term than the one in use has begun."""

from collections.abc import Container
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final


class ProofKind(StrEnum):
    """What a proof rests on."""

    #: A replica reported no fence when asked for its status.
    STATUS = 'status'
    #: A replica has received a write of the term.
    REPLICATION = 'replication'
    #: The store's record named no later term.
    STORE = 'store'
    #: A peer had a proof.
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class Proof:
    """One proof of a term.

    Attributes
    ----------
    kind : ProofKind
        What it rests on.
    source : str
        The replica; empty for other kinds.
    asked_at : float
        When its source was asked, in kernel seconds.
    """

    kind: ProofKind
    source: str
    asked_at: float


NO_PROOF: Final = Proof(ProofKind.STORE, '', float('-inf'))


class TermProofs:
    """The latest proof of a group's term from each source."""

    def __init__(self) -> None:
        #: Number of replicas other than the primary that prove a term together.
        self.required = 0
        self._by_replica: dict[str, Proof] = {}
        #: From the store or from a peer.
        self._external = NO_PROOF

    def record_replica(
        self, kind: ProofKind, name: str, asked_at: float
    ) -> None:
        """Record a proof that a replica has given."""
        known = self._by_replica.get(name, NO_PROOF)
        if asked_at > known.asked_at:
            self._by_replica[name] = Proof(kind, name, asked_at)

    def record_external(self, kind: ProofKind, asked_at: float) -> None:
        """Record a proof from the store or from a peer."""
        if asked_at > self._external.asked_at:
            self._external = Proof(kind, '', asked_at)

    def drop_replica(self, name: str) -> None:
        """Drop the proof from a replica, if there is one."""
        self._by_replica.pop(name, None)

    def drop_external(self) -> None:
        """Drop the proof from the store or from a peer."""
        self._external = NO_PROOF

    def retain_replicas(self, names: Container[str]) -> None:
        """Drop the proofs of replicas that are not among `names`."""
        for name in list(self._by_replica):
            if name not in names:
                self._by_replica.pop(name)

    def find(self, primary: str) -> Proof:
        """Return the proof on which the term rests, or `NO_PROOF`."""
        by_time = sorted(
            (
                proof
                for name, proof in self._by_replica.items()
                if name != primary
            ),
            key=_get_time,
            reverse=True,
        )
        is_proven = 0 < self.required <= len(by_time)
        proven = by_time[self.required - 1] if is_proven else NO_PROOF
        return max(self._external, proven, key=_get_time)

    def describe(self, primary: str, now: float) -> dict[str, Any]:
        """Return the log fields of the proof on which the term rests."""
        proof = self.find(primary)
        if proof is NO_PROOF:
            return {'proof': 'none'}
        return {
            'proof': proof.kind,
            'proof_source': proof.source,
            'proof_age': round(now - proof.asked_at, 3),
        }


def _get_time(proof: Proof) -> float:
    return proof.asked_at
