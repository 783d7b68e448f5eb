"""The checks of what replaced primaries committed can fail."""

import pytest

from deckdrum.standins.users import DatabaseGroup, StandinStore
from deckdrum.standins.users.records import Commit, Entry, Takeover
from deckdrum.testing.nodes import SERVICE
from deckdrum.testing.replaced_primaries import (
    find_disordered_promotions,
    find_replaced_primary_writes,
)


@pytest.mark.parametrize(
    ('server', 'term', 'committed_at', 'is_found'),
    [
        ('i-1', 1, 1.9, False),
        ('i-1', 1, 2.1, True),
        ('i-2', 2, 2.1, False),
    ],
)
def test_write_of_a_replaced_primary_is_found(
    server: str, term: int, committed_at: float, is_found: bool
) -> None:
    entry = Entry(term, 1, (('w1', 'a 1'), ('w2', 'a 1')))
    group = DatabaseGroup(
        SERVICE,
        StandinStore(),
        commits=[Commit(server, entry, committed_at)],
        takeovers=[Takeover('i-2', 2, 2.0)],
    )
    found = find_replaced_primary_writes(group, {'w1': 2.2})
    assert bool(found) is is_found
    # The second write was not acknowledged.
    assert not find_replaced_primary_writes(group, {})


@pytest.mark.parametrize(
    'second',
    [('i-3', 'n0', 7), ('i-2', 'n1', 7), ('i-2', 'n0', 6)],
)
def test_promotion_out_of_order_is_found(second: tuple[str, str, int]) -> None:
    first = ('i-2', 'n0', 7)
    assert find_disordered_promotions([first, second])
    assert not find_disordered_promotions([first, first])
