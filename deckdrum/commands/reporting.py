"""Statistics from the logs of several nodes.

Each node logs at most ten lines per second for each request event.  Counts
therefore cover the logged requests only; fractions and gaps are estimates.
"""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from datetime import datetime
from pathlib import Path
from statistics import quantiles
from typing import Final

from deckdrum.commands.explaining import LogLine, read_lines
from deckdrum.commands.load_summary import (
    LoadSummary,
    describe_load,
    summarize_load,
)
from deckdrum.commands.work_summary import (
    ConnectionSummary,
    WorkSummary,
    describe_connections,
    describe_work,
    summarize_connections,
    summarize_work,
)

_QUANTILE_COUNT: Final = 100
_MEDIAN_PERCENTILE: Final = 50
_HIGH_PERCENTILE: Final = 99
_DECIMALS: Final = 3
_FAILURE_EVENTS: Final = frozenset(('request.unserved', 'request.late'))
#: Words with digits, such as ids, which vary between failures of one cause.
_VARIABLE_PARTS: Final = re.compile(r'[\w.-]*\d[\w.-]*')


@dataclass(frozen=True, slots=True)
class DurationSummary:
    """Count, median, 99th percentile and maximum of durations in seconds."""

    count: int
    median: float
    high: float
    most: float


@dataclass(frozen=True, slots=True)
class FailureSummary:
    """Operations of a service that failed or were late for one reason.

    Attributes
    ----------
    service : str
        Name of the service.
    reason : str
        The outcome sent to the callers, or ``late``.
    held : DurationSummary
        Durations of the operations, in seconds.
    """

    service: str
    reason: str
    held: DurationSummary


@dataclass(frozen=True, slots=True)
class Report:
    """Statistics from logs.

    Attributes
    ----------
    reads : mapping of str to int
        Number of answered reads by role of the server.
    replica_share : float or None
        Fraction of the reads answered by replicas; None without reads.
    failover : DurationSummary or None
        Times from the last answered write of a term to the first one of a later
        term; None without primary changes.
    starts : DurationSummary or None
        Times from a node's start to its first answered statement.
    refusals : mapping of str to int
        Number of refused statements by code.
    late : int
        Number of operations that exceeded the objective of their route.
    answers_lost : int
        Number of attempts abandoned because their answers were lost.
    losses : tuple of FailureSummary
        Failed and late operations by reason, the most frequent first.
    work : tuple of Work
        Statements by service and workspace.
    connections : tuple of Connections
        Connections by service.
    load : LoadSummary
        Load by class, server and node.
    """

    reads: Mapping[str, int]
    replica_share: float | None
    failover: DurationSummary | None
    starts: DurationSummary | None
    refusals: Mapping[str, int]
    late: int
    answers_lost: int
    losses: tuple[FailureSummary, ...]
    work: tuple[WorkSummary, ...]
    connections: tuple[ConnectionSummary, ...]
    load: LoadSummary


def summarize_lines(lines: Iterable[LogLine]) -> Report:
    """Return the statistics of log lines, given in any order."""
    ordered = sorted(lines, key=lambda line: line.time)
    events = Counter(line.event for line in ordered)
    served = [line for line in ordered if line.event == 'request.served']
    reads = Counter(
        str(line.fields['role'])
        for line in served
        if line.fields['kind'] == 'read'
    )
    refusals = Counter(
        str(line.fields['code'])
        for line in ordered
        if line.event == 'request.refused'
    )
    share = reads['replica'] / reads.total() if reads else None
    return Report(
        dict(reads),
        share,
        summarize_durations(_find_write_gaps(served)),
        summarize_durations(_find_startup_times(ordered)),
        dict(refusals),
        events['request.late'],
        events['answer.lost'],
        tuple(_summarize_failures(ordered)),
        summarize_work(ordered),
        summarize_connections(ordered),
        summarize_load(ordered),
    )


