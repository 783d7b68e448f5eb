"""Reads that wait for replicas, and the bound on reads at the primary."""

from types import SimpleNamespace
from typing import Any, cast

import curio
import pytest

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.load.replica_reads import count_primary_reads
from deckdrum.outcomes import Code, Refusal
from deckdrum.serving.attempts import Attempt
from deckdrum.serving.primary_reads import PrimaryReads
from deckdrum.serving.replica_lag import ReplicaLag
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.sessions import Position
from deckdrum.testing.nodes import (
    BOUNDED,
    BOUNDED_AGE_MS,
    CURRENT,
    OWN_WRITES,
    SERVICE,
    Deployment,
    build_route,
    run_scenario,
)
from deckdrum.utils.counters import Counters
from deckdrum.utils.virtualtime import run_virtual

UNEVEN = (2, 2, 0.5)
OBJECTIVE_S = 0.25
URGENT = Route(
    'db-urgent', SERVICE, ConsistencyGuarantee.CURRENT, 0, 0.6, 0.1, 0
)
BACKGROUND = Route(
    'db-old', SERVICE, ConsistencyGuarantee.BOUNDED, 1.5, 1.5, 0.6, 2
)
CONNECTIONS = 4
STATEMENT_S = 0.02


@pytest.mark.parametrize(
    ('capacities', 'is_replica'), [(UNEVEN, True), ((), False)]
)
def test_read_of_own_change_waits_for_a_replica_in_an_uneven_fleet(
    capacities: tuple[float, ...], is_replica: bool
) -> None:
    # Failure: the primary runs all reads of own changes while replicas lag.
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        # The first change gives the sample of the primary that reads need.
        await client.ask('WRITE a 0')
        await client.ask('READ a')
        for number in range(1, 5):
            await client.ask(f'WRITE a {number}')
            began = await curio.clock()
            assert (await client.ask('READ a')).rows == [f'a-{number + 1}']
            assert await curio.clock() - began < OBJECTIVE_S
            reader = deployment.group.executed_statements[-1].server
            primary = deployment.group.primary.name
            assert (reader != primary) is is_replica
            await curio.sleep(0.3)

    run_scenario(scenario, lag=0.05, capacities=capacities)


def test_read_does_not_wait_for_a_replica_that_never_catches_up() -> None:
    # Failure: a replica without replication delays each read.
    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(OWN_WRITES)
        await client.ask('READ a')
        for server in deployment.group.servers.values():
            server.is_replication_blocked = True
        await client.ask('WRITE a 1')
        slow = 0
        for _ in range(20):
            began = await curio.clock()
            assert (await client.ask('READ a')).rows == ['a-1']
            elapsed = await curio.clock() - began
            assert elapsed < OBJECTIVE_S + STATEMENT_S
            slow += elapsed > STATEMENT_S * 2
            await curio.sleep(0.1)
        assert slow <= 2

    run_scenario(scenario, capacities=UNEVEN)


def test_expected_lag_falls_with_the_age_of_answers_and_expires() -> None:
    # Failure: reads avoid a replica for long after it has caught up.
    lag = ReplicaLag()
    lag.record_lag(Position(1, 7), now=5, created_at=4.5)
    assert lag.find_expected(now=5.1) == 1
    lag.record_age(0.25, now=5.5)
    assert lag.find_expected(now=5.5) == 0.25
    lag.record_age(0.5, now=5.5)
    assert lag.find_expected(now=5.5) == 0.25
    assert lag.find_expected(now=7.5) is None


def build_primary_reads(*, has_urgent_routes: bool = True) -> PrimaryReads:
    """Return the reads at the primary of a group."""
    declaration = SimpleNamespace(has_urgent_routes=has_urgent_routes)
    runtime: Any = SimpleNamespace(declaration=declaration, counters=Counters())
    return PrimaryReads(cast(ServiceRuntime, runtime))


def build_attempt(*, was_sent: bool) -> Attempt:
    """Return an attempt that runs, or waits for a connection."""
    attempt: Any = SimpleNamespace(was_sent=was_sent)
    return cast(Attempt, attempt)


async def _ask_for_primary(
    reads: PrimaryReads, route: Route, time_left: float
) -> tuple[Refusal | None, float]:
    """Return the refusal of a read, if any, and its wait in seconds."""
    queue = SimpleNamespace(slots=CONNECTIONS)
    handle: Any = SimpleNamespace(
        pool=SimpleNamespace(queue=queue),
        response_times=SimpleNamespace(mean=STATEMENT_S),
    )
    began = await curio.clock()
    refusal = await reads.wait_within_bound(
        cast(ServerHandle, handle), route, began + time_left, began + 1
    )
    return refusal, await curio.clock() - began


