"""Getting proof that the term of a group's primary has not ended."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
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
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.ranks import weigh

Source = Callable[[], Awaitable[object]]
#: Nodes of one data centre from which on one of them asks for proof, and
#: samples the primary, for all.  Messages within a data centre cost next to
#: nothing; a question takes a place at a server.  Saves four tenths of the
#: questions of seven nodes in three data centres (one calm day each).
MIN_NODES_FOR_COLLECTOR: Final = 2
#: Age of proof up to which it is handed to peers without asking again, in s.
MAX_SHARED_AGE_S: Final = 0.3
#: Silence of one source of proof after which the next is asked, in seconds;
#: several round trips.
SOURCE_TIMEOUT_S: Final = 0.08
#: Longest wait for proof once every source was asked, in seconds.
PROOF_TIMEOUT_S: Final = 0.3
#: Pause between two looks for proof that is on its way, in seconds.
_POLL: Final = 0.005


class ProofSources:
    """Whom a node asks for proof of one group's term.

    Parameters
    ----------
    belief : LeadershipBelief
        Takes the proof.
    list_questions : callable
        Returns a question to each replica, the best first.
    store : ControlStore
        Asked when the replicas give none.
    peers : NodePeers
        The other nodes, one of which is asked first where there are many.
    journal : Journal
        For a store that gives none.
    counters : Counters
        For metrics.
    """

    def __init__(
        self,
        leadership_state: LeadershipState,
        list_questions: Callable[[], list[Source]],
        store: ControlStore,
        peers: NodePeers,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self._belief = leadership_state
        self._list_questions = list_questions
        self._store = store
        self._peers = peers
        self._journal = journal
        self._counters = counters
        #: The node of this data centre that is asked for proof, if any.
        self.collector: Member | None = None
        self._renewing: Any = None

    def pick_collector(
        self,
        own: Member,
        members: Mapping[str, Member],
        staying: Mapping[str, str],
    ) -> None:
        """Pick the node of this data centre that is asked first, if any.

        `staying` has the data centres of the nodes that are to stay.
        """
        name = self._belief.service
        self.collector = _pick_collector(name, own, members, staying)

    async def fetch_age(self, term: int) -> float:
        """Return the age of this node's proof in seconds; -1 without any."""
        age = self._belief.get_proof_age(await curio.clock())
        if age > MAX_SHARED_AGE_S:
            await self.renew(PROOF_LIFETIME_S - MAX_SHARED_AGE_S)
            age = self._belief.get_proof_age(await curio.clock())
        has_proof = self._belief.has_primary and self._belief.term == term
        return max(0, age) if has_proof and age < PROOF_LIFETIME_S else -1

    async def renew(self, wanted: float = PROOF_RENEWAL_THRESHOLD_S) -> bool:
        """Get proof that the term has not ended; tell whether there is.

        Callers that come meanwhile wait for the same proof.

        Parameters
        ----------
        wanted : float
            For how long it should be good, in seconds.
        """
        if self._renewing is None:
            self._renewing = await curio.spawn(
                self._renew,
                wanted,
                daemon=True,
            )
        task = self._renewing
        try:
            await task.wait()
        finally:
            if self._renewing is task and task.terminated:
                self._renewing = None
        return self._belief.is_primary_usable(await curio.clock())

    async def renew_if_expiring(self, now: float) -> None:
        """Begin to get fresh proof if the present one ends soon."""
        remaining = self._belief.get_proof_expiry() - now
        if remaining < PROOF_RENEWAL_THRESHOLD_S and self._renewing is None:
            self._renewing = await curio.spawn(
                self._renew,
                PROOF_RENEWAL_THRESHOLD_S,
                daemon=True,
            )

    async def _renew(self, good_for: float) -> None:
        """Ask replicas, then the store, until one has proof.

        Where a data centre has many nodes, all but one ask that one first.
        The next source is asked while the one before is silent.
        """
        sources = [
            *self._list_questions(),
            self._prove_by_store,
        ]
        if self.collector is not None:
            sources.insert(0, self._prove_by_collector)
        wanted = await curio.clock() + good_for
        try:
            for source in sources:
                task = await curio.spawn(source, daemon=True)
                async with curio.ignore_after(SOURCE_TIMEOUT_S):
                    await task.wait()
                if self._belief.get_proof_expiry() >= wanted:
                    return
            async with curio.ignore_after(PROOF_TIMEOUT_S):
                while self._belief.get_proof_expiry() < wanted:
                    await curio.sleep(_POLL)
        finally:
            self._renewing = None

    async def _prove_by_collector(self) -> None:
        collector = self.collector
        if collector is None:
            return
        term = self._belief.term
        asked_at = await curio.clock()
        answer = await self._peers.ask(
            collector.endpoint,
            AskProof(self._belief.service, term),
        )
        if isinstance(answer, ProofAnswer) and answer.age >= 0:
            # The peer's proof is from before the answer, so at most this
            # much older than the question.
            self._belief.record_peer_proof(term, asked_at - answer.age)
            self._counters.count('proofs_by_collector')

    async def _prove_by_store(self) -> None:
        asked_at = await curio.clock()
        try:
            entry = await self._store.fetch(
                Kind.LEADERSHIP, self._belief.service
            )
        except StoreError as error:
            self._journal.record(
                'leadership.no_proof',
                service=self._belief.service,
                reason=str(error),
            )
            return
        if entry is None:
            await self._belief.record_store_answer(0, None, asked_at)
        elif isinstance(entry.record, GroupRecord):
            await self._belief.record_store_answer(
                entry.revision,
                entry.record,
                asked_at,
            )
        else:
            # What lies there may be a claim for all that is known.
            self._journal.record(
                'leadership.no_proof',
                service=self._belief.service,
                reason='the record cannot be read',
            )


def _pick_collector(
    service: str,
    own: Member,
    members: Mapping[str, Member],
    staying: Mapping[str, str],
) -> Member | None:
    """Return the node of this data centre that asks for proof for others.

    Returns
    -------
    Member or None
        None for that node itself, and where there are few nodes.
    """
    near = [
        name for name, centre in staying.items() if centre == own.data_centre
    ]
    if len(near) < MIN_NODES_FOR_COLLECTOR:
        return None
    first = min(near, key=partial(weigh, service))
    return None if first == own.name else members.get(first)
