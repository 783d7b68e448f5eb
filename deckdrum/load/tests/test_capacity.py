"""Choice of nodes by the capacity of their machines."""

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from functools import partial

import pytest

from deckdrum.control import ControlView, Entry, Kind, Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.health import PeerHealth
from deckdrum.fleet.node_peers import NoAnswer, NodePeers, PeerAnswer
from deckdrum.fleet.policies import ALL_POLICIES
from deckdrum.fleet.update_following import choose_feeders
from deckdrum.leadership.state import LeadershipState
from deckdrum.limits import LimitCounter
from deckdrum.limits.shares import LimitShares
from deckdrum.load.allocation import allocate_connections, select_holders
from deckdrum.load.capacity import MAX_WEIGHT, compute_weights
from deckdrum.load.rate_limits import DEFAULT_TOLERANCE, select_coordinators
from deckdrum.serving.allocation import AllocationInputs, ConnectionAllocator
from deckdrum.serving.proofs import ProofSources
from deckdrum.utils import Address
from deckdrum.utils.counters import Counters
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.ranks import compute_rendezvous_rank, rank_by_weight
from deckdrum.utils.virtualtime import run_virtual

CENTRES = ('ba-hall', 'tt-hall', 'nr-hall')
LARGE = 2.15
SMALL = 0.516
GROUPS = [f'stalls-{number}' for number in range(1000)]
#: The first deployment: two large machines in each data centre.
CAPACITIES = {f'n{number}': SMALL for number in range(58)} | {
    f'n{number}': LARGE for number in range(6)
}
NODES = {
    name: CENTRES[number % len(CENTRES)]
    for number, name in enumerate(CAPACITIES)
}


class UnreachablePeers(NodePeers):
    """Peers whose processes do not run."""

    def __init__(self) -> None:
        self.health = PeerHealth(self.ask, open_null_journal('test'))

    async def ask(
        self, address: Address, question: Message, timeout: float = 1
    ) -> PeerAnswer:
        """Refuse the connection."""
        return NoAnswer(ConnectionRefusedError('no process'))


def build_members(capacities: Mapping[str, float]) -> dict[str, Member]:
    """Return the members of the first deployment with other capacities."""
    return {
        name: Member(name, '127.0.0.1:1', centre, 'run', capacity=each)
        for (name, centre), each in zip(
            NODES.items(), capacities.values(), strict=True
        )
    }


def rank_unweighted(key: str, names: Mapping[str, str]) -> list[str]:
    """Return names in the order without weights."""
    return sorted(names, key=partial(compute_rendezvous_rank, key))


def choose_unweighted(
    key: str, count: int, nodes: Mapping[str, str]
) -> dict[str, list[str]]:
    """Return the first names of each data centre without weights."""
    chosen: defaultdict[str, list[str]] = defaultdict(list)
    for name in rank_unweighted(key, nodes):
        chosen[nodes[name]].append(name)
    return {centre: names[:count] for centre, names in chosen.items()}


def find_firsts(capacities: Mapping[str, float]) -> list[str]:
    """Return the first node of each group."""
    weights = compute_weights(capacities)
    return [rank_by_weight(capacities, weights, each)[0] for each in GROUPS]


@pytest.mark.parametrize(
    'capacities',
    [
        dict.fromkeys(NODES, 0),
        dict.fromkeys(NODES, LARGE),
        dict.fromkeys(NODES, LARGE) | {'n3': 1.1, 'n4': 0},
    ],
    ids=['unknown', 'equal', 'similar'],
)
def test_even_fleet_keeps_every_choice(capacities: dict[str, float]) -> None:
    """Guards against moved holders and limits in fleets of equal machines."""
    weights = compute_weights(capacities)
    for service in GROUPS[:50]:
        expected = choose_unweighted(service, 3, NODES)
        holders = select_holders(service, NODES, 56, 71, weights)
        assert list(holders) == [
            name for names in expected.values() for name in names
        ]
        assert rank_by_weight(NODES, weights, service) == rank_unweighted(
            service, NODES
        )
    coordinators = choose_unweighted('limits', 2, NODES)
    assert select_coordinators(NODES, weights) == tuple(
        sorted(name for names in coordinators.values() for name in names)
    )
    local = {name: each for name, each in NODES.items() if each == CENTRES[0]}
    assert (
        choose_feeders(list(local), weights)
        == rank_unweighted('feeders', local)[:2]
    )


def test_equal_weights_keep_the_order() -> None:
    """Guards against an order that depends on the size of equal weights."""
    weights = dict.fromkeys(NODES, 7)
    for service in GROUPS:
        assert rank_by_weight(NODES, weights, service) == rank_unweighted(
            service, NODES
        )


def test_groups_go_to_nodes_in_proportion_to_capacity() -> None:
    """Guards against small machines that hold as much as large ones."""
    firsts = Counter(find_firsts(CAPACITIES))
    large = sum(firsts[name] for name in ('n0', 'n1', 'n2', 'n3', 'n4', 'n5'))
    # Six machines of weight 4 and 52 of weight 1.
    expected = len(GROUPS) * 24 / 76
    assert abs(large - expected) < expected / 5


