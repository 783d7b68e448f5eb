"""Shares of a limit when nodes fail: worst window, refusals below the limit."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import curio
import pytest

from deckdrum.load.rate_limits import DEFAULT_TOLERANCE
from deckdrum.testing.limits import LimitFleet, find_worst_window
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.workspaces import Workspace

#: Three data centres of eight nodes, and a panel of six.
NODES: Final = 24
WINDOW_S: Final = DEFAULT_TOLERANCE.window
GROWERS: Final = Workspace('growers', 40, 40)
USUAL_LOAD: Final = 40 * 0.62
#: A surge of 4.7 times the limit.
OVERLOAD: Final = 40 * 4.7
MAX_REFUSAL_TIME_S: Final = 0.6
#: When a fault begins, after the start.
FAULT_AT_S: Final = 4.0

Fault = Callable[[LimitFleet], Awaitable[None]]


def _list_panel(fleet: LimitFleet) -> list[int]:
    return [
        int(name[1:])
        for name in fleet.nodes[0].counter.rank(fleet.workspace.name)
    ]


async def _kill_first(fleet: LimitFleet) -> None:
    first = _list_panel(fleet)[0]
    fleet.dead.add(first)
    await curio.sleep(3)
    await fleet.restart(first)


async def _kill_minority(fleet: LimitFleet) -> None:
    """Only the shares of members that do not run remain for the others."""
    killed = _list_panel(fleet)[:2]
    fleet.dead.update(killed)
    await curio.sleep(3)
    for number in killed:
        await fleet.restart(number)


async def _freeze_first(fleet: LimitFleet) -> None:
    fleet.frozen.add(_list_panel(fleet)[0])
    await curio.sleep(2)
    fleet.frozen.clear()


async def _cut_first_off_from_half(fleet: LimitFleet) -> None:
    first = _list_panel(fleet)[0]
    lost = [number for number in range(NODES) if number % 2 != first % 2]
    for number in lost:
        fleet.broken_links.update([(first, number), (number, first)])
    await curio.sleep(5)
    fleet.broken_links.clear()


async def _break_link_in_one_direction(fleet: LimitFleet) -> None:
    first, second = _list_panel(fleet)[:2]
    fleet.broken_links.add((second, first))
    await curio.sleep(3)
    fleet.broken_links = {(first, second)}
    await curio.sleep(3)
    fleet.broken_links.clear()


async def _split_in_half(fleet: LimitFleet) -> None:
    """Each side has three members of the panel."""
    panel = _list_panel(fleet)
    others = [number for number in range(NODES) if number not in panel]
    fleet.parts = [{*panel[::2], *others[::2]}]
    await curio.sleep(7)
    fleet.parts = []


async def _refuse_first(fleet: LimitFleet) -> None:
    """The first member is cut off by refused connections, and runs on."""
    fleet.is_refusing = True
    fleet.parts = [{_list_panel(fleet)[0]}]
    await curio.sleep(7)
    fleet.parts = []


async def _refuse_between_halves(fleet: LimitFleet) -> None:
    fleet.is_refusing = True
    await _split_in_half(fleet)


async def _refuse_all(fleet: LimitFleet) -> None:
    fleet.is_refusing = True
    fleet.parts = [{number} for number in range(NODES)]
    await curio.sleep(7)
    fleet.parts = []


async def _kill_all(fleet: LimitFleet) -> None:
    fleet.dead = set(range(NODES))
    await curio.sleep(0.5)
    for number in range(NODES):
        await fleet.restart(number)


async def _replace_first(fleet: LimitFleet) -> None:
    """The nodes learn of it at different times."""
    first = _list_panel(fleet)[0]
    fleet.dead.add(first)
    await curio.sleep(3)
    fleet.absent = {first}
    for node in fleet.nodes:
        await curio.sleep(0.03)
        await fleet.register_members(node)
    await curio.sleep(3)


async def _stop_first(fleet: LimitFleet) -> None:
    """A graceful shutdown: it counts until its leases end."""
    first = _list_panel(fleet)[0]
    node = fleet.nodes[first]
    node.counter.is_stopping = True
    node.shares.is_stopping = True
    fleet.absent = {first}
    for other in fleet.nodes:
        await curio.sleep(0.01)
        await fleet.register_members(other)
    await curio.sleep(1)
    fleet.dead.add(first)
    await curio.sleep(3)


async def _lose_an_answer(fleet: LimitFleet) -> None:
    for _ in range(5):
        fleet.answers_to_lose = 1
        await curio.sleep(0.5)


FAULTS: Final = (
    _kill_first,
    _kill_minority,
    _freeze_first,
    _cut_first_off_from_half,
    _break_link_in_one_direction,
    _split_in_half,
    _kill_all,
    _replace_first,
    _stop_first,
    _lose_an_answer,
)


async def _play(fleet: LimitFleet, fault: Fault, load: float) -> None:
    """Begin operations at random times on random nodes during a fault."""
    randomness = Random(7)
    await fleet.start()
    await curio.sleep(2)
    failing = await curio.spawn(_begin_fault, fleet, fault, daemon=True)
    while not failing.terminated or await curio.clock() < 14:
        await curio.sleep(randomness.expovariate(load))
        number = randomness.randrange(NODES)
        if number not in fleet.dead | fleet.frozen | fleet.absent:
            await curio.spawn(fleet.send, number, daemon=True)
    await failing.join()
    await curio.sleep(1)


async def _begin_fault(fleet: LimitFleet, fault: Fault) -> None:
    await curio.sleep(FAULT_AT_S - 2)
    await fault(fleet)
    await curio.sleep(3)


def _count_allowed(workspace: Workspace) -> float:
    rate = workspace.rate or 0
    return (
        rate * WINDOW_S
        + workspace.burst
        + DEFAULT_TOLERANCE.compute_allowed_excess(rate, workspace.burst)
    )


@pytest.mark.parametrize('rate', [3, 12, 40])
@pytest.mark.parametrize(
    'fault', [*FAULTS, _refuse_first, _refuse_between_halves, _refuse_all]
)
def test_worst_window_with_shares_is_within_the_tolerance(
    fault: Fault, rate: float
) -> None:
    async def scenario() -> None:
        workspace = Workspace('growers', rate, rate)
        fleet = LimitFleet(NODES, workspace, has_urgent_routes=True)
        await _play(fleet, fault, rate * 4.7)
        worst = find_worst_window(fleet.begun, WINDOW_S)
        assert worst <= _count_allowed(workspace)
        assert worst >= rate * WINDOW_S * 0.9

    run_virtual(scenario)


@pytest.mark.parametrize('fault', FAULTS)
def test_usual_load_is_refused_for_a_short_time_only(fault: Fault) -> None:
    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await _play(fleet, fault, USUAL_LOAD)
        refused = [time for time in fleet.refused_at if time > FAULT_AT_S]
        # A fault and its end may each refuse operations for this time.
        times = _split_by_gaps(refused)
        assert all(
            last - first <= MAX_REFUSAL_TIME_S for first, last in times
        ), (times, len(refused))

    run_virtual(scenario)


def _split_by_gaps(times: list[float]) -> list[tuple[float, float]]:
    """Return first and last time of each run without a gap of a second."""
    runs: list[tuple[float, float]] = []
    for time in sorted(times):
        if runs and time - runs[-1][1] < 1:
            runs[-1] = (runs[-1][0], time)
        else:
            runs.append((time, time))
    return runs


async def _restart_dead(fleet: LimitFleet) -> None:
    for number in list(fleet.dead):
        await fleet.restart(number)


async def _heal_network(fleet: LimitFleet) -> None:
    fleet.broken_links.clear()
    fleet.parts = []


async def _break_something(fleet: LimitFleet, randomness: Random) -> None:
    member, other = randomness.sample(_list_panel(fleet), 2)
    match randomness.randrange(4):
        case 0:
            fleet.dead.add(member)
        case 1:
            fleet.broken_links.add((member, other))
        case 2:
            fleet.frozen ^= {member}
        case _:
            fleet.answers_to_lose = 3
            fleet.is_refusing = bool(member % 2)
            fleet.parts = [set(randomness.sample(range(NODES), NODES // 2))]


async def _disturb(fleet: LimitFleet, randomness: Random) -> None:
    """Kill, restart, freeze and cut off members at random, without end."""
    while True:
        await curio.sleep(randomness.expovariate(3))
        await _break_something(fleet, randomness)
        await curio.sleep(randomness.expovariate(6))
        await randomness.choice((_restart_dead, _heal_network))(fleet)


@pytest.mark.parametrize('seed', range(6))
def test_no_share_is_used_by_two_nodes_at_a_time(seed: int) -> None:
    """A lease that outlives its replacement would exceed the limit.

    Members refused each other while all ran, and took the others for dead.
    """

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.spawn(_disturb, fleet, Random(seed), daemon=True)
        members = len(_list_panel(fleet))
        while await curio.clock() < 12:
            await curio.sleep(0.005)
            now = await curio.clock()
            stopped = fleet.dead | fleet.frozen
            used = sum(
                len(node.shares.list_usable(node.counter.rank('growers'), now))
                for number, node in enumerate(fleet.nodes)
                if number not in stopped
            )
            assert used <= members

    run_virtual(scenario)


async def _mark_as_gone(fleet: LimitFleet) -> None:
    fleet.absent = set(fleet.dead)
    for number, node in enumerate(fleet.nodes):
        if number not in fleet.dead:
            await fleet.register_members(node)


@pytest.mark.parametrize('return_shares', [_mark_as_gone, _restart_dead])
def test_members_that_run_use_the_shares_of_dead_ones(
    return_shares: Fault,
) -> None:
    """Two of six members hold too little for the usual load by themselves.

    Refused connections do not tell that the others are dead; their removal
    from the members or their next processes do.
    """

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        returned_at: list[float] = []

        async def kill_four(fleet: LimitFleet) -> None:
            fleet.dead.update(_list_panel(fleet)[:4])
            await curio.sleep(3)
            returned_at.append(await curio.clock())
            await return_shares(fleet)
            await curio.sleep(3)

        await _play(fleet, kill_four, USUAL_LOAD)
        refused = [time for time in fleet.refused_at if time > FAULT_AT_S]
        assert refused[-1] - returned_at[0] <= MAX_REFUSAL_TIME_S

    run_virtual(scenario)


def test_member_that_is_cut_off_stops_before_it_is_replaced() -> None:
    """It would count beside the coordinator that replaces it after 10 s."""

    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        await fleet.start()
        await curio.sleep(2)
        first = _list_panel(fleet)[0]
        node = fleet.nodes[first]
        ranked = node.counter.rank('growers')
        fleet.parts = [{first}]
        await curio.sleep(7.5)
        now = await curio.clock()
        assert len(node.shares.list_usable(ranked, now)) == 1
        await curio.sleep(1)
        assert not node.shares.list_usable(ranked, now + 1)
        fleet.parts = []
        await curio.sleep(1)
        assert len(node.shares.list_usable(ranked, now + 2)) == len(ranked)

    run_virtual(scenario)


def test_split_with_a_node_of_an_earlier_version_is_within_the_tolerance() -> (
    None
):
    async def scenario() -> None:
        fleet = LimitFleet(NODES, GROWERS, has_urgent_routes=True)
        fleet.capacities[3] = 0
        await _play(fleet, _split_in_half, OVERLOAD)
        assert 3 in _list_panel(fleet)
        worst = find_worst_window(fleet.begun, WINDOW_S)
        assert worst <= _count_allowed(GROWERS)

    run_virtual(scenario)
