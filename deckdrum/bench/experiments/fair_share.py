"""``fair-share``: isolation of a group from bursts of another."""

import math
from dataclasses import replace
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.experiments.base import (
    DurationHistogram,
    Experiment,
    Findings,
)
from deckdrum.bench.group_load import GroupLoad, LoadStatistics
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.workload import create_table
from deckdrum.members import FairQueue, Permit
from deckdrum.outcomes import Refusal

_SERVICE: Final = 'stalls'
_DURATION_S: Final = 5.0
_STATEMENT: Final = 'SELECT pg_sleep(0.02)'
_SLOW_STATEMENT: Final = 'SELECT pg_sleep(0.2)'
_TAIL_PERCENTILE: Final = 99
_MEDIAN_PERCENTILE: Final = 50
_SAMPLE_COUNT: Final = 20
_QUIET_CALLER_COUNT: Final = 4
_BURST_CALLER_COUNT: Final = 150
#: Includes four connections reserved for control.
_MAX_CONNECTIONS: Final = 14
_PAUSE_S: Final = 0.05
_MAX_P99_FACTOR: Final = 1.5
_MIN_FRACTION: Final = 0.95


def _make_layout(seed: int) -> Layout:
    return replace(
        MARKET,
        services=(_SERVICE,),
        groups=('growers', 'shoppers'),
        weights=(1, 1),
        proxies=4,
        max_connections=_MAX_CONNECTIONS,
        seed=seed,
    )


async def _open_idle_transactions(
    deployment: Deployment, group: str, number: int
) -> None:
    """Open transactions that stay idle."""
    proxies = sorted(deployment.proxies)
    for index in range(number):
        proxy = proxies[index % len(proxies)]
        client = await deployment.connect(proxy, group, _SERVICE)
        await curio.spawn(client.run, 'BEGIN', daemon=True)


async def _run_groups(
    seed: int,
    burst: str,
    is_naive: bool = False,
) -> tuple[LoadStatistics, LoadStatistics]:
    """Run a steady group next to a bursting one; return both results."""
    deployment = Deployment(_make_layout(seed))
    await deployment.start()
    if is_naive:
        _install_fifo_queues(deployment)
    await create_table(deployment, _SERVICE)
    quiet = GroupLoad(deployment, 'growers', _STATEMENT, _PAUSE_S)
    await quiet.start(_QUIET_CALLER_COUNT)
    statement = _SLOW_STATEMENT if burst == 'slow' else _STATEMENT
    noisy = GroupLoad(deployment, 'shoppers', statement, 0)
    await curio.sleep(1)
    if burst == 'idle':
        await _open_idle_transactions(
            deployment, 'shoppers', _BURST_CALLER_COUNT
        )
    elif burst != 'none':
        await noisy.start(_BURST_CALLER_COUNT)
    await curio.sleep(_DURATION_S)
    statistics = await quiet.finish(), await noisy.finish()
    await deployment.close()
    return statistics


class FairShare(Experiment):
    """Latency and throughput of a steady group while another bursts."""

    name = 'fair-share'
    summary = 'latency and throughput of a group while another bursts'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        alone, _ = await _run_groups(seed, 'none')
        base_p99 = alone.durations.percentile(_TAIL_PERCENTILE)
        findings.record('quiet p99 alone', base_p99, 's')
        for burst in ('quick', 'slow', 'idle'):
            quiet, noisy = await _run_groups(seed, burst)
            naive, _ = await _run_groups(seed, burst, is_naive=True)
            findings.at_most(
                f'{burst}: p99 factor',
                quiet.durations.percentile(_TAIL_PERCENTILE) / base_p99,
                _MAX_P99_FACTOR,
                naive=naive.durations.percentile(_TAIL_PERCENTILE) / base_p99,
            )
            findings.at_least(
                f'{burst}: throughput kept',
                quiet.durations.count / alone.durations.count,
                _MIN_FRACTION,
                naive=naive.durations.count / alone.durations.count,
            )
            findings.record(f'{burst}: burst answered', noisy.durations.count)
            findings.record(f'{burst}: burst refused', noisy.refusals)
        used_fraction = await _measure_used_fraction(seed)
        findings.at_least(
            'connections used by a group alone', used_fraction, _MIN_FRACTION
        )
        return findings


async def _measure_used_fraction(seed: int) -> float:
    """Return the fraction of connections that a single group can use."""
    deployment = Deployment(_make_layout(seed))
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = GroupLoad(deployment, 'growers', _STATEMENT, 0)
    await load.start(_BURST_CALLER_COUNT)
    await curio.sleep(2)
    used_fractions = DurationHistogram()
    queues = [
        keeper.pools[deployment.find_primary(_SERVICE).name].queue
        for proxy in deployment.proxies.values()
        for keeper in proxy.keeper_manager.keepers.values()
        if keeper.sessions
    ]
    for _ in range(_SAMPLE_COUNT):
        await curio.sleep(_PAUSE_S)
        used_fractions.add(queues[0].held / queues[0].slots)
    await load.finish()
    await deployment.close()
    return used_fractions.percentile(_MEDIAN_PERCENTILE)


class _FifoQueue(FairQueue):
    """Naive policy: one FIFO queue for all groups."""

    async def acquire(
        self,
        group: str,
        timeout: float,
        patience: float = math.inf,
        owner: str = '',
    ) -> Permit | Refusal:
        """Wait behind all earlier requests, of any group."""
        return await super().acquire('everybody', timeout)


def _install_fifo_queues(deployment: Deployment) -> None:
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            for pool in keeper.pools.values():
                pool.queue = _FifoQueue(pool.queue.slots, {})
