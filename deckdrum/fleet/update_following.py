"""Following a peer's watches of the store in place of own ones.

Each watch and each answer to one is a call that is paid for, and the store's
rates grow more slowly than the fleet.  So where a data centre has many nodes,
a few of them watch the store, and the others hear from these.  A node whose
peers do not feed it watches the store by itself.
"""

from collections.abc import Sequence
from functools import partial
from typing import Final

import curio

from deckdrum.control import Member, StoreFeed
from deckdrum.fleet.node_messages import FollowAnswer
from deckdrum.fleet.node_peers import ASK_LIMIT, NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.utils import Journal
from deckdrum.utils.ranks import weigh

#: Nodes of one data centre from which on some follow others: with fewer,
#: watching costs little, and each node is the better for its own watch.
MIN_NODES_TO_FOLLOW: Final = 8
#: Fewest feeders of a data centre, so that one may go.
MIN_FEEDERS: Final = 2
#: Nodes for each feeder; bounds what a feeder's link and processor bear.
NODES_PER_FEEDER: Final = 24
#: Longest wait of a feeder for news before it answers, in seconds; a feeder
#: that froze is noticed after this and the limit of an answer.
FOLLOW_TIMEOUT_S: Final = 1.0
#: How long a peer that does not feed is passed over, in seconds.
FEEDER_BACKOFF_S: Final = 3.0
#: Pause between two looks of a node that watches by itself, in seconds.
LOOK_PAUSE: Final = 0.5
#: Wait for the registrations of nodes that start together, in seconds.
#: A node that decides before it knows the others watches by itself, and begins
#: four watches.
START_DELAY_S: Final = 1.2
#: Pause between two looks whether the store answers this node while its feeder
#: hears nothing from it, in seconds; grows with the nodes as other pauses do.
STORE_PROBE_INTERVAL_S: Final = 0.8
_RANK_KEY: Final = 'feeders'


class UpdateFollower:
    """One node's choice between watching the store and following a peer.

    Parameters
    ----------
    settings : NodeSettings
        This node.
    feed : StoreFeed
        Watches the store while nobody is followed.
    peers : NodePeers
        The other nodes.
    journal : Journal
        For each change of the peer that is followed.
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
        self._avoided_until: dict[str, float] = {}
        self._followed = ''
        self._probe_after = float('-inf')

    async def run(self) -> None:
        """Follow a peer, or watch the store, for ever."""
        await curio.sleep(START_DELAY_S)
        while True:
            feeder = await self._pick_feeder()
            if feeder is None:
                await self._feed.watch_directly()
                self._note_followed('')
                await curio.sleep(LOOK_PAUSE)
            elif await self._follow(feeder):
                self._note_followed(feeder.name)
            else:
                # The next feeder, or this node itself if there is none.
                now = await curio.clock()
                self._avoided_until[feeder.name] = now + FEEDER_BACKOFF_S

    async def _follow(self, feeder: Member) -> bool:
        """Get news from a peer; tell whether to go on with it.

        One that hears nothing from the store is followed on if the store does
        not answer this node either: otherwise each outage would have every
        node watch by itself, and begin all its watches anew at the end.
        """
        answer = await self._peers.ask(
            feeder.endpoint,
            self._peers.build_follow_request(FOLLOW_TIMEOUT_S),
            FOLLOW_TIMEOUT_S + ASK_LIMIT,
        )
        if not isinstance(answer, FollowAnswer):
            return False
        if not answer.is_feeding:
            return await self._is_store_absent()
        await self._peers.apply_updates(answer, feeder.endpoint)
        await self._feed.follow()
        return True

    async def _is_store_absent(self) -> bool:
        """Tell whether the store answers this node no more than its feeder."""
        now = await curio.clock()
        if now >= self._probe_after:
            self._probe_after = (
                now + STORE_PROBE_INTERVAL_S * self._feed.sharing
            )
            if await self._feed.probe():
                return False
        await self._feed.follow(is_served=False)
        return True

    async def _pick_feeder(self) -> Member | None:
        """Return the peer to follow; None if this node is to watch."""
        own = self._settings.name
        near = self._list_near()
        self._feed.sharing = max(1, (len(near) + 1) / MIN_NODES_TO_FOLLOW)
        if len(near) + 1 < MIN_NODES_TO_FOLLOW:
            return None
        feeders = _rank_feeders((own, *near))
        if own in feeders:
            return None
        now = await curio.clock()
        ready = [
            near[name]
            for name in feeders
            if self._avoided_until.get(name, 0) <= now
        ]
        return min(
            ready,
            key=lambda member: weigh(own, member.name),
            default=None,
        )

    def _list_near(self) -> dict[str, Member]:
        """Return the other nodes of this data centre that stay, by name."""
        return {
            member.name: member
            for member in self._peers.others
            if member.data_centre == self._settings.data_centre
            and not member.is_leaving
        }

    def _note_followed(self, name: str) -> None:
        if name != self._followed:
            self._journal.record('news.followed', peer=name or 'nobody')
            self._followed = name


def _rank_feeders(names: Sequence[str]) -> list[str]:
    """Return which nodes of a data centre watch the store for the others.

    Every node comes to the same ones, as far as it knows the same nodes.
    """
    count = max(MIN_FEEDERS, len(names) // NODES_PER_FEEDER)
    return sorted(names, key=partial(weigh, _RANK_KEY))[:count]
