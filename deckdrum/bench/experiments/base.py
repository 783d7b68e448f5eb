"""What all experiments share."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from hdrh.histogram import HdrHistogram

_LONGEST_MICROSECONDS: Final = 600_000_000
_DIGITS: Final = 3
_MICROSECONDS: Final = 1_000_000


class BoundKind(StrEnum):
    """On which side of its bound a figure must lie."""

    AT_MOST = '<='
    AT_LEAST = '>='


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes
    ----------
    name, unit : str
        What it is.
    measured : float
        The product's figure.
    side : Side or None
        Side of the bound; None if there is no bound.
    bound : float
        The bound.
    naive : float or None
        The naive policy's figure, measured in the same run.
    """

    name: str
    measured: float
    unit: str = ''
    side: BoundKind | None = None
    bound: float = 0
    naive: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the figure keeps its bound."""
        if self.side is BoundKind.AT_MOST:
            return self.measured <= self.bound
        if self.side is BoundKind.AT_LEAST:
            return self.measured >= self.bound
        return True


@dataclass(slots=True)
class Findings:
    """The figures of one experiment, in order."""

    figures: list[Figure] = field(default_factory=list)

    def record(
        self,
        name: str,
        measured: float,
        unit: str = '',
        naive: float | None = None,
    ) -> None:
        """Note a figure without a bound."""
        self.figures.append(Figure(name, measured, unit, naive=naive))

    def at_most(
        self,
        name: str,
        measured: float,
        bound: float,
        unit: str = '',
        naive: float | None = None,
    ) -> None:
        """Note a figure that must not pass its bound."""
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
        """Note a figure that must reach its bound."""
        self.figures.append(
            Figure(name, measured, unit, BoundKind.AT_LEAST, bound, naive),
        )

    def extend(self, prefix: str, figures: Iterable[Figure]) -> None:
        """Take over figures under a prefix."""
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
    """A histogram of durations in seconds.

    Examples
    --------
    >>> times = DurationHistogram()
    >>> for number in range(1, 101):
    ...     times.add(number / 1000)
    >>> round(times.percentile(50), 3)
    0.05
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    def add(self, seconds: float) -> None:
        """Record a duration."""
        self._histogram.record_value(max(1, round(seconds * _MICROSECONDS)))

    def merge(self, other: 'DurationHistogram') -> None:
        """Take over the durations of `other`."""
        self._histogram.add(other._histogram)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        found = self._histogram.get_value_at_percentile(percent)
        return float(found) / _MICROSECONDS

    def longest(self) -> float:
        """Return the longest duration in seconds."""
        return float(self._histogram.get_max_value()) / _MICROSECONDS


class Experiment(ABC):
    """One experiment; run in a virtual kernel."""

    #: Name on the command line.
    name: str
    #: One line about it.
    summary: str

    @abstractmethod
    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""


def format_figures(name: str, figures: Sequence[Figure]) -> list[str]:
    """Return a table of figures beside their bounds and naive baselines."""
    lines = [name]
    for each in figures:
        mark = 'ok  ' if each.is_met else 'MISS'
        bound = f'{each.side.value} {each.bound:g}' if each.side else ''
        naive = '' if each.naive is None else f'naive {each.naive:g}'
        lines.append(
            f'  {mark} {each.name:58} {each.measured:>10.4g} '
            f'{each.unit:6} {bound:10} {naive}'.rstrip(),
        )
    return lines
