"""The initial leadership record, and its use by nodes that start later."""

import curio

from deckdrum.testing.nodes import (
    SERVICE,
    Deployment,
    RunningNode,
    run_scenario,
)


def test_primary_is_recorded_before_any_change() -> None:
    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1)
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert record['primary'] == deployment.group.primary.name
        assert record['phase'] == 'settled'
        assert not deployment.group.promotions

    run_scenario(scenario)


async def _restart_last_node(deployment: Deployment) -> RunningNode:
    """Kill the last node and start it at another address."""
    killed = deployment.nodes.pop()
    for task in killed.node._tasks:
        await task.cancel(blocking=False)
    await killed.node.peers.close()
    await killed.frontend.close()
    started = await deployment.start_node(len(deployment.nodes))
    deployment.nodes.append(started)
    return started


def test_restarted_node_needs_no_status_request() -> None:
    async def scenario(deployment: Deployment) -> None:
        await curio.sleep(1)
        started = await _restart_last_node(deployment)
        services = started.node.services
        seconds = await deployment.wait_for(
            lambda: (
                SERVICE in services
                and services[SERVICE].leadership_state.get_proof_expiry() > 0
            ),
        )
        assert seconds < 0.1
        state = services[SERVICE].leadership_state
        assert state.is_primary_usable(await curio.clock())
        assert not started.node.counters.events['status_questions']

    run_scenario(scenario)


def test_record_is_no_proof_for_a_node_that_was_not_registered() -> None:
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

    run_scenario(scenario)
