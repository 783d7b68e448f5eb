"""Figures of a while from the logs of several nodes.

Lines of requests are bounded to ten a second a node for each event, so counts
are of what was logged; shares and gaps hold within what that leaves out.
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
from deckdrum.commands.work_summary import (
    ConnectionSummary,
    WorkSummary,
    describe_connections,
    describe_work,
    summarize_connections,
    summarize_work,
)

_PERCENT: Final = 100
_MEDIAN: Final = 50
_HIGH: Final = 99
_PLACES: Final = 3
_LOSS_EVENTS: Final = frozenset(('request.unserved', 'request.late'))
#: Names and numbers that differ from one loss to the next for one reason.
_VARIABLE_PARTS: Final = re.compile(r'[\w.-]*\d[\w.-]*')


@dataclass(frozen=True, slots=True)
class DurationSummary:
    """Median, 99th percentile and most of some times, in seconds."""

    count: int
    median: float
    high: float
    most: float


@dataclass(frozen=True, slots=True)
class Loss:
    """Operations that were not served, or late, for one reason.

    Attributes
    ----------
    service : str
        The group.
    reason : str
        What the callers were told; ``late`` if they were answered late.
    held : Spread
        How long they took, in seconds.
    """

    service: str
    reason: str
    held: DurationSummary


@dataclass(frozen=True, slots=True)
class Report:
    """What the logs of a while tell.

    Attributes
    ----------
    reads : mapping of str to int
        Reads that were answered, by the role of their server.
    replica_share : float or None
        Part of them that replicas answered; None without reads.
    failover : Spread or None
        Times from the last answered change of one term of a group to the
        first of a later one; None without changes of primary.
    starts : Spread or None
        Times from a node's start to its first answered statement.
    refusals : mapping of str to int
        Statements without success, by code.
    late : int
        Operations over their route's objective.
    answers_lost : int
        Tries that were given up because their answers are lost.
    losses : tuple of Loss
        Why operations were not served or late, the most frequent first.
    work : tuple of Work
        What became of the statements of each group and workspace.
    connections : tuple of Connections
        What became of the connections to each group.
    """

    reads: Mapping[str, int]
    replica_share: float | None
    failover: DurationSummary | None
    starts: DurationSummary | None
    refusals: Mapping[str, int]
    late: int
    answers_lost: int
    losses: tuple[Loss, ...]
    work: tuple[WorkSummary, ...]
    connections: tuple[ConnectionSummary, ...]


def summarize_lines(lines: Iterable[LogLine]) -> Report:
    """Return the figures of log lines, given in any order."""
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
        tuple(_find_losses(ordered)),
        summarize_work(ordered),
        summarize_connections(ordered),
    )


def summarize_durations(times: Sequence[float]) -> DurationSummary | None:
    """Return the spread of times in seconds; None of none.

    Examples
    --------
    >>> summarize_durations([0.5, 1.0, 4.0])
    Spread(count=3, median=1.0, high=4.0, most=4.0)
    """
    if not times:
        return None
    # One time alone has no quantiles: it stands for all of them.
    cuts = quantiles([*times, *times], n=_PERCENT, method='inclusive')
    return DurationSummary(
        len(times),
        round(cuts[_MEDIAN - 1], _PLACES),
        round(cuts[_HIGH - 1], _PLACES),
        round(max(times), _PLACES),
    )


def print_report(
    paths: Sequence[Path],
    as_json: bool,
    say: Callable[[str], None],
) -> bool:
    """Say the figures of logs; return whether they hold any."""
    report = summarize_lines(read_lines(paths))
    figures = asdict(report)
    if as_json:
        say(json.dumps(figures))
    else:
        for told_apart in ('losses', 'work', 'connections'):
            figures.pop(told_apart)
        for name, figure in figures.items():
            say(f'{name}: {"none" if figure is None else figure}')
        for loss in report.losses:
            say(describe_loss(loss))
        for work in report.work:
            say(describe_work(work))
        for connections in report.connections:
            say(describe_connections(connections))
    return bool(report.reads or report.refusals)


def describe_loss(loss: Loss) -> str:
    """Return a line for a person.

    Examples
    --------
    >>> describe_loss(Loss('stalls', 'late', DurationSummary(7, 0.3, 0.5, 0.6)))
    'lost: stalls 7 times in 0.3 s (99 %: 0.5, most: 0.6): late'
    """
    held = loss.held
    times = f'in {held.median} s (99 %: {held.high}, most: {held.most})'
    return f'lost: {loss.service} {held.count} times {times}: {loss.reason}'


def _find_losses(ordered: Iterable[LogLine]) -> list[Loss]:
    """Return why operations were lost, by group and reason."""
    times: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for line in ordered:
        if line.event not in _LOSS_EVENTS:
            continue
        outcome = str(line.fields.get('outcome', ''))
        is_late = line.event == 'request.late'
        reason = 'late' if is_late else _VARIABLE_PARTS.sub('..', outcome)
        service = str(line.fields.get('service', ''))
        times[service, reason].append(float(line.fields.get('seconds', 0)))
    losses = [
        Loss(service, reason, spread)
        for (service, reason), held in times.items()
        if (spread := summarize_durations(held)) is not None
    ]
    return sorted(losses, key=lambda loss: -loss.held.count)


def _find_write_gaps(served: Iterable[LogLine]) -> list[float]:
    """Return the times without answered changes around changes of primary.

    A group is told by the database name of its callers; one with several
    names counts once for each.
    """
    gaps = []
    latest: dict[str, tuple[int, datetime]] = {}
    for line in served:
        if line.fields['kind'] != 'change':
            continue
        group = str(line.fields['database'])
        term = int(line.fields['term'])
        former = latest.get(group)
        if former is not None and term < former[0]:
            # Logged late: the next term has begun to answer already.
            continue
        if former is not None and term > former[0]:
            gaps.append((line.time - former[1]).total_seconds())
        latest[group] = (term, line.time)
    return gaps


def _find_startup_times(ordered: Iterable[LogLine]) -> list[float]:
    """Return the times from nodes' starts to their first answers."""
    started: defaultdict[str, datetime | None] = defaultdict(lambda: None)
    times = []
    for line in ordered:
        if line.event == 'node.started':
            started[line.source] = line.time
        began = started[line.source]
        if line.event == 'request.served' and began is not None:
            times.append((line.time - began).total_seconds())
            started[line.source] = None
    return times
