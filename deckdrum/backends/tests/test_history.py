"""Bounds on the age of replicas are compared with the true age."""

from hypothesis import given, settings
from hypothesis import strategies as st

from deckdrum.backends.position_history import PositionHistory


@settings(derandomize=True)
@given(
    st.lists(
        st.tuples(st.floats(0, 1), st.integers(0, 3)),
        min_size=1,
        max_size=60,
    ),
    st.integers(0, 100),
)
def test_age_is_never_underestimated(
    steps: list[tuple[float, int]],
    offset: int,
) -> None:
    history = PositionHistory()
    now: float = 0
    position = 0
    first_beyond: float | None = None
    for seconds, grown in steps:
        now += seconds
        position += grown
        history.record(1, position, now)
        if position > offset and first_beyond is None:
            first_beyond = now
    # A replica at `offset` lacks all changes from `first_beyond` on.
    true_age = 0 if first_beyond is None else now - first_beyond
    assert history.bound_age(offset, now) >= true_age


def test_positions_of_an_older_term_are_discarded() -> None:
    history = PositionHistory()
    history.record(1, 100, 1)
    history.record(2, 101, 2)
    assert history.bound_age(100, 3) == float('inf')


def test_offset_was_appended_after_the_primary_was_last_seen_below() -> None:
    history = PositionHistory()
    history.record(1, 10, 5.0)
    history.record(1, 10, 8.0)
    history.record(1, 30, 9.0)
    history.record(1, 40, 10.0)
    assert history.find_last_seen_below(10) == float('-inf')
    assert history.find_last_seen_below(11) == 8.0
    assert history.find_last_seen_below(30) == 8.0
    assert history.find_last_seen_below(41) == 10.0
