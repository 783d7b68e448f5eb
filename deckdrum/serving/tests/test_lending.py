"""Allocation and borrowing of connections, and forwarding of statements.

Callers must get the same results with and without forwarding.
"""

from collections import Counter

import curio
import pytest

from deckdrum.fleet.policies import exclude_policies
from deckdrum.load.allocation import (
    MAX_CONNECTIONS_PER_NODE,
    RESERVED_CONNECTIONS,
    allocate_connections,
)
from deckdrum.testing.line_client import Reply
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    SERVICE,
    Deployment,
    run_scenario,
)

CENTRES = ('a', 'b', 'c')


def build_nodes(count: int) -> dict[str, str]:
    """Return nodes distributed over three data centres."""
    return {f'n{number}': CENTRES[number % 3] for number in range(count)}


@pytest.mark.parametrize('count', [1, 2, 9, 12, 30, 71, 300])
@pytest.mark.parametrize('limit', [3, 12, 23, 53, 283])
def test_allocation_leaves_reserved_connections(count: int, limit: int) -> None:
    allocation = allocate_connections('i-1', build_nodes(count), limit)
    used = sum(allocation.holders.values())
    assert used <= max(1, limit - RESERVED_CONNECTIONS)
    assert min(allocation.holders.values()) >= 1
    # Half of the limit stays free for connections that previous incarnations
    # leave open, unless one connection per node takes more than half.
    is_one_per_node = set(allocation.holders.values()) == {1} and used == count
    assert used <= max(1, limit // 2) or is_one_per_node


def test_every_node_is_a_holder_if_connections_suffice() -> None:
    allocation = allocate_connections('i-1', build_nodes(9), 38)
    assert len(allocation.holders) == 9
    assert min(allocation.holders.values()) == 2
    plenty = allocate_connections('i-1', build_nodes(2), 100)
    assert set(plenty.holders.values()) == {MAX_CONNECTIONS_PER_NODE}


@pytest.mark.parametrize('count', [2, 5, 7, 9, 12])
def test_surplus_connections_go_to_nearest_nodes(count: int) -> None:
    nodes = build_nodes(count)
    limit = 2 * (count + 2)
    allocation = allocate_connections('i-1', nodes, limit, data_centre='b')
    assert sum(allocation.holders.values()) == count + 2
    most = max(allocation.holders.values())
    local_nodes = [name for name, centre in nodes.items() if centre == 'b']
    favoured_nodes = [
        name for name, held in allocation.holders.items() if held == most
    ]
    assert set(local_nodes) <= set(favoured_nodes) or set(
        favoured_nodes
    ) <= set(local_nodes)


def test_few_holders_are_spread_over_data_centres() -> None:
    nodes = build_nodes(71)
    allocation = allocate_connections('i-1', nodes, 53)
    per_centre = Counter(nodes[name] for name in allocation.holders)
    assert set(per_centre) == set(CENTRES)
    assert max(per_centre.values()) - min(per_centre.values()) <= 1


def test_servers_have_different_holders() -> None:
    nodes = build_nodes(71)
    first = allocate_connections('i-1', nodes, 53).holders
    second = allocate_connections('i-2', nodes, 53).holders
    assert set(first) != set(second)


def test_removing_a_node_changes_at_most_one_holder() -> None:
    nodes = build_nodes(71)
    before = allocate_connections('i-1', nodes, 53).holders
    nodes.pop(next(iter(before)))
    after = allocate_connections('i-1', nodes, 53).holders
    assert len(set(after) - set(before)) <= 1


@pytest.mark.parametrize(
    ('left_out', 'event'),
    [('hedged-reads', 'forwards_run'), ('forwarding', 'loans')],
)
def test_many_nodes_are_served_over_few_connections(
    left_out: str,
    event: str,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 12)
        await curio.sleep(1)
        done = 0
        for number in range(12):
            for database in (CURRENT, BOUNDED):
                client = await deployment.connect(database, node=number)
                done += (await client.ask('READ a')).is_done
                done += (await client.ask('READ a')).is_done
        assert done == 48
        most = max(
            server.connections for server in deployment.group.servers.values()
        )
        assert most <= 9
        used = sum(
            running.node.counters.events[event] for running in deployment.nodes
        )
        assert used > 0

    policies = exclude_policies([left_out])
    run_scenario(scenario, nodes=12, max_connections=9, policies=policies)


def test_transaction_on_borrowed_connection_is_committed() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        await deployment.wait_for(lambda: len(node.view.members) == 12)
        await curio.sleep(1)
        primary = deployment.group.primary
        borrower = next(
            number
            for number, running in enumerate(deployment.nodes)
            if not running.node.services[SERVICE]
            .servers[primary.name]
            .is_holder
        )
        client = await deployment.connect(CURRENT, node=borrower)
        await client.ask('PREPARE s1 WRITE q1')
        for _ in range(3):
            await client.ask('SET colour red')
            await client.ask('BEGIN')
            assert (await client.ask('EXECUTE s1 a x')).is_done
            assert (await client.ask('COMMIT')).is_done
        assert len(primary.log) == 3
        await client.ask('BEGIN')
        await client.ask('WRITE b 1')
        await client.close()
        await curio.sleep(0.3)
        other = await deployment.connect(CURRENT, node=borrower)
        assert (await other.ask('WRITE c 1')).is_done
        assert len(primary.log) == 4

    for left_out in ('hedged-reads', 'forwarding'):
        policies = exclude_policies([left_out])
        run_scenario(scenario, nodes=12, max_connections=9, policies=policies)


def test_node_that_gets_no_connection_borrows_one() -> None:
    async def scenario(deployment: Deployment) -> None:
        first = await deployment.connect(CURRENT, node=0)
        assert (await first.ask('WRITE a 1')).is_done
        primary = deployment.group.primary
        handle = (
            deployment.nodes[1].node.services[SERVICE].servers[primary.name]
        )
        await handle.pool.close_idle()
        deployment.group.max_connections = primary.connections
        second = await deployment.connect(CURRENT, node=1)
        assert (await second.ask('WRITE b 1')).is_done
        assert len(primary.log) == 2

    run_scenario(scenario)


def test_loans_end_after_connection_limit_was_reached() -> None:
    async def scenario(deployment: Deployment) -> None:
        for running in deployment.nodes:
            for handle in running.node.services[SERVICE].servers.values():
                await handle.pool.close_idle()
        # As if connections of nodes that lost power were still open.
        deployment.group.max_connections = 4
        async with curio.TaskGroup() as callers:
            for number in range(9):
                for database in (CURRENT, BOUNDED):
                    await callers.spawn(
                        _repeat_requests, deployment, database, number
                    )
        deployment.group.max_connections = 23
        await curio.sleep(1)
        for running in deployment.nodes:
            assert not running.node.lent_connections
            for handle in running.node.services[SERVICE].servers.values():
                assert not handle.pool.queue.held

    run_scenario(scenario, nodes=9, statement_time=0.02)


def test_busy_lenders_do_not_cause_direct_connections() -> None:
    async def scenario(deployment: Deployment) -> None:
        async with curio.TaskGroup() as callers:
            for number in range(12):
                for database in (CURRENT, BOUNDED, CURRENT):
                    await callers.spawn(
                        _repeat_requests, deployment, database, number
                    )
        refused = sum(
            server.load.refused_connections
            for server in deployment.group.servers.values()
        )
        assert refused == 0

    for left_out in ('hedged-reads', 'forwarding'):
        policies = exclude_policies([left_out])
        run_scenario(
            scenario,
            nodes=12,
            max_connections=9,
            statement_time=0.05,
            policies=policies,
        )


def test_idle_transactions_do_not_block_borrowing() -> None:
    async def scenario(deployment: Deployment) -> None:
        primary = deployment.group.primary
        holders = [
            number
            for number, running in enumerate(deployment.nodes)
            if running.node.services[SERVICE].servers[primary.name].is_holder
        ]
        # Idle transactions hold one connection of every holder.
        idle_clients = []
        for number in holders:
            client = await deployment.connect(CURRENT, node=number)
            await client.ask('BEGIN')
            await client.ask('WRITE a 1')
            idle_clients.append(client)
        waiting = await curio.spawn(_write_on_node, deployment, holders[0])
        await curio.sleep(0.6)
        await idle_clients[-1].ask('ROLLBACK')
        began = await curio.clock()
        assert (await waiting.join()).is_done
        assert await curio.clock() - began < 0.6

    for left_out in ('hedged-reads', 'forwarding'):
        policies = exclude_policies([left_out])
        run_scenario(
            scenario,
            nodes=12,
            max_connections=9,
            settle=2.5,
            policies=policies,
        )


async def _write_on_node(deployment: Deployment, number: int) -> Reply:
    client = await deployment.connect(CURRENT, node=number)
    return await client.ask('WRITE b 1')


def test_two_servers_are_allocated_to_different_nodes() -> None:
    nodes = build_nodes(71)
    held = [
        set(allocate_connections(server, nodes, 53).holders)
        for server in ('i-1', 'i-2')
    ]
    # At least 80 % of the nodes that two allocations can reach.
    most = min(len(nodes), len(held[0]) + len(held[1]))
    assert len(held[0] | held[1]) >= 0.8 * most


async def _repeat_requests(
    deployment: Deployment,
    database: str,
    number: int,
) -> None:
    client = await deployment.connect(database, node=number)
    for _ in range(10):
        await client.ask('READ a')
        await client.ask('BEGIN')
        await client.ask('READ a')
        await client.ask('COMMIT')
