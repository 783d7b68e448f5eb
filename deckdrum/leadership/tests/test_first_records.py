"""The record of a leader before any change, and what it is worth at a start."""

import curio

from deckdrum.testing.nodes import (
    SERVICE,
    Deployment,
    RunningNode,
    play,
)


def test_leader_is_recorded_before_any_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1)
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert record['primary'] == deployment.group.primary.name
        assert record['phase'] == 'settled'
        assert not deployment.group.promotions

    play(scenario)


async def _start_again(deployment: Deployment) -> RunningNode:
    """Let the last node lose power, and start it at another address."""
    lost = deployment.nodes.pop()
    for task in lost.node._tasks:
        await task.cancel(blocking=False)
    await lost.node.peers.close()
    await lost.frontend.close()
    started = await deployment.start_node(len(deployment.nodes))
    deployment.nodes.append(started)
    return started


def test_node_that_starts_again_asks_no_server_who_leads() -> None:
    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1)
        started = await _start_again(deployment)
        services = started.node.services
        seconds = await deployment.wait_for(
            lambda: (
                SERVICE in services
                and services[SERVICE].leadership_state.get_proof_expiry() > 0
            ),
        )
        assert seconds < 0.1
        leadership_state = services[SERVICE].leadership_state
        assert leadership_state.is_primary_usable(await curio.clock())
        assert not started.node.counters.events['status_questions']

    play(scenario)


def test_list_is_no_proof_to_a_node_that_was_not_registered() -> None:
    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1)
        started = await deployment.start_node(3)
        deployment.nodes.append(started)
        services = started.node.services
        await deployment.wait_for(
            lambda: (
                SERVICE in services
                and services[SERVICE].leadership_state.has_primary
            ),
        )
        await curio.sleep(0.5)
        assert not services[SERVICE].leadership_state.is_primary_usable(
            await curio.clock()
        )

    play(scenario)
