"""Fetching proof that the term of a group's primary has not ended."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import curio

from deckdrum.control import ControlStore, Kind, Member
from deckdrum.fleet.node_messages import AskProof, ProofAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.leadership.state import (
    PROOF_LIFETIME_S,
    PROOF_RENEWAL_THRESHOLD_S,
    LeadershipState,
)
from deckdrum.load.capacity import compute_weights
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.allocation import list_capacities
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.ranks import rank_by_weight

ProofQuery = Callable[[], Awaitable[object]]
#: Number of nodes in a data centre from which one of them, the collector,
#: fetches proof and samples for all.  Messages within a data centre cost next
#: to nothing, while a query takes a slot of a server.  Sharing saves four
#: tenths of the queries of seven nodes in three data centres (one calm day
#: each).
MIN_NODES_FOR_COLLECTOR: Final = 2
#: Age up to which a proof or sample is passed to peers without a new query.
MAX_SHARED_AGE_S: Final = 0.3
#: Timeout after which the next source of proof is queried as well; several
#: round trips.
SOURCE_TIMEOUT_S: Final = 0.08
#: Timeout for proof once every source was queried.
PROOF_TIMEOUT_S: Final = 0.3
#: How long after a renewal without proof a term counts as unproven.
UNPROVEN_TIME_S: Final = 0.5
#: Interval between checks whether proof has arrived.
_POLL_INTERVAL_S: Final = 0.005


class ProofSources:
    """Sources of leadership proof for one group.

    Parameters
    ----------
    leadership_state : LeadershipState
        Leadership state that records the proof.
    list_queries : callable
        Returns one status query per replica, the most promising first.
    store : ControlStore
        Queried if no replica provides proof.
    peers : NodePeers
        The other nodes, one of which may be the collector.
    journal : Journal
        Log for failed queries of the store.
    counters : Counters
        Metrics.
    """

    def __init__(
        self,
        leadership_state: LeadershipState,
        list_queries: Callable[[], list[ProofQuery]],
        store: ControlStore,
        peers: NodePeers,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self._leadership_state = leadership_state
        self._list_queries = list_queries
        self._store = store
        self._peers = peers
        self._journal = journal
        self._counters = counters
        #: The collector of this data centre, if it is another node.
        self.collector: Member | None = None
        self._renewal: Any = None

    def pick_collector(
        self,
        own: Member,
        members: Mapping[str, Member],
        remaining: Mapping[str, str],
    ) -> None:
        """Select the collector of this data centre, if it needs one.

        `remaining` maps the nodes that are not leaving to their data centres.
        """
        name = self._leadership_state.service
        self.collector = _pick_collector(name, own, members, remaining)

    async def fetch_age(self, term: int) -> float:
        """Return the age of this node's proof in seconds; -1 without proof.

        A node that lists one server needs no proof itself, and has none for
        nodes that list more.
        """
        if not self._leadership_state.required_proofs:
            return -1
        age = await self._get_age()
        if age > MAX_SHARED_AGE_S:
            await self.renew(PROOF_LIFETIME_S - MAX_SHARED_AGE_S)
            age = await self._get_age()
        has_proof = (
            self._leadership_state.has_primary
            and self._leadership_state.term == term
        )
        return max(0, age) if has_proof and age < PROOF_LIFETIME_S else -1

    async def renew(
        self, min_validity: float = PROOF_RENEWAL_THRESHOLD_S
    ) -> bool:
        """Renew the proof; return whether it is valid.

        Concurrent callers share one renewal.

        Parameters
        ----------
        min_validity : float
            Remaining validity to achieve, in seconds.
        """
        if self._renewal is None:
            self._renewal = await curio.spawn(
                self._renew,
                min_validity,
                daemon=True,
            )
        task = self._renewal
        try:
            await task.wait()
        finally:
            if self._renewal is task and task.terminated:
                self._renewal = None
        return self._leadership_state.is_primary_usable(await curio.clock())

    async def renew_if_expiring(self, now: float) -> None:
        """Start a renewal in the background if the proof expires soon."""
        remaining = self._leadership_state.get_proof_expiry() - now
        if remaining < PROOF_RENEWAL_THRESHOLD_S and self._renewal is None:
            self._renewal = await curio.spawn(
                self._renew,
                PROOF_RENEWAL_THRESHOLD_S,
                daemon=True,
            )

    async def _get_age(self) -> float:
        expiry = self._leadership_state.get_proof_expiry()
        now: float = await curio.clock()
        return now - (expiry - PROOF_LIFETIME_S)

    async def _renew(self, min_validity: float) -> None:
        """Query the collector, the replicas and the store until proof arrives.

        A source that does not answer in time is not cancelled: the next one is
        queried in addition.
        """
        sources = [
            *self._list_queries(),
            self._fetch_proof_from_store,
        ]
        if self.collector is not None:
            sources.insert(0, self._fetch_proof_from_collector)
        valid_until = await curio.clock() + min_validity
        try:
            for source in sources:
                task = await curio.spawn(source, daemon=True)
                async with curio.ignore_after(SOURCE_TIMEOUT_S):
                    await task.wait()
                if self._leadership_state.get_proof_expiry() >= valid_until:
                    return
            async with curio.ignore_after(PROOF_TIMEOUT_S):
                while self._leadership_state.get_proof_expiry() < valid_until:
                    await curio.sleep(_POLL_INTERVAL_S)
        finally:
            self._renewal = None
            _record_renewal(self._leadership_state, await curio.clock())

    async def _fetch_proof_from_collector(self) -> None:
        collector = self.collector
        if collector is None:
            return
        term = self._leadership_state.term
        asked_at = await curio.clock()
        answer = await self._peers.ask(
            collector.endpoint,
            AskProof(self._leadership_state.service, term),
        )
        if isinstance(answer, ProofAnswer) and answer.age >= 0:
            # The peer measured the age after `asked_at`, so its proof is no
            # older than this.
            self._leadership_state.record_peer_proof(
                term, asked_at - answer.age
            )
            self._counters.count('proofs_by_collector')

    async def _fetch_proof_from_store(self) -> None:
        asked_at = await curio.clock()
        try:
            entry = await self._store.fetch(
                Kind.LEADERSHIP, self._leadership_state.service
            )
        except StoreError as error:
            self._journal.record(
                'leadership.no_proof',
                service=self._leadership_state.service,
                reason=str(error),
            )
            return
        if entry is None:
            await self._leadership_state.record_store_answer(0, None, asked_at)
        elif isinstance(entry.record, GroupRecord):
            await self._leadership_state.record_store_answer(
                entry.revision,
                entry.record,
                asked_at,
            )
        else:
            # The unreadable record may be a claim of a later term.
            self._journal.record(
                'leadership.no_proof',
                service=self._leadership_state.service,
                reason='unreadable leadership record in the store',
            )


def _record_renewal(leadership_state: LeadershipState, now: float) -> None:
    """Record whether a renewal that has just ended has brought proof."""
    has_proof = leadership_state.get_proof_expiry() > now
    leadership_state.renewal_failed_at = float('-inf') if has_proof else now


def is_unproven(leadership_state: LeadershipState, now: float) -> bool:
    """Return whether the latest renewal has just ended without proof."""
    return now - leadership_state.renewal_failed_at < UNPROVEN_TIME_S


def _pick_collector(
    service: str,
    own: Member,
    members: Mapping[str, Member],
    remaining: Mapping[str, str],
) -> Member | None:
    """Return this data centre's collector.

    Returns None if it is this node or if there are too few nodes.
    """
    local_nodes = [
        name for name, centre in remaining.items() if centre == own.data_centre
    ]
    if len(local_nodes) < MIN_NODES_FOR_COLLECTOR:
        return None
    weights = compute_weights(list_capacities(own, members))
    first = rank_by_weight(local_nodes, weights, service)[0]
    return None if first == own.name else members.get(first)
