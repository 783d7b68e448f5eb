"""Claims of a term that other nodes use already."""

import math

import curio
import pytest

from deckdrum.leadership.promotion_client import PromotionRequest
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import SERVICE
from deckdrum.testing.replaced_primaries import (
    Writer,
    find_replaced_primary_writes,
)

_FORMER = f'i-{SERVICE}-1'
_PROMOTED = f'i-{SERVICE}-2'
_OTHER = f'i-{SERVICE}-3'
#: Longer than the takeover of an unfinished claim.
_OBSERVATION_TIME_S = 9.0


@pytest.mark.parametrize('number', [0, 1, 2])
def test_claim_of_a_term_in_use_does_not_replace_its_primary(
    number: int,
) -> None:
    """Nobody claimed the term: the platform's operators promoted a server."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        writers = [Writer(deployment, each) for each in range(3)]
        for writer in writers:
            await curio.spawn(writer.run, daemon=True)
        group.servers[_OTHER].is_replication_blocked = True
        await deployment.cut_link(number, _PROMOTED)
        await group.servers[_FORMER].crash()
        client = PlatformPromotionClient(group.promotion_address)
        request = PromotionRequest(SERVICE, _PROMOTED, 'n9', 1, math.inf)
        await client.promote(request, 1)
        await curio.sleep(_OBSERVATION_TIME_S)
        acknowledged: dict[str, float] = {}
        for writer in writers:
            acknowledged |= writer.acknowledged
        assert [each.server for each in group.takeovers] == [_PROMOTED]
        assert not find_replaced_primary_writes(group, acknowledged)

    run_linked_scenario(scenario)
