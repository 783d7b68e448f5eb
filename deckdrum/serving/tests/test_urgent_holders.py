"""Holders of a group with urgent routes, with whole nodes in virtual time."""

import curio

from deckdrum.testing.nodes import (
    CURRENT,
    SERVICE,
    Deployment,
    RunningNode,
    build_route,
    run_scenario,
)

NODES = 6
#: Every node is a holder of a group without urgent routes.
MAX_CONNECTIONS = 40
#: Longer than the nodes need to apply a configuration.
APPLY_TIME_S = 0.5


def list_holders(deployment: Deployment) -> list[RunningNode]:
    """Return the nodes that are holders."""
    return [
        running
        for running in deployment.nodes
        if running.node.services[SERVICE].allocator.is_holder
    ]


async def configure_priority(
    deployment: Deployment, version: int, priority: int
) -> None:
    """Give the only route a priority."""
    route = build_route(CURRENT, 'primary', priority=priority)
    await deployment.configure(version, routes=[route])
    await curio.sleep(APPLY_TIME_S)


def test_holders_follow_the_priority_of_routes() -> None:
    """Guards against an allocation that outlives a change of routes."""

    async def scenario(deployment: Deployment) -> None:
        assert len(list_holders(deployment)) == NODES
        await configure_priority(deployment, 2, 0)
        holders = list_holders(deployment)
        centres = {each.node.settings.data_centre for each in holders}
        assert len(holders) == len(centres) == 3
        # 20 of 40 connections are allocated to 3 holders.
        assert {
            handle.pool.queue.slots
            for holder in holders
            for handle in holder.node.services[SERVICE].servers.values()
        } == {6, 7}
        await configure_priority(deployment, 3, 1)
        assert len(list_holders(deployment)) == NODES

    run_scenario(scenario, nodes=NODES, max_connections=MAX_CONNECTIONS)


def test_urgent_statements_go_to_another_holder_if_one_stops() -> None:
    """Guards against an outage where a data centre loses its only holder."""

    async def scenario(deployment: Deployment) -> None:
        await configure_priority(deployment, 2, 0)
        holders = list_holders(deployment)
        caller = next(
            number
            for number, running in enumerate(deployment.nodes)
            if running not in holders
        )
        nearest = deployment.nodes[caller].node.services[SERVICE].allocator
        stopped = next(
            holder
            for holder in holders
            if holder.node.settings.name == nearest.others[0].name
        )
        client = await deployment.connect(CURRENT, caller)
        assert (await client.ask('WRITE a 1')).is_done
        await stopped.node.peers.close()
        for number in range(10):
            assert (await client.ask(f'WRITE a {number}')).is_done

    run_scenario(scenario, nodes=NODES, max_connections=MAX_CONNECTIONS)
