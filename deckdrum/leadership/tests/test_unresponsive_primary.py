"""Handling of a primary that is slow, overloaded, cut off or unreachable."""

import curio

from deckdrum.testing.nodes import (
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    build_config,
    build_route,
    run_scenario,
)
from deckdrum.utils.ranks import compute_rendezvous_rank

#: Longest allowed gap between two acknowledged writes.
MAX_WRITE_GAP_S = 2.5


def test_overloaded_primary_is_not_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT)
        reader = await deployment.connect(OWN_WRITES)
        await writer.ask('WRITE a 1')
        deployment.group.primary.load.is_full = True
        for _ in range(30):
            await reader.ask('READ a')
            await writer.ask('WRITE a 2')
        await curio.sleep(1)
        assert not deployment.group.promotions
        assert _count(deployment, 'detours_taken') == 0

    run_scenario(scenario)


def test_slow_primary_is_neither_replaced_nor_reached_by_detours() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT, node=1)
        reader = await deployment.connect(OWN_WRITES)
        await writer.ask('WRITE a 1')
        deployment.group.primary.load.status_delay = 1.0
        for _ in range(60):
            assert (await writer.ask('WRITE a 2')).is_done
            assert (await reader.ask('READ a')).is_done
            await curio.sleep(0.05)
        assert not deployment.group.promotions
        assert _count(deployment, 'detours_taken') == 0

    run_scenario(scenario, statement_time=0.02)


def _count(deployment: Deployment, event: str) -> int:
    return sum(
        running.node.counters.events[event] for running in deployment.nodes
    )


def test_replicas_serve_reads_while_the_primary_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        writer = await deployment.connect(CURRENT)
        reader = await deployment.connect(OWN_WRITES)
        await writer.ask('WRITE a 1')
        await reader.ask('READ a')
        await curio.sleep(0.2)
        await deployment.group.primary.drain()
        longest: float = 0
        for _ in range(60):
            began = await curio.clock()
            assert (await reader.ask('READ a')).is_done
            longest = max(longest, await curio.clock() - began)
            await curio.sleep(0.02)
        assert deployment.group.promotions
        assert longest < 0.1

    run_scenario(scenario, promotion_time=0.6)


def test_unreachable_primary_with_few_connections_is_replaced() -> None:
    async def scenario(deployment: Deployment) -> None:
        clients = [
            await deployment.connect(CURRENT, node=number)
            for number in range(12)
        ]
        for client in clients:
            await client.ask('WRITE a 1')
        deployment.group.primary.is_unresponsive = True
        async with curio.TaskGroup() as writing:
            for client in clients:
                await writing.spawn(client.write_until_done)
        assert len(deployment.group.promotions) == 1
        longest = max(task.result for task in writing.tasks)
        assert longest < MAX_WRITE_GAP_S + 1

    run_scenario(scenario, nodes=12, max_connections=9, settle=2.5)


def test_statement_that_was_not_sent_is_retried_over_a_detour() -> None:
    async def scenario(deployment: Deployment) -> None:
        routes = [build_route(CURRENT, 'primary', timeoutMs=1000)]
        config = build_config(2, routes=routes)
        await deployment.store.write('config', 'main', config)
        await curio.sleep(0.5)
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await deployment.cut_off(0, deployment.group.primary.name)
        assert (await client.ask('WRITE a 2')).is_done
        assert _count(deployment, 'detours_taken') == 1

    run_scenario(scenario)


def test_unresponsive_nodes_do_not_delay_a_change() -> None:
    """The nodes that would act first do not answer."""

    async def scenario(deployment: Deployment) -> None:
        runtime = deployment.nodes[0].node.services[SERVICE]
        names = [running.node.settings.name for running in deployment.nodes]
        names.sort(key=lambda name: compute_rendezvous_rank(runtime.name, name))
        first = names[:6]
        client = await deployment.connect(
            CURRENT,
            node=int(names[-1].removeprefix('n')),
        )
        await client.ask('WRITE a 1')
        for running in deployment.nodes:
            if running.node.settings.name in first:
                running.node.peers.answer_request = _never_answer
        await deployment.group.primary.crash()
        assert await client.write_until_done() < 4.0

    run_scenario(scenario, nodes=9, max_connections=60)


async def _never_answer(_: object) -> None:
    await curio.sleep(60)
