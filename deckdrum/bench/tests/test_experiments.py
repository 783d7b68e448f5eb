"""Fast experiments meet their bounds and reproduce the baseline."""

import pytest

from deckdrum.bench import runner


@pytest.mark.parametrize('name', ['config-races', 'retry-storm'])
def test_bounds_and_baseline(name: str) -> None:
    figures = runner.run_experiment(name, seed=1)
    assert [each.name for each in figures if not each.is_met] == []
    baseline = runner.read_baseline()[name]
    assert runner.find_regressions(figures, baseline) == []
    # Figures are deterministic for a given seed.
    assert {each.name: each.measured for each in figures} == baseline
