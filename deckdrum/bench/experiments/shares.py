"""``fair-share``: one group bursts beside another."""

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
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.loads import GroupLoad, Tally
from deckdrum.bench.workload import create_table
from deckdrum.members import FairQueue, Permit
from deckdrum.outcomes import Refusal

_SERVICE: Final = 'stalls'
_SECONDS: Final = 5.0
_STATEMENT: Final = 'SELECT pg_sleep(0.02)'
_SLOW_STATEMENT: Final = 'SELECT pg_sleep(0.2)'
_TAIL: Final = 99
_MEDIAN: Final = 50
_LOOKS: Final = 20
_QUIET_CALLERS: Final = 4
_BURST_CALLERS: Final = 150
#: Connections of a database, of which four are reserved for control.
_CONNECTIONS: Final = 14
_PAUSE: Final = 0.05
_TAIL_FACTOR: Final = 1.5
_SHARE: Final = 0.95


def _describe_layout(seed: int) -> Layout:
    return replace(
        MARKET,
        services=(_SERVICE,),
        groups=('growers', 'shoppers'),
        weights=(1, 1),
        proxies=4,
        max_connections=_CONNECTIONS,
        seed=seed,
    )


async def _open_idle(deployment: Deployment, group: str, number: int) -> None:
    """Open transactions that do nothing more."""
    proxies = sorted(deployment.proxies)
    for place in range(number):
        proxy = proxies[place % len(proxies)]
        client = await deployment.connect(proxy, group, _SERVICE)
        await curio.spawn(client.run, 'BEGIN', daemon=True)


async def _run_groups(
    seed: int,
    burst: str,
    is_naive: bool = False,
) -> tuple[Tally, Tally]:
    """Run a quiet group beside one that bursts in some way."""
    deployment = Deployment(_describe_layout(seed))
    await deployment.start()
    if is_naive:
        _install_one_line(deployment)
    await create_table(deployment, _SERVICE)
    quiet = GroupLoad(deployment, 'growers', _STATEMENT, _PAUSE)
    await quiet.start(_QUIET_CALLERS)
    statement = _SLOW_STATEMENT if burst == 'slow' else _STATEMENT
    noisy = GroupLoad(deployment, 'shoppers', statement, 0)
    await curio.sleep(1)
    if burst == 'idle':
        await _open_idle(deployment, 'shoppers', _BURST_CALLERS)
    elif burst != 'none':
        await noisy.start(_BURST_CALLERS)
    await curio.sleep(_SECONDS)
    tallies = await quiet.finish(), await noisy.finish()
    await deployment.close()
    return tallies


class FairShare(Experiment):
    """What a quiet group notices while another bursts."""

    name = 'fair-share'
    summary = 'one group bursts; the other keeps its speed and its share'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        calm, _ = await _run_groups(seed, 'none')
        base = calm.times.percentile(_TAIL)
        findings.record('quiet p99 alone', base, 's')
        for burst in ('quick', 'slow', 'idle'):
            quiet, noisy = await _run_groups(seed, burst)
            naive, _ = await _run_groups(seed, burst, is_naive=True)
            findings.at_most(
                f'{burst}: p99 factor',
                quiet.times.percentile(_TAIL) / base,
                _TAIL_FACTOR,
                naive=naive.times.percentile(_TAIL) / base,
            )
            findings.at_least(
                f'{burst}: throughput kept',
                quiet.times.count / calm.times.count,
                _SHARE,
                naive=naive.times.count / calm.times.count,
            )
            findings.record(f'{burst}: burst answered', noisy.times.count)
            findings.record(f'{burst}: burst refused', noisy.refused)
        used = await _lend(seed)
        findings.at_least('connections used by a group alone', used, _SHARE)
        return findings


async def _lend(seed: int) -> float:
    """Return the share of connections in use while a group is alone."""
    deployment = Deployment(_describe_layout(seed))
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = GroupLoad(deployment, 'growers', _STATEMENT, 0)
    await load.start(_BURST_CALLERS)
    await curio.sleep(2)
    used = DurationHistogram()
    queues = [
        keeper.pools[deployment.find_primary(_SERVICE).name].queue
        for proxy in deployment.proxies.values()
        for keeper in proxy.keeper_manager.keepers.values()
        if keeper.sessions
    ]
    for _ in range(_LOOKS):
        await curio.sleep(_PAUSE)
        used.add(queues[0].held / queues[0].slots)
    await load.finish()
    await deployment.close()
    return used.percentile(_MEDIAN)


class _OneLine(FairQueue):
    """Serves all groups in one line: the naive policy."""

    async def acquire(
        self,
        group: str,
        timeout: float,
        patience: float = math.inf,
        owner: str = '',
    ) -> Permit | Refusal:
        """Wait behind everybody who came before."""
        return await super().acquire('everybody', timeout)


def _install_one_line(deployment: Deployment) -> None:
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            for pool in keeper.pools.values():
                pool.queue = _OneLine(pool.queue.slots, {})
