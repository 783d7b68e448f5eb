"""Each promise that a soak checks is found broken where it is."""

from collections.abc import Sequence

import pytest

from deckdrum.soak.promises import SoakHistory, find_violations
from deckdrum.soak.records import Attempt, Fate
from deckdrum.standins.users.records import Entry, ExecutedStatement
from deckdrum.testing.nodes import BOUNDED, CURRENT, OWN_WRITES

COLOUR = (('colour', 's1'),)


def build_write(fate: Fate, **fields: object) -> Attempt:
    """Return an attempt with one write, sent at 1 s and answered at 2 s."""
    attempt = Attempt('s1', CURRENT, 1, 2, {'w1': 'WRITE a x'}, ['w1'])
    attempt.fate = fate
    for name, each in fields.items():
        setattr(attempt, name, each)
    return attempt


def build_read(place: int, **fields: object) -> Attempt:
    """Return a read that was sent at 3 s and ran at a place of the log."""
    attempt = Attempt('s1', CURRENT, 3, 4, {'r1': 'READ a'})
    attempt.reads.append(('a', f'a-{place}'))
    attempt.fate = Fate.DONE
    for name, each in fields.items():
        setattr(attempt, name, each)
    return attempt


def build_log(*ids: str) -> list[Entry]:
    """Return a log with one write in each entry."""
    return [
        Entry(1, place, ((request_id, 'a x'),))
        for place, request_id in enumerate(ids, 1)
    ]


def judge(
    *attempts: Attempt,
    log: Sequence[Entry] = (),
    ran: Sequence[ExecutedStatement] = (),
) -> list[str]:
    """Return the names of the checks that failed."""
    found = find_violations(SoakHistory(attempts, log, ran))
    return [each.partition(':')[0] for each in found]


def test_what_agrees_breaks_nothing() -> None:
    ran = [ExecutedStatement('i-1', 'w1', 'WRITE a x', 0, COLOUR)]
    attempts = (build_write(Fate.DONE), build_read(1))
    assert not judge(*attempts, log=build_log('w1'), ran=ran)


def test_missing_write_is_found() -> None:
    assert judge(build_write(Fate.DONE)) == ['find_lost']


def test_doubled_write_is_found() -> None:
    found = judge(build_write(Fate.UNKNOWN), log=build_log('w1', 'w1'))
    assert found == ['find_doubled']


@pytest.mark.parametrize('fate', [Fate.NOT_KEPT, Fate.NOT_ASKED])
def test_kept_write_that_was_not_to_be_kept_is_found(fate: Fate) -> None:
    assert judge(build_write(fate), log=build_log('w1')) == ['find_untrue']


@pytest.mark.parametrize('text', ['WRITE a y', 'READ a'])
def test_changed_statement_is_found(text: str) -> None:
    ran = [ExecutedStatement('i-1', 'w1', text, 0, COLOUR)]
    assert judge(build_write(Fate.UNKNOWN), ran=ran) == ['find_unasked']


def test_values_of_another_session_are_found() -> None:
    ran = [ExecutedStatement('i-1', 'w1', 'WRITE a x', 0, (('colour', 's2'),))]
    assert judge(build_write(Fate.UNKNOWN), ran=ran) == ['find_mixed']


def test_rows_of_another_read_are_found() -> None:
    read = build_read(0, reads=[('a', 'b-0')])
    assert judge(read) == ['find_wrong_rows']


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
def test_read_that_misses_a_change_is_found(
    database: str,
    session: str,
    began_at: float,
    expected: list[str],
) -> None:
    read = build_read(0, database=database, session=session, began_at=began_at)
    found = judge(build_write(Fate.DONE), read, log=build_log('w1'))
    assert found == expected
