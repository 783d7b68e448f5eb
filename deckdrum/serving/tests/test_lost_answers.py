"""Lost and late answers, tested with complete nodes in virtual time."""

import curio

from deckdrum.serving.retries import RETRY_BUDGET_CAPACITY
from deckdrum.testing.line_client import LineClient, Reply
from deckdrum.testing.nodes import (
    BOUNDED,
    CURRENT,
    SERVICE,
    Deployment,
    run_scenario,
)


async def connect_and_warm_up(
    deployment: Deployment,
    database: str = CURRENT,
) -> LineClient:
    """Open a session on a node that has estimated the response times."""
    client = await deployment.connect(database)
    for _ in range(12):
        await client.ask('READ a')
    return client


async def ask_during_other_reads(
    deployment: Deployment,
    client: LineClient,
    text: str,
) -> Reply:
    """Send a request while the primary answers another caller."""
    other = await deployment.connect(CURRENT)
    asking = await curio.spawn(client.ask, text)
    await curio.sleep(0.001)
    while not asking.terminated:
        assert (await other.ask('READ b')).is_done
        await curio.sleep(0.01)
    reply: Reply = await asking.join()
    return reply


def test_current_read_is_retried_after_lost_answer() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await connect_and_warm_up(deployment)
        deployment.group.primary.lost_answers = 1
        began = await curio.clock()
        reply = await ask_during_other_reads(deployment, client, 'READ a')
        assert reply.is_done
        assert await curio.clock() - began < 0.25

    run_scenario(scenario)


def test_write_with_lost_answer_times_out_early() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await connect_and_warm_up(deployment)
        deployment.group.primary.lost_answers = 1
        began = await curio.clock()
        reply = await ask_during_other_reads(deployment, client, 'WRITE a 1')
        assert reply.text.startswith('TIMEOUT')
        assert await curio.clock() - began < 0.6
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


def test_lost_answer_aborts_transaction_early() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await connect_and_warm_up(deployment)
        await client.ask('BEGIN')
        await client.ask('WRITE a 1')
        deployment.group.primary.lost_answers = 1
        began = await curio.clock()
        lost = await client.ask('READ a')
        assert lost.text.startswith('ABORTED')
        assert await curio.clock() - began < 0.4
        await client.ask('ROLLBACK')
        assert not deployment.group.primary.log

    run_scenario(scenario)


def test_read_is_hedged_soon_after_lost_answer() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await connect_and_warm_up(deployment, BOUNDED)
        for server in deployment.group.servers.values():
            if server is not deployment.group.primary:
                server.lost_answers = 1
        began = await curio.clock()
        assert (await client.ask('READ a')).is_done
        assert await curio.clock() - began < 0.2

    run_scenario(scenario)


def test_write_with_lost_answer_is_not_repeated() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        deployment.group.primary.lost_answers = 1
        reply = await client.ask('WRITE a 1')
        assert reply.text.startswith('TIMEOUT')
        assert len(deployment.group.primary.log) == 1

    run_scenario(scenario)


def test_read_with_lost_answer_is_answered_by_another_server() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        await client.ask('READ a')
        for server in deployment.group.servers.values():
            if server is not deployment.group.primary:
                server.lost_answers = 1
        began = await curio.clock()
        assert (await client.ask('READ a')).is_done
        assert await curio.clock() - began < 0.6

    run_scenario(scenario)


def test_slow_current_read_is_not_run_twice() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        assert (await client.ask('READ a')).is_done
        # Wait for a possible second run to finish.
        await curio.sleep(2)
        assert len(deployment.group.executed_statements) == 1

    run_scenario(scenario, statement_time=0.9)


def test_slow_current_reads_spend_no_retries() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        node = deployment.nodes[0].node
        executor = node.host.find_executor(SERVICE)
        assert executor is not None
        for _ in range(3):
            assert (await client.ask('READ a')).is_done
        assert executor._budget.try_spend()
        assert executor._budget._tokens == RETRY_BUDGET_CAPACITY - 1

    run_scenario(scenario, statement_time=1.5)
