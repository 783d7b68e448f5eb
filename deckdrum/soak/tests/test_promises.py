"""Each check of a soak test reports a violation, and only then."""

from collections.abc import Sequence

import pytest

from deckdrum.soak.checks import SoakHistory, find_violations
from deckdrum.soak.records import Attempt, AttemptOutcome
from deckdrum.standins.users.records import (
    Commit,
    Entry,
    ExecutedStatement,
    Takeover,
)
from deckdrum.testing.nodes import BOUNDED, CURRENT, OWN_WRITES

COLOUR = (('colour', 's1'),)


def build_write(outcome: AttemptOutcome, **fields: object) -> Attempt:
    """Return an attempt with one write, sent at 1 s and answered at 2 s."""
    attempt = Attempt('s1', CURRENT, 1, 2, {'w1': 'WRITE a x'}, ['w1'])
    attempt.outcome = outcome
    for name, each in fields.items():
        setattr(attempt, name, each)
    return attempt


def build_read(position: int, **fields: object) -> Attempt:
    """Return a read sent at 3 s that returned a log position."""
    attempt = Attempt('s1', CURRENT, 3, 4, {'r1': 'READ a'})
    attempt.reads.append(('a', f'a-{position}'))
    attempt.outcome = AttemptOutcome.DONE
    for name, each in fields.items():
        setattr(attempt, name, each)
    return attempt


def build_log(*ids: str) -> list[Entry]:
    """Return a log with one write in each entry."""
    return [
        Entry(1, position, ((request_id, 'a x'),))
        for position, request_id in enumerate(ids, 1)
    ]


def build_commit(server: str, term: int, committed_at: float) -> Commit:
    """Return the commit of the write of `build_write`."""
    return Commit(server, Entry(term, 1, (('w1', 'a x'),)), committed_at)


def check_history(history: SoakHistory) -> list[str]:
    """Return the names of the checks that failed."""
    failed = find_violations(history)
    return [each.partition(':')[0] for each in failed]


def check(
    *attempts: Attempt,
    log: Sequence[Entry] = (),
    ran: Sequence[ExecutedStatement] = (),
) -> list[str]:
    """Return the names of the checks that failed."""
    return check_history(SoakHistory(attempts, log, ran))


def test_consistent_history_has_no_violations() -> None:
    ran = [ExecutedStatement('i-1', 'w1', 'WRITE a x', 0, COLOUR)]
    attempts = (build_write(AttemptOutcome.DONE), build_read(1))
    assert not check(*attempts, log=build_log('w1'), ran=ran)


def test_missing_write_is_found() -> None:
    assert check(build_write(AttemptOutcome.DONE)) == ['find_lost']


def test_duplicate_write_is_found() -> None:
    failed = check(
        build_write(AttemptOutcome.UNKNOWN), log=build_log('w1', 'w1')
    )
    assert failed == ['find_doubled']


@pytest.mark.parametrize(
    'outcome', [AttemptOutcome.NOT_COMMITTED, AttemptOutcome.NOT_REQUESTED]
)
def test_write_committed_against_its_outcome_is_found(
    outcome: AttemptOutcome,
) -> None:
    assert check(build_write(outcome), log=build_log('w1')) == ['find_untrue']


@pytest.mark.parametrize('text', ['WRITE a y', 'READ a'])
def test_altered_statement_is_found(text: str) -> None:
    ran = [ExecutedStatement('i-1', 'w1', text, 0, COLOUR)]
    assert check(build_write(AttemptOutcome.UNKNOWN), ran=ran) == [
        'find_unasked'
    ]


def test_values_of_another_session_are_found() -> None:
    ran = [ExecutedStatement('i-1', 'w1', 'WRITE a x', 0, (('colour', 's2'),))]
    assert check(build_write(AttemptOutcome.UNKNOWN), ran=ran) == ['find_mixed']


def test_rows_of_another_key_are_found() -> None:
    read = build_read(0, reads=[('a', 'b-0')])
    assert check(read) == ['find_wrong_rows']


