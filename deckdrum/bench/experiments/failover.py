"""``failover-gap``: write unavailability after faults of a primary."""

import itertools
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from random import Random
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.experiments.base import (
    DurationHistogram,
    Experiment,
    Findings,
)
from deckdrum.bench.history import (
    History,
    ReportedOutcome,
    parse_reported_outcome,
)
from deckdrum.bench.layouts import BUOY, MARKET
from deckdrum.bench.workload import create_table, read_rows
from deckdrum.failover import FailoverReport
from deckdrum.fleet.membership import rank_keepers
from deckdrum.standins.database import StandinDatabase

_RUNS_PER_FAULT: Final = 2
_WRITER_COUNT: Final = 4
_WRITE_INTERVAL_S: Final = 0.05
_WARM_UP_S: Final = 1.0
_FAILOVER_TIMEOUT_S: Final = 20.0
_SETTLE_DELAY_S: Final = 1.0
_POLL_INTERVAL_S: Final = 0.005
_LINK_FAULT_DURATION_S: Final = 8.0
_SLOW_STORE_DELAY_S: Final = 1.0
_DRIVER_KILL_DELAY_S: Final = 0.9
_STALLED_FRACTION: Final = 0.1
_MEDIAN_PERCENTILE: Final = 50
_TAIL_PERCENTILE: Final = 99
_MAX_MEDIAN_GAP_S: Final = 2.0
_MAX_P99_GAP_S: Final = 5.0
_MAX_GAP_S: Final = 16.0


@dataclass(slots=True)
class FailoverScenario:
    """A deployment whose primary a fault affects."""

    deployment: Deployment
    service: str
    rng: Random

    @property
    def primary(self) -> StandinDatabase:
        """The current primary."""
        return self.deployment.find_primary(self.service)

    @property
    def keeper(self) -> str:
        """Name of the proxy that keeps the service."""
        return rank_keepers(self.service, self.deployment.proxies)[0]


async def kill_primary(scenario: FailoverScenario) -> None:
    """Kill the primary."""
    await scenario.primary.crash()


async def pause_primary(scenario: FailoverScenario) -> None:
    """Pause the primary: connections stay open but get no response."""
    scenario.primary.faults.paused = True


async def isolate_primary_with_keeper(scenario: FailoverScenario) -> None:
    """Partition the primary and its keeper from the replicas.

    The primary is also unreachable for all other proxies.
    """
    primary = scenario.primary
    others = {
        each.name
        for each in scenario.deployment.list_databases(scenario.service)
        if each is not primary
    }
    proxies = scenario.deployment.proxies.keys() - {scenario.keeper}
    primary.faults.cut_from |= others | proxies
    for name in others:
        faults = scenario.deployment.databases[name].faults
        faults.cut_from.add(scenario.keeper)


async def kill_primary_and_successor(scenario: FailoverScenario) -> None:
    """Kill the primary, and its successor once one is promoted."""
    first = scenario.primary
    await first.crash()
    await curio.spawn(_kill_successor, scenario, first, daemon=True)


async def _kill_successor(
    scenario: FailoverScenario, first: StandinDatabase
) -> None:
    while scenario.primary is first:
        await curio.sleep(_WRITE_INTERVAL_S)
    second = scenario.primary
    await second.crash()
    await first.start()


async def kill_primary_and_driver(scenario: FailoverScenario) -> None:
    """Kill the primary, then the proxy that drives the failover."""
    driver = scenario.deployment.proxies.pop(scenario.keeper)
    await scenario.primary.crash()
    await curio.spawn(_close_after_delay, driver, daemon=True)


async def _close_after_delay(driver: Any) -> None:
    await curio.sleep(_DRIVER_KILL_DELAY_S)
    await driver.close()


async def kill_primary_with_slow_store(scenario: FailoverScenario) -> None:
    """Kill the primary while platform calls are slow."""
    scenario.deployment.platform.faults.delay = _SLOW_STORE_DELAY_S
    await scenario.primary.crash()


