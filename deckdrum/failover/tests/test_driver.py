"""Choice of the database to promote."""

from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.databases import Credentials, PostgresDatabase
from deckdrum.failover.driver import FencedDatabase, choose_promotion_candidate
from deckdrum.testing.builders import build_entry, build_state

STATES = st.builds(
    build_state,
    term=st.integers(1, 3),
    received=st.integers(0, 5),
    leaving=st.booleans(),
)


def make_fenced(states: list[object]) -> list[FencedDatabase]:
    credentials = Credentials('u', 'p', 'a')
    return [
        FencedDatabase(
            PostgresDatabase(build_entry(f'd{index}'), credentials),
            state,  # type: ignore[arg-type]
        )
        for index, state in enumerate(states)
    ]


@settings(derandomize=True)
@given(st.lists(STATES, min_size=1, max_size=5), st.sets(st.integers(0, 4)))
def test_candidate_has_the_most_advanced_log(
    states: list[object],
    leaving: set[int],
) -> None:
    fenced = make_fenced(states)
    names = {f'd{index}' for index in leaving}
    candidate = choose_promotion_candidate(fenced, names)
    assert candidate.log_position == max(each.log_position for each in fenced)


def test_leaving_database_is_not_preferred_among_equals() -> None:
    states = [build_state(received=7), build_state(received=7)]
    candidate = choose_promotion_candidate(make_fenced(list(states)), {'d0'})
    assert candidate.database.name == 'd1'


def test_lagging_replica_of_a_later_term_is_not_promoted() -> None:
    """Its log lacks writes that the other one's log holds."""
    lagging = build_state(term=2, received=7, log_term=1)
    complete = build_state(term=1, received=9, log_term=1)
    candidate = choose_promotion_candidate(make_fenced([lagging, complete]), ())
    assert candidate.database.name == 'd1'
