"""Which database leads next."""

from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.databases import Credentials, PostgresDatabase
from deckdrum.failover.driver import Fenced, choose_leader
from deckdrum.testing.builders import build_entry, build_state

STATES = st.builds(
    build_state,
    term=st.integers(1, 3),
    received=st.integers(0, 5),
    leaving=st.booleans(),
)


def make_fenced(states: list[object]) -> list[Fenced]:
    credentials = Credentials('u', 'p', 'a')
    return [
        Fenced(PostgresDatabase(build_entry(f'd{place}'), credentials), state)  # type: ignore[arg-type]
        for place, state in enumerate(states)
    ]


@settings(derandomize=True)
@given(st.lists(STATES, min_size=1, max_size=5), st.sets(st.integers(0, 4)))
def test_the_leader_is_always_a_furthest(
    states: list[object],
    unwanted: set[int],
) -> None:
    fenced = make_fenced(states)
    names = {f'd{place}' for place in unwanted}
    leader = choose_leader(fenced, names)
    assert leader.reach == max(each.reach for each in fenced)


def test_among_the_furthest_one_that_stays_leads() -> None:
    states = [build_state(received=7), build_state(received=7)]
    leader = choose_leader(make_fenced(list(states)), {'d0'})
    assert leader.database.name == 'd1'
