"""Replays of workspaces that take turns at few connections.

Twelve statements a second for 78 workspaces, a few of them large, come to 71
nodes in three data centres.  Six of these hold two connections each to every
server of a group: 12 for all workspaces together.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from deckdrum.load.placement import rank_holders, rank_replicas
from deckdrum.outcomes import Refusal
from deckdrum.testing.pools import CountedPool, build_pool
from deckdrum.utils.ranks import weigh
from deckdrum.utils.virtualtime import run_virtual

WORKSPACES: Final = tuple(f'w{number}' for number in range(78))
WEIGHTS: Final = tuple(1 / (1 + number) for number in range(78))
NODES: Final = 71
HOLDERS: Final = tuple(f'n{number}' for number in range(6))
SERVERS: Final = ('i-1', 'i-2')
CONNECTIONS: Final = 2
STATEMENTS: Final = 6000

#: Returns the holder and the server of a workspace's statement at a node.
_Place = Callable[[str, int, Random], tuple[str, str]]


def _place_by_node(
    workspace: str,
    node: int,
    randomness: Random,
) -> tuple[str, str]:
    """Each node hands all to its nearest holder; any replica does."""
    near = [name for name in HOLDERS if int(name[1:]) % 3 == node % 3]
    holder = min(near, key=lambda name: weigh(f'n{node}', name))
    return holder, randomness.choice(SERVERS)


def _place_by_workspace(
    workspace: str,
    node: int,
    randomness: Random,
) -> tuple[str, str]:
    holder = rank_holders('stalls', workspace, HOLDERS)[0]
    return holder, rank_replicas(workspace, SERVERS)[0]


async def _replay(place: _Place, seed: int) -> float:
    """Return the part of statements that found a connection open."""
    randomness = Random(seed)
    pools: dict[tuple[str, str], CountedPool] = {
        (holder, server): build_pool(CONNECTIONS)
        for holder in HOLDERS
        for server in SERVERS
    }
    for workspace in randomness.choices(WORKSPACES, WEIGHTS, k=STATEMENTS):
        node = randomness.randrange(NODES)
        pool = pools[place(workspace, node, randomness)]
        lease = await pool.acquire('db', 1, workspace=workspace)
        assert not isinstance(lease, Refusal)
        await pool.release(lease, is_clean=True)
    return _read_share(list(pools.values()))


def _read_share(pools: Sequence[CountedPool]) -> float:
    reused = sum(pool.figures.reused for pool in pools)
    return reused / STATEMENTS


def test_statements_of_a_workspace_meet_at_open_connections() -> None:
    scattered = run_virtual(_replay, _place_by_node, 1)
    gathered = run_virtual(_replay, _place_by_workspace, 1)
    assert scattered < 0.25
    assert gathered > 2 * scattered


def test_rare_workspaces_push_out_no_connection_of_large_ones() -> None:
    """The longest unused would be that of a large one as often as not."""
    assert run_virtual(_replay, _place_by_workspace, 1) > 0.65
