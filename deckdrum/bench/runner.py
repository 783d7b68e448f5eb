"""Running experiments and comparing them with the committed baseline."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from deckdrum.bench.experiments import Experiment, Figure
from deckdrum.bench.experiments.base import format_figures
from deckdrum.bench.experiments.failover import FailoverGap
from deckdrum.bench.experiments.outages import ConfigRaces, StoreOutage
from deckdrum.bench.experiments.outcomes import Outcomes
from deckdrum.bench.experiments.reads import ReplicaReads
from deckdrum.bench.experiments.rolling import RollingReplacement
from deckdrum.bench.experiments.shares import FairShare
from deckdrum.bench.experiments.storms import RetryStorm
from deckdrum.utils.virtualtime import run_virtual

#: How far a figure may be from the baseline, as a share of it.
TOLERANCE_FRACTION: Final = 0.25
#: Differences below this never count (rounding of tiny figures).
_LEAST: Final = 0.005
BASELINE_PATH: Final = Path(__file__).parent / 'baseline.json'
_ALL: Final[tuple[Experiment, ...]] = (
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
    {each.name: each for each in _ALL},
)


def run_experiment(name: str, seed: int) -> list[Figure]:
    """Run one experiment in virtual time."""
    experiment = EXPERIMENTS[name]
    return run_virtual(experiment.run, seed).figures


def describe(name: str, figures: list[Figure]) -> list[str]:
    """Return the lines that a person reads."""
    return format_figures(f'{name}: {EXPERIMENTS[name].summary}', figures)


def encode(figures: Iterable[Figure]) -> list[dict[str, Any]]:
    """Return figures as plain values for JSON."""
    return [asdict(each) | {'is_met': each.is_met} for each in figures]


def write_report(
    found: Mapping[str, Iterable[Figure]],
    path: Path,
) -> None:
    """Write figures as JSON."""
    encoded = {name: encode(figures) for name, figures in found.items()}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(encoded, indent=1))


def write_baseline(found: Mapping[str, Iterable[Figure]]) -> None:
    """Make figures the committed baseline."""
    plain = {
        name: {each.name: each.measured for each in figures}
        for name, figures in found.items()
    }
    BASELINE_PATH.write_text(f'{json.dumps(plain, indent=1)}\n')


def read_baseline() -> dict[str, dict[str, float]]:
    """Return the committed figures by experiment and name."""
    if not BASELINE_PATH.exists():
        return {}
    found: dict[str, dict[str, float]] = json.loads(BASELINE_PATH.read_text())
    return found


def find_regressions(
    figures: Iterable[Figure],
    baseline: Mapping[str, float],
) -> list[str]:
    """Return figures with a bound that got worse than the baseline allows.

    Examples
    --------
    >>> from deckdrum.bench.experiments.base import BoundKind
    >>> slower = Figure('gap', 2.0, 's', BoundKind.AT_MOST, 5)
    >>> find_regressions([slower], {'gap': 1.0})
    ['gap: 2, was 1']
    """
    found = []
    for each in figures:
        before = baseline.get(each.name)
        if before is None or each.side is None:
            continue
        worse = each.measured - before
        if each.side.value == '>=':
            worse = -worse
        if worse > max(abs(before) * TOLERANCE_FRACTION, _LEAST):
            found.append(f'{each.name}: {each.measured:g}, was {before:g}')
    return found
