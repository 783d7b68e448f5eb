"""The quick experiments keep their bounds and their baseline."""

import pytest

from deckdrum.bench import runner


@pytest.mark.parametrize('name', ['config-races', 'retry-storm'])
def test_bounds_and_baseline(name: str) -> None:
    figures = runner.run_experiment(name, seed=1)
    assert [each.name for each in figures if not each.is_met] == []
    baseline = runner.read_baseline()[name]
    assert runner.find_regressions(figures, baseline) == []
    # The same seed gives the same figures.
    assert {each.name: each.measured for each in figures} == baseline
