"""Tests of the command-line programs."""

import json
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path
from typing import Any

import psycopg
import pytest
import yaml

from deckdrum.bench.deployment import Layout
from deckdrum.commands import control, proxy
from deckdrum.testing.builders import build_document, build_platform_settings
from deckdrum.testing.threads import DeploymentThread, run_deployment

SETTINGS = {
    'name': 'p9',
    'data_centre': 'ba-hall',
    'listen': '127.0.0.1:0',
    'peer_listen': '127.0.0.1:0',
    'admin_listen': '127.0.0.1:0',
    'platform': '127.0.0.1:1',
    'database_password': 'standin',
    'session_keys': ['a key of the stand-in fleet'],
}


def write_yaml(path: Path, document: object) -> str:
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    return str(path)


def test_all_settings_errors_are_reported(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    wrong = SETTINGS | {'listen': 'nowhere', 'nonsense': 1}
    path = write_yaml(tmp_path / 's.yaml', wrong)
    assert proxy.main(['--check', path]) == 2
    error_output = capsys.readouterr().err
    assert f"{path}: line 3: listen: Value error, 'nowhere'" in error_output
    assert 'nonsense' in error_output
    assert 'standin' not in error_output


def test_validate_platform_and_proxy_settings(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    good = tmp_path / 'node.json'
    good.write_bytes(build_platform_settings())
    wrong = tmp_path / 'wrong.json'
    wrong.write_bytes(build_platform_settings(zone=7))
    validate = ['validate', '--kind', 'platform']
    assert control.main([*validate, str(good)]) == 0
    assert 'node n1 in ba-hall' in capsys.readouterr().out
    assert control.main([*validate, str(wrong)]) == 2
    assert '$.zone' in capsys.readouterr().err
    assert control.main(['validate', '--kind', 'settings', str(good)]) == 2
    assert 'node.json' in capsys.readouterr().err


def test_validate(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good = write_yaml(tmp_path / 'good.yaml', build_document())
    assert control.main(['validate', good]) == 0
    bad = write_yaml(tmp_path / 'bad.yaml', build_document(services=[]))
    assert control.main(['validate', bad]) == 2
    assert 'services' in capsys.readouterr().err


def test_diff_apply_status_and_explain(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    with run_deployment(services=('stalls',)) as thread:
        deployment = thread.deployment
        assert deployment is not None
        platform = str(deployment.platform.address)
        admin = [
            str(each.admin.address) for each in deployment.proxies.values()
        ]
        text = deployment.describe().replace('max_age: 5', 'max_age: 4')
        changed = tmp_path / 'new.yaml'
        changed.write_text(text)
        assert control.main(['diff', str(changed), '--platform', platform]) == 0
        assert (
            'read_kinds[browse].max_age: 5.0 -> 4.0' in capsys.readouterr().out
        )
        apply = ['apply', str(changed), '--platform', platform, '--base', '1']
        assert control.main(apply) == 0
        assert 'accepted: configuration 2' in capsys.readouterr().out
        assert control.main(apply) == 3
        assert control.main(['status', '--json', '--admin', admin[0]]) == 0
        shown = json.loads(capsys.readouterr().out.split('\n', 1)[1])
        assert shown['name'] == 'p1'
        assert control.main(['status', '--admin', *admin]) == 0
        assert 'stalls-1: primary' in capsys.readouterr().out
        explain = ['explain', 'stalls', '--admin', *admin]
        assert control.main(explain) == 0
        assert control.main(['status', '--admin', '127.0.0.1:1']) == 1


def test_proxy_process_serves_and_drains(tmp_path: Path) -> None:
    with run_deployment(services=('stalls',), proxies=1) as thread:
        settings = build_settings(thread)
        path = write_yaml(tmp_path / 's.yaml', settings)
        command = [sys.executable, '-c', RUN_PROXY, path]
        process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        try:
            admin = settings['admin_listen']
            wait_until_ready(f'http://{admin}/readyz')
            port = settings['listen'].rpartition(':')[2]
            connection = psycopg.connect(
                host='127.0.0.1',
                port=port,
                user='growers-app',
                password='standin',
                dbname='stalls',
            )
            connection.execute('CREATE TABLE drained (id int)')
            process.send_signal(signal.SIGTERM)
            connection.execute('INSERT INTO drained VALUES (1)')
            connection.commit()
            assert process.wait(20) == 0
        finally:
            process.kill()
        assert process.stderr is not None
        events = [json.loads(line)['event'] for line in process.stderr]
        assert events[-2:] == ['proxy.drained', 'proxy.stopped']


RUN_PROXY = (
    'import sys; from deckdrum.commands.proxy import main; '
    'sys.exit(main(sys.argv[1:]))'
)


def build_settings(thread: DeploymentThread) -> dict[str, Any]:
    """Return proxy settings with fixed ports below the ephemeral ones."""
    assert thread.deployment is not None
    settings = {
        'listen': '127.0.0.1:6790',
        'peer_listen': '127.0.0.1:6791',
        'admin_listen': '127.0.0.1:6792',
        'platform': str(thread.deployment.platform.address),
    }
    return SETTINGS | settings


def wait_until_ready(url: str) -> None:
    import time

    for _ in range(600):
        try:
            with urllib.request.urlopen(url) as reply:
                if reply.status == 200:
                    return
        except OSError:
            time.sleep(0.1)
    raise AssertionError('the proxy did not become ready')


def test_default_layout() -> None:
    layout = Layout()
    assert (len(layout.services), layout.databases) == (3, 3)
