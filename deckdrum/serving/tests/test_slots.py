"""The gate of a server and the leases of its spare slots, in virtual time."""

import json
from collections.abc import Awaitable, Callable
from random import Random

import curio
import pytest

from deckdrum.fleet.load_messages import AskSlots
from deckdrum.load.slots import LEASE_LIFETIME_S, compute_bound
from deckdrum.serving.slot_leases import SlotTerms
from deckdrum.serving.slots import NoSlotError, SlotGate
from deckdrum.testing.slots import SERVER, SERVICE, SlotFleet
from deckdrum.utils.virtualtime import run_virtual

#: Own part and bound of 3 holders of a server with 4 slots.
PART = 1
BOUND = 5


def draw_short(randomness: Random) -> float:
    return randomness.uniform(0.005, 0.04)


def draw_any(randomness: Random) -> float:
    return randomness.choice((0.01, 0.02, 0.06, 0.45))


def open_gate(limit: int) -> SlotGate:
    gate = SlotGate()
    gate.part = limit
    gate.compute_limit = lambda now: limit
    return gate


@pytest.mark.parametrize('seed', range(4))
def test_long_statements_never_exceed_the_bound(seed: int) -> None:
    async def scenario() -> int:
        fleet = SlotFleet()
        await fleet.start()
        async with curio.TaskGroup() as loads:
            for index in range(3):
                await loads.spawn(fleet.load, index, 30, draw_any, seed)
        return fleet.most_in_flight

    assert run_virtual(scenario) == BOUND == compute_bound(4, 3)


@pytest.mark.parametrize('is_refusing', [False, True])
@pytest.mark.parametrize('seed', range(4))
def test_bound_holds_while_holders_are_cut_off_and_killed(
    seed: int, is_refusing: bool
) -> None:
    """Two holders lent the spare slots if a cut refused connections."""

    async def disturb(fleet: SlotFleet) -> None:
        randomness = Random(seed)
        while True:
            index = randomness.randrange(3)
            is_killed = randomness.random() < 0.5
            if is_killed:
                fleet.kill(index)
            else:
                fleet.unreachable.add(fleet.ranked[index])
            await curio.sleep(randomness.uniform(0.02, 1.2))
            if is_killed:
                await fleet.restart(index)
            fleet.unreachable.clear()
            await curio.sleep(randomness.uniform(0, 0.6))

    async def scenario() -> int:
        fleet = SlotFleet()
        fleet.is_refusing = is_refusing
        await fleet.start()
        await curio.spawn(disturb, fleet, daemon=True)
        async with curio.TaskGroup() as loads:
            for index in range(3):
                await loads.spawn(fleet.load, index, 30, draw_short, seed)
        return fleet.most_in_flight

    assert run_virtual(scenario) == BOUND


@pytest.mark.parametrize('index', [0, 1, 2])
def test_lone_demand_gets_the_spare_slots(index: int) -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[index].occupy(0.02)
        await curio.sleep(0.01)
        assert fleet[index].gate.in_flight == PART + 2

    run_virtual(scenario)


def test_holder_without_answers_uses_its_part_only() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        fleet.unreachable.add(fleet.ranked[0])
        await fleet[1].occupy(1)
        await curio.sleep(0.4)
        assert fleet[1].gate.in_flight == PART
        fleet.unreachable.clear()
        await curio.sleep(0.2)
        assert fleet[1].gate.in_flight == PART + 2
        # Changes of state are logged, not each request.
        events = [
            json.loads(line)['event']
            for line in fleet[1].log.getvalue().splitlines()
        ]
        assert events == [
            'slots.coordinator_lost',
            'slots.coordinator_regained',
        ]

    run_virtual(scenario)


async def kill_coordinator(fleet: SlotFleet) -> None:
    fleet.kill(0)
    await curio.sleep(0.6)


async def refuse_coordinator(fleet: SlotFleet) -> None:
    """Cut it off by refused connections; it runs on."""
    fleet.is_refusing = True
    fleet.unreachable.add(fleet.ranked[0])
    await curio.sleep(0.6)


@pytest.mark.parametrize('lose', [kill_coordinator, refuse_coordinator])
def test_nobody_lends_in_place_of_a_coordinator_that_refuses_connections(
    lose: Callable[[SlotFleet], Awaitable[None]],
) -> None:
    """It may run on behind a cut, and lend the same slots to its side."""

    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await curio.spawn(lose, fleet, daemon=True)
        await fleet[2].occupy(2)
        await curio.sleep(0.5)
        assert fleet[2].gate.in_flight == PART
        fleet.unreachable.clear()
        if fleet.stopped:
            await fleet.restart(0)
        await fleet[2].occupy(2)
        await curio.sleep(LEASE_LIFETIME_S + 0.1)
        assert fleet[2].gate.in_flight == PART + 2
        await fleet.stop()

    run_virtual(scenario)


def test_next_holder_lends_once_the_coordinator_is_no_holder() -> None:
    async def scenario() -> float:
        fleet = SlotFleet()
        await fleet.start()
        fleet.kill(0)
        began: float = await curio.clock()
        await fleet[2].occupy(1)
        del fleet.members[fleet.ranked[0]]
        for index in (1, 2):
            await fleet[index].apply()
        while fleet[2].gate.in_flight <= PART:
            await curio.sleep(0.001)
        now: float = await curio.clock()
        await fleet.stop()
        return now - began

    assert LEASE_LIFETIME_S < run_virtual(scenario) < 0.4


