"""``retry-storm``: overload and slow databases while callers retry."""

from dataclasses import replace
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import Experiment, Findings
from deckdrum.bench.group_load import GroupLoad
from deckdrum.bench.layouts import MARKET

_SERVICE: Final = 'stalls'
_STATEMENT_TIME_S: Final = 0.02
_SLOWDOWN_FACTOR: Final = 10
_MAX_CONNECTIONS: Final = 10
_CALLER_COUNT: Final = 24
_PHASE_DURATION_S: Final = 3.0
_SLOW_PHASE_DURATION_S: Final = 6.0
_SAMPLE_INTERVAL_S: Final = 0.5
_MIN_GOODPUT_FRACTION: Final = 0.9
_MAX_RECOVERY_S: Final = 5.0
#: Default timeout of a service for waiting on a connection.
_CONNECTION_TIMEOUT_S: Final = 5.0


class RetryStorm(Experiment):
    """Goodput under doubled load, and recovery from slow databases."""

    name = 'retry-storm'
    summary = 'goodput under doubled load, slow databases and recovery'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await self._start(seed)
        load = GroupLoad(deployment, 'growers', 'SELECT 1', 0)
        peak = await self._add_callers(load)
        doubled = await self._add_callers(load)
        findings.record('peak goodput', peak, '1/s')
        findings.at_least(
            'goodput at twice the load', doubled / peak, _MIN_GOODPUT_FRACTION
        )
        self._set_statement_time(
            deployment, _STATEMENT_TIME_S * _SLOWDOWN_FACTOR
        )
        slow = await self._measure_goodput(load, _SLOW_PHASE_DURATION_S)
        findings.record('goodput while slow', slow, '1/s')
        self._set_statement_time(deployment, _STATEMENT_TIME_S)
        recovery = await self._wait_for_recovery(
            load, peak * _MIN_GOODPUT_FRACTION
        )
        findings.at_most('recovered after', recovery, _MAX_RECOVERY_S, 's')
        await load.finish()
        await deployment.close()
        findings.at_most(
            'longest wait of a caller',
            load.statistics.max_wait_s,
            _CONNECTION_TIMEOUT_S + _MAX_RECOVERY_S,
            's',
        )
        findings.record('refusals', load.statistics.refusals)
        return findings

    async def _start(self, seed: int) -> Deployment:
        layout = replace(
            MARKET,
            services=(_SERVICE,),
            proxies=4,
            max_connections=_MAX_CONNECTIONS,
            seed=seed,
        )
        deployment = Deployment(layout)
        await deployment.start()
        self._set_statement_time(deployment, _STATEMENT_TIME_S)
        return deployment

    def _set_statement_time(
        self, deployment: Deployment, seconds: float
    ) -> None:
        for database in deployment.databases.values():
            database.profile.statement_time = seconds

    async def _add_callers(self, load: GroupLoad) -> float:
        """Start more callers; return the resulting goodput."""
        await load.start(_CALLER_COUNT)
        await curio.sleep(1)
        return await self._measure_goodput(load, _PHASE_DURATION_S)

    async def _measure_goodput(self, load: GroupLoad, seconds: float) -> float:
        """Return the completed requests per second over a duration."""
        started_at = await curio.clock()
        await curio.sleep(seconds)
        return (
            load.statistics.count_between(started_at, await curio.clock())
            / seconds
        )

    async def _wait_for_recovery(
        self, load: GroupLoad, goodput: float
    ) -> float:
        started_at: float = await curio.clock()
        async with curio.ignore_after(_MAX_RECOVERY_S * 2):
            current: float = 0
            while current < goodput:
                current = await self._measure_goodput(load, _SAMPLE_INTERVAL_S)
        now: float = await curio.clock()
        return now - started_at