_Fault = Callable[[FailoverScenario], Awaitable[None]]
PRIMARY_FAULTS: Final[Mapping[str, _Fault]] = MappingProxyType(
    {
        'killed': kill_primary,
        'paused': pause_primary,
        'cut off with its keeper': isolate_primary_with_keeper,
        'killed, successor too': kill_primary_and_successor,
        'killed, driver too': kill_primary_and_driver,
        'killed, platform slow': kill_primary_with_slow_store,
    }
)


async def cut_keeper_link(scenario: FailoverScenario) -> None:
    """Cut only the link between the keeper and the primary."""
    scenario.primary.faults.cut_from.add(scenario.keeper)


async def drop_probes(scenario: FailoverScenario) -> None:
    """Cut the link from keeper to primary for about a tenth of the time."""
    await curio.spawn(_stall_link, scenario, daemon=True)


async def _stall_link(scenario: FailoverScenario) -> None:
    faults = scenario.primary.faults
    while True:
        await curio.sleep(scenario.rng.random())
        faults.cut_from.add(scenario.keeper)
        await curio.sleep(scenario.rng.random() * _STALLED_FRACTION)
        faults.cut_from.discard(scenario.keeper)


LINK_FAULTS: Final[Mapping[str, _Fault]] = MappingProxyType(
    {
        'one bad link': cut_keeper_link,
        'a tenth of the probes lost': drop_probes,
    }
)


class Writers:
    """Callers that write periodically and record completion times."""

    def __init__(self, scenario: FailoverScenario, history: History) -> None:
        self._scenario = scenario
        self._history = history
        self._number = 0
        self._tasks: list[Any] = []
        self.write_times: list[float] = []
        self.is_stopping = False

    async def start(self) -> None:
        """Start the callers, on proxies other than the keeper."""
        proxies = sorted(self._scenario.deployment.proxies)
        proxies.remove(self._scenario.keeper)
        for index in range(_WRITER_COUNT):
            task = await curio.spawn(self._run, proxies[index])
            self._tasks.append(task)

    async def finish(self) -> None:
        """Stop the callers and wait for them."""
        self.is_stopping = True
        for task in self._tasks:
            await task.join()

    async def _run(self, proxy: str) -> None:
        layout = self._scenario.deployment.layout
        client = await self._scenario.deployment.connect(
            proxy,
            layout.groups[0],
            self._scenario.service,
        )
        while not self.is_stopping:
            self._number += 1
            number = self._number
            self._history.record_write(number, ReportedOutcome.UNKNOWN)
            answer = await client.run(
                f"INSERT INTO bookings VALUES ({number}, 'w')",
            )
            outcome = parse_reported_outcome(answer)
            self._history.record_write(number, outcome)
            if outcome is ReportedOutcome.DONE:
                self.write_times.append(await curio.clock())
            await curio.sleep(_WRITE_INTERVAL_S)
        await client.close()


@dataclass(slots=True)
class FailoverResult:
    """Outcome of one fault; `gap` is the write unavailability in seconds."""

    gap: float
    violations: int
    reports: list[FailoverReport]
    promotions: int


async def measure_failover(
    layout: Layout,
    seed: int,
    inject_fault: _Fault,
    expects_promotion: bool,
) -> FailoverResult:
    """Inject a fault under write load and measure the write gap.

    If `expects_promotion` is false, no gap is measured.
    """
    deployment = Deployment(replace(layout, seed=seed))
    await deployment.start()
    service = layout.services[0]
    await create_table(deployment, service, layout.groups[0])
    scenario = FailoverScenario(deployment, service, Random(seed))
    history = History()
    writers = Writers(scenario, history)
    await writers.start()
    await curio.sleep(_WARM_UP_S + scenario.rng.random())
    term = _read_term(deployment, service)
    started_at = await curio.clock()
    await inject_fault(scenario)
    gap = _FAILOVER_TIMEOUT_S
    if expects_promotion:
        gap = await _wait_for_writes(scenario, writers, started_at, term)
    else:
        await curio.sleep(_LINK_FAULT_DURATION_S)
    await curio.sleep(_SETTLE_DELAY_S)
    await writers.finish()
    violations = history.check_rows(read_rows(deployment, service))
    measurement = FailoverResult(
        gap,
        len(violations),
        list_failover_reports(deployment),
        _read_term(deployment, service) - term,
    )
    await deployment.close()
    return measurement