@pytest.mark.parametrize(
    ('capacity', 'part'), [(SMALL, 1 / 77), (LARGE, 4 / 80), (0, 1 / 77)]
)
def test_joining_or_leaving_node_moves_only_its_groups(
    capacity: float, part: float
) -> None:
    """Guards against many closed connections when a machine is replaced."""
    without = find_firsts(CAPACITIES)
    joined = find_firsts(CAPACITIES | {'n58': capacity})
    moved = [
        after
        for before, after in zip(without, joined, strict=True)
        if before != after
    ]
    assert set(moved) == {'n58'}
    assert len(moved) < 2 * len(GROUPS) * part


def test_changed_capacity_moves_only_from_or_to_that_node() -> None:
    """Guards against other holders that change with one machine."""
    for before, after in ((LARGE, 1.1), (SMALL, LARGE), (SMALL, 0.6)):
        old = find_firsts(CAPACITIES | {'n7': before})
        new = find_firsts(CAPACITIES | {'n7': after})
        moved = [
            pair for pair in zip(old, new, strict=True) if len(set(pair)) > 1
        ]
        assert all('n7' in pair for pair in moved)
    # The last change is less than half a step.
    assert not moved


@pytest.mark.parametrize('wrong', [math.nan, math.inf, -1.0])
def test_invalid_capacity_counts_as_not_published(wrong: float) -> None:
    """Guards against a faulty record that changes or stops every choice."""
    assert compute_weights({'n1': LARGE, 'n2': wrong}) == {}
    weights = compute_weights({'n1': LARGE, 'n2': wrong, 'n3': SMALL})
    assert weights == {'n1': 4, 'n2': 1, 'n3': 1}


def test_extreme_capacity_has_a_bounded_weight() -> None:
    """Guards against one wrong record that attracts all holders."""
    assert compute_weights(CAPACITIES | {'n7': 1e9})['n7'] == MAX_WEIGHT
    tiny = compute_weights(CAPACITIES | {'n7': 1e-9})
    assert (tiny['n0'], tiny['n7'], tiny['n8']) == (MAX_WEIGHT, 1, 4)


@pytest.mark.parametrize('weights', [{}, compute_weights(CAPACITIES)])
def test_urgent_group_has_one_holder_in_each_data_centre(
    weights: dict[str, int],
) -> None:
    """Guards against urgent statements behind others at nine holders."""
    holders = select_holders(
        'stalls', NODES, 56, 71, weights, has_urgent_routes=True
    )
    assert sorted(NODES[name] for name in holders) == sorted(CENTRES)
    allocation = allocate_connections('i-1', NODES, 56, 'a', holders, 71)
    assert set(allocation.holders.values()) == {8}


def test_urgent_group_has_few_holders_in_small_fleets() -> None:
    """Guards against a queue at each node, or one node that serves alone."""
    select = partial(select_holders, 'stalls', max_connections=56)
    nodes = dict.fromkeys(('n0', 'n1'), 'a') | {'n2': 'b'}
    assert select(nodes) == ()
    assert len(select(nodes, has_urgent_routes=True)) == 2
    single = dict.fromkeys(('n0', 'n1', 'n2'), 'a')
    assert len(select(single, has_urgent_routes=True)) == 2
    # Forwarding would save no queue.
    assert select({'n0': 'a', 'n1': 'b'}, has_urgent_routes=True) == ()


def test_allocator_uses_capacity_and_urgency() -> None:
    """Guards against an allocation that ignores what members publish."""

    async def scenario() -> None:
        members = build_members(CAPACITIES)
        own = members['n57']
        for is_urgent in (False, True):
            allocator = ConnectionAllocator(
                'stalls', UnreachablePeers(), ALL_POLICIES
            )
            inputs = AllocationInputs(56, 71, members, frozenset(), is_urgent)
            await allocator.allocate(inputs, own, {}, {})
            expected = select_holders(
                'stalls',
                NODES,
                56,
                71,
                compute_weights(CAPACITIES),
                has_urgent_routes=is_urgent,
            )
            others = {holder.name for holder in allocator.others}
            assert others == set(expected) - {'n57'}

    run_virtual(scenario)


def test_coordinators_and_collectors_are_chosen_by_capacity() -> None:
    """Guards against choices that ignore what members publish."""

    async def scenario() -> None:
        # Not a coordinator without weights.
        large = choose_unweighted('limits', 58, NODES)[CENTRES[0]][2]
        members = build_members(
            dict.fromkeys(NODES, SMALL) | {large: SMALL * MAX_WEIGHT}
        )
        journal = open_null_journal('test')
        view = ControlView(None, journal)  # type: ignore[arg-type]
        for revision, member in enumerate(members.values(), start=1):
            entry = Entry(member.name, revision, member)
            await view.apply_entry(Kind.MEMBERS, entry)
        peers = UnreachablePeers()
        shares = LimitShares('n0', view, peers, journal)
        counter = LimitCounter('n0', view, peers, DEFAULT_TOLERANCE, shares)
        await counter.apply_members()
        assert large in counter.rank('growers')
        collectors = Counter(
            find_collector(service, members) for service in GROUPS[:100]
        )
        # 16 of 35 parts of its data centre.
        assert 30 <= collectors[large] <= 60

    def find_collector(service: str, members: dict[str, Member]) -> str:
        journal = open_null_journal('test')
        sources = ProofSources(
            LeadershipState(service, journal),
            list,
            None,  # type: ignore[arg-type]
            UnreachablePeers(),
            journal,
            Counters(),
        )
        sources.pick_collector(members['n0'], members, NODES)
        return sources.collector.name if sources.collector else 'n0'

    run_virtual(scenario)
