"""The settings file of the platform."""

from pathlib import Path
from typing import Any

import pytest

from deckdrum.outcomes.errors import SettingsError
from deckdrum.platform.settings import (
    SETTINGS_VARIABLE,
    decode_settings,
    find_settings_path,
    load_settings,
)
from deckdrum.testing.builders import build_platform_settings
from deckdrum.utils import Address


def test_settings_are_read_and_new_fields_passed_over() -> None:
    settings = decode_settings(build_platform_settings(), 'node.json')
    node = settings.make_node_settings()
    assert node.name == 'n1'
    assert node.data_centre == 'ba-hall'
    assert node.peer_address == Address('10.1.0.8', 7440)
    assert node.seeds == (Address('10.1.0.9', 7440),)
    assert settings.grace_period == 6


@pytest.mark.parametrize(
    ('bounds', 'drain_time'),
    [({}, 7), ({'drainMs': 10_000}, 10), ({'drainMs': 6500.0}, 6.5)],
)
def test_time_of_a_leaving_server_is_the_deployments(
    bounds: dict[str, float],
    drain_time: float,
) -> None:
    text = build_platform_settings(bounds=bounds)
    settings = decode_settings(text, 'node.json')
    assert settings.make_node_settings().drain_time == drain_time


@pytest.mark.parametrize(
    ('replaced', 'told'),
    [
        ({'nodeName': None}, 'nodeName'),
        ({'zone': 7}, '$.zone'),
        ({'listen': {'frontend': 'x'}}, 'readiness'),
        ({'portRange': [1]}, '$.portRange'),
        ({'platform': {'address': 'nowhere'}}, 'nowhere'),
        ({'seeds': ['bad']}, 'bad'),
    ],
)
def test_wrong_settings_name_the_place(
    replaced: dict[str, Any],
    told: str,
) -> None:
    with pytest.raises(SettingsError) as raised:
        decode_settings(build_platform_settings(**replaced), 'node.json')
    assert told in str(raised.value)
    assert 'node.json' in str(raised.value)


def test_missing_variable_and_file_are_told(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
        find_settings_path()
    with pytest.raises(SettingsError, match=r'none\.json'):
        load_settings(tmp_path / 'none.json')
