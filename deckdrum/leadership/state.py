"""A node's knowledge of which server leads a group, and in which term.

A node may use a server as primary only while it has proof that no later term
has begun.  A primary change fences enough replicas (`fencing`) before it
promotes one.  A replica that reports no fence therefore proves that no change
had got that far when it was asked.  Such a proof is valid for
`PROOF_LIFETIME_S`, and a promotion waits as long after fencing, unless every
node has confirmed that it no longer uses the old primary.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.backends.base import ServerRole, ServerStatus
from deckdrum.leadership.proof import (
    ProofKind,
    TermProofs,
)
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils import Journal

#: How long a proof is valid.  Longer values lengthen the failover of a group
#: whose nodes do not all confirm; shorter ones cost more status requests.
PROOF_LIFETIME_S: Final = 1.2
#: Remaining validity below which a proof in use is renewed.
PROOF_RENEWAL_THRESHOLD_S: Final = 0.5
_NO_START_TIMES: Final[Mapping[str, int]] = MappingProxyType({})


class LeadershipState:
    """One group's primary and term, as far as this node knows them.

    Parameters
    ----------
    service : str
        The database group.
    journal : Journal
        Receives each change of the primary or its term.
    """

    def __init__(self, service: str, journal: Journal) -> None:
        self.service = service
        self.term = 0
        self.primary = ''
        #: Highest term known to have ended or to be ending.
        self.ended_term = 0
        #: Highest term whose writes are no longer acknowledged to callers.
        self.closed_term = 0
        #: Highest term that any server has reported.
        self.highest_seen_term = 0
        #: When the latest renewal of the proof ended without any, in kernel
        #: seconds.
        self.renewal_failed_at = float('-inf')
        #: Set whenever the primary or its term changes.
        self.changed = curio.Event()
        #: Since when changes of the primary ask this node for its consent, in
        #: kernel seconds: proofs from before do not count.  A change that asks
        #: all members waits for no proof of others.  Infinite for no member.
        self.member_since = float('-inf')
        #: Set when the node is about to be no member: changes of the primary
        #: ask members only whether they use it.
        self.is_retired = False
        self._journal = journal
        self._record_revision = 0
        self._record: GroupRecord | None = None
        #: Fencing token of the latest claim that ended a term on this node.
        self._ending_token = 0
        self._proofs = TermProofs()
        #: Whether the first use of the primary in its term has been logged.
        self._is_use_logged = False
        self._servers: frozenset[str] = frozenset()
        #: Whether the group had several servers at any time.  Entries lapse, so
        #: one that is listed alone may have been replaced by another.
        self._has_listed_several = False
        #: Start times of the servers, in Unix ms; 0 if unknown.
        self._start_times: dict[str, int] = {}
        #: Highest term known when each restarted server came back: up to it,
        #: claims that the server leads refer to an earlier incarnation.
        self._terms_before_restart: dict[str, int] = {}

    @property
    def has_primary(self) -> bool:
        """Whether the primary of a term that has not ended may be used."""
        is_open = bool(self.primary) and self.term > self.ended_term
        return is_open and not self.is_retired

    @property
    def record(self) -> GroupRecord | None:
        """The latest record known from the store."""
        return self._record

    @property
    def required_proofs(self) -> int:
        """Number of unfenced replicas needed beside the primary for proof."""
        return max(len(self._servers) // 2, int(self._has_listed_several))

    @property
    def required_fenced_replicas(self) -> int:
        """Number of fenced replicas that rule out new proof of the term."""
        return max(1, len(self._servers) - 1 - self.required_proofs + 1)

    def has_restarted(self, name: str) -> bool:
        """Return whether a server restarted and has led no term since."""
        return (
            name in self._terms_before_restart
            and self.term <= self._terms_before_restart[name]
        )

    def get_start_time(self, name: str) -> int:
        """Return when a server started, in Unix ms; 0 if unknown."""
        return self._start_times.get(name, 0)

    def get_proof_expiry(self) -> float:
        """Return when the current proof expires, in kernel seconds."""
        if not self.required_proofs:
            return float('inf')
        proof = self._proofs.find(self.primary)
        if proof.asked_at < self.member_since:
            return float('-inf')
        return proof.asked_at + PROOF_LIFETIME_S

    def is_primary_usable(self, now: float) -> bool:
        """Return whether the primary may be used at `now`."""
        return self.has_primary and now < self.get_proof_expiry()

    def can_acknowledge(self, term: int, now: float) -> bool:
        """Return whether a write of `term` may be acknowledged.

        Acknowledgements continue while a term is ending, until this node
        confirms the end or its proof expires.
        """
        is_open = term == self.term and term > self.closed_term
        return is_open and now < self.get_proof_expiry()

    def close_term(self, term: int) -> None:
        """Stop acknowledging writes of `term` and of earlier terms."""
        self.closed_term = max(self.closed_term, term)

    async def apply_servers(
        self,
        names: Iterable[str],
        start_times: Mapping[str, int] = _NO_START_TIMES,
    ) -> None:
        """Apply the list of the group's servers and their start times."""
        self._servers = frozenset(names)
        self._has_listed_several |= len(self._servers) > 1
        for name, started_at in start_times.items():
            await self._record_start(name, started_at)
        self._proofs.required = self.required_proofs
        self._proofs.retain_replicas(self._servers)
        if self.primary and self.primary not in self._servers:
            await self.clear_primary(
                self.primary, 'removed from the server directory'
            )

    async def record_status(
        self,
        name: str,
        status: ServerStatus,
        asked_at: float,
    ) -> None:
        """Record the status that a server reported when asked at `asked_at`."""
        self.highest_seen_term = max(self.highest_seen_term, status.term)
        if status.role is ServerRole.PRIMARY:
            if status.term <= self._terms_before_restart.get(name, 0):
                return
            if status.term > max(self.term, self.ended_term):
                await self._set_primary(
                    status.term, name, 'reported by the server'
                )
            elif status.term == self.term and not self.primary:
                await self._set_primary(
                    status.term, name, 'reported by the server'
                )
            return
        if self.primary == name and status.term >= self.term:
            await self.clear_primary(name, 'server reports the replica role')
        if status.term > self.term:
            # The replica follows a primary that this node does not know yet.
            await self.end_term(status.term - 1, f'{name} follows a later term')
        if max(status.term, status.fenced_term) <= self.term:
            self._proofs.record_replica(ProofKind.STATUS, name, asked_at)
        else:
            self._proofs.drop_replica(name)

    def record_replicated_change(
        self, name: str, term: int, since: float
    ) -> None:
        """Record that a replica has received a write made after `since`.

        A fenced replica receives nothing, so this is as good a proof as a
        status request at `since`, and saves status requests under load.
        """
        if term == self.term and name != self.primary:
            self._proofs.record_replica(ProofKind.REPLICATION, name, since)

    async def record_store_answer(
        self,
        revision: int,
        record: GroupRecord | None,
        asked_at: float,
    ) -> None:
        """Record the leadership record read from the store at `asked_at`."""
        if record is not None:
            await self.apply_record(revision, record)
        if record is None or record.phase is Phase.SETTLED:
            if record is None or record.term <= self.term:
                self._proofs.record_external(ProofKind.STORE, asked_at)

    async def apply_record(self, revision: int, record: GroupRecord) -> None:
        """Apply the leadership record if it is newer than the known one."""
        if revision <= self._record_revision:
            return
        self._record_revision = revision
        self._record = record
        started_at = self._start_times.get(record.primary, 0)
        if started_at and record.primary_started_at:
            self._start_times[record.primary] = record.primary_started_at
            await self._record_start(record.primary, started_at)
        if record.phase is Phase.FENCING:
            reason = f'{record.driver} has claimed a primary change'
            await self.end_term(record.term - 1, reason, revision)
        else:
            await self._apply_settled(revision, record)

    async def resume_term(
        self, term: int, primary: str, reason: str, fencing_token: int
    ) -> None:
        """Use a term that a claim has ended, or only announced.

        The change was abandoned, or the promoted server leads an earlier term
        than was claimed: a server counts terms, not claims.  `primary` is
        empty if unknown; the servers report it.  `fencing_token` is the
        revision of the claim or record that says so: a later claim may have
        ended the term.
        """
        if self._ending_token > fencing_token:
            return
        if max(self.highest_seen_term, self.term) > term:
            return
        self.ended_term = min(self.ended_term, term - 1)
        self.closed_term = min(self.closed_term, self.ended_term)
        if primary:
            await self._set_primary(term, primary, reason)

    def record_peer_proof(self, term: int, asked_at: float) -> None:
        """Record a proof that a peer obtained at `asked_at`."""
        if term == self.term and self.has_primary:
            self._proofs.record_external(ProofKind.PEER, asked_at)

    def log_use(self, now: float) -> None:
        """Log the first use of the primary in its term, and the proof of it."""
        if self._is_use_logged:
            return
        self._is_use_logged = True
        self._journal.record(
            'leadership.used',
            service=self.service,
            term=self.term,
            primary=self.primary,
            **self._proofs.describe(self.primary, now),
        )

    async def end_term(
        self, term: int, reason: str, fencing_token: int = 0
    ) -> None:
        """Stop using the primary of `term` and of earlier terms.

        `fencing_token` is the revision of the claim that ends the term, or 0.
        Only a record of a later revision can reopen the term.
        """
        self._ending_token = max(self._ending_token, fencing_token)
        if term <= self.ended_term:
            return
        had_primary = self.has_primary
        self.ended_term = term
        if had_primary and not self.has_primary:
            self._journal.record(
                'leadership.ended',
                service=self.service,
                term=term,
                primary=self.primary,
                reason=reason,
                **self._proofs.describe(self.primary, await curio.clock()),
            )
            self._proofs.drop_external()
            await self.changed.set()

    async def clear_primary(self, name: str, reason: str) -> None:
        """Stop using a server that is no longer the primary."""
        if self.primary != name:
            return
        self._journal.record(
            'leadership.primary_lost',
            service=self.service,
            term=self.term,
            primary=name,
            reason=reason,
            **self._proofs.describe(self.primary, await curio.clock()),
        )
        self.primary = ''
        await self.changed.set()

    async def wait_for_change(self, timeout: float) -> None:
        """Wait up to `timeout` seconds for another primary or term."""
        async with curio.ignore_after(timeout):
            await self.changed.wait()
        self.changed.clear()

    async def _apply_settled(self, revision: int, record: GroupRecord) -> None:
        term = record.term
        if term <= self.ended_term:
            await self.resume_term(
                term, record.primary, 'settled after a claim', revision
            )
            return
        is_missing = term == self.term and not self.has_primary
        if record.primary and (term > self.term or is_missing):
            await self._set_primary(term, record.primary, 'leadership record')

    async def _record_start(self, name: str, started_at: int) -> None:
        """Record when a server started; a restart empties its log."""
        record = self._record
        known = self._start_times.get(name, 0)
        if not known and record is not None and record.primary == name:
            known = record.primary_started_at
        self._start_times[name] = started_at or known
        if not known or not started_at or started_at == known:
            return
        recorded = 0 if record is None else record.term
        self._terms_before_restart[name] = max(
            self.term,
            self.ended_term,
            self.highest_seen_term,
            recorded,
        )
        self._proofs.drop_replica(name)
        self._journal.record(
            'server.restarted',
            service=self.service,
            server=name,
            started_at=started_at,
            former=known,
            term=self._terms_before_restart[name],
        )
        await self.clear_primary(name, 'server restarted with an empty log')

    async def _set_primary(self, term: int, name: str, reason: str) -> None:
        if (term, name) == (self.term, self.primary):
            return
        if term <= self._terms_before_restart.get(name, 0):
            # This refers to an earlier incarnation, whose log is gone.
            return
        self._journal.record(
            'leadership.adopted',
            service=self.service,
            term=term,
            primary=name,
            former_term=self.term,
            former=self.primary,
            reason=reason,
            **self._proofs.describe(self.primary, await curio.clock()),
        )
        if term != self.term:
            self._proofs.drop_external()
        self._is_use_logged = False
        self.term = term
        self.primary = name
        self._proofs.drop_replica(name)
        await self.changed.set()
