"""Choice of the nodes that watch the store for others."""

import curio

from deckdrum.control import Member, StoreFeed
from deckdrum.fleet.base import Message
from deckdrum.fleet.node_messages import FollowUpdates
from deckdrum.fleet.node_peers import NoAnswer, NodePeers, PeerAnswer
from deckdrum.fleet.settings import NodeSettings
from deckdrum.fleet.update_following import (
    START_DELAY_S,
    UpdateFollower,
    choose_feeders,
)
from deckdrum.load.capacity import compute_weights
from deckdrum.utils import Address
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.ranks import rank_by_weight
from deckdrum.utils.virtualtime import run_virtual

SMALL = 0.516


class RecordingPeers(NodePeers):
    """Peers whose processes do not run; records which ones are asked."""

    def __init__(self, members: list[Member]) -> None:
        self._members = members
        self.asked: set[int] = set()

    @property
    def others(self) -> list[Member]:
        """The other nodes."""
        return self._members

    def build_follow_request(self, timeout: float) -> FollowUpdates:
        """Return a request of a node that has no records."""
        return FollowUpdates({}, timeout, 0)

    async def ask(
        self, address: Address, question: Message, timeout: float = 1
    ) -> PeerAnswer:
        """Refuse the connection."""
        self.asked.add(address.port)
        return NoAnswer(ConnectionRefusedError('no process'))


class IdleFeed(StoreFeed):
    """A feed without a store."""

    def __init__(self) -> None:
        self.backoff_factor = 1

    async def watch_directly(self) -> None:
        """Do nothing."""


def test_feeders_are_chosen_by_capacity() -> None:
    """Guards against feeders that are chosen without regard to capacity."""
    names = [f'n{number}' for number in range(12)]
    # The last two nodes by unweighted rank are the only large ones.
    ranked = rank_by_weight(names, {}, 'feeders')
    large = set(ranked[-2:])
    members = [
        Member(
            name,
            f'127.0.0.1:{number}',
            'ba-hall',
            'run',
            capacity=SMALL * 100 if name in large else SMALL,
        )
        for number, name in enumerate(names, start=1)
    ]
    capacities = {member.name: member.capacity for member in members}
    expected = choose_feeders(names, compute_weights(capacities))
    assert expected != ranked[:2]
    own = next(each for each in members if each.name not in expected)
    peers = RecordingPeers([each for each in members if each is not own])

    async def scenario() -> None:
        settings = NodeSettings(
            own.name, own.data_centre, own.endpoint, capacity=own.capacity
        )
        follower = UpdateFollower(
            settings, IdleFeed(), peers, open_null_journal('test')
        )
        async with curio.ignore_after(START_DELAY_S * 2):
            await follower.run()

    run_virtual(scenario)
    asked = {each.name for each in members if each.endpoint.port in peers.asked}
    assert asked == set(expected)
