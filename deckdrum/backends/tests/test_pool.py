"""Pools that hold connections of several workspaces."""

from collections.abc import Awaitable, Callable
from typing import Any

from deckdrum.backends import ConnectionStats
from deckdrum.outcomes import Refusal
from deckdrum.testing.pools import (
    StubLease,
    StubLink,
    StubPool,
    build_pool,
)
from deckdrum.utils.virtualtime import run_virtual

SLOTS = 2


def _run(scenario: Callable[[StubPool], Awaitable[Any]]) -> None:
    run_virtual(scenario, build_pool(SLOTS))


async def _acquire(pool: StubPool, workspace: str | None) -> StubLease:
    lease = await pool.acquire('db', 1, workspace=workspace)
    assert not isinstance(lease, Refusal)
    return lease


async def _use(pool: StubPool, workspace: str | None) -> StubLink:
    lease = await _acquire(pool, workspace)
    await pool.release(lease, is_clean=True)
    return lease.link


def test_connection_of_another_workspace_is_never_assigned() -> None:
    async def scenario(pool: StubPool) -> None:
        first = await _use(pool, 'growers')
        second = await _use(pool, 'shoppers')
        assert (first.workspace, second.workspace) == ('growers', 'shoppers')
        assert await _use(pool, 'growers') is first
        assert await _use(pool, 'shoppers') is second
        assert pool.stats == ConnectionStats(opened=2, reused=2)

    _run(scenario)


def test_open_connections_never_exceed_the_slots() -> None:
    async def scenario(pool: StubPool) -> None:
        for turn in range(20):
            held = await _acquire(pool, f'w{turn}')
            await _use(pool, f'w{turn * 7 % 5}')
            await pool.release(held, is_clean=True)
            assert len(pool.database.open) <= SLOTS

    _run(scenario)


def test_connection_of_the_least_active_owner_is_evicted() -> None:
    async def scenario(pool: StubPool) -> None:
        await _use(pool, 'growers')
        await _use(pool, 'shoppers')
        await _use(pool, 'growers')
        await _use(pool, 'stewards')
        assert pool.database.open == ['growers', 'stewards']
        assert pool.stats.closed_for_room == 1

    _run(scenario)


def test_request_without_workspace_gets_any_idle_connection() -> None:
    async def scenario(pool: StubPool) -> None:
        first = await _use(pool, 'growers')
        assert await _use(pool, None) is first
        assert pool.stats.opened == 1

    _run(scenario)
