"""Servers that restart under the same id with an empty log.

Such a server reports the first term and an empty log, so what nodes know about
its earlier incarnation is wrong.  It must not become primary before it has the
complete log.
"""

import curio
import pytest

from deckdrum.leadership.context import PrimaryChangeReport
from deckdrum.leadership.primary_change import PrimaryChanger
from deckdrum.standins.users import DatabaseServer
from deckdrum.testing.nodes import (
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    run_scenario,
)
from deckdrum.testing.objectives import WRITE_GAP_MAX_S, WRITE_GAP_P99_S

ROLES = ('primary', 'replica')


def _list_replicas(deployment: Deployment) -> list[DatabaseServer]:
    return [
        server
        for server in deployment.group.servers.values()
        if server.role == 'replica'
    ]


@pytest.mark.parametrize('role', ROLES)
@pytest.mark.parametrize('nodes', [3, 9])
def test_primary_that_restarts_empty_is_replaced(
    role: str,
    nodes: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        done = 0
        for _ in range(5):
            done += (await client.ask('WRITE a 1')).is_done
        await curio.sleep(0.2)
        old = deployment.group.primary
        await old.restart_empty(role)
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_P99_S
        leader = deployment.group.primary
        assert leader is not old
        # No write to the empty log was acknowledged, and no write was lost.
        assert len(leader.log) == done + 1

    run_scenario(scenario, nodes=nodes)


@pytest.mark.parametrize('role', ROLES)
def test_nodes_that_start_later_detect_the_restart(role: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        await deployment.stop_nodes()
        old = deployment.group.primary
        await old.restart_empty(role)
        await deployment.start_nodes()
        client = await deployment.connect(CURRENT)
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_P99_S
        assert len(deployment.group.primary.log) == 2

    run_scenario(scenario)


def test_replica_that_restarts_empty_is_not_promoted() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        for _ in range(5):
            await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        empty, complete = _list_replicas(deployment)
        empty.is_replication_blocked = True
        await empty.restart_empty()
        await complete.crash()
        await curio.sleep(0.2)
        await deployment.group.primary.crash()
        for _ in range(40):
            assert not (await client.ask('WRITE a 1')).is_done
            await curio.sleep(0.1)
        assert not deployment.group.promotions
        await complete.start()
        assert await client.write_until_done(WRITE_GAP_MAX_S) < WRITE_GAP_MAX_S
        assert deployment.group.promotions[0][0] == complete.name

    run_scenario(scenario)


def test_group_whose_servers_all_restart_empty_refuses_statements() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        for server in list(deployment.group.servers.values()):
            await server.restart_empty()
        for _ in range(30):
            refused = await client.ask('WRITE a 1')
            assert not refused.is_done
            assert refused.end == 'ERROR'
            await curio.sleep(0.1)
        assert not deployment.group.promotions

    run_scenario(scenario)


def test_session_does_not_read_an_empty_log() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        await client.ask('WRITE a 1')
        await curio.sleep(0.2)
        for server in _list_replicas(deployment):
            server.is_replication_blocked = True
            await server.restart_empty()
        for _ in range(20):
            found = await client.ask('READ a')
            assert found.rows in ([], ['a-1'])
            await curio.sleep(0.05)

    run_scenario(scenario)


def test_connections_of_an_earlier_incarnation_are_not_used() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        await client.ask('PREPARE s READ q')
        await client.ask('EXECUTE s a')
        server = _list_replicas(deployment)[0]
        before = [
            running.node.services[SERVICE].servers[server.name]
            for running in deployment.nodes
        ]
        await server.restart_empty()
        await deployment.wait_for(
            lambda: all(
                running.node.services[SERVICE].servers[server.name] is not old
                for running, old in zip(deployment.nodes, before, strict=True)
            ),
        )
        assert not any(handle.pool.idle for handle in before)
        assert (await client.ask('EXECUTE s a')).is_done

    run_scenario(scenario)


def test_restarted_server_keeps_its_connection_allocation() -> None:
    async def scenario(deployment: Deployment) -> None:
        server = _list_replicas(deployment)[0]
        runtimes = [
            running.node.services[SERVICE] for running in deployment.nodes
        ]
        handles = [runtime.servers[server.name] for runtime in runtimes]
        before = [
            (handle.is_holder, handle.pool.queue.slots) for handle in handles
        ]
        await server.restart_empty()
        await deployment.wait_for(
            lambda: (
                not any(
                    runtime.servers[server.name] in handles
                    for runtime in runtimes
                )
            ),
        )
        await curio.sleep(0.1)
        handles = [runtime.servers[server.name] for runtime in runtimes]
        assert before == [
            (handle.is_holder, handle.pool.queue.slots) for handle in handles
        ]

    run_scenario(scenario, nodes=30, max_connections=12)


def test_change_without_a_candidate_does_not_demote_the_primary() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        former = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not former:
                server.is_replication_blocked = True
                await server.restart_empty()
        await curio.sleep(1)
        node = deployment.nodes[0].node
        change = PrimaryChanger(node.services[SERVICE], node.tools)
        report = PrimaryChangeReport(SERVICE, former.name, 'test', False)
        assert not await change.run(report)
        assert former.role == 'primary'

    run_scenario(scenario)
