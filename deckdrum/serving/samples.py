"""Sampling the position of a primary's log."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from deckdrum.backends.position_history import PositionHistory
from deckdrum.control import Member
from deckdrum.fleet.node_messages import AskSample, SampleAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.leadership.state import PROOF_LIFETIME_S, LeadershipState
from deckdrum.serving.proofs import MAX_SHARED_AGE_S
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import SharedCall

#: Timeout for a sample of the primary.
SAMPLE_TIMEOUT_S: Final = 0.25


class PrimarySampler:
    """Samples the log position of a group's primary.

    Concurrent callers share one sample.  In a data centre with several nodes
    the collector samples for all of them, to limit the load of the primary.

    Parameters
    ----------
    leadership_state : LeadershipState
        Leadership state of the group.
    history : PositionHistory
        Records the samples.
    peers : NodePeers
        The other nodes.
    counters : Counters
        Metrics.
    pick_collector : callable
        Returns the collector, if it is another node.
    sample_primary : callable
        Samples the primary directly; returns whether that succeeded.
    """

    def __init__(
        self,
        leadership_state: LeadershipState,
        history: PositionHistory,
        peers: NodePeers,
        counters: Counters,
        pick_collector: Callable[[], Member | None],
        sample_primary: Callable[[], Awaitable[bool]],
    ) -> None:
        self._leadership_state = leadership_state
        self._history = history
        self._peers = peers
        self._counters = counters
        self._pick_collector = pick_collector
        self._shared_sample = SharedCall(self._sample)
        self._shared_primary_query = SharedCall(sample_primary)

    async def sample(self) -> bool:
        """Take a sample; return whether that succeeded."""
        return bool(await self._shared_sample.get())

    async def share_sample(self) -> SampleAnswer:
        """Return a recent sample for a peer; take a new one if necessary."""
        asked_at = await curio.clock()
        if asked_at - self._history.latest[1] > MAX_SHARED_AGE_S:
            await self._shared_primary_query.get()
        offset, sampled_at = self._history.latest
        age = await curio.clock() - sampled_at
        is_known = age < PROOF_LIFETIME_S
        return SampleAnswer(self._history.term, offset, age if is_known else -1)

    async def _sample(self) -> bool:
        collector = self._pick_collector()
        if collector is not None and await self._fetch_sample(collector):
            return True
        return bool(await self._shared_primary_query.get())

    async def _fetch_sample(self, collector: Member) -> bool:
        """Fetch a sample from the collector; return whether it had one."""
        asked_at = await curio.clock()
        answer = await self._peers.ask(
            collector.endpoint,
            AskSample(self._leadership_state.service),
            SAMPLE_TIMEOUT_S,
        )
        if not isinstance(answer, SampleAnswer) or answer.age < 0:
            return False
        if answer.term != self._leadership_state.term:
            return False
        # The peer measured the age after `asked_at`, so its sample is no
        # older than this.
        self._history.record(answer.term, answer.offset, asked_at - answer.age)
        self._counters.count('samples_by_collector')
        return True
