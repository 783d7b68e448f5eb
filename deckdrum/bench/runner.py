"""Runs experiments and compares them with the committed baseline."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from deckdrum.bench.experiments import Experiment, Figure
from deckdrum.bench.experiments.base import format_figures
from deckdrum.bench.experiments.failover import FailoverGap
from deckdrum.bench.experiments.fair_share import FairShare
from deckdrum.bench.experiments.outages import ConfigRaces, StoreOutage
from deckdrum.bench.experiments.outcomes import Outcomes
from deckdrum.bench.experiments.replica_reads import ReplicaReads
from deckdrum.bench.experiments.retry_storm import RetryStorm
from deckdrum.bench.experiments.rolling import RollingReplacement
from deckdrum.utils.virtualtime import run_virtual

#: Allowed regression relative to the baseline.
TOLERANCE_FRACTION: Final = 0.25
#: Smaller absolute differences are ignored as rounding.
_MIN_DIFFERENCE: Final = 0.005
BASELINE_PATH: Final = Path(__file__).parent / 'baseline.json'
_REGISTERED: Final[tuple[Experiment, ...]] = (
    ReplicaReads(),
    FailoverGap(),
    FairShare(),
    StoreOutage(),
    RollingReplacement(),
    ConfigRaces(),
    RetryStorm(),
    Outcomes(),
)
EXPERIMENTS: Final[Mapping[str, Experiment]] = MappingProxyType(
    {each.name: each for each in _REGISTERED},
)


def run_experiment(name: str, seed: int) -> list[Figure]:
    """Run one experiment in virtual time."""
    experiment = EXPERIMENTS[name]
    return run_virtual(experiment.run, seed).figures


def describe(name: str, figures: list[Figure]) -> list[str]:
    """Return the human-readable table of an experiment."""
    return format_figures(f'{name}: {EXPERIMENTS[name].summary}', figures)


def encode(figures: Iterable[Figure]) -> list[dict[str, Any]]:
    """Return figures as JSON-serializable dictionaries."""
    return [asdict(each) | {'is_met': each.is_met} for each in figures]


def write_report(
    found: Mapping[str, Iterable[Figure]],
    path: Path,
) -> None:
    """Write the figures of all experiments as JSON."""
    encoded = {name: encode(figures) for name, figures in found.items()}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(encoded, indent=1))


def write_baseline(found: Mapping[str, Iterable[Figure]]) -> None:
    """Overwrite the committed baseline."""
    plain = {
        name: {each.name: each.measured for each in figures}
        for name, figures in found.items()
    }
    BASELINE_PATH.write_text(f'{json.dumps(plain, indent=1)}\n')


def read_baseline() -> dict[str, dict[str, float]]:
    """Return the baseline figures by experiment and figure name."""
    if not BASELINE_PATH.exists():
        return {}
    found: dict[str, dict[str, float]] = json.loads(BASELINE_PATH.read_text())
    return found


def find_regressions(
    figures: Iterable[Figure],
    baseline: Mapping[str, float],
) -> list[str]:
    """Return bounded figures that regressed beyond the tolerance.

    Examples
    --------
    >>> from deckdrum.bench.experiments.base import BoundKind
    >>> slower = Figure('gap', 2.0, 's', BoundKind.AT_MOST, 5)
    >>> find_regressions([slower], {'gap': 1.0})
    ['gap: 2, was 1']
    """
    found = []
    for each in figures:
        expected = baseline.get(each.name)
        if expected is None or each.side is None:
            continue
        difference = each.measured - expected
        if each.side.value == '>=':
            difference = -difference
        if difference > max(
            abs(expected) * TOLERANCE_FRACTION, _MIN_DIFFERENCE
        ):
            found.append(f'{each.name}: {each.measured:g}, was {expected:g}')
    return found
