"""Validating, comparing and applying configuration documents."""

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


def build_text(**replaced: Any) -> str:
    return yaml.safe_dump(
        copy.deepcopy(build_document(**replaced)), sort_keys=False
    )


def test_all_errors_are_reported_with_their_lines() -> None:
    text = build_text(
        users=[{'name': 'u', 'group': 'growers', 'verifier': 'plain'}],
        read_kinds=[{'name': 'browse', 'max_age': -1, 'extra': 1}],
    )
    with pytest.raises(DocumentError) as caught:
        parse_document(text, 'file.yaml')
    messages = str(caught.value).splitlines()
    assert messages[0].endswith('3 errors')
    line = text.splitlines().index('  max_age: -1') + 1
    assert any(
        f'file.yaml: line {line}: read_kinds.0.max_age' in message
        for message in messages
    )


@pytest.mark.parametrize(
    ('replaced', 'message'),
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
def test_invalid_documents_are_rejected(
    replaced: dict[str, Any], message: str
) -> None:
    with pytest.raises(DocumentError, match=message):
        parse_document(build_text(**replaced))


def test_duplicate_key_is_reported() -> None:
    with pytest.raises(DocumentError, match='line 2: groups: duplicate key'):
        parse_document('groups: []\ngroups: []\n')


def test_differences_name_the_changed_values() -> None:
    before = parse_document(build_text())
    after = parse_document(
        build_text(read_kinds=[{'name': 'browse', 'max_age': 9}])
    )
    differences = compare_documents(before, after)
    assert [
        (difference.path, difference.before, difference.after)
        for difference in differences
    ] == [
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


def test_one_of_two_concurrent_updates_is_accepted() -> None:
    async def check(platform: Any, store: Any) -> list[ApplyReport]:
        await apply_document(
            store, build_text(), await fetch_snapshot(store), 'x', 'op0'
        )
        base = await fetch_snapshot(store)
        tasks = []
        for age in (6, 7):
            text = build_text(read_kinds=[{'name': 'browse', 'max_age': age}])
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
    winner, loser = sorted(reports, key=lambda report: report.outcome)
    assert winner.number == loser.number == 2
    changed = [difference.path for difference in loser.differences]
    assert changed == ['read_kinds[browse].max_age']


def test_update_with_a_lost_response_is_accepted() -> None:
    async def check(platform: Any, store: Any) -> ApplyReport:
        platform.faults.lost_answers = 1
        base = await fetch_snapshot(store)
        return await apply_document(store, build_text(), base, 'x', 'op1')

    assert run_with_platform(check).outcome is ApplyOutcome.ACCEPTED


def test_update_can_be_repeated_after_an_outage() -> None:
    async def check(platform: Any, store: Any) -> list[ApplyOutcome]:
        base = await fetch_snapshot(store)
        platform.faults.is_down = True
        first = await apply_document(store, build_text(), base, 'x', 'op1')
        platform.faults.is_down = False
        again = await apply_document(store, build_text(), base, 'x', 'op1')
        third = await apply_document(store, build_text(), base, 'x', 'op1')
        return [first.outcome, again.outcome, third.outcome]

    assert run_with_platform(check) == [
        ApplyOutcome.UNKNOWN,
        ApplyOutcome.ACCEPTED,
        ApplyOutcome.ACCEPTED,
    ]
