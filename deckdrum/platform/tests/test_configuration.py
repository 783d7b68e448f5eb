"""Validation of the operator's configuration."""

import json
from pathlib import Path
from typing import Any

import pytest

from deckdrum.commands import control
from deckdrum.outcomes.errors import DocumentError
from deckdrum.platform.configuration import (
    check_configuration,
    decode_configuration,
)
from deckdrum.testing.nodes import (
    SERVICE,
    build_config,
    build_route,
    build_workspace,
)

GROWERS = build_workspace('growers', 'key-1', ratePerS=2, burst=4)


def check(**fields: Any) -> None:
    check_configuration(json.dumps(build_config(2, **fields)).encode())


@pytest.mark.parametrize(('priority', 'is_urgent'), [(0, True), (1, False)])
def test_group_is_urgent_only_through_a_route_of_priority_0(
    priority: int,
    is_urgent: bool,
) -> None:
    routes = [build_route('db', 'primary', priority=priority)]
    encoded = json.dumps(build_config(2, routes=routes)).encode()
    configuration = decode_configuration(encoded)
    assert configuration.services[SERVICE].has_urgent_routes is is_urgent
    assert configuration.has_urgent_routes is is_urgent


def test_consistent_configuration_is_accepted() -> None:
    check(tenants=[GROWERS, build_workspace('shoppers', 'key-2')])


@pytest.mark.parametrize(
    ('fault', 'fields'),
    [
        ('workspace growers: 2 times', {'tenants': [GROWERS, GROWERS]}),
        (
            'key [0-9a-f]{32}: 2 times',
            {'tenants': [GROWERS, build_workspace('shoppers', 'key-1')]},
        ),
        (
            'rate -1.0, expected 0 or more',
            {'tenants': [build_workspace('growers', ratePerS=-1)]},
        ),
        (
            'burst -1.0, expected 0 or more',
            {'tenants': [build_workspace('growers', burst=-1)]},
        ),
        (
            'service barns, expected one that is declared',
            {'routes': [build_route('db', 'primary', service='barns')]},
        ),
    ],
)
def test_inconsistent_configuration_is_rejected(
    fault: str, fields: dict[str, Any]
) -> None:
    with pytest.raises(DocumentError, match=fault):
        check(**fields)


def test_validate_command_shows_counts_but_no_keys(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'config.json'
    path.write_text(json.dumps(build_config(2, tenants=[GROWERS])))
    arguments = ['validate', '--kind', 'configuration', str(path)]
    assert control.main(arguments) == 0
    output = capsys.readouterr().out
    assert '3 routes, 1 services, 1 workspaces' in output
    assert 'key-1' not in output
