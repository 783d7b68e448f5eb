"""Promotions that take effect without their driver seeing it.

The driver loses its path to the server that it has ordered, or gets no answer.
If it then orders another server under the same claim, nobody ends the term that
the first one began: nodes that reach that server continue with valid proof.
"""

import curio
import pytest

from deckdrum.standins.users import StoreFault
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.nodes import CURRENT
from deckdrum.testing.objectives import WRITE_GAP_MAX_S
from deckdrum.testing.replaced_primaries import find_disordered_promotions
from deckdrum.testing.unseen_promotions import (
    SLOW_STORE_DELAY_S,
    ChangeOutcome,
    UnseenPromotion,
    UnseenPromotionScenario,
    draw_unseen_promotion,
)

_NODES = 3
#: Longer than two takeovers of an unfinished change.
_OBSERVATION_TIME_S = 12.0


def _play(case: UnseenPromotion) -> ChangeOutcome:
    async def scenario(deployment: LinkedDeployment) -> ChangeOutcome:
        return await UnseenPromotionScenario(deployment, case).play()

    outcome: ChangeOutcome = run_linked_scenario(scenario, _NODES)
    return outcome


async def _lose_primary_unseen(
    deployment: LinkedDeployment, *, unanswered: int = 0
) -> int:
    """Lose the primary and the driver's path to its successor.

    The first `unanswered` promotion calls get no answer.  Returns the number of
    the driver.
    """
    group = deployment.group
    client = await deployment.connect(CURRENT)
    await client.ask('WRITE a 1')
    group.unanswered_promotions = unanswered
    group.primary.is_unresponsive = True
    writing = await curio.spawn(client.write_until_done, WRITE_GAP_MAX_S)
    await deployment.wait_for(lambda: bool(group.promotions), WRITE_GAP_MAX_S)
    server, holder, _ = group.promotions[0]
    driver = int(holder.removeprefix('n'))
    await deployment.cut_link(driver, server)
    await deployment.wait_for(lambda: bool(group.takeovers))
    await writing.cancel()
    return driver


@pytest.mark.parametrize(
    'case',
    [
        UnseenPromotion(0.05, StoreFault.BUSY),
        UnseenPromotion(0.1, StoreFault.MANY),
        UnseenPromotion(0.15, StoreFault.RESET),
        UnseenPromotion(0.2, StoreFault.SILENT),
        UnseenPromotion(0.25, StoreFault.ANSWERS_LOST),
        UnseenPromotion(0.29, store_delay=SLOW_STORE_DELAY_S),
        UnseenPromotion(0.2, StoreFault.BUSY, turned_away=frozenset((1, 2))),
        UnseenPromotion(0.4, StoreFault.SILENT),
    ],
    ids=[
        '0.05-busy',
        '0.10-many',
        '0.15-reset',
        '0.20-silent',
        '0.25-answers-lost',
        '0.29-slow',
        '0.20-turned-away',
        '0.40-silent',
    ],
)
def test_unseen_successor_is_not_written_to_after_another(
    case: UnseenPromotion,
) -> None:
    assert not _play(case).violations


@pytest.mark.parametrize('seed', range(24))
def test_drawn_unseen_successor_is_not_written_to_after_another(
    seed: int,
) -> None:
    assert not _play(draw_unseen_promotion(seed, _NODES)).violations


@pytest.mark.parametrize('unanswered', [0, 1, 2])
def test_claim_orders_one_server_if_it_does_not_see_the_effect(
    unanswered: int,
) -> None:
    async def scenario(deployment: LinkedDeployment) -> None:
        await _lose_primary_unseen(deployment, unanswered=unanswered)
        await curio.sleep(_OBSERVATION_TIME_S)
        assert not find_disordered_promotions(deployment.group.promotions)

    run_linked_scenario(scenario, _NODES)


@pytest.mark.parametrize('unanswered', [0, 1, 2])
def test_successor_that_only_its_driver_cannot_reach_is_not_replaced(
    unanswered: int,
) -> None:
    """A second change loses what the healthy server acknowledged."""

    async def scenario(deployment: LinkedDeployment) -> None:
        driver = await _lose_primary_unseen(deployment, unanswered=unanswered)
        client = await deployment.connect(CURRENT, driver)
        await client.write_until_done(WRITE_GAP_MAX_S)
        await curio.sleep(_OBSERVATION_TIME_S)
        assert len(deployment.group.takeovers) == 1

    run_linked_scenario(scenario, _NODES)


def test_claim_orders_no_other_server_after_a_refused_repetition() -> None:
    """A refusal does not tell that the call before it had no effect."""

    async def scenario(deployment: LinkedDeployment) -> None:
        driver = await _lose_primary_unseen(deployment, unanswered=1)
        group = deployment.group
        # It leads for a moment before it crashes.
        await curio.sleep(0.2)
        await group.primary.crash()
        client = await deployment.connect(CURRENT, driver)
        await client.write_until_done(WRITE_GAP_MAX_S)
        assert not find_disordered_promotions(group.promotions)

    run_linked_scenario(scenario, _NODES)
