"""Builders of test data."""

import json
from typing import Any

from deckdrum.callers.login import make_verifier
from deckdrum.configuration import DatabaseEntry
from deckdrum.databases import DatabaseState, Role

SALT = b'0123456789abcdef'


def build_entry(name: str = 'stalls-1', **fields: Any) -> DatabaseEntry:
    """Return the configuration entry of a database."""
    defaults = {'data_centre': 'ba-hall', 'address': '127.0.0.1:1'}
    return DatabaseEntry(name=name, **(defaults | fields))


def build_state(**fields: Any) -> DatabaseState:
    """Return the state of a replica that is fenced for term 1."""
    defaults: dict[str, Any] = {
        'role': Role.REPLICA,
        'term': 1,
        'received': 10,
        'applied': 10,
        'fenced': 1,
        'leaving': False,
    }
    log_term = {'log_term': fields.get('term', defaults['term'])}
    return DatabaseState(**(defaults | log_term | fields))


def build_document(**replaced: Any) -> dict[str, Any]:
    """Return a valid configuration document with `replaced` sections."""
    entries = [
        {
            'name': f'stalls-{slot}',
            'data_centre': 'ba-hall',
            'address': f'127.0.0.1:{slot}',
        }
        for slot in (1, 2, 3)
    ]
    document: dict[str, Any] = {
        'groups': [{'name': 'growers', 'weight': 2}, {'name': 'shoppers'}],
        'users': [
            {
                'name': 'growers-app',
                'group': 'growers',
                'verifier': make_verifier('word', SALT),
            },
        ],
        'services': [{'name': 'stalls', 'databases': entries}],
        'read_kinds': [{'name': 'browse', 'max_age': 5}],
    }
    return document | replaced


def build_platform_settings(**replaced: Any) -> bytes:
    """Return a platform settings file; fields that are None are omitted."""
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
    present_fields = {
        name: each for name, each in fields.items() if each is not None
    }
    return json.dumps(present_fields).encode()