@pytest.mark.parametrize(
    ('database', 'session', 'began_at', 'expected'),
    [
        (CURRENT, 's2', 2.1, ['find_stale']),
        (CURRENT, 's2', 1.9, []),
        (BOUNDED, 's1', 3.4, []),
        (BOUNDED, 's2', 3.6, ['find_stale']),
        (OWN_WRITES, 's1', 2.1, ['find_stale']),
        (OWN_WRITES, 's2', 4.4, []),
        (OWN_WRITES, 's2', 4.6, ['find_stale']),
    ],
)
def test_stale_read_is_found(
    database: str,
    session: str,
    began_at: float,
    expected: list[str],
) -> None:
    read = build_read(0, database=database, session=session, began_at=began_at)
    failed = check(build_write(AttemptOutcome.DONE), read, log=build_log('w1'))
    assert failed == expected


@pytest.mark.parametrize(
    ('outcome', 'term', 'committed_at', 'expected'),
    [
        (AttemptOutcome.DONE, 2, 1.5, ['find_replaced_primary_writes']),
        (AttemptOutcome.DONE, 1, 1.5, ['find_replaced_primary_writes']),
        (AttemptOutcome.DONE, 2, 1.3, []),
        (AttemptOutcome.DONE, 3, 1.5, []),
        (AttemptOutcome.UNKNOWN, 2, 1.5, []),
    ],
)
def test_acknowledged_write_of_replaced_primary_is_found(
    outcome: AttemptOutcome,
    term: int,
    committed_at: float,
    expected: list[str],
) -> None:
    """The log may hold the write nevertheless, as its successor got it."""
    history = SoakHistory(
        [build_write(outcome)],
        build_log('w1'),
        [],
        [build_commit('i-2', term, committed_at)],
        [Takeover('i-2', 2, 1.1), Takeover('i-3', 3, 1.4)],
    )
    assert check_history(history) == expected


def test_write_committed_again_by_the_successor_is_accepted() -> None:
    """The acknowledgement may be that of the second commit."""
    history = SoakHistory(
        [build_write(AttemptOutcome.DONE)],
        build_log('w1'),
        [],
        [build_commit('i-2', 2, 1.5), build_commit('i-3', 3, 1.6)],
        [Takeover('i-3', 3, 1.4)],
    )
    assert not check_history(history)


@pytest.mark.parametrize(
    ('has_synchronous_replicas', 'took_effect_at', 'expected'),
    [
        (False, 1.6, []),
        (True, 1.6, ['find_lost']),
        (False, 1.4, ['find_lost', 'find_replaced_primary_writes']),
    ],
)
def test_only_a_later_takeover_may_roll_back_a_write(
    has_synchronous_replicas: bool,
    took_effect_at: float,
    expected: list[str],
) -> None:
    """Without synchronous replicas, a promotion loses the latest writes."""
    history = SoakHistory(
        [build_write(AttemptOutcome.DONE)],
        [],
        [],
        [build_commit('i-1', 1, 1.5)],
        [Takeover('i-2', 2, took_effect_at)],
        has_synchronous_replicas=has_synchronous_replicas,
    )
    assert check_history(history) == expected


def test_lost_write_without_any_takeover_is_found() -> None:
    history = SoakHistory(
        [build_write(AttemptOutcome.DONE)],
        [],
        [],
        [build_commit('i-1', 1, 1.5)],
        has_synchronous_replicas=False,
    )
    assert check_history(history) == ['find_lost']


@pytest.mark.parametrize(
    ('promotions', 'expected'),
    [
        ([('i-2', 'n1', 4), ('i-2', 'n1', 4), ('i-3', 'n2', 6)], []),
        ([('i-2', 'n1', 4), ('i-3', 'n1', 4)], ['find_conflicting_promotions']),
        ([('i-2', 'n1', 4), ('i-2', 'n2', 4)], ['find_conflicting_promotions']),
        ([('i-2', 'n1', 6), ('i-2', 'n2', 4)], ['find_conflicting_promotions']),
    ],
)
def test_conflicting_promotion_is_found(
    promotions: list[tuple[str, str, int]],
    expected: list[str],
) -> None:
    """Two servers promoted by one claim both lead, for different nodes."""
    history = SoakHistory([], [], [], promotions=promotions)
    assert check_history(history) == expected
