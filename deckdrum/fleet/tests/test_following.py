"""Nodes that follow the store through a peer, in virtual time."""

import curio

from deckdrum.fleet.node_messages import StateUpdates
from deckdrum.fleet.update_following import MIN_FEEDERS
from deckdrum.standins.users import StoreFault
from deckdrum.testing.nodes import (
    Deployment,
    RunningNode,
    build_config,
    run_scenario,
)

#: Number of nodes in one data centre for which some follow others.
NODES = 9
#: Longer than the nodes need to choose the feeders.
SETTLE_TIME_S = 3.0


def _list_feeders(deployment: Deployment) -> list[RunningNode]:
    return [
        running
        for running in deployment.nodes
        if running.node.feed.can_serve_followers
    ]


def _count_updated_nodes(deployment: Deployment, server: str) -> int:
    return sum(
        running.node.view.servers[server].is_draining
        for running in deployment.nodes
    )


async def _drain_replica(deployment: Deployment) -> float:
    """Drain a replica; return the seconds until all nodes have the update."""
    replica = next(
        server
        for server in deployment.group.servers.values()
        if server.role == 'replica' and server.state == 'ready'
    )
    await replica.drain()
    nodes = len(deployment.nodes)
    return await deployment.wait_for(
        lambda: _count_updated_nodes(deployment, replica.name) == nodes,
    )


def test_update_reaches_all_nodes_through_few_watches() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert len(_list_feeders(deployment)) == MIN_FEEDERS
        before = deployment.store.calls.total()
        assert await _drain_replica(deployment) < 0.6
        # Each feeder's watch is answered and restarted.
        assert deployment.store.calls.total() - before <= 2 * MIN_FEEDERS

    run_scenario(scenario, nodes=NODES, centres=1, settle=SETTLE_TIME_S)


def test_all_nodes_watch_if_each_data_centre_has_few() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert len(_list_feeders(deployment)) == len(deployment.nodes)

    run_scenario(scenario, nodes=6, settle=SETTLE_TIME_S)


def test_removal_of_a_server_reaches_followers() -> None:
    async def scenario(deployment: Deployment) -> None:
        replica = next(
            server
            for server in deployment.group.servers.values()
            if server.role == 'replica'
        )
        replica.is_listed = False
        await deployment.store.delete('servers', replica.name)
        await deployment.wait_for(
            lambda: (
                not any(
                    replica.name in running.node.view.servers
                    for running in deployment.nodes
                )
            ),
            timeout=8,
        )

    run_scenario(scenario, nodes=NODES, centres=1, settle=SETTLE_TIME_S)


def test_followers_of_stopped_feeders_still_get_updates() -> None:
    async def scenario(deployment: Deployment) -> None:
        for feeder in _list_feeders(deployment):
            deployment.nodes.remove(feeder)
            await deployment.stop_node(feeder)
        assert await _drain_replica(deployment) < 1.0

    run_scenario(scenario, nodes=NODES, centres=1, settle=SETTLE_TIME_S)


def test_followers_leave_feeders_that_the_store_refuses() -> None:
    async def scenario(deployment: Deployment) -> None:
        feeders = _list_feeders(deployment)
        for feeder in feeders:
            name = feeder.node.settings.name
            deployment.store.turned_away[name] = StoreFault.BUSY
        # The open watches are answered, and the next ones are refused.
        await deployment.store.write('config', 'unreadable', {})
        for kind in ('servers', 'deckdrum-members', 'deckdrum-leadership'):
            await deployment.store.write(kind, 'unreadable', {})
        await curio.sleep(1.5)
        assert not any(
            feeder.node.feed.can_serve_followers for feeder in feeders
        )
        assert await _drain_replica(deployment) < 2.0

    run_scenario(scenario, nodes=NODES, centres=1, settle=SETTLE_TIME_S)


def test_new_configuration_costs_few_calls_per_feeder() -> None:
    async def scenario(deployment: Deployment) -> None:
        before = deployment.store.calls.total()
        await deployment.store.write('config', 'main', build_config(9))
        elapsed = await deployment.wait_for(
            lambda: all(
                running.node.view.version == 9 for running in deployment.nodes
            ),
        )
        assert elapsed < 0.2
        # Each feeder's watch is answered and restarted.
        assert deployment.store.calls.total() - before <= 2 * MIN_FEEDERS

    run_scenario(scenario, nodes=NODES, centres=1, settle=SETTLE_TIME_S)


def test_configurations_written_during_start_reach_followers() -> None:
    async def scenario(deployment: Deployment) -> None:
        for version in range(2, 6):
            config = build_config(version)
            await deployment.store.write('config', 'main', config)
            await curio.sleep(0.3)
        versions = {running.node.view.version for running in deployment.nodes}
        assert versions == {5}

    # Written before the nodes have chosen the feeders.
    run_scenario(scenario, nodes=NODES, centres=1, settle=0)


def test_probes_of_an_unavailable_store_do_not_grow_with_nodes() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.fault = StoreFault.BUSY
        for kind in ('config', 'servers', 'deckdrum-members'):
            await deployment.store.write(kind, 'unreadable', {})
        # Wait until the delays between retries have grown.
        await curio.sleep(8.0)
        before = deployment.store.calls.total()
        await curio.sleep(10.0)
        # No more than eight nodes would make: one probe each per 0.4 to 1.2 s,
        # and reads of three kinds of record every 5 s.
        asked = deployment.store.calls.total() - before
        assert asked <= 8 * (10 / 0.8 + 3 * 2) * 1.25
        deployment.store.fault = StoreFault.NONE
        recovery_time = await deployment.wait_for(
            lambda: all(
                running.node.feed.is_synchronized
                for running in deployment.nodes
            )
        )
        assert recovery_time < 5.0

    run_scenario(
        scenario, nodes=24, centres=1, settle=SETTLE_TIME_S, max_connections=60
    )


def test_outage_costs_few_calls_and_starts_no_new_watches() -> None:
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
        assert (
            sum(node.feed.can_serve_followers for node in nodes) == MIN_FEEDERS
        )
        followers = len(nodes) - MIN_FEEDERS
        # The feeders probe; each follower checks twice whether it is served.
        assert deployment.store.calls.total() - before <= 40 + 2 * followers
        await deployment.store.write('config', 'main', build_config(9))
        elapsed = await deployment.wait_for(
            lambda: all(node.view.version == 9 for node in nodes),
        )
        assert elapsed < 0.2

    run_scenario(
        scenario, nodes=24, centres=1, settle=SETTLE_TIME_S, max_connections=60
    )


def test_start_of_many_nodes_costs_few_calls_per_node() -> None:
    async def scenario(deployment: Deployment) -> None:
        nodes = len(deployment.nodes)
        # Four lists, a registration and the first watches of each node; further
        # watches of the feeders.
        max_calls = 8 * nodes + 20 * MIN_FEEDERS
        assert deployment.store.calls.total() <= max_calls

    run_scenario(
        scenario, nodes=24, centres=1, settle=SETTLE_TIME_S, max_connections=60
    )


def test_corrupt_configuration_of_a_peer_is_not_applied() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        received = StateUpdates(b'no zlib', {})
        await node.peers.apply_updates(received, node.settings.peer_address)
        assert node.view.version == 1

    run_scenario(scenario)
