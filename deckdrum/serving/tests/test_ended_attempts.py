"""Attempts that go on when their caller has been answered."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import curio
import pytest

from deckdrum.outcomes import Refusal
from deckdrum.serving.servers import ServerHandle
from deckdrum.testing.nodes import (
    BOUNDED,
    SERVICE,
    Deployment,
    run_scenario,
)

#: Time of a statement after which a read is hedged.
_SLOW_S: Final = 0.32
#: Time of a statement after which the hedged attempts have given up, too.
_VERY_SLOW_S: Final = 1.4
#: Longer than any attempt waits for a connection.
_QUEUE_TIME_S: Final = 0.6
_OWNER: Final = 'workspace'


def _list_handles(deployment: Deployment) -> list[ServerHandle]:
    return list(deployment.nodes[0].node.services[SERVICE].servers.values())


@asynccontextmanager
async def _hold_connections(
    deployment: Deployment, *, idle_replicas: int, is_primary_held: bool = False
) -> AsyncIterator[None]:
    """Hold every connection of the first node to some of the servers."""
    primary = deployment.group.primary.name
    handles = _list_handles(deployment)
    held = [handle for handle in handles if handle.id != primary]
    held = held[idle_replicas:]
    if is_primary_held:
        held += [handle for handle in handles if handle.id == primary]
    leases = []
    for handle in held:
        for _ in range(handle.pool.queue.slots - handle.pool.queue.held):
            lease = await handle.acquire_own(_OWNER, 1, {})
            assert not isinstance(lease, Refusal)
            leases.append((handle, lease))
    try:
        yield
    finally:
        for handle, lease in leases:
            await handle.release(lease, is_clean=True)


@pytest.mark.parametrize(
    ('before', 'statement', 'after'),
    [
        (
            'PREPARE s1 READ q1',
            'EXECUTE s1 a',
            ('DEALLOCATE s1', 'PREPARE s1 READ q2'),
        ),
        ('SET colour red', 'READ a', ('SET colour blue',)),
    ],
)
def test_answered_read_runs_nowhere_with_a_later_session_state(
    before: str, statement: str, after: tuple[str, ...]
) -> None:
    """A hedged read looked up names and values when it got a connection."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        for _ in range(3):
            assert (await client.ask('READ a')).is_done
        deployment.group.statement_time = _SLOW_S
        assert not (await client.ask(before)).rows
        deployment.group.executed_statements.clear()
        async with _hold_connections(deployment, idle_replicas=1):
            assert (await client.ask(statement)).is_done
            for line in after:
                assert (await client.ask(line)).is_done
        await curio.sleep(_QUEUE_TIME_S)
        executed = [
            (ran.shape, ran.values)
            for ran in deployment.group.executed_statements
        ]
        assert executed
        assert all(ran == executed[0] for ran in executed)

    run_scenario(scenario)


def test_waiting_attempt_of_an_answered_read_leaves_its_queue() -> None:
    """A hedged attempt ran, or held a place, after its caller's answer."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        for _ in range(3):
            assert (await client.ask('READ a')).is_done
        deployment.group.statement_time = _SLOW_S
        deployment.group.executed_statements.clear()
        async with _hold_connections(deployment, idle_replicas=1):
            assert (await client.ask('READ a')).is_done
            waiting = [
                handle.pool.queue.waiting + handle.gate.waiting
                for handle in _list_handles(deployment)
            ]
            assert waiting == [0, 0, 0]
        await curio.sleep(_QUEUE_TIME_S)
        assert len(deployment.group.executed_statements) == 1
        assert not any(handle.load for handle in _list_handles(deployment))

    run_scenario(scenario)


def test_read_that_a_server_is_running_is_not_refused_as_not_run() -> None:
    """A hedged attempt without a connection refused it meanwhile."""

    async def scenario(deployment: Deployment) -> None:
        client = await deployment.connect(BOUNDED)
        for _ in range(3):
            assert (await client.ask('READ a')).is_done
        deployment.group.statement_time = _VERY_SLOW_S
        deployment.group.executed_statements.clear()
        async with _hold_connections(
            deployment, idle_replicas=1, is_primary_held=True
        ):
            assert (await client.ask('READ a')).is_done
        assert len(deployment.group.executed_statements) == 1

    run_scenario(scenario)
