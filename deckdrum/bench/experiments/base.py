"""Base class of experiments, and the figures they report."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from hdrh.histogram import HdrHistogram

_MAX_DURATION_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MICROSECONDS_PER_S: Final = 1_000_000


class BoundKind(StrEnum):
    """Whether a bound is an upper or a lower limit."""

    AT_MOST = '<='
    AT_LEAST = '>='


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure and its bound.

    `bound` limits `measured`, unless `side` is None.  `naive` is the value of a
    naive policy in the same run, for comparison.
    """

    name: str
    measured: float
    unit: str = ''
    side: BoundKind | None = None
    bound: float = 0
    naive: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the figure satisfies its bound."""
        if self.side is BoundKind.AT_MOST:
            return self.measured <= self.bound
        if self.side is BoundKind.AT_LEAST:
            return self.measured >= self.bound
        return True


@dataclass(slots=True)
class Findings:
    """Figures of one experiment, in report order."""

    figures: list[Figure] = field(default_factory=list)

    def record(
        self,
        name: str,
        measured: float,
        unit: str = '',
        naive: float | None = None,
    ) -> None:
        """Record a figure without a bound."""
        self.figures.append(Figure(name, measured, unit, naive=naive))

    def at_most(
        self,
        name: str,
        measured: float,
        bound: float,
        unit: str = '',
        naive: float | None = None,
    ) -> None:
        """Record a figure with an upper bound."""
        self.figures.append(
            Figure(name, measured, unit, BoundKind.AT_MOST, bound, naive),
        )

    def at_least(
        self,
        name: str,
        measured: float,
        bound: float,
        unit: str = '',
        naive: float | None = None,
    ) -> None:
        """Record a figure with a lower bound."""
        self.figures.append(
            Figure(name, measured, unit, BoundKind.AT_LEAST, bound, naive),
        )

    def extend(self, prefix: str, figures: Iterable[Figure]) -> None:
        """Add figures with a prefix before their names."""
        for each in figures:
            self.figures.append(
                Figure(
                    f'{prefix} {each.name}',
                    each.measured,
                    each.unit,
                    each.side,
                    each.bound,
                    each.naive,
                ),
            )


class DurationHistogram:
    """Histogram of durations in seconds.

    Examples
    --------
    >>> times = DurationHistogram()
    >>> for number in range(1, 101):
    ...     times.add(number / 1000)
    >>> round(times.percentile(50), 3)
    0.05
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def add(self, seconds: float) -> None:
        """Record a duration."""
        self._histogram.record_value(
            max(1, round(seconds * _MICROSECONDS_PER_S))
        )

    def merge(self, other: 'DurationHistogram') -> None:
        """Add the durations of `other`."""
        self._histogram.add(other._histogram)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        duration_us = self._histogram.get_value_at_percentile(percent)
        return float(duration_us) / _MICROSECONDS_PER_S

    def maximum(self) -> float:
        """Return the longest duration in seconds."""
        return float(self._histogram.get_max_value()) / _MICROSECONDS_PER_S


class Experiment(ABC):
    """An experiment that runs in virtual time."""

    #: Name on the command line.
    name: str
    #: One-line summary for the command line.
    summary: str

    @abstractmethod
    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""


def format_figures(name: str, figures: Sequence[Figure]) -> list[str]:
    """Return a table of figures, their bounds and naive values."""
    lines = [name]
    for each in figures:
        status = 'ok  ' if each.is_met else 'MISS'
        bound = f'{each.side.value} {each.bound:g}' if each.side else ''
        naive = '' if each.naive is None else f'naive {each.naive:g}'
        lines.append(
            f'  {status} {each.name:58} {each.measured:>10.4g} '
            f'{each.unit:6} {bound:10} {naive}'.rstrip(),
        )
    return lines
