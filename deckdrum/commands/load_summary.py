"""Load of classes, servers and nodes, from the figures in logs.

Cumulative figures are exact, except for the last seconds of killed nodes.
Figures of a moment are read by each node at most every 5 s; sums over nodes are
therefore of different moments, and shorter peaks are missed.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from deckdrum.commands.explaining import LogLine
from deckdrum.commands.work_summary import STARTED_EVENT, find_last_per_run

_LOAD_EVENT: Final = 'load.figures'
_STOPPED_EVENT: Final = 'node.stopped'
_DECIMALS: Final = 3


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Statements of a class, that is, of one priority, to a service.

    Attributes
    ----------
    service, priority : str
        The class; the priority is ``any`` for figures that are not counted by
        priority.
    outcomes : mapping of str to int
        Number of callers' statements by outcome.
    rejected : mapping of str to int
        Number of statements that nodes rejected, by place.  A statement that
        is tried again may be rejected several times.
    most_waiting : mapping of str to int
        Largest number of waiting statements over all nodes, by place.
    """

    service: str
    priority: str
    outcomes: Mapping[str, int]
    rejected: Mapping[str, int]
    most_waiting: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Statements in flight at a server, over all nodes.

    Attributes
    ----------
    service, server : str
        The server.
    slots : int
        Statements that it runs concurrently; 0 if unknown.
    most_in_flight : int
        Largest number of statements in flight.
    most_connections : int
        Largest number of connections in use, including idle transactions.
    """

    service: str
    server: str
    slots: int
    most_in_flight: int
    most_connections: int


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Statements that a node ran.

    Attributes
    ----------
    node : str
        Name of the node.
    capacity : float
        Published capacity of its machine in cores; 0 if unknown.
    ran : int
        Number of statements that it ran on servers.
    share : float
        The same as a fraction of those of all nodes.
    """

    node: str
    capacity: float
    ran: int
    share: float


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load by class, server and node."""

    classes: tuple[ClassLoad, ...] = ()
    servers: tuple[ServerLoad, ...] = ()
    nodes: tuple[NodeLoad, ...] = ()


def summarize_load(ordered: Iterable[LogLine]) -> LoadSummary:
    """Return the load from log lines in order of time."""
    lines = list(ordered)
    last_lines = find_last_per_run(lines, _LOAD_EVENT)
    return LoadSummary(
        _summarize_classes(lines, last_lines),
        _summarize_servers(lines),
        _summarize_nodes(last_lines),
    )


def describe_load(load: LoadSummary) -> list[str]:
    """Return the summary as readable lines.

    Examples
    --------
    >>> load = LoadSummary(
    ...     (ClassLoad('stalls', '0', {'done': 5}, {}, {'queue': 2}),),
    ...     (ServerLoad('stalls', 'i-1', 4, 5, 9),),
    ...     (NodeLoad('n1', 2.15, 5, 1.0),),
    ... )
    >>> for line in describe_load(load):
    ...     print(line)
    load: stalls priority 0: 5 done; rejected: none; most waiting: 2 queue
    load: server stalls i-1: 4 slots, at most 5 in flight, 9 connections
    load: node n1: capacity 2.15, 5 statements (1.0 of all)
    """
    classes = [
        f'load: {each.service} priority {each.priority}: '
        f'{_describe_counts(each.outcomes)}; '
        f'rejected: {_describe_counts(each.rejected)}; '
        f'most waiting: {_describe_counts(each.most_waiting)}'
        for each in load.classes
    ]
    servers = [
        f'load: server {each.service} {each.server}: '
        f'{each.slots or "unknown"} slots, '
        f'at most {each.most_in_flight} in flight, '
        f'{each.most_connections} connections'
        for each in load.servers
    ]
    nodes = [
        f'load: node {each.node}: capacity {each.capacity or "unknown"}, '
        f'{each.ran} statements ({each.share} of all)'
        for each in load.nodes
    ]
    return [*classes, *servers, *nodes]


def _summarize_classes(
    lines: Iterable[LogLine], last_lines: Iterable[LogLine]
) -> tuple[ClassLoad, ...]:
    outcomes = _sum_by_class(line.fields['outcomes'] for line in last_lines)
    rejected = _sum_by_class(line.fields['rejected'] for line in last_lines)
    waiting = _sum_by_class([_find_peaks(lines, 'waiting')])
    return tuple(
        ClassLoad(
            *key,
            dict(outcomes[key]),
            dict(rejected[key]),
            dict(waiting[key]),
        )
        for key in sorted({*outcomes, *rejected, *waiting})
    )


def _sum_by_class(
    described: Iterable[Mapping[str, int]],
) -> defaultdict[tuple[str, str], Counter[str]]:
    total: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for figures in described:
        for key, number in figures.items():
            service, priority, name = key.split('/')
            total[service, priority][name] += number
    return total


def _summarize_servers(lines: Iterable[LogLine]) -> tuple[ServerLoad, ...]:
    lines = list(lines)
    slots = {
        key: number
        for line in lines
        if line.event == _LOAD_EVENT
        for key, number in line.fields['servers'].items()
        if key.endswith('/slots')
    }
    peaks = _find_peaks(lines, 'servers')
    names = sorted(
        {tuple(key.split('/')[:2]) for key in (*peaks, *slots)},
    )
    return tuple(
        ServerLoad(
            service,
            server,
            slots.get(f'{service}/{server}/slots', 0),
            peaks[f'{service}/{server}/in_flight'],
            peaks[f'{service}/{server}/connections'],
        )
        for service, server in names
    )


def _summarize_nodes(last_lines: Iterable[LogLine]) -> tuple[NodeLoad, ...]:
    ran: Counter[str] = Counter()
    capacities: dict[str, Any] = {}
    for line in last_lines:
        ran[line.source] += line.fields['ran']
        capacities[line.source] = line.fields['capacity']
    total = ran.total()
    return tuple(
        NodeLoad(
            node,
            capacities[node],
            number,
            round(number / total, _DECIMALS) if total else float(0),
        )
        for node, number in ran.most_common()
    )


def _find_peaks(lines: Iterable[LogLine], section: str) -> Counter[str]:
    """Return the largest sums over the nodes' latest figures."""
    latest: dict[str, Counter[str]] = {}
    current: Counter[str] = Counter()
    peaks: Counter[str] = Counter()
    for line in lines:
        if line.event in {STARTED_EVENT, _STOPPED_EVENT}:
            current.subtract(latest.pop(line.source, Counter()))
        elif line.event == _LOAD_EVENT:
            current.subtract(latest.get(line.source, Counter()))
            latest[line.source] = Counter(line.fields[section])
            current.update(latest[line.source])
            peaks |= current
    return peaks


def _describe_counts(counts: Mapping[str, int]) -> str:
    parts = [f'{number} {name}' for name, number in sorted(counts.items())]
    return ' + '.join(parts) or 'none'
