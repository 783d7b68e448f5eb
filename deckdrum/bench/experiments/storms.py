"""``retry-storm``: databases slow down ten times, and callers ask again."""

from dataclasses import replace
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import Experiment, Findings
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.loads import GroupLoad

_SERVICE: Final = 'stalls'
_STATEMENT_TIME: Final = 0.02
_SLOWER: Final = 10
_CONNECTIONS: Final = 10
_CALLERS: Final = 24
_PHASE: Final = 3.0
_SLOW_PHASE: Final = 6.0
_SLICE: Final = 0.5
_KEPT: Final = 0.9
_RECOVERY: Final = 5.0
#: Longest wait for a connection that a service declares by default, seconds.
_WAIT_LIMIT: Final = 5.0


class RetryStorm(Experiment):
    """Goodput when the load doubles and when databases slow down."""

    name = 'retry-storm'
    summary = 'twice the load, databases slow by ten times, then well again'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await self._start(seed)
        storm = GroupLoad(deployment, 'growers', 'SELECT 1', 0)
        peak = await self._add_callers(storm)
        twice = await self._add_callers(storm)
        findings.record('peak goodput', peak, '1/s')
        findings.at_least('goodput at twice the load', twice / peak, _KEPT)
        self._set_speed(deployment, _STATEMENT_TIME * _SLOWER)
        slow = await self._measure(storm, _SLOW_PHASE)
        findings.record('goodput while slow', slow, '1/s')
        self._set_speed(deployment, _STATEMENT_TIME)
        recovery = await self._wait_recovered(storm, peak * _KEPT)
        findings.at_most('recovered after', recovery, _RECOVERY, 's')
        await storm.finish()
        await deployment.close()
        findings.at_most(
            'longest wait of a caller',
            storm.tally.longest,
            _WAIT_LIMIT + _RECOVERY,
            's',
        )
        findings.record('refusals', storm.tally.refused)
        return findings

    async def _start(self, seed: int) -> Deployment:
        layout = replace(
            MARKET,
            services=(_SERVICE,),
            proxies=4,
            max_connections=_CONNECTIONS,
            seed=seed,
        )
        deployment = Deployment(layout)
        await deployment.start()
        self._set_speed(deployment, _STATEMENT_TIME)
        return deployment

    def _set_speed(self, deployment: Deployment, seconds: float) -> None:
        for database in deployment.databases.values():
            database.profile.statement_time = seconds

    async def _add_callers(self, storm: GroupLoad) -> float:
        """Start callers more; return the answers a second with them."""
        await storm.start(_CALLERS)
        await curio.sleep(1)
        return await self._measure(storm, _PHASE)

    async def _measure(self, storm: GroupLoad, seconds: float) -> float:
        """Return the answers a second over the next seconds."""
        began = await curio.clock()
        await curio.sleep(seconds)
        return storm.tally.count(began, await curio.clock()) / seconds

    async def _wait_recovered(self, storm: GroupLoad, goodput: float) -> float:
        began: float = await curio.clock()
        async with curio.ignore_after(_RECOVERY * 2):
            reached: float = 0
            while reached < goodput:
                reached = await self._measure(storm, _SLICE)
        now: float = await curio.clock()
        return now - began
