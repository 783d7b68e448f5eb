"""Selecting holders where not every node can hold connections."""

from collections import Counter

import pytest

from deckdrum.load.allocation import (
    MAX_HOLDERS_PER_DATA_CENTRE,
    allocate_connections,
    select_holders,
)

CENTRES = ('a', 'b', 'c', 'd', 'e')
SERVICE = 'stalls'


def build_nodes(count: int, centres: int = 5) -> dict[str, str]:
    """Return nodes spread over data centres."""
    return {f'n{number}': CENTRES[number % centres] for number in range(count)}


@pytest.mark.parametrize('count', [30, 71, 195, 300])
@pytest.mark.parametrize('limit', [3, 9, 29, 53, 88])
def test_holders_get_no_more_than_is_allocated(count: int, limit: int) -> None:
    nodes = build_nodes(count)
    holders = select_holders(SERVICE, nodes, limit)
    allocation = allocate_connections('i-1', nodes, limit, 'a', holders)
    assert sum(allocation.holders.values()) <= max(count, limit // 2)
    assert min(allocation.holders.values()) >= 1
    assert set(allocation.holders) == set(holders or nodes)


def test_each_data_centre_has_a_few_holders_with_several_connections() -> None:
    nodes = build_nodes(195)
    holders = select_holders(SERVICE, nodes, 88)
    per_centre = Counter(nodes[name] for name in holders)
    assert per_centre == dict.fromkeys(CENTRES, MAX_HOLDERS_PER_DATA_CENTRE)
    allocation = allocate_connections('i-1', nodes, 88, 'c', holders)
    assert min(allocation.holders.values()) >= 2


def test_every_node_is_a_holder_if_connections_suffice() -> None:
    assert select_holders(SERVICE, build_nodes(9, 3), 23) == ()


def test_removed_holder_is_replaced_in_its_data_centre() -> None:
    nodes = build_nodes(195)
    before = select_holders(SERVICE, nodes, 88)
    removed = before[0]
    centre = nodes.pop(removed)
    after = select_holders(SERVICE, nodes, 88)
    assert set(before) - set(after) == {removed}
    (new,) = set(after) - set(before)
    assert nodes[new] == centre


def test_groups_have_different_holders() -> None:
    """The holders of ten groups are spread over many nodes."""
    nodes = build_nodes(195)
    holder_counts = Counter(
        name
        for number in range(10)
        for name in select_holders(f'stalls-{number}', nodes, 88)
    )
    assert len(holder_counts) >= 90
    assert max(holder_counts.values()) <= 6
