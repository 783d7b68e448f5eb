"""Replaced primaries that have not met their successor."""

import curio
import pytest

from deckdrum.standins.users import Connectivity
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.links import CutKind
from deckdrum.testing.nodes import CURRENT, SERVICE
from deckdrum.testing.replaced_primaries import Writer

#: Shorter than the time after which a primary follows one that it reaches.
_LED_S = 0.5

#: Time after which the nodes use the successor no more.
_NOTICED_S = 3.0


@pytest.mark.parametrize('synchronous', [0, 1])
def test_group_with_a_leftover_primary_replaces_its_successor(
    synchronous: int,
) -> None:
    """It could not be fenced, so too few replicas were, and nothing served."""

    async def scenario(deployment: LinkedDeployment) -> None:
        services = [
            {'name': SERVICE, 'maxConns': 23, 'syncReplicas': synchronous}
        ]
        await deployment.configure(2, services=services)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        former = deployment.group.primary
        for number, _ in enumerate(deployment.nodes):
            await deployment.cut_link(number, former.name, CutKind.RESET)
        await curio.spawn(client.ask, 'WRITE a 1', daemon=True)
        await deployment.wait_for(lambda: bool(deployment.group.takeovers))
        await curio.sleep(_LED_S)
        successor = deployment.group.primary
        await successor.crash()
        await deployment.store.delete('servers', successor.name)
        await curio.sleep(_NOTICED_S)
        for number, _ in enumerate(deployment.nodes):
            await deployment.heal_link(number, former.name)
        writer = await deployment.connect(CURRENT, 1)
        await writer.write_until_done(15)
        assert deployment.group.primary not in {former, successor}

    run_linked_scenario(scenario, synchronous_replicas=synchronous, lag=0.01)


@pytest.mark.parametrize('is_unlisted', [False, True])
@pytest.mark.parametrize('loss', ['crash', 'cut'])
@pytest.mark.parametrize('led_for', [0, 0.02, 0.5])
def test_group_replaces_a_successor_that_no_node_has_seen(
    led_for: float, loss: str, is_unlisted: bool
) -> None:
    """The former primary was never fenced for an unfinished claim.

    So too few servers were, though it was back, as a replica or as a primary of
    a term that had ended, and had all that the group needs.
    """

    async def scenario(deployment: LinkedDeployment) -> None:
        services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
        await deployment.configure(2, services=services)
        for number, _ in enumerate(deployment.nodes):
            await curio.spawn(Writer(deployment, number).run, daemon=True)
        await curio.sleep(_LED_S)
        former = deployment.group.primary
        if loss == 'crash':
            await former.crash()
        else:
            await _cut_off(deployment, former.name)
        await deployment.wait_for(lambda: bool(deployment.group.takeovers))
        successor = deployment.group.primary
        await _cut_off(deployment, successor.name)
        await curio.sleep(led_for)
        await successor.crash()
        if is_unlisted:
            await deployment.store.delete('servers', successor.name)
        await curio.sleep(_NOTICED_S)
        if loss == 'crash':
            await former.start()
        else:
            for number, _ in enumerate(deployment.nodes):
                await deployment.heal_link(number, former.name)
        writer = await deployment.connect(CURRENT, 1)
        await writer.write_until_done(15)
        assert deployment.group.primary is not successor

    run_linked_scenario(scenario, synchronous_replicas=1, lag=0.01)


@pytest.mark.parametrize('led_for', [0, 0.1])
def test_group_replaces_a_successor_if_no_node_had_seen_its_first_primary(
    led_for: float,
) -> None:
    """The claim named no former primary, which led on and was not fenced."""

    async def scenario(deployment: LinkedDeployment) -> None:
        services = [{'name': SERVICE, 'maxConns': 23, 'syncReplicas': 1}]
        await deployment.configure(2, services=services)
        former = deployment.group.primary
        for number, _ in enumerate(deployment.nodes):
            await deployment.kill_node(number)
        await deployment.store.delete('deckdrum-leadership', SERVICE)
        former.connectivity = Connectivity.CUT_OFF
        for number, _ in enumerate(deployment.nodes):
            await deployment.restart_node(number)
        group = deployment.group
        await deployment.wait_for(lambda: bool(group.promotions))
        successor = group.servers[group.promotions[0][0]]
        await _cut_off(deployment, successor.name)
        await deployment.wait_for(lambda: bool(group.takeovers))
        await curio.sleep(led_for)
        await successor.crash()
        await curio.sleep(_NOTICED_S)
        former.connectivity = Connectivity.OPEN
        writer = await deployment.connect(CURRENT, 1)
        await writer.write_until_done(15)
        assert deployment.group.primary is not successor

    run_linked_scenario(scenario, synchronous_replicas=1, lag=0.01)


async def _cut_off(deployment: LinkedDeployment, server: str) -> None:
    """Cut all nodes from a server."""
    for number, _ in enumerate(deployment.nodes):
        await deployment.cut_link(number, server, CutKind.RESET)
