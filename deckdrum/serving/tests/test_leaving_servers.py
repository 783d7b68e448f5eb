"""Statements must not reach a draining server after its drain time.

Guards against nodes that use a draining primary for as long as it answers
because no other server has been promoted.
"""

import curio
import pytest

from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    Deployment,
    run_scenario,
)
from deckdrum.testing.objectives import DRAIN_TIME_S, WRITE_GAP_P99_S

#: Duration of the callers' requests.
REQUESTS_DURATION_S = 12.0
#: Upper bound for the time until a request is refused.
MAX_REFUSAL_TIME_S = 0.1


async def _repeat_request(
    client: LineClient, text: str, seconds: float
) -> None:
    ends_at = await curio.clock() + seconds
    while await curio.clock() < ends_at:
        await client.ask(text)
        await curio.sleep(0.05)


async def _list_late_servers(
    deployment: Deployment,
    seconds: float,
) -> list[str]:
    """Return the servers that run statements after the drain time."""
    kinds = (
        (CURRENT, 'WRITE a 1'),
        (BOUNDED, 'READ a'),
        (OWN_WRITES, 'READ a'),
    )
    callers = [
        (await deployment.connect(database, node), text)
        for node in range(len(deployment.nodes))
        for database, text in kinds
    ]
    async with curio.TaskGroup() as asking:
        for client, text in callers:
            await asking.spawn(_repeat_request, client, text, seconds)
        await curio.sleep(DRAIN_TIME_S)
        ran_before = len(deployment.group.executed_statements)
    return [
        ran.server for ran in deployment.group.executed_statements[ran_before:]
    ]


@pytest.mark.parametrize('nodes', [3, 9])
def test_draining_primary_without_successor_gets_no_statements(
    nodes: int,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        draining = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not draining:
                await server.crash()
        await draining.drain()
        late = await _list_late_servers(deployment, REQUESTS_DURATION_S)
        assert draining.name not in late

    run_scenario(scenario, nodes=nodes)


def test_group_that_drains_entirely_gets_no_statements() -> None:
    async def scenario(deployment: Deployment) -> None:
        for server in deployment.group.servers.values():
            await server.drain()
        assert not await _list_late_servers(deployment, REQUESTS_DURATION_S)

    run_scenario(scenario)


def test_statement_for_drained_servers_is_refused_immediately() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        for server in deployment.group.servers.values():
            await server.drain()
        await curio.sleep(DRAIN_TIME_S)
        began = await curio.clock()
        refused = await client.ask('WRITE a 1')
        assert not refused.is_done
        assert await curio.clock() - began < MAX_REFUSAL_TIME_S

    run_scenario(scenario)


def test_republished_entry_does_not_extend_drain_time() -> None:
    async def scenario(deployment: Deployment) -> None:
        draining = deployment.group.primary
        for server in deployment.group.servers.values():
            if server is not draining:
                await server.crash()
        await draining.drain()
        await curio.sleep(1)
        await deployment.store.delete('servers', draining.name)
        # Longer than nodes keep a server that is no longer listed.
        await curio.sleep(5.5)
        await draining.publish()
        await curio.sleep(0.5)
        client = await deployment.connect(CURRENT)
        ran_before = len(deployment.group.executed_statements)
        await _repeat_request(client, 'WRITE a 1', 3)
        assert len(deployment.group.executed_statements) == ran_before

    run_scenario(scenario)


def test_draining_primary_is_replaced_without_peer_consent() -> None:
    """Nodes cannot reach each other, so no planned change is agreed."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        for running in deployment.nodes:
            running.node.peers.answer_request = None
        await deployment.group.primary.drain()
        await curio.sleep(DRAIN_TIME_S)
        assert await client.write_until_done() < WRITE_GAP_P99_S

    run_scenario(scenario)
