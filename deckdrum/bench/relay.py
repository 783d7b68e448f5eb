"""Cost of the relay: through a proxy against straight to the stand-in.

Wall-clock figures; both ways are measured in turn, in one run, and only
their ratios mean something.
"""

import gc
import time
import tracemalloc
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import curio
from hdrh.histogram import HdrHistogram

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.databases import Credentials

_SERVICE: Final = 'stalls'
_ROUNDS: Final = 5
_STATEMENTS: Final = 400
_IDLE_CALLERS: Final = 200
_LONGEST_MICROSECONDS: Final = 10_000_000
_DIGITS: Final = 3
_MEDIAN: Final = 50
_TAIL: Final = 99
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class PathFigures:
    """Figures of one way to the database; times in microseconds."""

    statements_a_second: float
    median: int
    tail: int


async def measure_relay() -> Mapping[str, float]:
    """Return the figures by name, with their units in the names."""
    layout = Layout(
        services=(_SERVICE,),
        # The clock of a sleep is too coarse to be part of the comparison.
        hop_latency=0,
        local_latency=0,
        statement_time=0,
        connect_time=0,
        proxies=1,
    )
    deployment = Deployment(layout)
    await deployment.start()
    figures = await _compare(deployment)
    figures['idle_caller_bytes'] = await _weigh_idle(deployment)
    await deployment.close()
    return figures


async def _compare(deployment: Deployment) -> dict[str, float]:
    straight = await _connect_straight(deployment)
    through = await deployment.connect('p1')
    await straight.run('SELECT 1')
    await through.run('SELECT 1')
    ways: dict[str, list[PathFigures]] = {'straight': [], 'through': []}
    for _ in range(_ROUNDS):
        ways['straight'].append(await _measure(straight))
        ways['through'].append(await _measure(through))
    middle = {name: _pick_middle(each) for name, each in ways.items()}
    near, far = middle['straight'], middle['through']
    await straight.close()
    await through.close()
    return {
        'straight_statements_a_second': near.statements_a_second,
        'through_statements_a_second': far.statements_a_second,
        'throughput_ratio': far.statements_a_second / near.statements_a_second,
        'median_ratio': far.median / near.median,
        'tail_ratio': far.tail / near.tail,
    }


async def _connect_straight(deployment: Deployment) -> Client:
    database = deployment.databases['stalls-2']
    profile = database.profile
    credentials = Credentials(profile.user, profile.password, 'bench')
    return await Client.connect(database.address, credentials)


async def _measure(client: Client) -> PathFigures:
    times = HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)
    began = time.perf_counter()
    for _ in range(_STATEMENTS):
        sent = time.perf_counter()
        await client.run('SELECT 1')
        passed = time.perf_counter() - sent
        times.record_value(round(passed * _MICROSECONDS))
    whole = time.perf_counter() - began
    return PathFigures(
        _STATEMENTS / whole,
        times.get_value_at_percentile(_MEDIAN),
        times.get_value_at_percentile(_TAIL),
    )


def _pick_middle(ways: list[PathFigures]) -> PathFigures:
    ranked = sorted(ways, key=lambda way: way.statements_a_second)
    return ranked[len(ranked) // 2]


async def _weigh_idle(deployment: Deployment) -> float:
    """Return the proxy's Python memory for one idle caller, in bytes.

    Counts what the interpreter allocates in the proxy's modules; the
    caller's own side and the kernel's socket buffers are left out.
    """
    clients = []
    gc.collect()
    tracemalloc.start()
    before = _read_memory()
    for _ in range(_IDLE_CALLERS):
        clients.append(await deployment.connect('p1'))
    await curio.sleep(1)
    gc.collect()
    weight = (_read_memory() - before) / _IDLE_CALLERS
    tracemalloc.stop()
    for client in clients:
        await client.close()
    return weight


def _read_memory() -> int:
    snapshot = tracemalloc.take_snapshot()
    left_out = tracemalloc.Filter(False, '*/databases/postgres.py')
    statistics = snapshot.filter_traces([left_out]).statistics('filename')
    return sum(each.size for each in statistics)
