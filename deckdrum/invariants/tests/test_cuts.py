"""Failovers whose driver does not see the effect of its orders."""

from itertools import product
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from deckdrum.failover.driver import FailoverDriver, FencedDatabase
from deckdrum.invariants.cuts import Cut, Direction, Loss, Step, run_cut
from deckdrum.store.view import VersionedRecord
from deckdrum.utils.virtualtime import run_virtual

#: Bound on the wait for a write, beyond the promotion itself.
MAX_DETECTION_S = 1.5
#: Longer than a driver waits for its candidate.
LONG_CUT_S = 4.0
STEPS = (Step.CLAIM, Step.FENCE, Step.PROMOTE)
#: Index of the database that the first driver promotes.
CANDIDATE = 1
#: Index of a proxy that is not the keeper.
STANDBY = 2
CUTS = st.builds(
    Cut,
    step=st.sampled_from(STEPS),
    direction=st.sampled_from(Direction),
    target=st.integers(0, 2),
    duration=st.sampled_from([0.3, 1.2, 2.6, 3.4, 5.0]),
    delay=st.sampled_from([0, 0.005, 0.011, 0.013, 0.015, 0.03]),
    loss=st.sampled_from(Loss),
    reaching=st.integers(0, 3),
    databases=st.sampled_from([3, 5]),
    promotion_time=st.sampled_from([0, 0, 0.6, 3.0]),
)


def make_cut(step: Step, direction: Direction, loss: Loss) -> Cut:
    """Return a cut between the driver and its candidate among five."""
    return Cut(step, direction, CANDIDATE, LONG_CUT_S, 0, loss, STANDBY, 5)


@pytest.mark.parametrize(
    ('step', 'direction', 'loss'), list(product(STEPS, Direction, Loss))
)
def test_unseen_order_loses_no_acknowledged_write(
    step: Step, direction: Direction, loss: Loss
) -> None:
    """The driver does not know whether its candidate leads, and goes on."""
    outcome = run_virtual(run_cut, make_cut(step, direction, loss))
    assert not outcome.violations
    assert outcome.claims


@settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(CUTS)
def test_drawn_cut_loses_no_acknowledged_write(cut: Cut) -> None:
    assert not run_virtual(run_cut, cut).violations


@pytest.mark.parametrize('promotion_time', [0.6, 4.0])
def test_slow_promotion_ends_the_outage(promotion_time: float) -> None:
    """A driver that gives up and fences again undoes it, without an end."""
    cut = Cut(
        Step.SETTLE, Direction.BOTH, 0, 0.1, promotion_time=promotion_time
    )
    outcome = run_virtual(run_cut, cut)
    assert not outcome.violations
    assert outcome.claims == 1
    assert outcome.gap < promotion_time + MAX_DETECTION_S


def order_another_server(patch: pytest.MonkeyPatch) -> None:
    """Disable: a claim promotes one database only."""
    promote = FailoverDriver._promote

    async def promote_any(
        driver: Any, candidate: FencedDatabase, claim: VersionedRecord
    ) -> VersionedRecord | None:
        promoted = await promote(driver, candidate, claim)
        if promoted is None:
            last = list(driver._databases.values())[-1]
            other = FencedDatabase(last, candidate.state)
            promoted = await promote(driver, other, claim)
        return promoted

    patch.setattr(FailoverDriver, '_promote', promote_any)


def test_second_order_under_a_claim_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The candidate may lead the term without an answer."""
    order_another_server(monkeypatch)
    cut = make_cut(Step.FENCE, Direction.ANSWERS, Loss.CRASH)
    violations = run_virtual(run_cut, cut).violations
    assert any('term 2 was led by' in each for each in violations)
