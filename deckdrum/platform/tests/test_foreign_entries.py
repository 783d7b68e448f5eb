"""Invalid objects in the store, to which other programs may write too.

An invalid object must yield no record, must not hide valid objects on the same
page, and must not stop a node.
"""

import json
from functools import partial
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.control import Kind
from deckdrum.platform.records import (
    KIND_NAMES,
    EventList,
    ObjectList,
    decode_answer,
    read_object,
)
from deckdrum.testing.nodes import CURRENT, SERVICE, Deployment, run_scenario
from deckdrum.testing.objectives import WRITE_GAP_P99_S

#: Random objects per kind.
MAX_EXAMPLES = 2_600
GOOD: dict[str, Any] = {
    'service': SERVICE,
    'address': '10.1.0.8:8080',
    'zone': 'ba-hall',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'coldLeftMs': 0,
    'dbRole': 'replica',
    'seq': 1,
}
#: A field of a server entry, and an invalid value for it.
BAD_FIELDS = (
    ('service', 7),
    ('service', None),
    ('address', 'no address'),
    ('address', 'a.name.to.look.up:80'),
    ('address', '10.1.0.8:0'),
    ('address', '10.1.0.8:99999'),
    ('address', f'10.1.0.8:{"9" * 5000}'),
    ('zone', ['ba-hall']),
    ('state', 'asleep'),
    ('state', 1),
    ('dbRole', 'witness'),
    ('slots', '3'),
    ('slots', 10**40),
    ('slots', -1),
    ('seq', -(10**40)),
    ('born', -5),
    ('coldLeftMs', 'soon'),
    ('seq', 1.5),
    ('born', 'today'),
    ('born', 1.5),
)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(GOOD)), inner, max_size=4)
    ),
    max_leaves=6,
)


def encode_object(spec: Any, name: str = 'i-1', revision: int = 4) -> bytes:
    """Encode an object like the store."""
    meta = {'name': name, 'revision': revision}
    return json.dumps({'meta': meta, 'spec': spec}).encode()


def build_page(*listed: bytes) -> bytes:
    """Encode a page of a listing."""
    return b'{"items":[' + b','.join(listed) + b'],"currentRev":9}'


def read_server(spec: Any) -> Any:
    return read_object(Kind.SERVERS, msgspec.Raw(encode_object(spec))).record


def test_valid_entry_is_decoded() -> None:
    assert read_server(GOOD) is not None
    assert read_server(GOOD | {'born': 1764730000000, 'more': [1]}) is not None


@pytest.mark.parametrize(('field', 'value'), BAD_FIELDS)
def test_entry_with_invalid_field_is_rejected(
    field: str,
    value: Any,
) -> None:
    assert read_server(GOOD | {field: value}) is None


@pytest.mark.parametrize('field', GOOD)
def test_entry_with_missing_field_is_rejected(field: str) -> None:
    lacking = {name: GOOD[name] for name in GOOD if name != field}
    assert read_server(lacking) is None


MEMBER: dict[str, Any] = {
    'name': 'i-1',
    'peer_address': '10.1.0.8:7440',
    'data_centre': 'ba-hall',
    'run': 'x',
}
RECORD: dict[str, Any] = {
    'service': 'i-1',
    'term': 3,
    'primary': 'i-9',
    'phase': 'settled',
    'operation': 'x',
}


@pytest.mark.parametrize(
    ('kind', 'good', 'bad'),
    [
        (Kind.MEMBERS, MEMBER, {'name': 'n2'}),
        (Kind.MEMBERS, MEMBER, {'peer_address': 'nowhere'}),
        (Kind.MEMBERS, MEMBER, {'peer_address': 'a.name:7440'}),
        (Kind.LEADERSHIP, RECORD, {'service': 'payouts'}),
        (Kind.LEADERSHIP, RECORD, {'term': -1}),
        (Kind.LEADERSHIP, RECORD, {'term': 10**30}),
        (Kind.LEADERSHIP, RECORD, {'phase': 'asleep'}),
    ],
)
def test_invalid_member_and_leadership_records_are_rejected(
    kind: Kind,
    good: dict[str, Any],
    bad: dict[str, Any],
) -> None:
    read = read_object(kind, msgspec.Raw(encode_object(good)))
    assert read.record is not None
    read = read_object(kind, msgspec.Raw(encode_object(good | bad)))
    assert read.record is None