async def _wait_for_writes(
    scenario: FailoverScenario,
    writers: Writers,
    started_at: float,
    term: int,
) -> float:
    """Return the longest gap between completed writes since the fault."""
    async with curio.ignore_after(_FAILOVER_TIMEOUT_S):
        while _read_term(scenario.deployment, scenario.service) == term:
            await curio.sleep(_POLL_INTERVAL_S)
        promoted_at = await curio.clock()
        while not writers.write_times or writers.write_times[-1] <= promoted_at:
            await curio.sleep(_POLL_INTERVAL_S)
        await curio.sleep(_SETTLE_DELAY_S)
        return _find_longest_gap(started_at, writers.write_times)
    return _FAILOVER_TIMEOUT_S


def _find_longest_gap(started_at: float, completions: list[float]) -> float:
    moments = [started_at, *sorted(at for at in completions if at > started_at)]
    return max(end - start for start, end in itertools.pairwise(moments))


def _read_term(deployment: Deployment, service: str) -> int:
    path = f'deckdrum/services/{service}'
    return int(deployment.platform.read_object(path)['term'])


def list_failover_reports(deployment: Deployment) -> list[FailoverReport]:
    """Return the failover reports of all proxies."""
    collected: list[FailoverReport] = []
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            collected.extend(keeper.supervisor.reports)
    return collected


class FailoverGap(Experiment):
    """Write gaps after primary faults, and unnecessary promotions."""

    name = 'failover-gap'
    summary = 'time from losing a primary until writes are accepted again'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        gaps = DurationHistogram()
        violations = 0
        for layout_name, layout in (('market', MARKET), ('buoy', BUOY)):
            for name, inject_fault in PRIMARY_FAULTS.items():
                durations, new_violations = await self._repeat(
                    layout, seed, inject_fault
                )
                gaps.merge(durations)
                violations += new_violations
                findings.at_most(
                    f'{layout_name}, {name}: longest gap',
                    durations.maximum(),
                    _MAX_GAP_S,
                    's',
                )
        self._record_totals(findings, gaps, violations)
        for name, inject_fault in LINK_FAULTS.items():
            measurement = await measure_failover(
                MARKET, seed, inject_fault, False
            )
            findings.at_most(f'{name}: promotions', measurement.promotions, 0)
            findings.at_most(
                f'{name}: broken promises', measurement.violations, 0
            )
        return findings

    async def _repeat(
        self,
        layout: Layout,
        seed: int,
        inject_fault: _Fault,
    ) -> tuple[DurationHistogram, int]:
        durations = DurationHistogram()
        violations = 0
        for run_index in range(_RUNS_PER_FAULT):
            measurement = await measure_failover(
                layout, seed + run_index, inject_fault, True
            )
            durations.add(measurement.gap)
            violations += measurement.violations
        return durations, violations

    def _record_totals(
        self,
        findings: Findings,
        gaps: DurationHistogram,
        violations: int,
    ) -> None:
        median, tail = (
            gaps.percentile(_MEDIAN_PERCENTILE),
            gaps.percentile(_TAIL_PERCENTILE),
        )
        findings.at_most('median gap', median, _MAX_MEDIAN_GAP_S, 's')
        findings.at_most('p99 gap', tail, _MAX_P99_GAP_S, 's')
        findings.at_most('lost, doubled or untrue', violations, 0)
