"""Which server leads a group, in which term, and until when it is believed.

A server may be used as primary only while this node has proof that no later
term has begun.  A change of term first makes enough replicas hold their log
(`promotion`); so a replica that does not hold, asked at some moment, proves
that no change had got that far at that moment.  The proof is good for
`PROOF_LIFETIME_S` seconds, and a promotion waits as long after the holds, unless
every node has confirmed that it has stopped or the old primary is known dead.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.backends.base import ServerRole, ServerStatus
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.utils import Journal

#: How long one proof is good, in seconds.  A promotion that gets no
#: confirmation from every node waits as long, so it bounds the failover gap;
#: each proof costs one question to a replica, so it bounds the price.
PROOF_LIFETIME_S: Final = 1.2
#: Remaining validity below which a used proof is renewed, in seconds.
PROOF_RENEWAL_THRESHOLD_S: Final = 0.5
_NO_STARTS: Final[Mapping[str, int]] = MappingProxyType({})


class LeadershipState:
    """What a node believes of one group's leadership.

    Parameters
    ----------
    service : str
        The database group.
    journal : Journal
        For each change of belief.
    """

    def __init__(self, service: str, journal: Journal) -> None:
        self.service = service
        self.term = 0
        self.primary = ''
        #: Highest term that is known to have ended or to be ending.
        self.ended_term = 0
        #: Highest term whose changes are not released to callers any more.
        self.closed_term = 0
        #: Highest term that a server has said it leads or follows.
        self.highest_seen_term = 0
        #: Set whenever the belief changes.
        self.changed = curio.Event()
        self._journal = journal
        self._record_revision = 0
        self._record: GroupRecord | None = None
        #: Revision of the latest claim that has ended a term here.
        self._ended_by = 0
        #: When each replica was last asked and did not hold.
        self._proofs: dict[str, float] = {}
        #: When the store, or a peer with proof, was last asked and knew of no
        #: later term.
        self._told_proof = float('-inf')
        self._servers: frozenset[str] = frozenset()
        #: When the servers started, in Unix ms; 0 if that is not known.
        self._starts: dict[str, int] = {}
        #: Highest term at the latest start of each server that started again:
        #: up to it, its word and others' that it leads are of a former life.
        self._restarted: dict[str, int] = {}

    @property
    def has_primary(self) -> bool:
        """Whether a primary is known whose term has not ended."""
        return bool(self.primary) and self.term > self.ended_term

    @property
    def record(self) -> GroupRecord | None:
        """The record in the store, as far as it is known."""
        return self._record

    @property
    def required_proofs(self) -> int:
        """Replicas that must show that they do not hold.

        With the primary they are a majority of the group.
        """
        return len(self._servers) // 2

    @property
    def required_fenced_replicas(self) -> int:
        """Replicas that must hold so that no other node finds proof."""
        return max(1, len(self._servers) - 1 - self.required_proofs + 1)

    def has_restarted(self, name: str) -> bool:
        """Tell whether a server started again and has led no term since."""
        return name in self._restarted and self.term <= self._restarted[name]

    def get_start_time(self, name: str) -> int:
        """Return when a server started, in Unix ms; 0 if not known."""
        return self._starts.get(name, 0)

    def get_proof_expiry(self) -> float:
        """Return when the present proof ends, in kernel seconds."""
        needed = self.required_proofs
        if not needed:
            return float('inf')
        times = sorted(
            (
                asked_at
                for name, asked_at in self._proofs.items()
                if name != self.primary
            ),
            reverse=True,
        )
        proven = times[needed - 1] if len(times) >= needed else float('-inf')
        return max(proven, self._told_proof) + PROOF_LIFETIME_S

    def is_primary_usable(self, now: float) -> bool:
        """Tell whether the primary may be used at `now`."""
        return self.has_primary and now < self.get_proof_expiry()

    def can_acknowledge(self, term: int, now: float) -> bool:
        """Tell whether the answer to a change of `term` may be released.

        That holds for answers that come while the term is ending, until
        this node confirms its end or its proof runs out.
        """
        is_open = term == self.term and term > self.closed_term
        return is_open and now < self.get_proof_expiry()

    def close_term(self, term: int) -> None:
        """Release no change of `term` and of earlier terms any more."""
        self.closed_term = max(self.closed_term, term)

    async def adopt_servers(
        self,
        names: Iterable[str],
        starts: Mapping[str, int] = _NO_STARTS,
    ) -> None:
        """Take over the servers of the group, and when they started."""
        self._servers = frozenset(names)
        for name, started_at in starts.items():
            await self._note_start(name, started_at)
        for name in list(self._proofs):
            if name not in self._servers:
                self._proofs.pop(name)
        if self.primary and self.primary not in self._servers:
            await self.clear_primary(self.primary, 'it left the directory')

    async def record_status(
        self,
        name: str,
        status: ServerStatus,
        asked_at: float,
    ) -> None:
        """Take over what a server said of itself when asked at `asked_at`."""
        self.highest_seen_term = max(self.highest_seen_term, status.term)
        if status.role is ServerRole.PRIMARY:
            if status.term <= self._restarted.get(name, 0):
                return
            if status.term > max(self.term, self.ended_term):
                await self._adopt(status.term, name, 'the server says so')
            elif status.term == self.term and not self.primary:
                await self._adopt(status.term, name, 'the server says so')
            return
        if self.primary == name and status.term >= self.term:
            await self.clear_primary(name, 'it says that it is a replica')
        if status.term > self.term:
            # It follows a primary that this node does not know yet.
            await self.end_term(status.term - 1, f'{name} follows a later one')
        if max(status.term, status.held_term) <= self.term:
            self._note_proof(name, asked_at)
        else:
            self._proofs.pop(name, None)

    def record_replicated_change(
        self, name: str, term: int, since: float
    ) -> None:
        """Take over that a replica has received a change made after `since`.

        It did not hold when it received that, so this proves as much as its
        word would have, asked at `since`.  It comes with the answers to reads:
        where statements flow, few replicas need to be asked.
        """
        if term == self.term and name != self.primary:
            self._note_proof(name, since)

    async def record_store_answer(
        self,
        revision: int,
        record: GroupRecord | None,
        asked_at: float,
    ) -> None:
        """Take over the record, read from the store at `asked_at`."""
        if record is not None:
            await self.adopt_record(revision, record)
        if record is None or record.phase is Phase.SETTLED:
            if record is None or record.term <= self.term:
                self._told_proof = max(self._told_proof, asked_at)

    async def adopt_record(self, revision: int, record: GroupRecord) -> None:
        """Take over the record in the store if it is newer."""
        if revision <= self._record_revision:
            return
        self._record_revision = revision
        self._record = record
        started_at = self._starts.get(record.primary, 0)
        if started_at and record.primary_started_at:
            self._starts[record.primary] = record.primary_started_at
            await self._note_start(record.primary, started_at)
        if record.phase is Phase.FENCING:
            reason = f'{record.driver} changes it'
            await self.end_term(record.term - 1, reason, revision)
        elif record.term > self.ended_term and record.primary:
            if record.term > self.term or not self.has_primary:
                await self._adopt(record.term, record.primary, 'the record')
        elif record.term == self.ended_term and revision > self._ended_by:
            await self._reopen(record)

    def record_peer_proof(self, term: int, asked_at: float) -> None:
        """Take over a peer's proof, which was as good as of `asked_at`."""
        if term == self.term and self.has_primary:
            self._told_proof = max(self._told_proof, asked_at)

    def get_proof_age(self, now: float) -> float:
        """Return the age of the present proof in seconds."""
        return now - (self.get_proof_expiry() - PROOF_LIFETIME_S)

    async def end_term(self, term: int, reason: str, fence: int = 0) -> None:
        """Stop using the primary of `term` and of earlier terms.

        `fence` is the revision of the claim that ends it, if one does: only a
        later record can tell that the change was given up.
        """
        self._ended_by = max(self._ended_by, fence)
        if term <= self.ended_term:
            return
        had_primary = self.has_primary
        self.ended_term = term
        if had_primary and not self.has_primary:
            self._told_proof = float('-inf')
            self._journal.record(
                'leadership.ended',
                service=self.service,
                term=term,
                primary=self.primary,
                reason=reason,
            )
            await self.changed.set()

    async def clear_primary(self, name: str, reason: str) -> None:
        """Stop using a server that is no primary any more."""
        if self.primary != name:
            return
        self._journal.record(
            'leadership.primary_lost',
            service=self.service,
            term=self.term,
            primary=name,
            reason=reason,
        )
        self.primary = ''
        await self.changed.set()

    async def wait_for_change(self, limit: float) -> None:
        """Wait for a change of belief, for up to `limit` seconds."""
        async with curio.ignore_after(limit):
            await self.changed.wait()
        self.changed.clear()

    async def _reopen(self, record: GroupRecord) -> None:
        """Let a term go on whose change was given up."""
        if self.highest_seen_term > record.term:
            return
        self.ended_term = record.term - 1
        self.closed_term = min(self.closed_term, self.ended_term)
        # A driver that knew no primary names none; the servers tell who leads.
        if record.primary:
            await self._adopt(record.term, record.primary, 'change given up')

    def _note_proof(self, name: str, asked_at: float) -> None:
        known = self._proofs.get(name, float('-inf'))
        self._proofs[name] = max(known, asked_at)

    async def _note_start(self, name: str, started_at: int) -> None:
        """Take over when a server started; a later life holds nothing."""
        record = self._record
        known = self._starts.get(name, 0)
        if not known and record is not None and record.primary == name:
            known = record.primary_started_at
        self._starts[name] = started_at or known
        if not known or not started_at or started_at == known:
            return
        recorded = 0 if record is None else record.term
        self._restarted[name] = max(
            self.term,
            self.ended_term,
            self.highest_seen_term,
            recorded,
        )
        self._proofs.pop(name, None)
        self._journal.record(
            'server.restarted',
            service=self.service,
            server=name,
            started_at=started_at,
            former=known,
            term=self._restarted[name],
        )
        await self.clear_primary(name, 'it has started again, and is empty')

    async def _adopt(self, term: int, name: str, reason: str) -> None:
        if (term, name) == (self.term, self.primary):
            return
        if term <= self._restarted.get(name, 0):
            # The word is of a former life: this one holds no log.
            return
        self._journal.record(
            'leadership.adopted',
            service=self.service,
            term=term,
            primary=name,
            former_term=self.term,
            former=self.primary,
            reason=reason,
        )
        if term != self.term:
            self._told_proof = float('-inf')
        self.term = term
        self.primary = name
        self._proofs.pop(name, None)
        await self.changed.set()