@pytest.mark.parametrize('kind', Kind)
@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(spec=json_values)
def test_random_object_raises_nothing_and_hides_no_other(
    kind: Kind,
    spec: Any,
) -> None:
    good = encode_object(GOOD, 'i-0')
    page = build_page(good, encode_object(spec), good)
    found = decode_answer(page, ObjectList).found
    read = [read_object(kind, each) for each in found]
    assert [each.name for each in read] == ['i-0', 'i-1', 'i-0']
    assert read[0] == read[2]
    assert bool(read[1].fault) == (read[1].record is None)


@pytest.mark.parametrize(
    'spec',
    [
        b'"\xff\xfe\x00"',
        b'[' * 100_000 + b']' * 100_000,
        b'{"service":' * 2000 + b'1' + b'}' * 2000,
        b'9' * 5000,
        b'-1e999',
        b'null',
        b'""',
    ],
)
def test_undecodable_object_hides_no_other(spec: bytes) -> None:
    good = encode_object(GOOD, 'i-0')
    bad = b'{"meta":{"name":"i-1","revision":4},"spec":' + spec + b'}'
    found = decode_answer(build_page(good, bad, good), ObjectList).found
    read = [read_object(Kind.SERVERS, each) for each in found]
    assert [each.record is None for each in read] == [False, True, False]
    event = b'{"events":[{"object":' + bad + b'}],"currentRev":9}'
    events = decode_answer(event, EventList).events
    assert read_object(Kind.SERVERS, events[0].object).record is None


@pytest.mark.parametrize('bad', [b'1', b'{}', b'{"meta":{"name":7}}', b'[]'])
def test_object_without_a_name_hides_no_other(bad: bytes) -> None:
    good = encode_object(GOOD, 'i-0')
    found = decode_answer(build_page(good, bad, good), ObjectList).found
    read = [read_object(Kind.SERVERS, each) for each in found]
    assert [each.name for each in read] == ['i-0', '', 'i-0']


def test_server_with_invalid_entry_is_not_used_until_it_is_valid() -> None:
    async def scenario(deployment: Deployment) -> None:
        nodes = [running.node for running in deployment.nodes]
        replica = next(
            server
            for server in deployment.group.servers.values()
            if server.role == 'replica'
        )
        bad = GOOD | {'address': str(replica.address), 'state': 'asleep'}
        await deployment.store.write('servers', replica.name, bad)
        await deployment.wait_for(
            lambda: not any(replica.name in node.view.servers for node in nodes)
        )
        assert all(node.counters.events['unreadable_records'] for node in nodes)
        client = await deployment.connect(CURRENT)
        assert (await client.ask('WRITE a 1')).is_done
        await replica.publish()
        await deployment.wait_for(
            lambda: all(replica.name in node.view.servers for node in nodes)
        )

    run_scenario(scenario)


@pytest.mark.parametrize('spec', [{}, 'x', {'term': 'x'}, [[[]]]])
def test_invalid_records_do_not_prevent_a_primary_change(spec: Any) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(CURRENT)
        await client.ask('WRITE a 1')
        write = deployment.store.write
        await write(KIND_NAMES[Kind.LEADERSHIP], SERVICE, spec)
        await write(KIND_NAMES[Kind.MEMBERS], 'n1', spec)
        await write(KIND_NAMES[Kind.CONFIGURATION], 'main', spec)
        await write(KIND_NAMES[Kind.SERVERS], 'i-foreign', spec)
        await curio.sleep(0.5)
        assert (await client.ask('WRITE a 1')).is_done
        await deployment.group.primary.crash()
        assert await client.write_until_done() < WRITE_GAP_P99_S
        await deployment.wait_for(partial(_is_registered, deployment, 'n1'))

    run_scenario(scenario)


def _is_registered(deployment: Deployment, name: str) -> bool:
    record = deployment.store.read(KIND_NAMES[Kind.MEMBERS], name)
    return isinstance(record, dict) and record.get('name') == name
