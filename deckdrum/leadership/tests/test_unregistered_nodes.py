"""Nodes that serve before the store has taken their registration."""

import curio
import pytest

from deckdrum.node.registration import FORMER_CONSENT_S
from deckdrum.standins.users import StoreFault
from deckdrum.testing.line_client import LineClient
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import CURRENT, SERVICE


async def _add_turned_away(
    deployment: LinkedDeployment, fault: StoreFault, join: float = 0
) -> int:
    """Add a node that the store answers nothing; return its number."""
    number = len(deployment.nodes)
    deployment.store.turned_away[f'n{number}'] = fault
    seeds = tuple(
        running.node.settings.peer_address for running in deployment.nodes
    )
    added = await deployment.start_node(number, seeds)
    deployment.nodes.append(added)
    await deployment.wait_for(lambda: added.node.is_ready)
    await curio.sleep(join)
    return number


async def _ask_repeatedly(
    reader: LineClient, answers: list[tuple[float, str]]
) -> None:
    """Read without pauses; record when each read began, and its row."""
    while True:
        began = await curio.clock()
        reply = await reader.ask('READ a')
        answers.extend((began, row) for row in reply.rows)


@pytest.mark.parametrize('fault', [StoreFault.SILENT, StoreFault.BUSY])
@pytest.mark.parametrize('join', [0, 0.3, 0.6])
def test_node_without_registration_reads_at_no_replaced_primary(
    join: float, fault: StoreFault
) -> None:
    """It is not asked for its consent, and its proof was not waited for.

    It read at the former primary once its successor had acknowledged a write.
    """

    async def scenario(deployment: LinkedDeployment) -> None:
        former = deployment.group.primary
        added = await _add_turned_away(deployment, fault, join)
        writer = await deployment.connect(CURRENT, 0)
        reader = await deployment.connect(CURRENT, added)
        assert (await writer.ask('WRITE a 1')).is_done
        answers: list[tuple[float, str]] = []
        reading = await curio.spawn(_ask_repeatedly, reader, answers)
        await deployment.wait_for(lambda: bool(answers))
        former.is_replication_blocked = True
        await former.drain()
        await deployment.wait_for(lambda: bool(deployment.group.takeovers))
        writer = await deployment.connect(CURRENT, 0)
        await writer.write_until_done()
        acknowledged_at = await curio.clock()
        await curio.sleep(1)
        await reading.cancel()
        later = [row for began, row in answers if began > acknowledged_at]
        assert 'a-1' not in later
        assert later

    run_linked_scenario(scenario)


def test_node_without_registration_serves_through_others() -> None:
    """It may use no primary itself, and its callers need no other node."""

    async def scenario(deployment: LinkedDeployment) -> None:
        added = await _add_turned_away(deployment, StoreFault.SILENT)
        client = await deployment.connect(CURRENT, added)
        for _ in range(5):
            assert (await client.ask('WRITE a 1')).is_done
        runtime = deployment.nodes[added].node.services[SERVICE]
        assert not runtime.leadership_state.is_primary_usable(
            await curio.clock()
        )
        deployment.store.turned_away.clear()
        await deployment.wait_for(
            lambda: f'n{added}' in deployment.nodes[0].node.view.members
        )
        await curio.sleep(1)
        assert (await client.ask('WRITE a 1')).is_done
        assert runtime.leadership_state.is_primary_usable(await curio.clock())

    run_linked_scenario(scenario)


def test_restarted_node_without_the_store_serves_through_others() -> None:
    """It refused or delayed statements until its former entry counted."""

    async def scenario(deployment: LinkedDeployment) -> None:
        deployment.store.fault = StoreFault.SILENT
        await deployment.kill_node(2)
        started_at = await curio.clock()
        await deployment.restart_node(2)
        restarted = deployment.nodes[2].node
        await deployment.wait_for(lambda: restarted.is_ready)
        client = await deployment.connect(CURRENT, 2)
        assert (await client.ask('WRITE a 1')).is_done
        now = await curio.clock()
        assert now - started_at < FORMER_CONSENT_S
        state = restarted.services[SERVICE].leadership_state
        assert not state.is_primary_usable(now)
        await curio.sleep(FORMER_CONSENT_S)
        assert (await client.ask('WRITE a 1')).is_done
        assert state.is_primary_usable(await curio.clock())

    run_linked_scenario(scenario)
