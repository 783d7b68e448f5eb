"""Overhead of the proxy compared with a direct connection to a stand-in.

Both paths are measured alternately in wall-clock time within one run; only
the ratios are comparable between machines.
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
_STATEMENTS_PER_ROUND: Final = 400
_IDLE_CALLER_COUNT: Final = 200
_MAX_DURATION_US: Final = 10_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MEDIAN_PERCENTILE: Final = 50
_TAIL_PERCENTILE: Final = 99
_MICROSECONDS_PER_S: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class PathFigures:
    """Throughput and latency of one path to the database."""

    statements_per_s: float
    median_us: int
    p99_us: int


async def measure_relay() -> Mapping[str, float]:
    """Return the measured figures by name."""
    layout = Layout(
        services=(_SERVICE,),
        # Simulated delays are disabled: sleeps are too coarse to compare.
        hop_latency=0,
        local_latency=0,
        statement_time=0,
        connect_time=0,
        proxies=1,
    )
    deployment = Deployment(layout)
    await deployment.start()
    figures = await _compare_paths(deployment)
    figures['idle_caller_bytes'] = await _measure_idle_caller_bytes(deployment)
    await deployment.close()
    return figures


async def _compare_paths(deployment: Deployment) -> dict[str, float]:
    direct_client = await _connect_directly(deployment)
    proxied_client = await deployment.connect('p1')
    await direct_client.run('SELECT 1')
    await proxied_client.run('SELECT 1')
    rounds: dict[str, list[PathFigures]] = {'straight': [], 'through': []}
    for _ in range(_ROUNDS):
        rounds['straight'].append(await _measure_round(direct_client))
        rounds['through'].append(await _measure_round(proxied_client))
    medians = {name: _find_median_round(each) for name, each in rounds.items()}
    direct, proxied = medians['straight'], medians['through']
    await direct_client.close()
    await proxied_client.close()
    return {
        'straight_statements_a_second': direct.statements_per_s,
        'through_statements_a_second': proxied.statements_per_s,
        'throughput_ratio': proxied.statements_per_s / direct.statements_per_s,
        'median_ratio': proxied.median_us / direct.median_us,
        'tail_ratio': proxied.p99_us / direct.p99_us,
    }


async def _connect_directly(deployment: Deployment) -> Client:
    database = deployment.databases['stalls-2']
    profile = database.profile
    credentials = Credentials(profile.user, profile.password, 'bench')
    return await Client.connect(database.address, credentials)


async def _measure_round(client: Client) -> PathFigures:
    durations = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    started_at = time.perf_counter()
    for _ in range(_STATEMENTS_PER_ROUND):
        sent_at = time.perf_counter()
        await client.run('SELECT 1')
        elapsed = time.perf_counter() - sent_at
        durations.record_value(round(elapsed * _MICROSECONDS_PER_S))
    total = time.perf_counter() - started_at
    return PathFigures(
        _STATEMENTS_PER_ROUND / total,
        durations.get_value_at_percentile(_MEDIAN_PERCENTILE),
        durations.get_value_at_percentile(_TAIL_PERCENTILE),
    )


def _find_median_round(rounds: list[PathFigures]) -> PathFigures:
    ranked = sorted(rounds, key=lambda figures: figures.statements_per_s)
    return ranked[len(ranked) // 2]


async def _measure_idle_caller_bytes(deployment: Deployment) -> float:
    """Return the Python memory that the proxy uses for one idle caller.

    Excludes allocations of the client and kernel socket buffers.
    """
    clients = []
    gc.collect()
    tracemalloc.start()
    before = _measure_traced_bytes()
    for _ in range(_IDLE_CALLER_COUNT):
        clients.append(await deployment.connect('p1'))
    await curio.sleep(1)
    gc.collect()
    caller_bytes = (_measure_traced_bytes() - before) / _IDLE_CALLER_COUNT
    tracemalloc.stop()
    for client in clients:
        await client.close()
    return caller_bytes


def _measure_traced_bytes() -> int:
    snapshot = tracemalloc.take_snapshot()
    excluded = tracemalloc.Filter(False, '*/databases/postgres.py')
    statistics = snapshot.filter_traces([excluded]).statistics('filename')
    return sum(each.size for each in statistics)
