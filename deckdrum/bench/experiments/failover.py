"""``failover-gap``: primaries lost in many ways."""

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

_SEEDS: Final = 2
_WRITERS: Final = 4
_WRITE_PAUSE: Final = 0.05
_WARM_UP: Final = 1.0
_LONGEST: Final = 20.0
_SETTLE: Final = 1.0
_POLL: Final = 0.005
_QUIET: Final = 8.0
_SLOW_STORE: Final = 1.0
_SECOND_LOSS: Final = 0.9
_LOST_SHARE: Final = 0.1
_MEDIAN: Final = 50
_TAIL: Final = 99
_MEDIAN_LIMIT: Final = 2.0
_TAIL_LIMIT: Final = 5.0
_WORST_LIMIT: Final = 16.0


@dataclass(slots=True)
class FailoverScenario:
    """One deployment in which a primary will be lost."""

    deployment: Deployment
    service: str
    randomness: Random

    @property
    def primary(self) -> StandinDatabase:
        """The present primary."""
        return self.deployment.find_primary(self.service)

    @property
    def keeper(self) -> str:
        """Name of the proxy that keeps the service."""
        return rank_keepers(self.service, self.deployment.proxies)[0]


async def kill(scene: FailoverScenario) -> None:
    """Kill the primary."""
    await scene.primary.crash()


async def pause(scene: FailoverScenario) -> None:
    """Pause the primary: connections stay open, nothing is answered."""
    scene.primary.faults.paused = True


async def cut_off(scene: FailoverScenario) -> None:
    """Cut the primary off, together with the proxy that keeps it."""
    primary = scene.primary
    others = {
        each.name
        for each in scene.deployment.list_databases(scene.service)
        if each is not primary
    }
    proxies = scene.deployment.proxies.keys() - {scene.keeper}
    primary.faults.cut_from |= others | proxies
    for name in others:
        faults = scene.deployment.databases[name].faults
        faults.cut_from.add(scene.keeper)


async def kill_primary_and_successor(scene: FailoverScenario) -> None:
    """Kill the primary, and its successor as soon as there is one."""
    first = scene.primary
    await first.crash()
    await curio.spawn(_kill_successor, scene, first, daemon=True)


async def _kill_successor(
    scene: FailoverScenario, first: StandinDatabase
) -> None:
    while scene.primary is first:
        await curio.sleep(_WRITE_PAUSE)
    second = scene.primary
    await second.crash()
    await first.start()


async def kill_primary_and_driver(scene: FailoverScenario) -> None:
    """Kill the primary and then the proxy that drives the failover."""
    driver = scene.deployment.proxies.pop(scene.keeper)
    await scene.primary.crash()
    await curio.spawn(_close_later, driver, daemon=True)


async def _close_later(driver: Any) -> None:
    await curio.sleep(_SECOND_LOSS)
    await driver.close()


async def kill_with_slow_store(scene: FailoverScenario) -> None:
    """Kill the primary while the platform takes a second for each call."""
    scene.deployment.platform.faults.delay = _SLOW_STORE
    await scene.primary.crash()


_Cause = Callable[[FailoverScenario], Awaitable[None]]
PRIMARY_FAULTS: Final[Mapping[str, _Cause]] = MappingProxyType(
    {
        'killed': kill,
        'paused': pause,
        'cut off with its keeper': cut_off,
        'killed, successor too': kill_primary_and_successor,
        'killed, driver too': kill_primary_and_driver,
        'killed, platform slow': kill_with_slow_store,
    }
)


async def cut_keeper_link(scene: FailoverScenario) -> None:
    """Cut only the keeper from the primary."""
    scene.primary.faults.cut_from.add(scene.keeper)


async def drop_probes(scene: FailoverScenario) -> None:
    """Stall the keeper's link to the primary for a tenth of the time."""
    await curio.spawn(_stall_often, scene, daemon=True)


async def _stall_often(scene: FailoverScenario) -> None:
    faults = scene.primary.faults
    while True:
        await curio.sleep(scene.randomness.random())
        faults.cut_from.add(scene.keeper)
        await curio.sleep(scene.randomness.random() * _LOST_SHARE)
        faults.cut_from.discard(scene.keeper)


LINK_FAULTS: Final[Mapping[str, _Cause]] = MappingProxyType(
    {
        'one bad link': cut_keeper_link,
        'a tenth of the probes lost': drop_probes,
    }
)