def test_restarted_coordinator_waits_for_leases_of_its_former_process() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[2].occupy(0.02, count=200)
        await curio.sleep(0.1)
        assert fleet[2].gate.in_flight == PART + 2
        fleet.kill(0)
        await fleet.restart(0)
        await fleet[0].occupy(0.02, count=200)
        for _ in range(100):
            await curio.sleep(0.01)
            fleet.record()
        assert fleet.most_in_flight == BOUND - 1
        await fleet.stop()

    run_virtual(scenario)


def test_lease_of_a_dead_holder_ends_but_its_part_is_not_lent() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[1].occupy(0.02)
        await curio.sleep(0.01)
        assert fleet[1].gate.in_flight == PART + 2
        fleet.kill(1)
        await fleet[2].occupy(1)
        await curio.sleep(LEASE_LIFETIME_S - 0.05)
        assert fleet[2].gate.in_flight == PART
        await curio.sleep(0.2)
        assert fleet[2].gate.in_flight == PART + 2

    run_virtual(scenario)


def test_urgent_demand_is_lent_to_first() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[1].occupy(0.02, count=200)
        await curio.sleep(0.1)
        for _ in range(8):
            await curio.spawn(fleet[2].run, 1, 0, daemon=True)
        await curio.sleep(LEASE_LIFETIME_S + 0.05)
        assert fleet[2].gate.in_flight == PART + 2
        assert fleet[1].gate.in_flight == PART

    run_virtual(scenario)


@pytest.mark.parametrize('entry', [{'slots': 4}, {'slots': 0}])
def test_nothing_waits_and_nothing_is_sent_if_inactive(
    entry: dict[str, int],
) -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start(**entry, is_urgent=not entry['slots'])
        await fleet[1].occupy(1, count=50)
        await curio.sleep(0.1)
        assert fleet[1].gate.in_flight == 50
        assert not fleet[1].sent

    run_virtual(scenario)


def test_waiting_statements_are_admitted_if_urgent_routes_are_removed() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[1].occupy(1)
        await fleet[1].apply(is_urgent=False)
        await curio.sleep(0)
        assert fleet[1].gate.in_flight == 8

    run_virtual(scenario)


def test_holder_above_its_new_part_sends_nothing() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start(slots=16)
        await fleet[1].occupy(1)
        await curio.sleep(0.1)
        assert fleet[1].gate.in_flight == 8
        for holder in fleet.holders.values():
            await holder.apply(slots=4)
        assert not await fleet[1].run(0.1)

    run_virtual(scenario)


def test_leases_start_over_with_a_new_incarnation() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[1].occupy(0.02, count=200)
        await curio.sleep(0.1)
        for holder in fleet.holders.values():
            await holder.apply(started_at=2)
        await fleet[1].occupy(1)
        await curio.sleep(0.1)
        assert fleet[1].gate.in_flight == PART
        await curio.sleep(0.4)
        assert fleet[1].gate.in_flight == PART + 2

    run_virtual(scenario)


def test_nodes_that_are_no_holders_get_nothing() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        request = AskSlots(SERVICE, SERVER, 'other', 9)
        assert not (await fleet[0].group.answer(request)).granted

    run_virtual(scenario)


def test_requests_of_a_waiting_holder_are_bounded() -> None:
    async def scenario() -> None:
        fleet = SlotFleet()
        await fleet.start()
        await fleet[1].occupy(2)
        await curio.sleep(0.4)
        before = len(fleet[1].sent)
        await curio.sleep(1)
        assert len(fleet[1].sent) - before <= 26

    run_virtual(scenario)


def test_permit_is_released_once() -> None:
    async def scenario() -> None:
        gate = open_gate(1)
        permit = await gate.acquire(1, 1)
        assert permit is not None
        await gate.release(permit)
        await gate.release(permit)
        assert gate.in_flight == 0

    run_virtual(scenario)


@pytest.mark.parametrize('is_admitted', [False, True])
def test_cancelled_waiter_keeps_no_slot(is_admitted: bool) -> None:
    async def scenario() -> None:
        gate = open_gate(1)

        async def open_connection() -> None:
            async with gate.count_opening('db'):
                await curio.sleep(1)

        first = await curio.spawn(open_connection)
        waiting = await curio.spawn(open_connection)
        await curio.sleep(0.1)
        if is_admitted:
            await first.cancel()
            assert not gate.waiting
        await waiting.cancel()
        await first.cancel()
        assert (gate.in_flight, gate.waiting) == (0, 0)

    run_virtual(scenario)


def test_less_urgent_statements_keep_an_eighth() -> None:
    async def scenario() -> None:
        gate = open_gate(1)
        order: list[int] = []

        async def run(priority: int) -> None:
            permit = await gate.acquire(priority, 10)
            assert permit is not None
            order.append(priority)
            await curio.sleep(0.01)
            await gate.release(permit)

        async with curio.TaskGroup() as statements:
            for priority in (2, 2, *(0 for _ in range(30))):
                await statements.spawn(run, priority)
        assert order.count(2) == 2
        # The first one found the slot free.
        assert order.index(2, 1) == 8

    run_virtual(scenario)


def test_opening_a_connection_takes_a_slot_and_is_refused_without() -> None:
    async def scenario() -> None:
        gate = open_gate(1)
        async with gate.count_opening('db'):
            assert gate.in_flight == 1
            # Commands of the proxy itself do not wait, also from a borrower.
            for group in ('', 'loan:'):
                async with gate.count_opening(group):
                    assert gate.in_flight == 2
            with pytest.raises(NoSlotError):
                async with gate.count_opening('db'):
                    await curio.sleep(0)
        assert gate.in_flight == 0

    run_virtual(scenario)


def test_node_that_is_no_holder_runs_one_statement_at_a_time() -> None:
    terms = SlotTerms(4, 1, 'other', ('n0', 'n1', 'n2'))
    assert (terms.part, terms.spare) == (1, 0)
