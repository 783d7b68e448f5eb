"""Short soak tests with real processes."""

from pathlib import Path

import curio
import pytest

from deckdrum.soak import SoakPlan, run_soak

#: Plans that once failed stay here as regression tests.
PLANS = (
    SoakPlan(seed=1, seconds=6, nodes=4, callers=6),
    # SIGHUP during startup terminated nodes.
    SoakPlan(seed=112, seconds=10),
    SoakPlan(seed=2001, seconds=8, has_urgent_routes=True),
    # One claim promoted two servers, and a replaced primary's writes were
    # acknowledged.
    SoakPlan(seed=222, seconds=8, synchronous_replicas=0),
    SoakPlan(seed=7001, seconds=8, has_membership_faults=True),
    # A former primary that no node had seen could not be fenced.
    SoakPlan(seed=7104, seconds=15, has_membership_faults=True),
)


@pytest.mark.parametrize('plan', PLANS)
def test_guarantees_hold_under_faults(plan: SoakPlan, tmp_path: Path) -> None:
    report = curio.run(run_soak, plan, tmp_path)
    assert not report.violations
    assert report.faults
    assert report.outcome_counts['done']
