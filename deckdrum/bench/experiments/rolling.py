"""``rolling-replacement``: proxies are replaced while callers are busy."""

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
_CALLERS: Final = 6
_PACE: Final = LoadProfile(pause=0.1)
_PAUSE: Final = 0.5
_LOOK: Final = 0.02


@dataclass(slots=True)
class ProxyReplacer:
    """Replaces proxies and watches connection limits meanwhile."""

    deployment: Deployment
    drained: list[bool] = field(default_factory=list)
    most_connections: int = 0
    is_over: bool = False
    _next: int = 30

    async def replace(self, names: list[str]) -> None:
        """Start as many new proxies, then stop the named ones."""
        for _ in names:
            self._next += 1
            await self.deployment.start_proxy(self._next)
        stopping = [self.deployment.proxies[name] for name in names]
        tasks = [await curio.spawn(each.drain) for each in stopping]
        for task, proxy in zip(tasks, stopping, strict=True):
            self.drained.append(await task.join())
            self.deployment.proxies.pop(proxy.name)
            await proxy.close()
            await self.deployment.platform.unlist_instance(proxy.name)

    async def watch_limits(self) -> None:
        """Note the most connections that a database has had."""
        while not self.is_over:
            for database in self.deployment.databases.values():
                count = len(database.sessions)
                self.most_connections = max(self.most_connections, count)
            await curio.sleep(_LOOK)


class RollingReplacement(Experiment):
    """All proxies one after the other, then half of them at once."""

    name = 'rolling-replacement'
    summary = 'all proxies replaced under load, then half at once'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        layout = replace(MARKET, services=(_SERVICE,), seed=seed)
        deployment = Deployment(layout)
        await deployment.start()
        await create_table(deployment, _SERVICE)
        load = Load(deployment, _PACE, Random(seed))
        await load.start(_CALLERS)
        replacement = ProxyReplacer(deployment)
        watching: Any = await curio.spawn(replacement.watch_limits)
        for name in list(deployment.proxies):
            await replacement.replace([name])
            await curio.sleep(_PAUSE)
        half = list(deployment.proxies)[: layout.proxies // 2]
        await replacement.replace(half)
        await curio.sleep(_PAUSE)
        history = await load.finish()
        replacement.is_over = True
        await watching.join()
        self._judge(findings, replacement, history)
        await deployment.close()
        return findings

    def _judge(
        self,
        findings: Findings,
        replacement: ProxyReplacer,
        history: History,
    ) -> None:
        rows = read_rows(replacement.deployment, _SERVICE)
        broken = history.check_rows(rows)
        findings.at_most('promises broken', len(broken), 0)
        findings.at_most(
            'writes unknown', history.count(ReportedOutcome.UNKNOWN), 0
        )
        findings.record(
            'writes acknowledged', history.count(ReportedOutcome.DONE)
        )
        findings.record(
            'writes not run', history.count(ReportedOutcome.NOT_RUN)
        )
        undrained = replacement.drained.count(False)
        findings.at_most('proxies that did not drain', undrained, 0)
        findings.record('proxies replaced', len(replacement.drained))
        findings.at_most(
            'connections of a database',
            replacement.most_connections,
            MARKET.max_connections,
        )
