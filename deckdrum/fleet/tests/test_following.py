"""Nodes that leave watches of the store to peers, in virtual time."""

import curio

from deckdrum.fleet.following import LEAST_FEEDERS
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import Deployment, RunningNode, play

#: Enough nodes of one data centre for some to follow others.
NODES = 9
#: Longer than nodes need to know who watches, in seconds.
SETTLED = 3.0


def _list_feeders(deployment: Deployment) -> list[RunningNode]:
    return [
        running for running in deployment.nodes if running.node.feed.is_feeding
    ]


def _count_knowing(deployment: Deployment, server: str) -> int:
    return sum(
        running.node.view.servers[server].is_draining
        for running in deployment.nodes
    )


async def _drain_one(deployment: Deployment) -> float:
    """Have a replica drain; return when every node knew, in seconds."""
    replica = next(
        server
        for server in deployment.group.servers.values()
        if server.role == 'replica' and server.state == 'ready'
    )
    await replica.drain()
    nodes = len(deployment.nodes)
    return await deployment.wait_for(
        lambda: _count_knowing(deployment, replica.name) == nodes,
    )


def test_few_nodes_watch_and_all_learn() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert len(_list_feeders(deployment)) == LEAST_FEEDERS
        before = deployment.store.calls.total()
        assert await _drain_one(deployment) < 0.6
        # Each feeder's watch is answered and begun again.
        assert deployment.store.calls.total() - before <= 2 * LEAST_FEEDERS

    play(scenario, nodes=NODES, centres=1, settle=SETTLED)


def test_few_nodes_of_a_data_centre_all_watch() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert len(_list_feeders(deployment)) == len(deployment.nodes)

    play(scenario, nodes=6, settle=SETTLED)


def test_removed_server_is_forgotten_by_followers() -> None:
    async def scenario(deployment: Deployment) -> None:
        replica = next(
            server
            for server in deployment.group.servers.values()
            if server.role == 'replica'
        )
        replica.is_listed = False
        await deployment.store.drop('servers', replica.name)
        await deployment.wait_for(
            lambda: (
                not any(
                    replica.name in running.node.view.servers
                    for running in deployment.nodes
                )
            ),
            limit=8,
        )

    play(scenario, nodes=NODES, centres=1, settle=SETTLED)


def test_followers_of_dead_feeders_learn_on() -> None:
    async def scenario(deployment: Deployment) -> None:
        for feeder in _list_feeders(deployment):
            deployment.nodes.remove(feeder)
            await deployment.stop_node(feeder)
        assert await _drain_one(deployment) < 1.0

    play(scenario, nodes=NODES, centres=1, settle=SETTLED)


def test_followers_leave_feeders_that_are_cut_off_from_the_store() -> None:
    async def scenario(deployment: Deployment) -> None:
        feeders = _list_feeders(deployment)
        for feeder in feeders:
            name = feeder.node.settings.name
            deployment.store.turned_away[name] = StoreFault.BUSY
        # The feeders' watches are answered, and the next ones refused.
        await deployment.store.write('config', 'unreadable', {})
        for kind in ('servers', 'deckdrum-members', 'deckdrum-leadership'):
            await deployment.store.write(kind, 'unreadable', {})
        await curio.sleep(1.5)
        assert not any(feeder.node.feed.is_feeding for feeder in feeders)
        assert await _drain_one(deployment) < 2.0

    play(scenario, nodes=NODES, centres=1, settle=SETTLED)
