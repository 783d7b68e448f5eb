"""Claims that several nodes may take over, or that their own driver does."""

from typing import Any

import curio
import pytest

from deckdrum.leadership.context import PrimaryChangeReport
from deckdrum.leadership.record_store import (
    CLAIM_TAKEOVER_DELAY_S,
    LeadershipRecordStore,
)
from deckdrum.store.records import Phase
from deckdrum.testing.nodes import (
    CURRENT,
    SERVICE,
    Deployment,
    RunningNode,
    run_scenario,
)

#: Time to take a claim over and to promote a server.
_TAKEOVER_S = CLAIM_TAKEOVER_DELAY_S + 3


async def _record(deployment: Deployment, **fields: Any) -> None:
    """Write the group's record: a claim of a dead node by default."""
    defaults = {
        'service': SERVICE,
        'term': 2,
        'primary': '',
        'phase': Phase.FENCING.value,
        'operation': 'of a dead node',
        'driver': 'n9',
        'former': deployment.group.primary.name,
    }
    await deployment.store.write(
        'deckdrum-leadership', SERVICE, defaults | fields
    )


def _read_record(deployment: Deployment) -> Any:
    return deployment.store.read('deckdrum-leadership', SERVICE)


@pytest.mark.parametrize('nodes', [3, 9])
def test_one_node_takes_a_dead_drivers_claim_over(nodes: int) -> None:
    """A second one must not take the first one's new claim over at once."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        # The dark primary holds up each node between decision and claim.
        deployment.group.primary.is_unresponsive = True
        await _record(deployment)
        await curio.sleep(_TAKEOVER_S)
        drivers = {driver for _, driver, _ in deployment.group.promotions}
        assert len(drivers) == 1

    run_scenario(scenario, nodes=nodes)


def test_claim_abandoned_meanwhile_is_not_taken_over() -> None:
    """The former primary leads again, and nothing is wrong with it."""

    async def scenario(deployment: Deployment) -> None:
        former = deployment.group.primary.name
        await _record(deployment)
        await curio.sleep(0.2)
        node = deployment.nodes[0].node
        decided = PrimaryChangeReport(
            SERVICE,
            former,
            'unfinished',
            is_planned=False,
            unfinished_operation='of a dead node',
        )
        await _record(deployment, term=1, primary=former, phase='settled')
        await curio.sleep(0.2)
        records = LeadershipRecordStore(node.services[SERVICE], node.tools)
        assert await records.claim(decided) is None

    run_scenario(scenario)


async def _kill_and_restart(deployment: Deployment, name: str) -> RunningNode:
    """End a node without its last steps, and start it under its name."""
    number = int(name[1:])
    running = deployment.nodes[number]
    await deployment.stop_node(running)
    restarted = await deployment.start_node(number)
    deployment.nodes[number] = restarted
    await deployment.wait_for(lambda: restarted.node.is_ready)
    return restarted


@pytest.mark.parametrize('is_cut_off', [False, True])
def test_restarted_driver_does_not_promote_a_second_server(
    is_cut_off: bool,
) -> None:
    """It takes its own claim over at once, and knows nothing of its order."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        await deployment.group.primary.crash()
        await curio.spawn(client.write_until_done, daemon=True)
        await deployment.wait_for(lambda: bool(deployment.group.promotions))
        server, driver, _ = deployment.group.promotions[0]
        if is_cut_off:
            await deployment.cut_off(int(driver[1:]), server)
        await _kill_and_restart(deployment, driver)
        await curio.sleep(_TAKEOVER_S)
        assert {each for each, _, _ in deployment.group.promotions} == {server}
        assert _read_record(deployment)['primary'] == server

    run_scenario(scenario)
