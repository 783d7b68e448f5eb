"""Connections of workspaces in one pool."""

from collections.abc import Awaitable, Callable
from typing import Any

from deckdrum.backends import ConnectionFigures, Lease, Pool, PooledLink
from deckdrum.backends.pool import Connectable
from deckdrum.outcomes import Refusal
from deckdrum.utils.virtualtime import run_virtual

SLOTS = 2


class _Link(PooledLink):
    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.is_open = True

    @property
    def is_usable(self) -> bool:
        return self.is_open

    async def close(self) -> None:
        self.is_open = False


class _Server(Connectable[_Link]):
    def __init__(self) -> None:
        self.links: list[_Link] = []

    @property
    def open(self) -> list[str]:
        return [link.workspace for link in self.links if link.is_open]

    async def connect(self, limit: float) -> _Link:
        return await self.connect_for('', limit)

    async def connect_for(
        self,
        group: str,
        limit: float,
        workspace: str | None = None,
    ) -> _Link:
        link = _Link(workspace or '')
        self.links.append(link)
        return link


_Pool = Pool[_Server, _Link]


def _play(scenario: Callable[[_Pool], Awaitable[Any]]) -> None:
    run_virtual(scenario, Pool(_Server(), SLOTS, {}))


async def _take(pool: _Pool, workspace: str | None) -> Lease[_Server, _Link]:
    lease = await pool.acquire('db', 1, workspace=workspace)
    assert not isinstance(lease, Refusal)
    return lease


async def _use(pool: _Pool, workspace: str | None) -> _Link:
    lease = await _take(pool, workspace)
    await pool.release(lease, is_clean=True)
    return lease.link


def test_connection_of_another_workspace_is_never_lent() -> None:
    async def scenario(pool: _Pool) -> None:
        first = await _use(pool, 'growers')
        second = await _use(pool, 'shoppers')
        assert (first.workspace, second.workspace) == ('growers', 'shoppers')
        assert await _use(pool, 'growers') is first
        assert await _use(pool, 'shoppers') is second
        assert pool.figures == ConnectionFigures(opened=2, reused=2)

    _play(scenario)


def test_no_more_are_open_than_slots_whatever_workspaces_ask() -> None:
    async def scenario(pool: _Pool) -> None:
        for turn in range(20):
            held = await _take(pool, f'w{turn}')
            await _use(pool, f'w{turn * 7 % 5}')
            await pool.release(held, is_clean=True)
            assert len(pool.database.open) <= SLOTS

    _play(scenario)


def test_longest_unused_is_closed_to_make_room() -> None:
    async def scenario(pool: _Pool) -> None:
        await _use(pool, 'growers')
        await _use(pool, 'shoppers')
        await _use(pool, 'growers')
        await _use(pool, 'stewards')
        assert pool.database.open == ['growers', 'stewards']
        assert pool.figures.closed_for_room == 1

    _play(scenario)


def test_own_question_takes_any_idle_connection() -> None:
    async def scenario(pool: _Pool) -> None:
        first = await _use(pool, 'growers')
        assert await _use(pool, None) is first
        assert pool.figures.opened == 1

    _play(scenario)
