"""``store-outage`` and ``config-races``: the platform fails, operators race."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import Experiment, Findings
from deckdrum.bench.history import ReportedOutcome
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.workload import Load, LoadProfile, create_table, read_rows
from deckdrum.configuration.applying import (
    ApplyOutcome,
    ConfigurationSnapshot,
    apply_document,
    fetch_snapshot,
)
from deckdrum.proxy import Proxy
from deckdrum.store.objects import HttpObjectStore

_SERVICE: Final = 'stalls'
#: Length of the outage and of the slow time, in seconds of virtual time.  The
#: aim is an hour each; ten minutes keep all experiments within ten minutes.
_OUTAGE: Final = 600.0
_LOAD_SECONDS: Final = 4.0
_SLOW: Final = 1.5
_PAUSE: Final = 0.2
_PACE: Final = LoadProfile(pause=_PAUSE)
#: Number of the proxy that starts in the outage.
_LATE: Final = 20
_CALLERS: Final = 4
_RETURN_WINDOW: Final = 10.0
_WATCH_SLACK: Final = 35.0
_CALLS_A_SECOND: Final = 4.0
_IN_FORCE: Final = 5.0
_RACERS: Final = 4
_ROUNDS: Final = 3
_POLL: Final = 0.01


async def _start(seed: int) -> Deployment:
    deployment = Deployment(replace(MARKET, services=(_SERVICE,), seed=seed))
    await deployment.start()
    return deployment


async def _load_for(deployment: Deployment, seed: int) -> list[str]:
    """Run a load for a while; return what was broken."""
    load = Load(deployment, _PACE, Random(seed))
    load.set_first_write_number(await _count_rows(deployment))
    await load.start(_CALLERS)
    await curio.sleep(_LOAD_SECONDS)
    history = await load.finish()
    rows = [
        row for row in read_rows(deployment, _SERVICE) if row in history.writes
    ]
    broken = history.check_rows(rows)
    refused = history.count(ReportedOutcome.NOT_RUN) + history.count(
        ReportedOutcome.UNKNOWN
    )
    return broken + ['refused' for _ in range(refused)]


async def _count_rows(deployment: Deployment) -> int:
    return max(read_rows(deployment, _SERVICE), default=0) + 1


class StoreOutage(Experiment):
    """Ten minutes without the platform, and ten with a slow one."""

    name = 'store-outage'
    summary = 'the platform down for ten minutes, then slow for ten'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await _start(seed)
        await create_table(deployment, _SERVICE)
        await self._pass_outage(deployment, seed, findings)
        await self._pass_slow(deployment, seed, findings)
        await deployment.close()
        return findings

    async def _pass_outage(
        self,
        deployment: Deployment,
        seed: int,
        findings: Findings,
    ) -> None:
        platform = deployment.platform
        store = HttpObjectStore(platform.address)
        base = await fetch_snapshot(store)
        platform.faults.down = True
        broken = await _load_for(deployment, seed)
        findings.at_most('down: refused or broken', len(broken), 0)
        peer = deployment.proxies['p1'].membership.own
        late = await deployment.start_proxy(_LATE, peers=(peer.address,))
        began = await curio.clock()
        while not late.is_ready:
            await curio.sleep(_POLL)
        ready = await curio.clock() - began
        findings.at_most('down: a new proxy is ready after', ready, 5, 's')
        told = await self._apply_in_vain(deployment, store, base)
        findings.at_least('down: an apply is told as unknown', told, 1)
        before = sum(platform.calls.values())
        await curio.sleep(_OUTAGE)
        calls = (sum(platform.calls.values()) - before) / _OUTAGE
        findings.record('down: calls a second of the fleet', calls)
        platform.faults.down = False
        await self._watch_return(deployment, findings)

    async def _apply_in_vain(
        self,
        deployment: Deployment,
        store: HttpObjectStore,
        base: ConfigurationSnapshot,
    ) -> int:
        """Apply in the outage; return 1 if that is told as unknown."""
        text = deployment.describe().replace('max_age: 5', 'max_age: 4')
        report = await apply_document(store, text, base, 'x', 'in vain')
        await store.close()
        return int(report.outcome is ApplyOutcome.UNKNOWN)

    async def _watch_return(
        self,
        deployment: Deployment,
        findings: Findings,
    ) -> None:
        calls = deployment.platform.calls
        busiest = 0
        for _ in range(round(_RETURN_WINDOW)):
            before = sum(calls.values())
            await curio.sleep(1)
            busiest = max(busiest, sum(calls.values()) - before)
        proxies = len(deployment.proxies)
        findings.at_most(
            'return: calls a second of one proxy, busiest second',
            busiest / proxies,
            _CALLS_A_SECOND,
        )
        views = [proxy.view for proxy in deployment.proxies.values()]
        back = [view.is_reachable for view in views]
        findings.at_least('return: proxies back', sum(back), proxies)

    async def _pass_slow(
        self,
        deployment: Deployment,
        seed: int,
        findings: Findings,
    ) -> None:
        platform = deployment.platform
        platform.faults.delay = _SLOW
        broken = await _load_for(deployment, seed + 1)
        findings.at_most('slow: refused or broken', len(broken), 0)
        before = sum(platform.calls.values())
        await curio.sleep(_OUTAGE)
        quiet = (sum(platform.calls.values()) - before) / _OUTAGE
        findings.record('slow: calls a second of the fleet', quiet)


class ConfigRaces(Experiment):
    """Operators who race, lost answers, and applies at bad moments."""

    name = 'config-races'
    summary = 'racing operators, lost answers, applies in a failover'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await _start(seed)
        randomness = Random(seed)
        winners: list[int] = []
        delays: list[float] = []
        for turn in range(_ROUNDS):
            platform = deployment.platform
            platform.faults.lost_answers = turn
            if turn == _ROUNDS - 1:
                await deployment.find_primary(_SERVICE).crash()
            outcomes = await self._race(deployment, randomness)
            winners.append(outcomes.count(ApplyOutcome.ACCEPTED))
            delays.append(await self._wait_everywhere(deployment))
        findings.at_most('most winners of a race', max(winners), 1)
        findings.at_least('fewest winners of a race', min(winners), 1)
        findings.at_most(
            'in force everywhere after the answer', max(delays), _IN_FORCE
        )
        numbers = {proxy.view.number for proxy in deployment.proxies.values()}
        findings.at_most('different numbers in force', len(numbers), 1)
        findings.at_least('number in force', min(numbers), _ROUNDS + 1)
        await deployment.close()
        return findings

    async def _race(
        self,
        deployment: Deployment,
        randomness: Random,
    ) -> list[ApplyOutcome]:
        store = HttpObjectStore(deployment.platform.address)
        base = await fetch_snapshot(store)
        await store.close()
        tasks = []
        for racer in range(_RACERS):
            age = randomness.randrange(1, _RACERS * 1000)
            text = deployment.describe().replace(
                'max_age: 5',
                f'max_age: {age}',
            )
            operator = HttpObjectStore(deployment.platform.address)
            operation = f'{base.number}-{racer}'
            task = await curio.spawn(
                apply_document,
                operator,
                text,
                base,
                f'operator {racer}',
                operation,
            )
            tasks.append(task)
        reports = [await task.join() for task in tasks]
        return [report.outcome for report in reports]

    async def _wait_everywhere(self, deployment: Deployment) -> float:
        began = await curio.clock()
        store = HttpObjectStore(deployment.platform.address)
        stored = await fetch_snapshot(store)
        await store.close()
        proxies = deployment.proxies.values()
        async with curio.ignore_after(_WATCH_SLACK):
            while _lags(proxies, stored.number):
                await curio.sleep(_POLL)
        passed: float = await curio.clock() - began
        return passed


def _lags(proxies: Iterable[Proxy], number: int) -> bool:
    return any(proxy.view.number < number for proxy in proxies)
