"""Checking, comparing and applying documents."""

import copy
from typing import Any

import curio
import pytest
import yaml

from deckdrum.configuration import compare_documents, parse_document
from deckdrum.configuration.applying import (
    ApplyOutcome,
    ApplyReport,
    apply_document,
    fetch_snapshot,
)
from deckdrum.outcomes.errors import DocumentError
from deckdrum.standins.platform import StandinPlatform
from deckdrum.store.objects import HttpObjectStore
from deckdrum.testing.builders import build_document
from deckdrum.utils import Address
from deckdrum.utils.virtualtime import run_virtual


def write(**replaced: Any) -> str:
    return yaml.safe_dump(
        copy.deepcopy(build_document(**replaced)), sort_keys=False
    )


def test_all_errors_at_once_with_lines() -> None:
    text = write(
        users=[{'name': 'u', 'group': 'growers', 'verifier': 'plain'}],
        read_kinds=[{'name': 'browse', 'max_age': -1, 'extra': 1}],
    )
    with pytest.raises(DocumentError) as caught:
        parse_document(text, 'file.yaml')
    told = str(caught.value).splitlines()
    assert told[0].endswith('3 errors')
    line = text.splitlines().index('  max_age: -1') + 1
    assert any(
        f'file.yaml: line {line}: read_kinds.0.max_age' in each for each in told
    )


@pytest.mark.parametrize(
    ('replaced', 'told'),
    [
        ({'groups': [{'name': 'a'}, {'name': 'a'}]}, 'groups.0.name'),
        ({'groups': [{'name': 'other'}]}, "users.0.group: 'growers'"),
        ({'services': []}, 'services: List should have at least 1'),
        (
            {'groups': [{'name': 'Growers'}]},
            'groups.0.name: String should match',
        ),
    ],
)
def test_wrong_documents(replaced: dict[str, Any], told: str) -> None:
    with pytest.raises(DocumentError, match=told):
        parse_document(write(**replaced))


def test_repeated_key_is_told() -> None:
    with pytest.raises(DocumentError, match='line 2: groups: the key stands'):
        parse_document('groups: []\ngroups: []\n')


def test_compare_names_what_differs() -> None:
    before = parse_document(write())
    after = parse_document(write(read_kinds=[{'name': 'browse', 'max_age': 9}]))
    found = compare_documents(before, after)
    assert [(each.path, each.before, each.after) for each in found] == [
        ('read_kinds[browse].max_age', '5.0', '9.0'),
    ]


def run_with_platform(check: Any) -> Any:
    async def main() -> Any:
        platform = StandinPlatform(Address('127.0.0.1', 0))
        await platform.start()
        store = HttpObjectStore(platform.address)
        try:
            return await check(platform, store)
        finally:
            await store.close()
            await platform.close()

    return run_virtual(main)


def test_of_two_racing_operators_one_wins() -> None:
    async def check(platform: Any, store: Any) -> list[ApplyReport]:
        await apply_document(
            store, write(), await fetch_snapshot(store), 'x', 'op0'
        )
        base = await fetch_snapshot(store)
        tasks = []
        for age in (6, 7):
            text = write(read_kinds=[{'name': 'browse', 'max_age': age}])
            tasks.append(
                await curio.spawn(
                    apply_document,
                    HttpObjectStore(platform.address),
                    text,
                    base,
                    f'operator {age}',
                    f'op{age}',
                ),
            )
        return [await task.join() for task in tasks]

    reports = run_with_platform(check)
    outcomes = sorted(report.outcome for report in reports)
    assert outcomes == [ApplyOutcome.ACCEPTED, ApplyOutcome.CONFLICT]
    winner, loser = sorted(reports, key=lambda each: each.outcome)
    assert winner.number == loser.number == 2
    changed = [each.path for each in loser.differences]
    assert changed == ['read_kinds[browse].max_age']


def test_lost_answer_is_resolved() -> None:
    async def check(platform: Any, store: Any) -> ApplyReport:
        platform.faults.lost_answers = 1
        base = await fetch_snapshot(store)
        return await apply_document(store, write(), base, 'x', 'op1')

    assert run_with_platform(check).outcome is ApplyOutcome.ACCEPTED


def test_outage_is_unknown_and_safe_to_repeat() -> None:
    async def check(platform: Any, store: Any) -> list[ApplyOutcome]:
        base = await fetch_snapshot(store)
        platform.faults.down = True
        first = await apply_document(store, write(), base, 'x', 'op1')
        platform.faults.down = False
        again = await apply_document(store, write(), base, 'x', 'op1')
        third = await apply_document(store, write(), base, 'x', 'op1')
        return [first.outcome, again.outcome, third.outcome]

    assert run_with_platform(check) == [
        ApplyOutcome.UNKNOWN,
        ApplyOutcome.ACCEPTED,
        ApplyOutcome.ACCEPTED,
    ]
