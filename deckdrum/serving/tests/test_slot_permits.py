"""Slots of statements on every path, with complete nodes in virtual time."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from deckdrum.serving.slots import SlotGate
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    build_route,
    run_scenario,
)
from deckdrum.utils.virtualtime import run_virtual

#: Longer than the statement timeout of the routes.
SETTLE_TIME_S = 3.0
Path = Callable[[Deployment, LineClient], Awaitable[None]]


def list_gates(deployment: Deployment) -> list[SlotGate]:
    return [
        handle.gate
        for running in deployment.nodes
        for handle in running.node.services[SERVICE].servers.values()
    ]


async def activate(deployment: Deployment, timeout: int = 2000) -> None:
    """Make one route urgent, so that slots are bounded."""
    await deployment.configure(
        2,
        routes=[
            build_route(CURRENT, 'primary', priority=0, timeoutMs=timeout),
            build_route(BOUNDED, 'bounded', maxStalenessMs=1500),
            build_route(
                OWN_WRITES,
                'primary',
                name='less-urgent',
                timeoutMs=timeout,
            ),
        ],
    )
    await curio.sleep(0.5)
    assert all(gate.is_bounded for gate in list_gates(deployment))


async def answer(deployment: Deployment, client: LineClient) -> None:
    assert (await client.ask('READ a')).is_done
    assert (await client.ask('WRITE a 1')).is_done


async def reject(deployment: Deployment, client: LineClient) -> None:
    await client.ask('no statement')
    await deployment.group.primary.crash()
    assert not (await client.ask('WRITE a 1')).is_done


async def lose_answer(deployment: Deployment, client: LineClient) -> None:
    deployment.group.primary.lost_answers = 1
    assert not (await client.ask('WRITE a 1')).is_done


async def abandon_answer(deployment: Deployment, client: LineClient) -> None:
    for _ in range(12):
        await client.ask('READ a')
    deployment.group.primary.lost_answers = 1
    other = await deployment.connect(CURRENT, node=1)
    asking = await curio.spawn(client.ask, 'READ a')
    for _ in range(30):
        await other.ask('READ b')
        await curio.sleep(0.01)
    assert (await asking.join()).is_done


async def cancel(deployment: Deployment, client: LineClient) -> None:
    await client.ask('BEGIN')
    await client.send('QUERY 1 READ a')
    await client.close()
    for session_end in (0, 0.002, 0.004):
        other = await deployment.connect(CURRENT)
        await other.send('QUERY 2 READ a')
        await curio.sleep(session_end)
        await other.close()


async def commit(deployment: Deployment, client: LineClient) -> None:
    for line in ('BEGIN', 'READ a', 'WRITE a 1', 'COMMIT'):
        assert (await client.ask(line)).is_done


async def lose_commit(deployment: Deployment, client: LineClient) -> None:
    for line in ('BEGIN', 'READ a', 'WRITE a 1'):
        assert (await client.ask(line)).is_done
    deployment.group.primary.lost_answers = 1
    assert not (await client.ask('COMMIT')).is_done


@pytest.mark.parametrize(
    'path',
    [answer, reject, lose_answer, abandon_answer, cancel, commit, lose_commit],
)
def test_every_slot_is_released(path: Path) -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment)
        client = await deployment.connect(CURRENT)
        await path(deployment, client)
        await curio.sleep(SETTLE_TIME_S)
        gates = list_gates(deployment)
        assert {(gate.in_flight, gate.waiting) for gate in gates} == {(0, 0)}

    run_scenario(scenario)


async def occupy_primary(deployment: Deployment) -> SlotGate:
    """Use all slots of the first node at the primary, without end."""
    name = deployment.group.primary.name
    runtime = deployment.nodes[0].node.services[SERVICE]
    gate = runtime.servers[name].gate
    gate.compute_limit = lambda now: 0
    return gate


@pytest.mark.parametrize('in_transaction', [False, True])
def test_statement_without_slot_is_not_run(in_transaction: bool) -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment, timeout=600)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('READ a')).is_done
        if in_transaction:
            await client.ask('BEGIN')
            assert (await client.ask('WRITE a 1')).is_done
        gate = await occupy_primary(deployment)
        began = await curio.clock()
        reply = await client.ask('COMMIT' if in_transaction else 'WRITE a 1')
        assert 'has no slot free' in reply.text
        assert 'not run' in reply.text
        assert 'retry after 1000 ms' not in reply.text
        assert gate.rejected == {0: 1}
        assert await curio.clock() - began < 0.6
        await curio.sleep(1)
        assert not deployment.group.primary.log
        # The wait is no sign of a failure of the server.
        assert not deployment.group.promotions

    run_scenario(scenario)


def test_statement_of_an_open_transaction_goes_first() -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment)
        clients = [await deployment.connect(CURRENT) for _ in range(3)]
        for client in clients:
            await client.ask('BEGIN')
            assert (await client.ask('READ a')).is_done
        # The others have idle connections, so only statements wait.
        for client in clients[1:]:
            await client.ask('ROLLBACK')
        gate = await occupy_primary(deployment)
        asking = []
        for client in reversed(clients):
            asking.append(await curio.spawn(client.ask, 'READ a'))
            await curio.sleep(0.01)
        assert gate.waiting == 3
        gate.compute_limit = lambda now: 1
        await gate.admit_waiting()
        assert (await asking[-1].join()).is_done
        assert not any(task.terminated for task in asking[:-1])
        for task in asking[:-1]:
            assert (await task.join()).is_done

    run_scenario(scenario)


def test_statement_of_an_urgent_route_goes_first() -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment)
        clients = [
            await deployment.connect(database)
            for database in (OWN_WRITES, CURRENT)
        ]
        for client in clients:
            await client.ask('BEGIN')
            assert (await client.ask('READ a')).is_done
        for client in clients:
            await client.ask('ROLLBACK')
        gate = await occupy_primary(deployment)
        asking = []
        for client in clients:
            asking.append(await curio.spawn(client.ask, 'READ a'))
            await curio.sleep(0.01)
        gate.compute_limit = lambda now: 1
        await gate.admit_waiting()
        assert (await asking[1].join()).is_done
        assert not asking[0].terminated
        assert (await asking[0].join()).is_done

    run_scenario(scenario)


def test_opening_that_hangs_counts_as_a_failure_of_the_server() -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment, timeout=1000)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('READ a')).is_done
        await deployment.cut_off(0, deployment.group.primary.name)
        # It uses the only slot, and the statement must not just wait for it.
        assert (await client.ask('READ a')).is_done
        assert deployment.nodes[0].node.counters.events['detours_taken']

    run_scenario(scenario)


def test_opening_without_slot_is_no_failure_of_the_server() -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment)
        name = deployment.group.primary.name
        handle = deployment.nodes[0].node.services[SERVICE].servers[name]
        await handle.pool.close_idle()
        await occupy_primary(deployment)
        client = await deployment.connect(CURRENT)
        reply = await client.ask('READ a')
        assert 'no slot' in reply.text
        assert not handle.is_backing_off(await curio.clock())

    run_scenario(scenario)


def test_metrics_are_given_by_server() -> None:
    async def scenario(deployment: Deployment) -> None:
        await activate(deployment)
        name = deployment.group.primary.name
        labels = f'{{server="{name}",service="{SERVICE}"}}'
        metrics = deployment.nodes[0].node.counters.render().decode()
        assert f'deckdrum_node_server_slots{labels} 3.0' in metrics
        assert f'deckdrum_node_server_part{labels} 1.0' in metrics
        assert f'deckdrum_node_server_waiting{labels} 0.0' in metrics

    run_scenario(scenario)


def test_lost_answer_does_not_keep_a_slot() -> None:
    """Guards against a holder that one lost answer stops until its time-out."""

    async def scenario() -> None:
        gate = SlotGate()
        gate.compute_limit = lambda _: 1
        gate.compute_answer_timeout = lambda: 0.05
        lost = await gate.acquire(1, timeout=1)
        assert lost is not None
        assert await gate.acquire(1, timeout=0.05) is None
        assert await gate.acquire(1, timeout=0.08) is not None
        assert gate.in_flight == 1
        await gate.release(lost)
        assert gate.in_flight == 1

    run_virtual(scenario)
