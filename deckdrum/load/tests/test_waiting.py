"""Replays of loads on one queue, in virtual time."""

import math
from dataclasses import dataclass, field
from random import Random
from statistics import median

import curio
import pytest

from deckdrum.members import FairQueue
from deckdrum.outcomes import Refusal
from deckdrum.utils.virtualtime import run_virtual

GROUP = 'stalls'
CONNECTIONS = 3
#: Time of one statement, and in which it should be answered, in seconds.
WORK = 0.03
OBJECTIVE = 0.25
#: Longest wait, in seconds.
LIMIT = 0.76


@dataclass(slots=True)
class Tally:
    """What became of statements; times in seconds."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusals: list[float] = field(default_factory=list)

    @property
    def asked(self) -> int:
        """Number of statements."""
        return self.in_time + self.late + self.refused


async def _ask(queue: FairQueue, patience: float, tally: Tally) -> None:
    began = await curio.clock()
    permit = await queue.acquire(GROUP, LIMIT, patience)
    waited = await curio.clock() - began
    if isinstance(permit, Refusal):
        tally.refused += 1
        tally.refusals.append(waited)
        return
    await curio.sleep(WORK)
    await queue.release(permit)
    if waited + WORK <= OBJECTIVE:
        tally.in_time += 1
    else:
        tally.late += 1


async def _replay(
    loads: list[tuple[float, float]],
    patience: float,
    seed: int,
) -> Tally:
    """Ask at random times: each load is a part of capacity for some seconds."""
    randomness = Random(seed)
    queue = FairQueue(CONNECTIONS, {})
    tally = Tally()
    async with curio.TaskGroup() as asking:
        for part, seconds in loads:
            end = await curio.clock() + seconds
            while await curio.clock() < end:
                pause = randomness.expovariate(part * CONNECTIONS / WORK)
                await curio.sleep(pause)
                await asking.spawn(_ask, queue, patience, tally)
    return tally


def replay(
    loads: list[tuple[float, float]],
    patience: float,
    seed: int = 1,
) -> Tally:
    """Return what becomes of a load."""
    tally: Tally = run_virtual(_replay, loads, patience, seed)
    return tally


@pytest.mark.parametrize('seed', range(3))
def test_overload_leaves_most_in_time(seed: int) -> None:
    """A group whose replicas are behind: a fifth more than it can do."""
    load = [(0.5, 1.0), (1.2, 8.0)]
    ordered = replay(load, OBJECTIVE - WORK, seed)
    in_turn = replay(load, math.inf, seed)
    assert ordered.in_time / ordered.asked > 0.7
    assert in_turn.in_time / in_turn.asked < 0.5


@pytest.mark.parametrize('seed', range(3))
def test_usual_load_is_not_turned_away(seed: int) -> None:
    load = [(0.6, 10.0)]
    ordered = replay(load, OBJECTIVE - WORK, seed)
    assert ordered.refused == 0
    assert ordered.late <= 0.01 * ordered.asked


def test_who_cannot_be_in_time_is_told_at_once() -> None:
    ordered = replay([(2.0, 5.0)], OBJECTIVE - WORK)
    assert ordered.refused > 100
    assert median(ordered.refusals) < 0.05
    held = sum(wait > OBJECTIVE for wait in ordered.refusals)
    assert held <= 0.05 * ordered.refused


@pytest.mark.parametrize('seed', range(3))
def test_overload_ends_with_its_cause(seed: int) -> None:
    """No statement is late a second after a burst."""

    async def scenario() -> Tally:
        await _replay([(1.5, 4.0)], OBJECTIVE - WORK, seed)
        return await _replay([(0.6, 4.0)], OBJECTIVE - WORK, seed)

    after: Tally = run_virtual(scenario)
    assert after.late + after.refused <= 0.01 * after.asked


def test_short_burst_is_served_late_rather_than_turned_away() -> None:
    async def scenario() -> Tally:
        tally = Tally()
        queue = FairQueue(CONNECTIONS, {})
        async with curio.TaskGroup() as asking:
            # A few more than can be in time, at once.
            for _ in range(24):
                await asking.spawn(_ask, queue, OBJECTIVE - WORK, tally)
        return tally

    tally: Tally = run_virtual(scenario)
    assert tally.in_time >= 20
    assert tally.late <= 4
    assert tally.in_time + tally.late >= 23


def test_caller_that_is_turned_away_is_told_when_to_come_back() -> None:
    async def scenario() -> list[float]:
        queue = FairQueue(CONNECTIONS, {})
        tally = Tally()
        returns: list[float] = []
        async with curio.TaskGroup() as asking:
            for _ in range(60):
                await asking.spawn(_ask, queue, OBJECTIVE - WORK, tally)
            await curio.sleep(0.2)
            for _ in range(40):
                told = await queue.acquire(GROUP, 0.01, 0)
                if isinstance(told, Refusal) and told.retry_after:
                    returns.append(told.retry_after)
        return returns

    returns: list[float] = run_virtual(scenario)
    assert len(set(returns)) > 3
    assert max(returns) <= 2 * LIMIT


#: Statements a second of one connection.
SPEED = 1 / WORK


async def _ask_for(
    queue: FairQueue,
    owner: str,
    tally: Tally,
) -> None:
    began = await curio.clock()
    permit = await queue.acquire(GROUP, LIMIT, OBJECTIVE - WORK, owner)
    if isinstance(permit, Refusal):
        tally.refused += 1
        return
    waited = await curio.clock() - began
    await curio.sleep(WORK)
    await queue.release(permit)
    if waited + WORK <= OBJECTIVE:
        tally.in_time += 1
    else:
        tally.late += 1


async def _replay_hot(hot: float, seed: int) -> tuple[Tally, Tally]:
    """Ask for ten workspaces at half of capacity, and for a hot one beside."""
    randomness = Random(seed)
    queue = FairQueue(CONNECTIONS, {})
    usual, heated = Tally(), Tally()
    rate = CONNECTIONS * SPEED
    async with curio.TaskGroup() as asking:
        end = await curio.clock() + 20
        while await curio.clock() < end:
            await curio.sleep(randomness.expovariate(rate * (0.5 + hot)))
            if randomness.random() < 0.5 / (0.5 + hot):
                owner = f'w{randomness.randrange(10)}'
                await asking.spawn(_ask_for, queue, owner, usual)
            else:
                await asking.spawn(_ask_for, queue, 'hot', heated)
    return usual, heated


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('hot', [0.7, 1.5, 3.0])
def test_hot_workspace_costs_no_other_its_time(hot: float, seed: int) -> None:
    usual, heated = run_virtual(_replay_hot, hot, seed)
    assert usual.in_time >= 0.95 * usual.asked
    # What the others leave is the hot one's.
    assert heated.in_time >= 0.3 * 20 * CONNECTIONS * SPEED
