"""Simulated statements of many workspaces that share few connections.

A few holders have fewer connections to each server than there are workspaces,
so that statements must meet connections that are already open.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from deckdrum.load.allocation import rank_holders, rank_replicas
from deckdrum.outcomes import Refusal
from deckdrum.testing.pools import StubPool, build_pool
from deckdrum.utils.ranks import compute_rendezvous_rank
from deckdrum.utils.virtualtime import run_virtual

WORKSPACES: Final = tuple(f'w{number}' for number in range(78))
WEIGHTS: Final = tuple(1 / (1 + number) for number in range(78))
NODES: Final = 71
HOLDERS: Final = tuple(f'n{number}' for number in range(6))
SERVERS: Final = ('i-1', 'i-2')
CONNECTIONS: Final = 2
STATEMENTS: Final = 6000

#: Returns the holder and the server for a workspace's statement at a node.
_Router = Callable[[str, int, Random], tuple[str, str]]


def _route_by_node(
    workspace: str,
    node: int,
    randomness: Random,
) -> tuple[str, str]:
    """Use the holder in the node's data centre, and a random server."""
    local_holders = [name for name in HOLDERS if int(name[1:]) % 3 == node % 3]
    holder = min(
        local_holders,
        key=lambda name: compute_rendezvous_rank(f'n{node}', name),
    )
    return holder, randomness.choice(SERVERS)


def _route_by_workspace(
    workspace: str,
    node: int,
    randomness: Random,
) -> tuple[str, str]:
    holder = rank_holders('stalls', workspace, HOLDERS)[0]
    return holder, rank_replicas(workspace, SERVERS)[0]


async def _simulate(route: _Router, seed: int) -> float:
    """Return the fraction of statements that found a connection open."""
    randomness = Random(seed)
    pools: dict[tuple[str, str], StubPool] = {
        (holder, server): build_pool(CONNECTIONS)
        for holder in HOLDERS
        for server in SERVERS
    }
    for workspace in randomness.choices(WORKSPACES, WEIGHTS, k=STATEMENTS):
        node = randomness.randrange(NODES)
        pool = pools[route(workspace, node, randomness)]
        lease = await pool.acquire('db', 1, workspace=workspace)
        assert not isinstance(lease, Refusal)
        await pool.release(lease, is_clean=True)
    return _compute_reused_fraction(list(pools.values()))


def _compute_reused_fraction(pools: Sequence[StubPool]) -> float:
    reused = sum(pool.stats.reused for pool in pools)
    return reused / STATEMENTS


def test_routing_by_workspace_finds_more_open_connections() -> None:
    scattered = run_virtual(_simulate, _route_by_node, 1)
    gathered = run_virtual(_simulate, _route_by_workspace, 1)
    assert scattered < 0.25
    assert gathered > 2 * scattered


def test_rare_workspaces_do_not_evict_connections_of_large_ones() -> None:
    """Evicting the least recently used would often hit a large workspace."""
    assert run_virtual(_simulate, _route_by_workspace, 1) > 0.65
