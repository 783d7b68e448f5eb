"""Classification of statements; unknown ones count as writes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.statements import Classifier, Effect

TABLE = (
    ('SELECT 1', Effect.READ),
    ('VALUES (1)', Effect.READ),
    ('WITH x AS (SELECT 1) SELECT * FROM x', Effect.READ),
    ('SELECT lower(name), count(*) FROM stalls GROUP BY 1', Effect.READ),
    ('SELECT * FROM stalls FOR UPDATE', Effect.WRITE),
    ('WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x', Effect.WRITE),
    ('SELECT * INTO b FROM a', Effect.WRITE),
    ("SELECT nextval('s')", Effect.WRITE),
    ('SELECT book_pitch(4)', Effect.WRITE),
    ('INSERT INTO a VALUES (1)', Effect.WRITE),
    ('EXPLAIN SELECT 1', Effect.WRITE),
    ('CALL p()', Effect.WRITE),
    ('this is no SQL', Effect.WRITE),
    ('SELECT 1; INSERT INTO a VALUES (1)', Effect.WRITE),
    ('BEGIN', Effect.CONTROL),
    ('COMMIT;', Effect.CONTROL),
    ('BEGIN READ ONLY', Effect.READ_TRANSACTION),
    (
        'START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY',
        Effect.READ_TRANSACTION,
    ),
    ('SET LOCAL work_mem = 1', Effect.CONTROL),
    ('SET work_mem = 1', Effect.SETTING),
    ("SET TIME ZONE 'UTC'", Effect.SETTING),
    ('SET deckdrum.read_kind = browse', Effect.LOCAL),
    ('SHOW deckdrum.session', Effect.LOCAL),
    ('DEALLOCATE ALL', Effect.LOCAL),
    ('SELECT 1; SET work_mem = 1', Effect.REFUSED),
    ('SET work_mem = 1; SELECT 1', Effect.REFUSED),
    ('SELECT 1; LISTEN a', Effect.REFUSED),
    ('LISTEN a', Effect.REFUSED),
    ('COPY a FROM STDIN', Effect.REFUSED),
    ('CREATE TEMPORARY TABLE t (a int)', Effect.REFUSED),
    ('SELECT pg_advisory_lock(1)', Effect.REFUSED),
    ('DECLARE c CURSOR WITH HOLD FOR SELECT 1', Effect.REFUSED),
    ('/* note */ SELECT 1', Effect.READ),
    ('-- note\nSELECT 1', Effect.READ),
)


@pytest.mark.parametrize(('text', 'effect'), TABLE)
def test_effect(text: str, effect: Effect) -> None:
    assert Classifier().classify(text).effect is effect


def test_declared_functions_are_reads() -> None:
    classifier = Classifier(['free_pitches'])
    assert classifier.classify('SELECT free_pitches(1)').effect is Effect.READ


def test_changed_tables_and_hints() -> None:
    text = '/* deckdrum: not_repeatable */ UPDATE Fees SET paid = 1'
    statement = Classifier().classify(text)
    assert statement.tables == {'fees'}
    assert statement.hints == {'not_repeatable'}


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.text(alphabet='SELECT*;()\'"/-\n aft,1$', max_size=60))
def test_arbitrary_text_raises_no_error(text: str) -> None:
    Classifier().classify(text)
