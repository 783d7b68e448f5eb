"""Primary changes under overlapping faults: rules of writes, and recovery."""

import pytest

from deckdrum.testing.drawn_cases import (
    DrawnCase,
    draw_case,
    draw_losing_case,
    draw_membership_case,
    draw_refusing_case,
)
from deckdrum.testing.drawn_faults import DrawnScenario
from deckdrum.testing.fault_actions import DrawnFault
from deckdrum.testing.linked_nodes import LinkedDeployment, run_linked_scenario
from deckdrum.testing.membership_actions import LOSING_FAULT


def _play(case: DrawnCase) -> list[str]:
    async def scenario(deployment: LinkedDeployment) -> list[str]:
        return await DrawnScenario(deployment, case).play()

    found: list[str] = run_linked_scenario(
        scenario,
        case.nodes,
        synchronous_replicas=case.synchronous_replicas,
        lag=case.lag,
    )
    return found


@pytest.mark.parametrize('synchronous_replicas', [0, 1])
@pytest.mark.parametrize('silent_for', [1.0, 2.5, 3.5, 4.2, 4.6, 5.0, 6.0])
def test_successor_that_no_node_sees_at_first_blocks_no_later_claim(
    silent_for: float, synchronous_replicas: int
) -> None:
    """It leads a term that no node adopted, and accepts no fence."""
    silent = DrawnFault('hang successor', 0.1, silent_for, 0)
    case = DrawnCase(
        nodes=3,
        synchronous_replicas=synchronous_replicas,
        loss='silent',
        unanswered=0,
        promotion_time=0.3,
        is_checking_fences=True,
        faults=(silent,),
    )
    assert not _play(case)


def test_takeover_finds_a_second_successor_that_no_node_has_seen() -> None:
    """A lost server beside it hid that all others were fenced."""
    # Its entry stays.
    lost = DrawnFault(LOSING_FAULT, 0, 0.49, 3)
    unanswered = DrawnFault('lose answer', 0.35, 0, 0)
    case = DrawnCase(
        nodes=3,
        synchronous_replicas=1,
        loss='silent',
        unanswered=0,
        # Longer than a driver waits for the effect of an order without answer.
        promotion_time=1.0,
        is_checking_fences=False,
        faults=(lost, unanswered),
    )
    assert not _play(case)


@pytest.mark.parametrize(
    'seed',
    [1006, 1120, 3793, 3832, 3840, 3855, 8528, 4000, 4001, 4002, 4003],
)
def test_drawn_faults_violate_nothing(seed: int) -> None:
    assert not _play(draw_case(seed))


@pytest.mark.parametrize('seed', [9009, 9019, 9023, 9024, 9029])
def test_nodes_that_refuse_while_they_run_violate_nothing(seed: int) -> None:
    """A refusal counted as the end of a node, which read on."""
    assert not _play(draw_refusing_case(seed))


@pytest.mark.parametrize('seed', [1, 4, 5, 12, 21, 28, 134, 148])
def test_group_recovers_from_the_loss_of_a_successor(seed: int) -> None:
    """Former primaries were not fenced, so too few servers were."""
    assert not _play(draw_losing_case(seed))


@pytest.mark.parametrize('seed', [0, 1, 2, 81])
def test_nodes_that_restart_without_registration_violate_nothing(
    seed: int,
) -> None:
    """Nodes that nobody asked for their consent read at replaced primaries."""
    assert not _play(draw_membership_case(seed))