class Writers:
    """Callers that write without pause and note when a write is done."""

    def __init__(self, scene: FailoverScenario, history: History) -> None:
        self._scene = scene
        self._history = history
        self._number = 0
        self._tasks: list[Any] = []
        self.done_at: list[float] = []
        self.is_over = False

    async def start(self) -> None:
        """Start the callers, at proxies that survive."""
        proxies = sorted(self._scene.deployment.proxies)
        proxies.remove(self._scene.keeper)
        for place in range(_WRITERS):
            task = await curio.spawn(self._run, proxies[place])
            self._tasks.append(task)

    async def finish(self) -> None:
        """Let the callers end."""
        self.is_over = True
        for task in self._tasks:
            await task.join()

    async def _run(self, proxy: str) -> None:
        layout = self._scene.deployment.layout
        client = await self._scene.deployment.connect(
            proxy,
            layout.groups[0],
            self._scene.service,
        )
        while not self.is_over:
            self._number += 1
            number = self._number
            self._history.record_write(number, ReportedOutcome.UNKNOWN)
            answer = await client.run(
                f"INSERT INTO bookings VALUES ({number}, 'w')",
            )
            told = parse_reported_outcome(answer)
            self._history.record_write(number, told)
            if told is ReportedOutcome.DONE:
                self.done_at.append(await curio.clock())
            await curio.sleep(_WRITE_PAUSE)
        await client.close()


@dataclass(slots=True)
class Loss:
    """What one loss came to: the gap in seconds, and what was broken."""

    gap: float
    broken: int
    reports: list[FailoverReport]
    promotions: int


async def measure_failover(
    layout: Layout,
    seed: int,
    cause: _Cause,
    is_loss: bool,
) -> Loss:
    """Have writers write, bring the cause about, and measure the gap."""
    deployment = Deployment(replace(layout, seed=seed))
    await deployment.start()
    service = layout.services[0]
    await create_table(deployment, service, layout.groups[0])
    scene = FailoverScenario(deployment, service, Random(seed))
    history = History()
    writers = Writers(scene, history)
    await writers.start()
    await curio.sleep(_WARM_UP + scene.randomness.random())
    term = _read_term(deployment, service)
    began = await curio.clock()
    await cause(scene)
    gap = _LONGEST
    if is_loss:
        gap = await _wait_writable(scene, writers, began, term)
    else:
        await curio.sleep(_QUIET)
    await curio.sleep(_SETTLE)
    await writers.finish()
    broken = history.check_rows(read_rows(deployment, service))
    loss = Loss(
        gap,
        len(broken),
        list_failover_reports(deployment),
        _read_term(deployment, service) - term,
    )
    await deployment.close()
    return loss


async def _wait_writable(
    scene: FailoverScenario,
    writers: Writers,
    began: float,
    term: int,
) -> float:
    """Return the longest time without a write done, from the loss on."""
    async with curio.ignore_after(_LONGEST):
        while _read_term(scene.deployment, scene.service) == term:
            await curio.sleep(_POLL)
        learned_at = await curio.clock()
        while not writers.done_at or writers.done_at[-1] <= learned_at:
            await curio.sleep(_POLL)
        await curio.sleep(_SETTLE)
        return _find_longest_pause(began, writers.done_at)
    return _LONGEST


def _find_longest_pause(began: float, done: list[float]) -> float:
    moments = [began, *sorted(at for at in done if at > began)]
    return max(end - start for start, end in itertools.pairwise(moments))


def _read_term(deployment: Deployment, service: str) -> int:
    path = f'deckdrum/services/{service}'
    return int(deployment.platform.read_object(path)['term'])


def list_failover_reports(deployment: Deployment) -> list[FailoverReport]:
    """Return the reports of every proxy."""
    found: list[FailoverReport] = []
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            found.extend(keeper.supervisor.reports)
    return found


class FailoverGap(Experiment):
    """Time until writes are accepted again, and promotions without need."""

    name = 'failover-gap'
    summary = 'time from losing a primary until writes are accepted again'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        gaps = DurationHistogram()
        broken = 0
        for place, layout in (('market', MARKET), ('buoy', BUOY)):
            for name, cause in PRIMARY_FAULTS.items():
                times, wrong = await self._repeat(layout, seed, cause)
                gaps.merge(times)
                broken += wrong
                findings.at_most(
                    f'{place}, {name}: longest gap',
                    times.longest(),
                    _WORST_LIMIT,
                    's',
                )
        self._note_all(findings, gaps, broken)
        for name, cause in LINK_FAULTS.items():
            loss = await measure_failover(MARKET, seed, cause, False)
            findings.at_most(f'{name}: promotions', loss.promotions, 0)
            findings.at_most(f'{name}: broken promises', loss.broken, 0)
        return findings

    async def _repeat(
        self,
        layout: Layout,
        seed: int,
        cause: _Cause,
    ) -> tuple[DurationHistogram, int]:
        times = DurationHistogram()
        broken = 0
        for turn in range(_SEEDS):
            loss = await measure_failover(layout, seed + turn, cause, True)
            times.add(loss.gap)
            broken += loss.broken
        return times, broken

    def _note_all(
        self,
        findings: Findings,
        gaps: DurationHistogram,
        broken: int,
    ) -> None:
        median, tail = gaps.percentile(_MEDIAN), gaps.percentile(_TAIL)
        findings.at_most('median gap', median, _MEDIAN_LIMIT, 's')
        findings.at_most('p99 gap', tail, _TAIL_LIMIT, 's')
        findings.at_most('lost, doubled or untrue', broken, 0)
