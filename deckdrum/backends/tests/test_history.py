"""The bound of a replica's age, against the truth."""

from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.backends.position_history import History


@settings(derandomize=True)
@given(
    st.lists(
        st.tuples(st.floats(0, 1), st.integers(0, 3)),
        min_size=1,
        max_size=60,
    ),
    st.integers(0, 100),
)
def test_the_bound_is_never_too_young(
    steps: list[tuple[float, int]],
    offset: int,
) -> None:
    history = History()
    now: float = 0
    place = 0
    first_beyond: float | None = None
    for seconds, grown in steps:
        now += seconds
        place += grown
        history.note(1, place, now)
        if place > offset and first_beyond is None:
            first_beyond = now
    # A replica at `offset` lacks what came at `first_beyond` or later.
    true_age = 0 if first_beyond is None else now - first_beyond
    assert history.bound_age(offset, now) >= true_age


def test_a_new_term_forgets_the_old() -> None:
    history = History()
    history.note(1, 100, 1)
    history.note(2, 101, 2)
    assert history.bound_age(100, 3) == float('inf')


def test_place_in_the_log_is_younger_than_the_last_look_below_it() -> None:
    history = History()
    history.note(1, 10, 5.0)
    history.note(1, 10, 8.0)
    history.note(1, 30, 9.0)
    history.note(1, 40, 10.0)
    assert history.find_last_seen_below(10) == float('-inf')
    assert history.find_last_seen_below(11) == 8.0
    assert history.find_last_seen_below(30) == 8.0
    assert history.find_last_seen_below(41) == 10.0
