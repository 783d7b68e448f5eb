"""Following the store's updates through a peer instead of watching the store.

Each watch and each answer to it is a billed call, and the store's rate limits
grow more slowly than the fleet.  In a data centre with many nodes, a few nodes
(feeders) therefore watch the store and send updates to the others (followers).
A node that no peer feeds watches the store directly.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import curio

from deckdrum.control import Member, StoreFeed
from deckdrum.fleet.node_messages import FollowAnswer
from deckdrum.fleet.node_peers import ASK_TIMEOUT_S, NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.load.capacity import compute_weights
from deckdrum.utils import Journal
from deckdrum.utils.ranks import compute_rendezvous_rank, rank_by_weight

#: Smallest number of nodes in a data centre for which some follow others.  With
#: fewer, watching is cheap and gives each node the shortest delay.
MIN_NODES_TO_FOLLOW: Final = 8
#: Fewest feeders of a data centre; one of them may fail.
MIN_FEEDERS: Final = 2
#: Nodes per feeder; bounds a feeder's network and processor load.
NODES_PER_FEEDER: Final = 24
#: Longest wait of a feeder for updates before it answers.  An unresponsive
#: feeder is noticed after this time plus the timeout of a request.
FOLLOW_TIMEOUT_S: Final = 1.0
#: How long a peer that does not feed this node is skipped.
FEEDER_BACKOFF_S: Final = 3.0
#: Interval at which a node that watches directly looks for a feeder.
RECHECK_INTERVAL_S: Final = 0.5
#: Delay for the registrations of nodes that start at the same time.  A node
#: that decides before it knows its peers begins four watches of its own.
START_DELAY_S: Final = 1.2
#: Interval at which a node checks whether the store answers it while its feeder
#: gets no answers; multiplied by `StoreFeed.backoff_factor`.
STORE_PROBE_INTERVAL_S: Final = 0.8
_RANK_KEY: Final = 'feeders'


class UpdateFollower:
    """Chooses between watching the store and following a peer.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    feed : StoreFeed
        Watches the store while no peer is followed.
    peers : NodePeers
        The other nodes.
    journal : Journal
        Logs each change of the followed peer.
    """

    def __init__(
        self,
        settings: NodeSettings,
        feed: StoreFeed,
        peers: NodePeers,
        journal: Journal,
    ) -> None:
        self._settings = settings
        self._feed = feed
        self._peers = peers
        self._journal = journal
        self._skipped_until: dict[str, float] = {}
        self._current_feeder = ''
        self._next_probe_at = float('-inf')

    async def run(self) -> None:
        """Follow a peer or watch the store, until cancelled."""
        await curio.sleep(START_DELAY_S)
        while True:
            feeder = await self._pick_feeder()
            if feeder is None:
                await self._feed.watch_directly()
                self._log_feeder('')
                await curio.sleep(RECHECK_INTERVAL_S)
            elif await self._follow(feeder):
                self._log_feeder(feeder.name)
            else:
                # Try the next feeder, or watch directly if there is none.
                now = await curio.clock()
                self._skipped_until[feeder.name] = now + FEEDER_BACKOFF_S

    async def _follow(self, feeder: Member) -> bool:
        """Fetch updates from a peer; return whether to keep following it.

        A feeder that gets no answers from the store is kept if the store does
        not answer this node either.  Otherwise all nodes would start watches of
        their own at the end of each outage.
        """
        answer = await self._peers.ask(
            feeder.endpoint,
            self._peers.build_follow_request(FOLLOW_TIMEOUT_S),
            FOLLOW_TIMEOUT_S + ASK_TIMEOUT_S,
        )
        if not isinstance(answer, FollowAnswer):
            return False
        if not answer.is_feeding:
            return await self._is_store_unavailable()
        await self._peers.apply_updates(answer, feeder.endpoint)
        await self._feed.follow()
        return True

    async def _is_store_unavailable(self) -> bool:
        """Return whether the store does not answer this node either."""
        now = await curio.clock()
        if now >= self._next_probe_at:
            self._next_probe_at = (
                now + STORE_PROBE_INTERVAL_S * self._feed.backoff_factor
            )
            if await self._feed.probe():
                return False
        await self._feed.follow(is_peer_connected=False)
        return True

    async def _pick_feeder(self) -> Member | None:
        """Return the peer to follow; None to watch the store directly."""
        own = self._settings.name
        neighbours = self._list_neighbours()
        self._feed.backoff_factor = max(
            1, (len(neighbours) + 1) / MIN_NODES_TO_FOLLOW
        )
        if len(neighbours) + 1 < MIN_NODES_TO_FOLLOW:
            return None
        feeders = choose_feeders((own, *neighbours), self._compute_weights())
        if own in feeders:
            return None
        now = await curio.clock()
        candidates = [
            neighbours[name]
            for name in feeders
            if self._skipped_until.get(name, 0) <= now
        ]
        return min(
            candidates,
            key=lambda member: compute_rendezvous_rank(own, member.name),
            default=None,
        )

    def _list_neighbours(self) -> dict[str, Member]:
        """Return the other nodes of this data centre, except leaving ones."""
        return {
            member.name: member
            for member in self._peers.others
            if member.data_centre == self._settings.data_centre
            and not member.is_leaving
        }

    def _compute_weights(self) -> dict[str, int]:
        """Return the weights of all nodes by capacity."""
        others = {member.name: member.capacity for member in self._peers.others}
        return compute_weights(
            others | {self._settings.name: self._settings.capacity}
        )

    def _log_feeder(self, name: str) -> None:
        if name != self._current_feeder:
            self._journal.record('news.followed', peer=name or 'nobody')
            self._current_feeder = name


def choose_feeders(
    names: Sequence[str], weights: Mapping[str, float]
) -> list[str]:
    """Return the nodes of a data centre that watch the store for the others.

    The result is the same on all nodes that know the same members.
    """
    count = max(MIN_FEEDERS, len(names) // NODES_PER_FEEDER)
    return rank_by_weight(names, weights, _RANK_KEY)[:count]
