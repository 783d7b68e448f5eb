"""Tests of statistics from the logs of nodes."""

import json
from pathlib import Path
from typing import Any

import pytest

from deckdrum.commands import control
from deckdrum.commands.explaining import read_lines
from deckdrum.commands.reporting import print_report, summarize_lines


def build_line(at: float, event: str, **fields: Any) -> str:
    """Return a log line of node n1."""
    time = f'2026-01-01 00:00:{at:06.3f}'.replace('.', ',')
    line = {'time': time, 'event': event, 'source': 'n1', **fields}
    return json.dumps(line)


def build_served(seconds: float, **fields: Any) -> str:
    """Return the line of a write answered by the primary of term 1."""
    defaults: dict[str, Any] = {
        'database': 'stalls',
        'kind': 'change',
        'role': 'primary',
        'term': 1,
    }
    return build_line(seconds, 'request.served', **(defaults | fields))


def write_log(folder: Path, *lines: str) -> Path:
    """Write lines after a line of another program."""
    path = folder / 'n1.log'
    path.write_text('\n'.join(('not ours', *lines)))
    return path


def test_reads_are_counted_by_server_role(tmp_path: Path) -> None:
    path = write_log(
        tmp_path,
        build_served(1, kind='read', role='replica'),
        build_served(2, kind='read', role='replica'),
        build_served(3, kind='read', role='replica'),
        build_served(4, kind='read'),
        build_served(5),
    )
    report = summarize_lines(read_lines([path]))
    assert report.reads == {'replica': 3, 'primary': 1}
    assert report.replica_share == 0.75


def test_write_gap_between_terms(tmp_path: Path) -> None:
    path = write_log(
        tmp_path,
        build_served(1),
        build_served(2),
        # Another group, whose primary does not change.
        build_served(2.5, database='payouts'),
        build_served(3.25, term=2),
        # Logged late by another node: not a second primary change.
        build_served(3.5),
        build_served(4, term=2),
    )
    failover = summarize_lines(read_lines([path])).failover
    assert failover is not None
    assert failover.count == 1
    assert failover.most == 1.25


def test_startup_ends_with_the_first_answer(tmp_path: Path) -> None:
    path = write_log(
        tmp_path,
        build_line(1, 'node.started'),
        build_served(1.5),
        build_served(2),
        build_line(10, 'node.started'),
        build_served(10.1),
    )
    starts = summarize_lines(read_lines([path])).starts
    assert starts is not None
    assert (starts.count, starts.most) == (2, 0.5)


