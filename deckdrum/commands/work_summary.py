"""What became of the work of groups and workspaces, from nodes' figures.

A node tells what it has counted since its start every few seconds.  So the
figures of a node that ended without a word lack its last seconds.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from deckdrum.commands.explaining import LogLine

_STARTED: Final = 'node.started'
_WORK: Final = 'work.figures'
_CONNECTIONS: Final = 'connection.figures'
_PLACES: Final = 3


@dataclass(frozen=True, slots=True)
class WorkSummary:
    """Statements of one workspace to one group.

    Attributes
    ----------
    service, workspace : str
        The group and the workspace; without workspaces the latter is empty.
    asked : int
        Statements that callers have asked for, without what nodes answer by
        themselves.
    outcomes : mapping of str to int
        What became of them; adds up to `asked`.
    """

    service: str
    workspace: str
    asked: int
    outcomes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ConnectionSummary:
    """Connections to the servers of one group.

    Attributes
    ----------
    service : str
        The group.
    reused, opened, closed_for_room : int
        Found open; opened; closed for one of another workspace.
    reused_share : float
        Part of all that were found open.
    """

    service: str
    reused: int
    opened: int
    closed_for_room: int
    reused_share: float


def summarize_work(ordered: Iterable[LogLine]) -> tuple[WorkSummary, ...]:
    """Return what became of statements, the most asked for first."""
    outcomes: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for line in _find_last_per_run(ordered, _WORK):
        for key, number in line.fields['work'].items():
            group, owner, outcome = key.split('/')
            outcomes[group, owner][outcome] += number
    works = [
        WorkSummary(service, workspace, counted.total(), dict(counted))
        for (service, workspace), counted in outcomes.items()
    ]
    return tuple(sorted(works, key=lambda work: -work.asked))


def summarize_connections(
    ordered: Iterable[LogLine],
) -> tuple[ConnectionSummary, ...]:
    """Return what became of connections, by group."""
    totals: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for line in _find_last_per_run(ordered, _CONNECTIONS):
        for group, figures in line.fields['connections'].items():
            totals[group].update(figures)
    return tuple(
        _build_connection_summary(service, total)
        for service, total in sorted(totals.items())
    )


def describe_work(work: WorkSummary) -> str:
    """Return a line for a person.

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
    whose = work.workspace or '(nobody)'
    summed = ' + '.join(parts)
    return f'work: {work.service} {whose}: {work.asked} asked = {summed}'


def describe_connections(connections: ConnectionSummary) -> str:
    """Return a line for a person.

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


def _find_last_per_run(ordered: Iterable[LogLine], event: str) -> list[LogLine]:
    """Return the last line of an event in each life of each node."""
    latest: dict[tuple[str, int], LogLine] = {}
    lives: Counter[str] = Counter()
    for line in ordered:
        if line.event == _STARTED:
            lives[line.source] += 1
        if line.event == event:
            latest[line.source, lives[line.source]] = line
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
        round(reused / used, _PLACES) if used else float(0),
    )
