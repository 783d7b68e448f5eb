"""Decoding of the settings file."""

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


def test_settings_are_decoded_and_unknown_fields_ignored() -> None:
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
def test_drain_time_is_taken_from_the_settings(
    bounds: dict[str, float],
    drain_time: float,
) -> None:
    text = build_platform_settings(bounds=bounds)
    settings = decode_settings(text, 'node.json')
    assert settings.make_node_settings().drain_time == drain_time


@pytest.mark.parametrize(
    ('contracts', 'is_enabled'),
    [({'contracts': ['base', 'pressure']}, True), ({'contracts': []}, False)],
)
def test_urgency_is_enabled_by_a_contract(
    contracts: dict[str, list[str]],
    is_enabled: bool,
) -> None:
    """Deployments without it have routes of priority 0 that nobody uses."""
    settings = decode_settings(build_platform_settings(**contracts), 'n.json')
    assert settings.make_node_settings().is_urgency_enabled is is_enabled


@pytest.mark.parametrize(
    ('limits', 'capacity'),
    [({'cpuQuota': 0.5, 'cores': 3}, 1.5), ({}, 0)],
)
def test_capacity_is_the_part_of_a_faster_core(
    limits: dict[str, float],
    capacity: float,
) -> None:
    text = build_platform_settings(limits=limits)
    settings = decode_settings(text, 'node.json')
    assert settings.make_node_settings().capacity == capacity


@pytest.mark.parametrize(
    ('replaced', 'location'),
    [
        ({'nodeName': None}, 'nodeName'),
        ({'zone': 7}, '$.zone'),
        ({'listen': {'frontend': 'x'}}, 'readiness'),
        ({'portRange': [1]}, '$.portRange'),
        ({'platform': {'address': 'nowhere'}}, 'nowhere'),
        ({'seeds': ['bad']}, 'bad'),
    ],
)
def test_invalid_settings_name_the_location(
    replaced: dict[str, Any],
    location: str,
) -> None:
    with pytest.raises(SettingsError) as raised:
        decode_settings(build_platform_settings(**replaced), 'node.json')
    assert location in str(raised.value)
    assert 'node.json' in str(raised.value)


def test_missing_variable_and_file_are_reported(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
        find_settings_path()
    with pytest.raises(SettingsError, match=r'none\.json'):
        load_settings(tmp_path / 'none.json')
