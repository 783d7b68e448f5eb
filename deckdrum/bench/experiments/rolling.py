"""``rolling-replacement``: replacement of proxies under load."""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import Experiment, Findings
from deckdrum.bench.history import History, ReportedOutcome
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.workload import Load, LoadProfile, create_table, read_rows

_SERVICE: Final = 'stalls'
_CALLER_COUNT: Final = 6
_PROFILE: Final = LoadProfile(pause=0.1)
_REPLACEMENT_INTERVAL_S: Final = 0.5
_SAMPLE_INTERVAL_S: Final = 0.02


@dataclass(slots=True)
class ProxyReplacer:
    """Replaces proxies, and tracks connection counts and drain results."""

    deployment: Deployment
    drain_results: list[bool] = field(default_factory=list)
    peak_connections: int = 0
    is_stopping: bool = False
    _next_number: int = 30

    async def replace(self, names: list[str]) -> None:
        """Start replacements, then drain and stop the named proxies."""
        for _ in names:
            self._next_number += 1
            await self.deployment.start_proxy(self._next_number)
        stopping = [self.deployment.proxies[name] for name in names]
        tasks = [await curio.spawn(each.drain) for each in stopping]
        for task, proxy in zip(tasks, stopping, strict=True):
            self.drain_results.append(await task.join())
            self.deployment.proxies.pop(proxy.name)
            await proxy.close()
            await self.deployment.platform.unlist_instance(proxy.name)

    async def track_connections(self) -> None:
        """Track the peak number of connections of any database."""
        while not self.is_stopping:
            for database in self.deployment.databases.values():
                count = len(database.sessions)
                self.peak_connections = max(self.peak_connections, count)
            await curio.sleep(_SAMPLE_INTERVAL_S)


class RollingReplacement(Experiment):
    """Replacement of proxies one by one, then of half at once."""

    name = 'rolling-replacement'
    summary = 'all proxies replaced under load, then half at once'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        layout = replace(MARKET, services=(_SERVICE,), seed=seed)
        deployment = Deployment(layout)
        await deployment.start()
        await create_table(deployment, _SERVICE)
        load = Load(deployment, _PROFILE, Random(seed))
        await load.start(_CALLER_COUNT)
        replacer = ProxyReplacer(deployment)
        tracking: Any = await curio.spawn(replacer.track_connections)
        for name in list(deployment.proxies):
            await replacer.replace([name])
            await curio.sleep(_REPLACEMENT_INTERVAL_S)
        half = list(deployment.proxies)[: layout.proxies // 2]
        await replacer.replace(half)
        await curio.sleep(_REPLACEMENT_INTERVAL_S)
        history = await load.finish()
        replacer.is_stopping = True
        await tracking.join()
        self._record_figures(findings, replacer, history)
        await deployment.close()
        return findings

    def _record_figures(
        self,
        findings: Findings,
        replacer: ProxyReplacer,
        history: History,
    ) -> None:
        rows = read_rows(replacer.deployment, _SERVICE)
        violations = history.check_rows(rows)
        findings.at_most('promises broken', len(violations), 0)
        findings.at_most(
            'writes unknown', history.count(ReportedOutcome.UNKNOWN), 0
        )
        findings.record(
            'writes acknowledged', history.count(ReportedOutcome.DONE)
        )
        findings.record(
            'writes not run', history.count(ReportedOutcome.NOT_RUN)
        )
        undrained = replacer.drain_results.count(False)
        findings.at_most('proxies that did not drain', undrained, 0)
        findings.record('proxies replaced', len(replacer.drain_results))
        findings.at_most(
            'connections of a database',
            replacer.peak_connections,
            MARKET.max_connections,
        )
