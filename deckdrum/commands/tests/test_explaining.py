"""Tests of explanations from the logs of several nodes."""

import io
import json
from pathlib import Path
from typing import Any

import curio
import pytest

from deckdrum.commands import control
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario


def write_logs(folder: Path) -> list[Path]:
    """Simulate the loss of a primary and write the log of each node."""
    outputs = [io.StringIO() for _ in range(3)]

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.send('QUERY id-before WRITE a 1')
        await client.read_reply()
        deployment.group.primary.is_unresponsive = True
        await client.send('QUERY id-doubt WRITE a 2')
        await client.read_reply()
        await curio.sleep(3)

    run_scenario(scenario, logs=outputs)
    paths = []
    for number, log_output in enumerate(outputs):
        path = folder / f'n{number}.log'
        path.write_text(f'a line of another program\n{log_output.getvalue()}')
        paths.append(path)
    return paths


def test_explain_request(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    paths = [str(path) for path in write_logs(tmp_path)]
    arguments = ['explain', '--request', 'id-doubt', '--logs', *paths]
    assert control.main(arguments) == 0
    output = capsys.readouterr().out.splitlines()
    assert output[-1].startswith('request id-doubt: unknown')
    assert any('request.refused' in line for line in output)
    assert not any('id-before' in line for line in output)


def test_explain_service_as_json(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    paths = [str(path) for path in write_logs(tmp_path)]
    arguments = ['explain', SERVICE, '--json', '--logs', *paths]
    assert control.main(arguments) == 0
    output: list[dict[str, Any]] = [
        json.loads(line) for line in capsys.readouterr().out.splitlines()
    ]
    events = [line['event'] for line in output]
    assert 'leadership.ordered' in events
    assert 'leadership.changed' in events
    times = [line['time'] for line in output]
    assert times == sorted(times)


def test_unknown_request_is_reported(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'empty.log'
    path.write_text('')
    arguments = ['explain', '--request', 'nothing', '--logs', str(path)]
    assert control.main(arguments) == 1
    assert 'no line tells of request nothing' in capsys.readouterr().out
