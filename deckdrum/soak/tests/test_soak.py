"""Short soaks with real processes; nothing is asserted about how long."""

from pathlib import Path

import curio
import pytest

from deckdrum.soak import SoakPlan, run_soak

#: What CI plays.  A plan that ever failed stays here, with its cause.
PLANS = (
    SoakPlan(seed=1, seconds=6, nodes=4, callers=6),
    # Reloads that came while nodes were starting ended these.
    SoakPlan(seed=112, seconds=10),
)


@pytest.mark.parametrize('plan', PLANS)
def test_promises_are_kept_under_faults(plan: SoakPlan, tmp_path: Path) -> None:
    report = curio.run(run_soak, plan, tmp_path)
    assert not report.broken
    assert report.faults
    assert report.outcome_counts['done']
