"""Detection of unresponsive nodes and of their recovery."""

from collections.abc import Awaitable, Callable

import curio

from deckdrum.control import Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.health import (
    CHECK_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    RECOVERY_TIMEOUT_S,
    START_TIMEOUT_S,
    UNRESPONSIVE_RETRY_DELAY_S,
    PeerHealth,
)
from deckdrum.utils import Address
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.virtualtime import run_virtual

PEERS = [
    Member(f'n{number}', f'127.0.0.1:{number}', 'a', '') for number in (1, 2, 3)
]


class Network:
    """Simulated peers, of which some do not answer."""

    def __init__(self) -> None:
        self.unresponsive = {1, 2}
        self.asked: list[int] = []

    async def ask(
        self,
        address: Address,
        request: Message,
        timeout: float,
    ) -> Message | None:
        """Answer for the node at an address, or time out."""
        self.asked.append(address.port)
        if address.port not in self.unresponsive:
            return request
        await curio.sleep(timeout)
        return None


def run(scenario: Callable[[Network, PeerHealth], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""

    async def main() -> None:
        network = Network()
        health = PeerHealth(network.ask, open_null_journal('n0'))
        health.set_required_peers('stalls', PEERS[:2])
        health.set_required_peers('payouts', PEERS[1:])
        await scenario(network, health)

    run_virtual(main)


def test_all_required_nodes_are_asked_once() -> None:
    async def scenario(network: Network, health: PeerHealth) -> None:
        await health.check_all()
        await health.check_all()
        await curio.sleep(HEARTBEAT_TIMEOUT_S * 1.1)
        assert sorted(network.asked) == [1, 2, 3]
        assert health.is_unresponsive('n1')
        assert health.is_unresponsive('n2')
        assert not health.is_unresponsive('n3')

    run(scenario)


def test_unresponsive_node_is_used_again_once_it_answers() -> None:
    async def scenario(network: Network, health: PeerHealth) -> None:
        assert not await health.check(PEERS[0])
        assert health.is_unresponsive('n1')
        network.unresponsive.clear()
        await curio.sleep(UNRESPONSIVE_RETRY_DELAY_S + HEARTBEAT_TIMEOUT_S)
        assert not health.is_unresponsive('n1')

    run(scenario)


def test_unresponsive_nodes_are_not_asked_by_each_check() -> None:
    async def scenario(network: Network, health: PeerHealth) -> None:
        await health.check_all()
        await curio.sleep(CHECK_INTERVAL_S)
        before = len(network.asked)
        await health.check_all()
        await curio.sleep(0.01)
        assert network.asked[before:].count(3) == 1

    run(scenario)


def test_refusing_node_counts_as_starting_for_a_short_time_only() -> None:
    """Behind a cut it refuses connections as long as the cut lasts."""

    async def scenario(network: Network, health: PeerHealth) -> None:
        now = await curio.clock()
        await health.record_failure(PEERS[0], ConnectionRefusedError())
        await health.record_failure(PEERS[1], TimeoutError())
        assert health.may_be_starting('n1', now + START_TIMEOUT_S / 2)
        assert not health.may_be_starting('n1', now + 2 * START_TIMEOUT_S)
        assert not health.may_be_starting('n2', now)
        await curio.sleep(RECOVERY_TIMEOUT_S * 0.9)
        assert health.is_unresponsive('n1')

    run(scenario)
