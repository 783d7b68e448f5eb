"""Samples of where a primary's log stands, taken once for many callers."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from deckdrum.backends.position_history import History
from deckdrum.control import Member
from deckdrum.fleet.node_messages import AskSample, SampleAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.leadership.state import PROOF_LIFETIME_S, LeadershipState
from deckdrum.serving.proofs import MAX_SHARED_AGE_S
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import SharedCall

#: Longest wait for a peer's sample of the primary, in seconds.
SAMPLE_TIMEOUT_S: Final = 0.25


class PrimarySampler:
    """Samples the primary of one group.

    Callers that come meanwhile wait for the same sample.  Where a data centre
    has many nodes, one of them samples for all: each question takes a place at
    a server that may be loaded already.

    Parameters
    ----------
    belief : LeadershipBelief
        Of the group.
    history : History
        Takes the samples.
    peers : NodePeers
        The other nodes.
    counters : Counters
        For metrics.
    pick_collector : callable
        Returns the node that samples for this one, if any.
    ask_primary : callable
        Asks the primary itself; tells whether it said where its log stands.
    """

    def __init__(
        self,
        leadership_state: LeadershipState,
        history: History,
        peers: NodePeers,
        counters: Counters,
        pick_collector: Callable[[], Member | None],
        ask_primary: Callable[[], Awaitable[bool]],
    ) -> None:
        self._belief = leadership_state
        self._history = history
        self._peers = peers
        self._counters = counters
        self._pick_collector = pick_collector
        self._sampling = SharedCall(self._sample)
        self._asking_primary = SharedCall(ask_primary)

    async def take(self) -> bool:
        """Learn where the primary's log stands; tell whether that is known."""
        return bool(await self._sampling.get())

    async def tell(self) -> SampleAnswer:
        """Return the latest sample for a peer, a new one if it is old."""
        asked_at = await curio.clock()
        if asked_at - self._history.latest[1] > MAX_SHARED_AGE_S:
            await self._asking_primary.get()
        offset, sampled_at = self._history.latest
        age = await curio.clock() - sampled_at
        is_known = age < PROOF_LIFETIME_S
        return SampleAnswer(self._history.term, offset, age if is_known else -1)

    async def _sample(self) -> bool:
        collector = self._pick_collector()
        if collector is not None and await self._sample_by(collector):
            return True
        return bool(await self._asking_primary.get())

    async def _sample_by(self, collector: Member) -> bool:
        """Take over a peer's sample; tell whether it has one."""
        asked_at = await curio.clock()
        answer = await self._peers.ask(
            collector.endpoint,
            AskSample(self._belief.service),
            SAMPLE_TIMEOUT_S,
        )
        if not isinstance(answer, SampleAnswer) or answer.age < 0:
            return False
        if answer.term != self._belief.term:
            return False
        # The peer's sample is at most this much older than the question.
        self._history.note(answer.term, answer.offset, asked_at - answer.age)
        self._counters.count('samples_by_collector')
        return True
