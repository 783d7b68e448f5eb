"""Outcomes of statements and connections, from the statistics in logs.

A node periodically logs its counters since its start.  The counts of a node
that was killed therefore lack the last seconds before its end.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from deckdrum.commands.explaining import LogLine

STARTED_EVENT: Final = 'node.started'
_WORK_EVENT: Final = 'work.figures'
_CONNECTIONS_EVENT: Final = 'connection.figures'
_DECIMALS: Final = 3


@dataclass(frozen=True, slots=True)
class WorkSummary:
    """Statements of a workspace to a service.

    Attributes
    ----------
    service, workspace : str
        Names of the service and the workspace; the latter may be empty.
    asked : int
        Number of statements of callers, without those that the node answers
        itself.
    outcomes : mapping of str to int
        Number of statements by outcome; their sum is `asked`.
    """

    service: str
    workspace: str
    asked: int
    outcomes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ConnectionSummary:
    """Connections to the servers of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    reused, opened, closed_for_room : int
        Number of connections that were reused, that were opened, and that were
        closed to make room for another workspace.
    reused_share : float
        Fraction of the uses for which an open connection was reused.
    """

    service: str
    reused: int
    opened: int
    closed_for_room: int
    reused_share: float


def summarize_work(ordered: Iterable[LogLine]) -> tuple[WorkSummary, ...]:
    """Return the statements by service and workspace, most frequent first."""
    outcomes: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for line in find_last_per_run(ordered, _WORK_EVENT):
        for key, number in line.fields['work'].items():
            group, owner, outcome = key.split('/')
            outcomes[group, owner][outcome] += number
    summaries = [
        WorkSummary(service, workspace, counted.total(), dict(counted))
        for (service, workspace), counted in outcomes.items()
    ]
    return tuple(sorted(summaries, key=lambda work: -work.asked))


def summarize_connections(
    ordered: Iterable[LogLine],
) -> tuple[ConnectionSummary, ...]:
    """Return the connections by service."""
    totals: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for line in find_last_per_run(ordered, _CONNECTIONS_EVENT):
        for group, figures in line.fields['connections'].items():
            totals[group].update(figures)
    return tuple(
        _build_connection_summary(service, total)
        for service, total in sorted(totals.items())
    )


def describe_work(work: WorkSummary) -> str:
    """Return the summary as one readable line.

    Examples
    --------
    >>> describe_work(
    ...     WorkSummary('stalls', 'growers', 7, {'done': 5, 'limit': 2})
    ... )
    'work: stalls growers: 7 asked = 5 done + 2 limit'
    """
    parts = [
        f'{number} {outcome}'
        for outcome, number in sorted(work.outcomes.items())
    ]
    workspace = work.workspace or '(nobody)'
    summed = ' + '.join(parts)
    return f'work: {work.service} {workspace}: {work.asked} asked = {summed}'


def describe_connections(connections: ConnectionSummary) -> str:
    """Return the summary as one readable line.

    Examples
    --------
    >>> describe_connections(ConnectionSummary('stalls', 9, 1, 0, 0.9))
    'connections: stalls: 0.9 found open (9), 1 opened, 0 closed for room'
    """
    return (
        f'connections: {connections.service}: {connections.reused_share} '
        f'found open ({connections.reused}), {connections.opened} opened, '
        f'{connections.closed_for_room} closed for room'
    )


def find_last_per_run(ordered: Iterable[LogLine], event: str) -> list[LogLine]:
    """Return the last line of an event for each incarnation of a node."""
    latest: dict[tuple[str, int], LogLine] = {}
    run_numbers: Counter[str] = Counter()
    for line in ordered:
        if line.event == STARTED_EVENT:
            run_numbers[line.source] += 1
        if line.event == event:
            latest[line.source, run_numbers[line.source]] = line
    return list(latest.values())


def _build_connection_summary(
    service: str,
    total: Mapping[str, Any],
) -> ConnectionSummary:
    reused = total['reused']
    opened = total['opened']
    used = reused + opened
    return ConnectionSummary(
        service,
        reused,
        opened,
        total['closed_for_room'],
        round(reused / used, _DECIMALS) if used else float(0),
    )
