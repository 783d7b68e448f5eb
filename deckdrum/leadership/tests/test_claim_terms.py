"""Claims over a claim that was not finished, and whose server may lead."""

import math
from typing import Any

import curio

from deckdrum.leadership.promotion_client import PromotionRequest
from deckdrum.leadership.record_store import CLAIM_TAKEOVER_DELAY_S
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.standins.users import StoreFault
from deckdrum.store.records import Phase
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import CURRENT, SERVICE
from deckdrum.testing.replaced_primaries import (
    Writer,
    find_replaced_primary_writes,
)

_FORMER = f'i-{SERVICE}-1'
_PROMOTED = f'i-{SERVICE}-2'
_OTHER = f'i-{SERVICE}-3'
#: Time to take a claim over, and to end a term that a node may have proof of.
_TAKEOVER_S = CLAIM_TAKEOVER_DELAY_S + 5


def _build_claim(**fields: Any) -> dict[str, Any]:
    """Return the claim of term 2 by a node that is gone."""
    defaults = {
        'service': SERVICE,
        'term': 2,
        'primary': '',
        'phase': Phase.FENCING.value,
        'operation': 'of a dead node',
        'driver': 'n9',
        'former': _FORMER,
        'former_term': 1,
    }
    return defaults | fields


async def _isolate_user(deployment: LinkedDeployment) -> None:
    """Leave the last node only its links to the databases."""
    deployment.store.turned_away['n2'] = StoreFault.SILENT
    for other in (0, 1):
        await deployment.cut_link(other, _PROMOTED)
        await deployment.cut_node_link(2, other)


async def _promote_unseen(
    deployment: LinkedDeployment, *, is_former_down: bool = True
) -> None:
    """Let a dead driver's promotion take effect where one node sees it."""
    await deployment.store.write('deckdrum-leadership', SERVICE, _build_claim())
    await curio.sleep(0.1)
    if is_former_down:
        await deployment.group.servers[_FORMER].crash()
    # Fenced by the dead driver, and cut off from the log of the new primary.
    other = deployment.group.servers[_OTHER]
    other.fenced_term = 2
    other.is_replication_blocked = True
    await _isolate_user(deployment)
    client = PlatformPromotionClient(deployment.group.promotion_address)
    request = PromotionRequest(SERVICE, _PROMOTED, 'n9', 1, math.inf)
    await client.promote(request, 1)


def test_takeover_ends_the_term_that_an_unseen_promotion_began() -> None:
    """A node that uses its server must not get proof from its own fences."""

    async def scenario(deployment: LinkedDeployment) -> None:
        writer = Writer(deployment, 2)
        await curio.spawn(writer.run, daemon=True)
        await _promote_unseen(deployment)
        await curio.sleep(_TAKEOVER_S)
        group = deployment.group
        assert [each.server for each in group.takeovers] == [_PROMOTED, _OTHER]
        assert not find_replaced_primary_writes(group, writer.acknowledged)
        assert writer.acknowledged

    run_linked_scenario(scenario)


def test_takeover_of_a_claim_without_effect_gives_a_usable_primary() -> None:
    """The server leads an earlier term than two claims have announced."""

    async def scenario(deployment: LinkedDeployment) -> None:
        await deployment.store.write(
            'deckdrum-leadership', SERVICE, _build_claim(term=4)
        )
        await deployment.group.servers[_FORMER].crash()
        clients = [
            await deployment.connect(CURRENT, number) for number in range(3)
        ]
        await curio.sleep(_TAKEOVER_S)
        for client in clients:
            assert (await client.ask('WRITE a 1')).is_done
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert (record['phase'], record['term']) == (Phase.SETTLED.value, 2)

    run_linked_scenario(scenario)


def test_failed_takeover_does_not_resume_a_term_that_may_be_replaced() -> None:
    """Nodes would use the former primary beside the one that another sees."""

    async def scenario(deployment: LinkedDeployment) -> None:
        group = deployment.group
        group.servers[_FORMER].is_replication_blocked = True
        await group.servers[_OTHER].restart_empty()
        await _promote_unseen(deployment, is_former_down=False)
        await curio.sleep(_TAKEOVER_S)
        record = deployment.store.read('deckdrum-leadership', SERVICE)
        assert record['primary'] != _FORMER

    run_linked_scenario(scenario)
