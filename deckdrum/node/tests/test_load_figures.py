"""Figures of a node's load in its log and its metrics."""

import io
import json
from pathlib import Path
from typing import Any

import curio

from deckdrum.commands.explaining import read_lines
from deckdrum.commands.reporting import summarize_lines
from deckdrum.node.load_figures import LoadFigures
from deckdrum.node.statistics_logger import STATISTICS_INTERVAL_S
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario

#: Statements of a transaction that outlasts an interval and is never idle for
#: long enough to be rolled back.
STATEMENTS = 6


def list_load_lines(log: io.StringIO) -> list[dict[str, Any]]:
    """Return the logged figures of load."""
    lines = [json.loads(line) for line in log.getvalue().splitlines()]
    return [line for line in lines if line['event'] == 'load.figures']


def add_gate_figures(figures: LoadFigures) -> None:
    """Add figures as a part that counts by priority does."""
    figures.waiting[SERVICE, '0', 'gate'] += 3
    figures.rejected[SERVICE, '2', 'gate'] += 5


def test_load_is_logged_when_it_changes_and_reported(tmp_path: Path) -> None:
    """Guards against parts of the load that operators do not see."""
    log = io.StringIO()

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        client = await deployment.connect(CURRENT)
        await client.write_until_done()
        # An open transaction holds a connection to the primary.
        await client.ask('BEGIN')
        for _ in range(STATEMENTS):
            await client.ask('WRITE a 1')
            await curio.sleep(STATISTICS_INTERVAL_S / (STATEMENTS - 1))
        connections = {
            key: number
            for key, number in list_load_lines(log)[-1]['servers'].items()
            if key.endswith('/connections')
        }
        assert sum(connections.values()) == 1
        assert (await client.ask('COMMIT')).is_done
        await curio.sleep(STATISTICS_INTERVAL_S)
        logged = len(list_load_lines(log))
        await curio.sleep(STATISTICS_INTERVAL_S * 3)
        assert len(list_load_lines(log)) == logged
        metrics = node.counters.render().decode()
        assert 'deckdrum_node_capacity' in metrics
        assert (
            f'deckdrum_node_outcomes_total{{outcome="done",priority="2",'
            f'service="{SERVICE}"}}'
        ) in metrics

    run_scenario(scenario, nodes=1, logs=[log])
    path = tmp_path / 'n0.log'
    path.write_text(log.getvalue())
    report = summarize_lines(read_lines([path]))
    assert report.load.nodes[0].share == 1
    classes = {each.priority: each for each in report.load.classes}
    assert classes['2'].outcomes == {'done': STATEMENTS + 2}
    assert {each.most_connections for each in report.load.servers} == {0, 1}


def test_other_parts_add_their_figures() -> None:
    """Guards against figures of a part that reach the log or metrics only."""
    log = io.StringIO()

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        node.load_monitor.sources.append(add_gate_figures)
        node.counters.turned_away[1, 'entry'] += 4
        await curio.sleep(STATISTICS_INTERVAL_S)
        line = list_load_lines(log)[-1]
        assert line['waiting'] == {f'{SERVICE}/0/gate': 3}
        assert line['rejected'] == {
            '*/1/entry': 4,
            f'{SERVICE}/2/gate': 5,
        }
        metrics = node.counters.render().decode()
        assert (
            f'deckdrum_node_load_waiting{{place="gate",priority="0",'
            f'service="{SERVICE}"}} 3.0'
        ) in metrics
        assert 'deckdrum_node_load_rejected_total{' in metrics

    run_scenario(scenario, nodes=1, logs=[log])


def test_rejections_of_removed_servers_remain_counted() -> None:
    """Guards against cumulative figures that decrease."""

    async def scenario(deployment: Deployment) -> None:
        node = deployment.nodes[0].node
        runtime = node.services[SERVICE]
        handle = next(iter(runtime.servers.values()))
        handle.pool.queue.rejected += 7
        key = (SERVICE, 'any', 'queue')
        assert node.load_monitor.read().rejected[key] == 7
        runtime.servers.pop(handle.id)
        assert node.load_monitor.read().rejected[key] == 7

    run_scenario(scenario, nodes=1)
