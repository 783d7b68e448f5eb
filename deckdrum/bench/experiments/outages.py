"""``store-outage`` and ``config-races``: platform faults, racing updates."""

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
#: Virtual duration of the outage, and of the slow phase.
_OUTAGE_S: Final = 600.0
_LOAD_DURATION_S: Final = 4.0
_SLOW_CALL_DELAY_S: Final = 1.5
_WRITE_INTERVAL_S: Final = 0.2
_PROFILE: Final = LoadProfile(pause=_WRITE_INTERVAL_S)
#: Proxy started during the outage.
_LATE_PROXY_NUMBER: Final = 20
_CALLER_COUNT: Final = 4
_RECOVERY_WINDOW_S: Final = 10.0
_ACTIVATION_TIMEOUT_S: Final = 35.0
_MAX_CALLS_PER_S: Final = 4.0
_MAX_ACTIVATION_S: Final = 5.0
_OPERATOR_COUNT: Final = 4
_ROUND_COUNT: Final = 3
_POLL_INTERVAL_S: Final = 0.01


async def _start(seed: int) -> Deployment:
    deployment = Deployment(replace(MARKET, services=(_SERVICE,), seed=seed))
    await deployment.start()
    return deployment


async def _run_load(deployment: Deployment, seed: int) -> list[str]:
    """Run a load; return violations, and an entry for each failed write."""
    load = Load(deployment, _PROFILE, Random(seed))
    load.set_first_write_number(await _next_row_number(deployment))
    await load.start(_CALLER_COUNT)
    await curio.sleep(_LOAD_DURATION_S)
    history = await load.finish()
    rows = [
        row for row in read_rows(deployment, _SERVICE) if row in history.writes
    ]
    violations = history.check_rows(rows)
    refused = history.count(ReportedOutcome.NOT_RUN) + history.count(
        ReportedOutcome.UNKNOWN
    )
    return violations + ['refused' for _ in range(refused)]


async def _next_row_number(deployment: Deployment) -> int:
    return max(read_rows(deployment, _SERVICE), default=0) + 1


class StoreOutage(Experiment):
    """Serving while the platform is down, then while it is slow."""

    name = 'store-outage'
    summary = 'the platform down for ten minutes, then slow for ten'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await _start(seed)
        await create_table(deployment, _SERVICE)
        await self._run_outage(deployment, seed, findings)
        await self._run_slow_platform(deployment, seed, findings)
        await deployment.close()
        return findings

    async def _run_outage(
        self,
        deployment: Deployment,
        seed: int,
        findings: Findings,
    ) -> None:
        platform = deployment.platform
        store = HttpObjectStore(platform.address)
        base = await fetch_snapshot(store)
        platform.faults.is_down = True
        violations = await _run_load(deployment, seed)
        findings.at_most('down: refused or broken', len(violations), 0)
        peer = deployment.proxies['p1'].membership.own
        late_proxy = await deployment.start_proxy(
            _LATE_PROXY_NUMBER, peers=(peer.address,)
        )
        started_at = await curio.clock()
        while not late_proxy.is_ready:
            await curio.sleep(_POLL_INTERVAL_S)
        ready_after = await curio.clock() - started_at
        findings.at_most(
            'down: a new proxy is ready after', ready_after, 5, 's'
        )
        unknown = await self._apply_during_outage(deployment, store, base)
        findings.at_least('down: an apply is told as unknown', unknown, 1)
        before = sum(platform.calls.values())
        await curio.sleep(_OUTAGE_S)
        calls = (sum(platform.calls.values()) - before) / _OUTAGE_S
        findings.record('down: calls a second of the fleet', calls)
        platform.faults.is_down = False
        await self._measure_recovery(deployment, findings)

    async def _apply_during_outage(
        self,
        deployment: Deployment,
        store: HttpObjectStore,
        base: ConfigurationSnapshot,
    ) -> int:
        """Apply during the outage; return 1 if the outcome is unknown."""
        text = deployment.describe().replace('max_age: 5', 'max_age: 4')
        report = await apply_document(
            store, text, base, 'x', 'apply during outage'
        )
        await store.close()
        return int(report.outcome is ApplyOutcome.UNKNOWN)

    async def _measure_recovery(
        self,
        deployment: Deployment,
        findings: Findings,
    ) -> None:
        calls = deployment.platform.calls
        peak_calls = 0
        for _ in range(round(_RECOVERY_WINDOW_S)):
            before = sum(calls.values())
            await curio.sleep(1)
            peak_calls = max(peak_calls, sum(calls.values()) - before)
        proxies = len(deployment.proxies)
        findings.at_most(
            'return: calls a second of one proxy, busiest second',
            peak_calls / proxies,
            _MAX_CALLS_PER_S,
        )
        views = [proxy.view for proxy in deployment.proxies.values()]
        reachable = [view.is_reachable for view in views]
        findings.at_least('return: proxies back', sum(reachable), proxies)

    async def _run_slow_platform(
        self,
        deployment: Deployment,
        seed: int,
        findings: Findings,
    ) -> None:
        platform = deployment.platform
        platform.faults.delay = _SLOW_CALL_DELAY_S
        violations = await _run_load(deployment, seed + 1)
        findings.at_most('slow: refused or broken', len(violations), 0)
        before = sum(platform.calls.values())
        await curio.sleep(_OUTAGE_S)
        calls_per_s = (sum(platform.calls.values()) - before) / _OUTAGE_S
        findings.record('slow: calls a second of the fleet', calls_per_s)


