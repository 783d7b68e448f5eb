"""Shutdown of a node while it works, in virtual time."""

from functools import partial

import curio
import pytest

from deckdrum.node.shutdown import READINESS_PROPAGATION_S, GracefulShutdown
from deckdrum.testing.line_client import LineClient, Reply
from deckdrum.testing.nodes import (
    CURRENT,
    Deployment,
    RunningNode,
    run_scenario,
)
from deckdrum.testing.slow_streams import SlowStream

GRACE_S = 6.0


async def _connect_slowly(
    deployment: Deployment, running: RunningNode, delay: float
) -> LineClient:
    """Open a session to which a node's answers take `delay` seconds."""
    client = await LineClient.connect(running.frontend.address, CURRENT)
    connection = next(iter(running.frontend._connections))
    connection._stream = SlowStream(connection._stream, delay)
    return client


async def _stop(running: RunningNode) -> float:
    """Shut a node down; return the seconds that this took."""
    began: float = await curio.clock()
    stop = GracefulShutdown(running.node, running.frontend)
    await stop.run(GRACE_S)
    ended: float = await curio.clock()
    return ended - began


async def _is_read_whole(delay: float, deployment: Deployment) -> bool:
    """Return whether an answer that takes `delay` seconds survives a stop."""
    running = deployment.nodes.pop(0)
    client = await _connect_slowly(deployment, running, delay)
    stopping = await curio.spawn(_stop, running)
    await curio.sleep(READINESS_PROPAGATION_S - 0.1)
    reply = await client.ask('READ a')
    assert await stopping.join() < GRACE_S
    await running.store.close()
    return reply.state == 'I'


@pytest.mark.parametrize('delay', [0.5, 1.6, 2.8])
def test_answer_that_is_being_sent_is_not_cut_as_idle(delay: float) -> None:
    """A session counted as idle once its statement had been run."""

    assert run_scenario(partial(_is_read_whole, delay))


def test_answer_that_leaves_until_the_kill_is_not_cut_before_it() -> None:
    """All connections were closed half a second before the kill."""

    assert run_scenario(partial(_is_read_whole, 3.55))


def test_node_uses_no_primary_once_it_has_removed_its_registration() -> None:
    """A change of the primary asks members only, and waits for no others.

    The node could read at the former primary, and acknowledge its writes.
    """

    async def scenario(deployment: Deployment) -> None:
        running = deployment.nodes.pop(0)
        client = await LineClient.connect(running.frontend.address, CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        await running.node.close()
        assert not (await client.ask('READ a')).is_done
        assert not (await client.ask('WRITE a 1')).is_done
        await running.frontend.close()
        await running.store.close()

    run_scenario(scenario)


async def _run_transaction(
    deployment: Deployment, running: RunningNode
) -> list[Reply]:
    """Read in a transaction without pauses until it ends."""
    client = await LineClient.connect(running.frontend.address, CURRENT)
    replies = [await client.ask('BEGIN')]
    while replies[-1].state == 'T':
        replies.append(await client.ask('READ a'))
    replies.append(await client.ask('ROLLBACK'))
    return replies


def test_transaction_without_pauses_ends_between_two_statements() -> None:
    """It was open at each poll, and was cut within a statement at the end."""

    async def scenario(deployment: Deployment) -> None:
        running = deployment.nodes.pop(0)
        stopping = await curio.spawn(_stop, running)
        began = await curio.clock()
        replies = await _run_transaction(deployment, running)
        assert all(reply.is_done for reply in replies[:-2])
        assert replies[-2].text.startswith('ABORTED')
        assert replies[-1].state == 'I'
        # Half of the grace period, and the statement in progress.
        assert 3 <= await curio.clock() - began < 3.6
        await stopping.join()
        await running.store.close()

    run_scenario(scenario, statement_time=0.25)
