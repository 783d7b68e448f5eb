"""Placing connections among nodes, borrowing them, and handing work over.

What callers must see is the same with and without the hand-over.
"""

from collections import Counter

import curio
import pytest

from deckdrum.fleet.policies import exclude_policies
from deckdrum.load.placement import (
    MAX_CONNECTIONS_PER_NODE,
    RESERVED_CONNECTIONS,
    allocate_connections,
)
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    SERVICE,
    Deployment,
    Reply,
    play,
)

CENTRES = ('a', 'b', 'c')


def build_nodes(count: int) -> dict[str, str]:
    """Return nodes spread over three data centres."""
    return {f'n{number}': CENTRES[number % 3] for number in range(count)}


@pytest.mark.parametrize('count', [1, 2, 9, 12, 30, 71, 300])
@pytest.mark.parametrize('limit', [3, 12, 23, 53, 283])
def test_deal_keeps_the_reserve(count: int, limit: int) -> None:
    deal = allocate_connections('i-1', build_nodes(count), limit)
    used = sum(deal.holders.values())
    assert used <= max(1, limit - RESERVED_CONNECTIONS)
    assert min(deal.holders.values()) >= 1
    # The connections of former lives may linger beside those of the next,
    # unless one for each node takes more than half.
    goes_round_once = set(deal.holders.values()) == {1} and used == count
    assert used <= max(1, limit // 2) or goes_round_once


def test_every_node_holds_where_there_is_enough() -> None:
    deal = allocate_connections('i-1', build_nodes(9), 38)
    assert len(deal.holders) == 9
    assert min(deal.holders.values()) == 2
    plenty = allocate_connections('i-1', build_nodes(2), 100)
    assert set(plenty.holders.values()) == {MAX_CONNECTIONS_PER_NODE}


@pytest.mark.parametrize('count', [2, 5, 7, 9, 12])
def test_what_does_not_go_round_goes_to_the_nearest_nodes(count: int) -> None:
    nodes = build_nodes(count)
    limit = 2 * (count + 2)
    deal = allocate_connections('i-1', nodes, limit, data_centre='b')
    assert sum(deal.holders.values()) == count + 2
    most = max(deal.holders.values())
    near = [name for name, centre in nodes.items() if centre == 'b']
    favoured = [name for name, held in deal.holders.items() if held == most]
    assert set(near) <= set(favoured) or set(favoured) <= set(near)


def test_few_holders_are_spread_over_the_data_centres() -> None:
    nodes = build_nodes(71)
    deal = allocate_connections('i-1', nodes, 53)
    per_centre = Counter(nodes[name] for name in deal.holders)
    assert set(per_centre) == set(CENTRES)
    assert max(per_centre.values()) - min(per_centre.values()) <= 1


def test_servers_have_different_holders() -> None:
    nodes = build_nodes(71)
    first = allocate_connections('i-1', nodes, 53).holders
    second = allocate_connections('i-2', nodes, 53).holders
    assert set(first) != set(second)


def test_one_node_that_goes_changes_one_holder() -> None:
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
    play(scenario, nodes=12, max_connections=9, policies=policies)


def test_transaction_on_a_borrowed_connection_is_kept() -> None:
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
        play(scenario, nodes=12, max_connections=9, policies=policies)


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

    play(scenario)


def test_no_connection_stays_lent_when_the_servers_were_full() -> None:
    async def scenario(deployment: Deployment) -> None:
        for running in deployment.nodes:
            for handle in running.node.services[SERVICE].servers.values():
                await handle.pool.close_idle()
        # As when connections of nodes that lost power linger.
        deployment.group.max_connections = 4
        async with curio.TaskGroup() as callers:
            for number in range(9):
                for database in (CURRENT, BOUNDED):
                    await callers.spawn(
                        _ask_often, deployment, database, number
                    )
        deployment.group.max_connections = 23
        await curio.sleep(1)
        for running in deployment.nodes:
            assert not running.node.lent
            for handle in running.node.services[SERVICE].servers.values():
                assert not handle.pool.queue.held

    play(scenario, nodes=9, work=0.02)


def test_busy_lenders_do_not_drive_others_to_connect_themselves() -> None:
    async def scenario(deployment: Deployment) -> None:
        async with curio.TaskGroup() as callers:
            for number in range(12):
                for database in (CURRENT, BOUNDED, CURRENT):
                    await callers.spawn(
                        _ask_often, deployment, database, number
                    )
        refused = sum(
            server.load.refused_connections
            for server in deployment.group.servers.values()
        )
        assert refused == 0

    for left_out in ('hedged-reads', 'forwarding'):
        policies = exclude_policies([left_out])
        play(
            scenario,
            nodes=12,
            max_connections=9,
            work=0.05,
            policies=policies,
        )


def test_resting_transactions_do_not_keep_others_from_borrowing() -> None:
    async def scenario(deployment: Deployment) -> None:
        primary = deployment.group.primary
        holders = [
            number
            for number, running in enumerate(deployment.nodes)
            if running.node.services[SERVICE].servers[primary.name].is_holder
        ]
        # All connections but one rest in transactions, and so does the one
        # that the last node would have lent itself.
        resting = []
        for number in holders:
            client = await deployment.connect(CURRENT, node=number)
            await client.ask('BEGIN')
            await client.ask('WRITE a 1')
            resting.append(client)
        waiting = await curio.spawn(_write_at, deployment, holders[0])
        await curio.sleep(0.6)
        await resting[-1].ask('ROLLBACK')
        began = await curio.clock()
        assert (await waiting.join()).is_done
        assert await curio.clock() - began < 0.6

    for left_out in ('hedged-reads', 'forwarding'):
        policies = exclude_policies([left_out])
        play(
            scenario,
            nodes=12,
            max_connections=9,
            settle=2.5,
            policies=policies,
        )


async def _write_at(deployment: Deployment, number: int) -> Reply:
    client = await deployment.connect(CURRENT, node=number)
    return await client.ask('WRITE b 1')


def test_deals_of_two_servers_reach_different_nodes() -> None:
    nodes = build_nodes(71)
    held = [
        set(allocate_connections(server, nodes, 53).holders)
        for server in ('i-1', 'i-2')
    ]
    # As many as the two deals can reach, but for a fifth.
    most = min(len(nodes), len(held[0]) + len(held[1]))
    assert len(held[0] | held[1]) >= 0.8 * most


async def _ask_often(
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
