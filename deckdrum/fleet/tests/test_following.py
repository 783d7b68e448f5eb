"""Nodes that leave watches of the store to peers, in virtual time."""

import curio

from deckdrum.fleet.node_messages import News
from deckdrum.fleet.update_following import MIN_FEEDERS
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import (
    Deployment,
    RunningNode,
    build_config,
    play,
)

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
        assert len(_list_feeders(deployment)) == MIN_FEEDERS
        before = deployment.store.calls.total()
        assert await _drain_one(deployment) < 0.6
        # Each feeder's watch is answered and begun again.
        assert deployment.store.calls.total() - before <= 2 * MIN_FEEDERS

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


def test_one_configuration_costs_a_call_a_feeder() -> None:
    async def scenario(deployment: Deployment) -> None:
        before = deployment.store.calls.total()
        await deployment.store.write('config', 'main', build_config(9))
        took = await deployment.wait_for(
            lambda: all(
                running.node.view.version == 9 for running in deployment.nodes
            ),
        )
        assert took < 0.2
        # The watch of each feeder is answered and begun again.
        assert deployment.store.calls.total() - before <= 2 * MIN_FEEDERS

    play(scenario, nodes=NODES, centres=1, settle=SETTLED)


def test_first_configuration_after_the_start_reaches_followers() -> None:
    async def scenario(deployment: Deployment) -> None:
        for version in range(2, 6):
            config = build_config(version)
            await deployment.store.write('config', 'main', config)
            await curio.sleep(0.3)
        versions = {running.node.view.version for running in deployment.nodes}
        assert versions == {5}

    # Written while the nodes have not decided yet who watches.
    play(scenario, nodes=NODES, centres=1, settle=0)


def test_many_nodes_probe_an_absent_store_no_more_than_few() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.fault = StoreFault.BUSY
        for kind in ('config', 'servers', 'deckdrum-members'):
            await deployment.store.write(kind, 'unreadable', {})
        # Until the pauses between two tries have grown.
        await curio.sleep(8.0)
        before = deployment.store.calls.total()
        await curio.sleep(10.0)
        # As eight nodes would, each every 0.4 to 1.2 s, and three kinds of
        # record every 5 s beside.
        asked = deployment.store.calls.total() - before
        assert asked <= 8 * (10 / 0.8 + 3 * 2) * 1.25
        deployment.store.fault = StoreFault.NONE
        back = await deployment.wait_for(
            lambda: all(
                running.node.feed.is_synchronized
                for running in deployment.nodes
            )
        )
        assert back < 5.0

    play(scenario, nodes=24, centres=1, settle=SETTLED, max_connections=60)


def test_outage_costs_few_calls_and_no_new_watches() -> None:
    async def scenario(deployment: Deployment) -> None:
        before = deployment.store.calls.total()
        deployment.store.fault = StoreFault.BUSY
        for kind in ('config', 'servers', 'deckdrum-members'):
            await deployment.store.write(kind, 'unreadable', {})
        await curio.sleep(3.0)
        deployment.store.fault = StoreFault.NONE
        await curio.sleep(3.0)
        nodes = [running.node for running in deployment.nodes]
        assert all(node.feed.is_synchronized for node in nodes)
        assert sum(node.feed.is_feeding for node in nodes) == MIN_FEEDERS
        followers = len(nodes) - MIN_FEEDERS
        # The feeders probe; each follower looks twice whether it is served.
        assert deployment.store.calls.total() - before <= 40 + 2 * followers
        await deployment.store.write('config', 'main', build_config(9))
        took = await deployment.wait_for(
            lambda: all(node.view.version == 9 for node in nodes),
        )
        assert took < 0.2

    play(scenario, nodes=24, centres=1, settle=SETTLED, max_connections=60)


def test_start_of_many_nodes_costs_few_calls_each() -> None:
    async def scenario(deployment: Deployment) -> None:
        nodes = len(deployment.nodes)
        # Four lists, a registration and the watches of the others; the
        # feeders' own watches.
        allowed = 8 * nodes + 20 * MIN_FEEDERS
        assert deployment.store.calls.total() <= allowed

    play(scenario, nodes=24, centres=1, settle=SETTLED, max_connections=60)


def test_damaged_configuration_of_a_peer_is_told_and_not_taken() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        news = News(b'no zlib', {})
        await node.peers.apply_updates(news, node.settings.peer_address)
        assert node.view.version == 1

    play(scenario)