def summarize_durations(times: Sequence[float]) -> DurationSummary | None:
    """Return the summary of durations in seconds; None without any.

    Examples
    --------
    >>> summarize_durations([0.5, 1.0, 4.0])
    DurationSummary(count=3, median=1.0, high=4.0, most=4.0)
    """
    if not times:
        return None
    # Doubled, because `quantiles` needs at least two values.
    cuts = quantiles([*times, *times], n=_QUANTILE_COUNT, method='inclusive')
    return DurationSummary(
        len(times),
        round(cuts[_MEDIAN_PERCENTILE - 1], _DECIMALS),
        round(cuts[_HIGH_PERCENTILE - 1], _DECIMALS),
        round(max(times), _DECIMALS),
    )


def print_report(
    paths: Sequence[Path],
    as_json: bool,
    print_line: Callable[[str], None],
) -> bool:
    """Print the statistics of logs; return whether there were requests."""
    report = summarize_lines(read_lines(paths))
    figures = asdict(report)
    if as_json:
        print_line(json.dumps(figures))
    else:
        for section in ('losses', 'work', 'connections', 'load'):
            figures.pop(section)
        for name, figure in figures.items():
            print_line(f'{name}: {"none" if figure is None else figure}')
        for loss in report.losses:
            print_line(describe_failures(loss))
        for work in report.work:
            print_line(describe_work(work))
        for connections in report.connections:
            print_line(describe_connections(connections))
        for line in describe_load(report.load):
            print_line(line)
    return bool(report.reads or report.refusals)


def describe_failures(loss: FailureSummary) -> str:
    """Return the summary as one readable line.

    Examples
    --------
    >>> describe_failures(
    ...     FailureSummary('stalls', 'late', DurationSummary(7, 0.3, 0.5, 0.6))
    ... )
    'lost: stalls 7 times in 0.3 s (99 %: 0.5, most: 0.6): late'
    """
    held = loss.held
    times = f'in {held.median} s (99 %: {held.high}, most: {held.most})'
    return f'lost: {loss.service} {held.count} times {times}: {loss.reason}'


def _summarize_failures(ordered: Iterable[LogLine]) -> list[FailureSummary]:
    """Summarize failed and late operations by service and reason."""
    times: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for line in ordered:
        if line.event not in _FAILURE_EVENTS:
            continue
        outcome = str(line.fields.get('outcome', ''))
        is_late = line.event == 'request.late'
        reason = 'late' if is_late else _VARIABLE_PARTS.sub('..', outcome)
        service = str(line.fields.get('service', ''))
        times[service, reason].append(float(line.fields.get('seconds', 0)))
    losses = [
        FailureSummary(service, reason, durations)
        for (service, reason), held in times.items()
        if (durations := summarize_durations(held)) is not None
    ]
    return sorted(losses, key=lambda loss: -loss.held.count)


def _find_write_gaps(served: Iterable[LogLine]) -> list[float]:
    """Return the durations without answered writes at primary changes.

    Groups are identified by the database name of their callers; a group with
    several names is counted once for each.
    """
    gaps = []
    latest: dict[str, tuple[int, datetime]] = {}
    for line in served:
        if line.fields['kind'] != 'change':
            continue
        group = str(line.fields['database'])
        term = int(line.fields['term'])
        previous = latest.get(group)
        if previous is not None and term < previous[0]:
            # Logged after the first write of the next term.
            continue
        if previous is not None and term > previous[0]:
            gaps.append((line.time - previous[1]).total_seconds())
        latest[group] = (term, line.time)
    return gaps


def _find_startup_times(ordered: Iterable[LogLine]) -> list[float]:
    """Return the times from the start of a node to its first answer."""
    start_times: defaultdict[str, datetime | None] = defaultdict(lambda: None)
    times = []
    for line in ordered:
        if line.event == 'node.started':
            start_times[line.source] = line.time
        start_time = start_times[line.source]
        if line.event == 'request.served' and start_time is not None:
            times.append((line.time - start_time).total_seconds())
            start_times[line.source] = None
    return times
