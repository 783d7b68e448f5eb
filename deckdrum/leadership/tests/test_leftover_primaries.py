"""Replaced primaries that have not met their successor."""

import curio
import pytest

from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.links import CutKind
from deckdrum.testing.nodes import CURRENT, SERVICE

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