def test_report_as_json(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = write_log(
        tmp_path,
        build_line(1, 'request.refused', code='DD002'),
        build_line(2, 'request.refused', code='DD002'),
        build_line(3, 'request.late'),
        build_line(4, 'answer.lost'),
    )
    assert control.main(['report', '--json', '--logs', str(path)]) == 0
    summarized = json.loads(capsys.readouterr().out)
    assert summarized['refusals'] == {'DD002': 2}
    assert (summarized['late'], summarized['answers_lost']) == (1, 1)
    assert summarized['failover'] is None


def test_logs_without_requests_fail(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = write_log(tmp_path, build_line(1, 'node.started'))
    assert control.main(['report', '--logs', str(path)]) != 0
    assert 'replica_share: none' in capsys.readouterr().out


def test_failures_are_grouped_by_service_and_reason(tmp_path: Path) -> None:
    def build_lost(at: float, outcome: str, service: str) -> str:
        fields = {'outcome': outcome, 'service': service, 'seconds': 0.4}
        return build_line(at, 'request.unserved', **fields)

    def build_late(at: float, service: str) -> str:
        fields = {'outcome': 'done', 'service': service, 'seconds': 0.3}
        return build_line(at, 'request.late', **fields)

    path = write_log(
        tmp_path,
        build_lost(1, 'not run: LAGGING i-7f3a', 'stalls'),
        build_lost(2, 'not run: LAGGING i-91c2', 'stalls'),
        build_lost(3, 'not run: LAGGING i-91c2', 'payouts'),
        build_late(4, 'stalls'),
    )
    losses = summarize_lines(read_lines([path])).losses
    summarized = [
        (each.service, each.reason, each.held.count) for each in losses
    ]
    assert summarized == [
        ('stalls', 'not run: LAGGING ..', 2),
        ('payouts', 'not run: LAGGING ..', 1),
        ('stalls', 'late', 1),
    ]
    printed: list[str] = []
    assert not print_report([path], as_json=False, print_line=printed.append)
    assert printed[-1].startswith('lost: stalls 1 times in 0.3 s')


def test_work_is_summed_over_incarnations(tmp_path: Path) -> None:
    path = write_log(
        tmp_path,
        build_line(1, 'node.started'),
        build_line(5, 'work.figures', work={'stalls/growers/done': 4}),
        build_line(
            10,
            'work.figures',
            work={'stalls/growers/done': 7, 'stalls/growers/limit': 2},
        ),
        build_line(11, 'node.started'),
        build_line(16, 'work.figures', work={'stalls/growers/done': 1}),
    )
    work = summarize_lines(read_lines([path])).work
    assert len(work) == 1
    assert (work[0].service, work[0].workspace) == ('stalls', 'growers')
    assert work[0].asked == 10
    assert work[0].outcomes == {'done': 8, 'limit': 2}


def test_connections_are_grouped_by_service(tmp_path: Path) -> None:
    figures = {'opened': 1, 'reused': 3, 'closed_for_room': 1}
    path = write_log(
        tmp_path,
        build_line(5, 'connection.figures', connections={'stalls': figures}),
    )
    connections = summarize_lines(read_lines([path])).connections
    assert connections[0].reused_share == 0.75
    assert connections[0].opened == 1


def build_load(at: float, source: str = 'n1', **figures: Any) -> str:
    """Return the line of a node's load."""
    defaults: dict[str, Any] = {
        'capacity': 0.5,
        'ran': 0,
        'outcomes': {},
        'rejected': {},
        'waiting': {},
        'servers': {},
    }
    fields = defaults | figures
    return build_line(at, 'load.figures', **fields | {'source': source})


def test_load_is_summed_over_incarnations_and_nodes(tmp_path: Path) -> None:
    """Guards against counting cumulative figures twice, or only once."""
    path = write_log(
        tmp_path,
        build_line(1, 'node.started'),
        build_load(5, ran=4, outcomes={'stalls/0/done': 4}),
        build_load(
            10,
            ran=6,
            outcomes={'stalls/0/done': 5, 'stalls/0/limit': 1},
            rejected={'stalls/any/queue': 2},
        ),
        build_line(11, 'node.started'),
        build_load(16, ran=1, outcomes={'stalls/0/done': 1}),
        build_load(16, 'n2', ran=3, capacity=2.15),
    )
    load = summarize_lines(read_lines([path])).load
    classes = {each.priority: each for each in load.classes}
    assert classes['0'].outcomes == {'done': 6, 'limit': 1}
    assert classes['any'].rejected == {'queue': 2}
    nodes = [
        (each.node, each.capacity, each.ran, each.share) for each in load.nodes
    ]
    assert nodes == [('n1', 0.5, 7, 0.7), ('n2', 2.15, 3, 0.3)]


def test_peaks_of_load_are_sums_of_nodes_that_run(tmp_path: Path) -> None:
    """Guards against figures of ended nodes that stay in the sum."""
    first = {'stalls/i-1/in_flight': 3, 'stalls/i-1/slots': 4}
    second = {'stalls/i-1/in_flight': 2, 'stalls/i-1/slots': 4}
    path = write_log(
        tmp_path,
        build_load(5, servers=first, waiting={'stalls/0/queue': 1}),
        build_load(6, 'n2', servers=second, waiting={'stalls/0/queue': 4}),
        build_line(7, 'node.stopped'),
        build_load(8, 'n3', servers=first),
    )
    load = summarize_lines(read_lines([path])).load
    assert load.classes[0].most_waiting == {'queue': 5}
    server = load.servers[0]
    assert (server.service, server.server) == ('stalls', 'i-1')
    assert (server.slots, server.most_in_flight) == (4, 5)
    assert server.most_connections == 0
