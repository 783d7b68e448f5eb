"""Short soaks with real processes; nothing is asserted about how long."""

from pathlib import Path

import curio
import pytest

from deckdrum.soak import SoakPlan, run_soak

#: Seeds that CI plays.  A seed that ever failed stays here, with its cause.
SEEDS = (1,)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_are_kept_under_faults(seed: int, tmp_path: Path) -> None:
    plan = SoakPlan(seed=seed, seconds=6, nodes=4, callers=6)
    report = curio.run(run_soak, plan, tmp_path)
    assert not report.broken
    assert report.faults
    assert report.fates['done']