def _ask_beside(
    reads: PrimaryReads, running: int, time_left: float, route: Route
) -> tuple[Refusal | None, float]:
    """Ask beside an urgent statement that waits and reads that run."""
    with reads.track(build_attempt(was_sent=False), URGENT, is_read=False):
        return _ask_beside_reads(reads, running, time_left, route)


def _ask_beside_reads(
    reads: PrimaryReads, running: int, time_left: float, route: Route
) -> tuple[Refusal | None, float]:
    if not running:
        return run_virtual(_ask_for_primary, reads, route, time_left)
    attempt = build_attempt(was_sent=True)
    with reads.track(attempt, BACKGROUND, is_read=True):
        return _ask_beside_reads(reads, running - 1, time_left, route)


@pytest.mark.parametrize(
    ('running', 'time_left', 'is_refused'),
    [(1, 0.03, False), (2, 0.03, True), (2, 0.5, True)],
)
def test_read_beyond_the_bound_is_rejected_once_it_cannot_be_in_time(
    running: int, time_left: float, is_refused: bool
) -> None:
    # Failure: reads use more than half of the connections while an urgent
    # statement waits, or wait although they will be late.
    reads = build_primary_reads()
    refusal, wait = _ask_beside(reads, running, time_left, BACKGROUND)
    assert (refusal is not None) is is_refused
    assert wait <= max(0, time_left - STATEMENT_S)
    if refusal is not None:
        assert refusal.code is Code.QUEUE_TIMEOUT


@pytest.mark.parametrize('has_urgent_routes', [True, False])
def test_other_reads_are_not_bounded(has_urgent_routes: bool) -> None:
    # Failure: the bound holds back reads that need the primary, or applies to
    # a group without urgent routes.
    reads = build_primary_reads(has_urgent_routes=has_urgent_routes)
    route = URGENT if has_urgent_routes else BACKGROUND
    assert _ask_beside(reads, 3, 0.03, route) == (None, 0)


def test_read_goes_on_once_no_urgent_statement_waits() -> None:
    # Failure: a read that was held back stays so until its deadline.
    async def scenario() -> None:
        reads = build_primary_reads()
        attempt: Any = build_attempt(was_sent=False)
        running = build_attempt(was_sent=True)
        with (
            reads.track(attempt, URGENT, is_read=False),
            reads.track(running, BACKGROUND, is_read=True),
            reads.track(running, BACKGROUND, is_read=True),
        ):
            asking = await curio.spawn(_ask_for_primary, reads, BACKGROUND, 0.5)
            await curio.sleep(0.1)
            attempt.was_sent = True
            refusal, wait = await asking.join()
        assert refusal is None
        assert 0.1 <= wait < 0.11

    run_virtual(scenario)


def test_bound_holds_for_statements_of_callers() -> None:
    # Failure: reads of callers do not pass the bound.
    async def scenario(deployment: Deployment) -> None:
        routes = [
            build_route(CURRENT, 'primary', priority=0),
            build_route(
                BOUNDED,
                'bounded',
                maxStalenessMs=BOUNDED_AGE_MS,
                objectiveMs=100,
            ),
            build_route(OWN_WRITES, 'own_writes', maxStalenessMs=2500),
        ]
        await deployment.configure(2, routes=routes)
        runtime = deployment.nodes[0].node.services[SERVICE]
        await deployment.wait_for(lambda: runtime.declaration.has_urgent_routes)
        handle = _find_primary(deployment)
        bound = count_primary_reads(handle.pool.queue.slots)
        # A client that is no longer referenced ends its transaction.
        clients = []
        for _ in range(handle.pool.queue.slots):
            client = await deployment.connect(CURRENT)
            clients.append(client)
            await client.ask('BEGIN')
            assert (await client.ask('WRITE a 1')).is_done
        # This gives the sample of the primary that reads need.
        assert (await (await deployment.connect(BOUNDED)).ask('READ a')).is_done
        for replica in runtime.replicas:
            replica.record_failure(await curio.clock(), ConnectionResetError())
        waiting = []
        within_bound = [OWN_WRITES for _ in range(bound)]
        for database in (CURRENT, *within_bound, BOUNDED, BOUNDED):
            client = await deployment.connect(database)
            clients.append(client)
            waiting.append(await curio.spawn(client.ask, 'READ a'))
            await curio.sleep(0.001)
        for task in waiting:
            await task.join()
        events = runtime.counters.events
        assert events['primary_reads_rejected'] == 2

    run_scenario(scenario)


def _find_primary(deployment: Deployment) -> ServerHandle:
    primary = deployment.nodes[0].node.services[SERVICE].primary
    assert primary is not None
    return primary