class ConfigRaces(Experiment):
    """Concurrent applies with lost responses and during a failover."""

    name = 'config-races'
    summary = 'concurrent applies, lost responses, applies during a failover'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        deployment = await _start(seed)
        rng = Random(seed)
        winners: list[int] = []
        delays: list[float] = []
        for round_index in range(_ROUND_COUNT):
            platform = deployment.platform
            platform.faults.lost_answers = round_index
            if round_index == _ROUND_COUNT - 1:
                await deployment.find_primary(_SERVICE).crash()
            outcomes = await self._race(deployment, rng)
            winners.append(outcomes.count(ApplyOutcome.ACCEPTED))
            delays.append(await self._wait_for_activation(deployment))
        findings.at_most('most winners of a race', max(winners), 1)
        findings.at_least('fewest winners of a race', min(winners), 1)
        findings.at_most(
            'in force everywhere after the answer',
            max(delays),
            _MAX_ACTIVATION_S,
        )
        numbers = {proxy.view.number for proxy in deployment.proxies.values()}
        findings.at_most('different numbers in force', len(numbers), 1)
        findings.at_least('number in force', min(numbers), _ROUND_COUNT + 1)
        await deployment.close()
        return findings

    async def _race(
        self,
        deployment: Deployment,
        rng: Random,
    ) -> list[ApplyOutcome]:
        store = HttpObjectStore(deployment.platform.address)
        base = await fetch_snapshot(store)
        await store.close()
        tasks = []
        for racer in range(_OPERATOR_COUNT):
            age = rng.randrange(1, _OPERATOR_COUNT * 1000)
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

    async def _wait_for_activation(self, deployment: Deployment) -> float:
        started_at = await curio.clock()
        store = HttpObjectStore(deployment.platform.address)
        stored = await fetch_snapshot(store)
        await store.close()
        proxies = deployment.proxies.values()
        async with curio.ignore_after(_ACTIVATION_TIMEOUT_S):
            while _is_behind(proxies, stored.number):
                await curio.sleep(_POLL_INTERVAL_S)
        elapsed: float = await curio.clock() - started_at
        return elapsed


def _is_behind(proxies: Iterable[Proxy], number: int) -> bool:
    return any(proxy.view.number < number for proxy in proxies)
