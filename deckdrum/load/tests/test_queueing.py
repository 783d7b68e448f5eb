"""Simulated load on one queue, in virtual time."""

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
#: Execution time of one statement, and the time to answer it in.
WORK_S = 0.03
OBJECTIVE_S = 0.25
#: Longest wait in the queue.
TIMEOUT_S = 0.76


@dataclass(slots=True)
class Tally:
    """Counts of statements by outcome, and the waits of refused ones."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusals: list[float] = field(default_factory=list)

    @property
    def asked(self) -> int:
        """Total number of statements."""
        return self.in_time + self.late + self.refused


async def _run_statement(
    queue: FairQueue, on_time_wait: float, tally: Tally
) -> None:
    began = await curio.clock()
    permit = await queue.acquire(GROUP, TIMEOUT_S, on_time_wait)
    waited = await curio.clock() - began
    if isinstance(permit, Refusal):
        tally.refused += 1
        tally.refusals.append(waited)
        return
    await curio.sleep(WORK_S)
    await queue.release(permit)
    if waited + WORK_S <= OBJECTIVE_S:
        tally.in_time += 1
    else:
        tally.late += 1


async def _simulate(
    loads: list[tuple[float, float]],
    on_time_wait: float,
    seed: int,
) -> Tally:
    """Send statements; each load is a fraction of capacity and a duration."""
    randomness = Random(seed)
    queue = FairQueue(CONNECTIONS, {})
    tally = Tally()
    async with curio.TaskGroup() as tasks:
        for fraction, seconds in loads:
            end = await curio.clock() + seconds
            while await curio.clock() < end:
                pause = randomness.expovariate(fraction * CONNECTIONS / WORK_S)
                await curio.sleep(pause)
                await tasks.spawn(_run_statement, queue, on_time_wait, tally)
    return tally


def simulate(
    loads: list[tuple[float, float]],
    on_time_wait: float,
    seed: int = 1,
) -> Tally:
    """Run a load in virtual time and return its outcome."""
    tally: Tally = run_virtual(_simulate, loads, on_time_wait, seed)
    return tally


@pytest.mark.parametrize('seed', range(3))
def test_overload_leaves_most_in_time(seed: int) -> None:
    """The load exceeds capacity by a fifth, as when replicas lag."""
    load = [(0.5, 1.0), (1.2, 8.0)]
    by_deadline = simulate(load, OBJECTIVE_S - WORK_S, seed)
    by_arrival = simulate(load, math.inf, seed)
    assert by_deadline.in_time / by_deadline.asked > 0.7
    assert by_arrival.in_time / by_arrival.asked < 0.5


@pytest.mark.parametrize('seed', range(3))
def test_moderate_load_is_not_refused(seed: int) -> None:
    load = [(0.6, 10.0)]
    by_deadline = simulate(load, OBJECTIVE_S - WORK_S, seed)
    assert by_deadline.refused == 0
    assert by_deadline.late <= 0.01 * by_deadline.asked


def test_statement_that_would_be_late_is_refused_at_once() -> None:
    by_deadline = simulate([(2.0, 5.0)], OBJECTIVE_S - WORK_S)
    assert by_deadline.refused > 100
    assert median(by_deadline.refusals) < 0.05
    held = sum(wait > OBJECTIVE_S for wait in by_deadline.refusals)
    assert held <= 0.05 * by_deadline.refused


@pytest.mark.parametrize('seed', range(3))
def test_overload_ends_with_its_cause(seed: int) -> None:
    """Statements are in time again soon after a burst."""

    async def scenario() -> Tally:
        await _simulate([(1.5, 4.0)], OBJECTIVE_S - WORK_S, seed)
        return await _simulate([(0.6, 4.0)], OBJECTIVE_S - WORK_S, seed)

    after: Tally = run_virtual(scenario)
    assert after.late + after.refused <= 0.01 * after.asked


def test_short_burst_is_served_late_rather_than_refused() -> None:
    async def scenario() -> Tally:
        tally = Tally()
        queue = FairQueue(CONNECTIONS, {})
        async with curio.TaskGroup() as tasks:
            # Slightly more concurrent statements than can be in time.
            for _ in range(24):
                await tasks.spawn(
                    _run_statement, queue, OBJECTIVE_S - WORK_S, tally
                )
        return tally

    tally: Tally = run_virtual(scenario)
    assert tally.in_time >= 20
    assert tally.late <= 4
    assert tally.in_time + tally.late >= 23


def test_refused_callers_get_different_retry_times() -> None:
    async def scenario() -> list[float]:
        queue = FairQueue(CONNECTIONS, {})
        tally = Tally()
        retry_times: list[float] = []
        async with curio.TaskGroup() as tasks:
            for _ in range(60):
                await tasks.spawn(
                    _run_statement, queue, OBJECTIVE_S - WORK_S, tally
                )
            await curio.sleep(0.2)
            for _ in range(40):
                answer = await queue.acquire(GROUP, 0.01, 0)
                if isinstance(answer, Refusal) and answer.retry_after:
                    retry_times.append(answer.retry_after)
        return retry_times

    retry_times: list[float] = run_virtual(scenario)
    assert len(set(retry_times)) > 3
    assert max(retry_times) <= 2 * TIMEOUT_S


#: Statements per second that one connection executes.
RATE_PER_CONNECTION = 1 / WORK_S


async def _run_statement_of(
    queue: FairQueue,
    owner: str,
    tally: Tally,
) -> None:
    began = await curio.clock()
    permit = await queue.acquire(GROUP, TIMEOUT_S, OBJECTIVE_S - WORK_S, owner)
    if isinstance(permit, Refusal):
        tally.refused += 1
        return
    waited = await curio.clock() - began
    await curio.sleep(WORK_S)
    await queue.release(permit)
    if waited + WORK_S <= OBJECTIVE_S:
        tally.in_time += 1
    else:
        tally.late += 1


async def _simulate_hot_workspace(hot: float, seed: int) -> tuple[Tally, Tally]:
    """Load ten workspaces with half of capacity, and one with `hot` of it."""
    randomness = Random(seed)
    queue = FairQueue(CONNECTIONS, {})
    others, hot_tally = Tally(), Tally()
    rate = CONNECTIONS * RATE_PER_CONNECTION
    async with curio.TaskGroup() as tasks:
        end = await curio.clock() + 20
        while await curio.clock() < end:
            await curio.sleep(randomness.expovariate(rate * (0.5 + hot)))
            if randomness.random() < 0.5 / (0.5 + hot):
                owner = f'w{randomness.randrange(10)}'
                await tasks.spawn(_run_statement_of, queue, owner, others)
            else:
                await tasks.spawn(_run_statement_of, queue, 'hot', hot_tally)
    return others, hot_tally


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('hot', [0.7, 1.5, 3.0])
def test_hot_workspace_does_not_delay_others(hot: float, seed: int) -> None:
    others, hot_tally = run_virtual(_simulate_hot_workspace, hot, seed)
    assert others.in_time >= 0.95 * others.asked
    # The hot workspace gets the remaining capacity.
    assert hot_tally.in_time >= 0.3 * 20 * CONNECTIONS * RATE_PER_CONNECTION
