"""Decoding of the state that a database reports."""

from deckdrum.databases import Credentials, PostgresDatabase
from deckdrum.databases.base import QueryResult
from deckdrum.testing.builders import build_entry, build_state

DATABASE = PostgresDatabase(build_entry('d1'), Credentials('u', 'p', 'a'))
ROW = ('replica', '2', '10', '9', '2', '0', '1')


def test_state_is_decoded() -> None:
    expected = build_state(term=2, applied=9, fenced=2, log_term=1)
    assert DATABASE.decode_state(QueryResult([ROW])) == expected


def test_row_without_the_term_of_the_log_is_no_state() -> None:
    """An older extension cannot tell which log may be promoted."""
    assert DATABASE.decode_state(QueryResult([ROW[:-1]])) is None
