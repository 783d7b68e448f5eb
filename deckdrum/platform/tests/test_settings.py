"""The settings file of the platform."""

import json
from pathlib import Path
from typing import Any

import pytest

from deckdrum.outcomes.errors import SettingsError
from deckdrum.platform.settings import (
    SETTINGS_VARIABLE,
    decode_settings,
    find_settings,
    load_settings,
)
from deckdrum.utils import Address


def build_settings(**replaced: Any) -> bytes:
    """Return a settings file; None takes a field out."""
    fields: dict[str, Any] = {
        'nodeName': 'n1',
        'ip': '10.1.0.8',
        'zone': 'ba-hall',
        'listen': {
            'frontend': '10.1.0.8:8784',
            'readiness': '10.1.0.8:8785',
        },
        'portRange': [7440, 7455],
        'seeds': ['10.1.0.9:8782'],
        'bounds': {'graceS': 6, 'newBound': True},
        'platform': {'address': '10.200.1.7:8783', 'form': 'objects'},
        'cloudApi': {'address': '10.200.0.160:8783'},
        'aNewField': {'with': ['anything']},
    }
    fields.update(replaced)
    kept = {name: each for name, each in fields.items() if each is not None}
    return json.dumps(kept).encode()


def test_settings_are_read_and_new_fields_passed_over() -> None:
    settings = decode_settings(build_settings(), 'node.json')
    node = settings.make_node_settings()
    assert node.name == 'n1'
    assert node.data_centre == 'ba-hall'
    assert node.peer_address == Address('10.1.0.8', 7440)
    assert node.seeds == (Address('10.1.0.9', 7440),)
    assert settings.grace == 6


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
        decode_settings(build_settings(**replaced), 'node.json')
    assert told in str(raised.value)
    assert 'node.json' in str(raised.value)


def test_missing_variable_and_file_are_told(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
        find_settings()
    with pytest.raises(SettingsError, match=r'none\.json'):
        load_settings(tmp_path / 'none.json')
