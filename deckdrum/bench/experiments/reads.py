"""``replica-reads``: gate checks and browsing while replicas lag."""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.experiments.base import (
    DurationHistogram,
    Experiment,
    Figure,
    Findings,
)
from deckdrum.bench.layouts import BUOY, MARKET
from deckdrum.bench.routers import (
    PrimaryRouter,
    RotatingRouter,
    install_router,
)
from deckdrum.bench.workload import compute_replica_share
from deckdrum.keepers.routing import Router

_SECONDS: Final = 6
_NAIVE_SECONDS: Final = 2
_READERS: Final = 8
_WRITERS: Final = 2
_READ_PAUSE: Final = 0.05
_WRITE_PAUSE: Final = 0.1
#: Accepted age of browsing, as the deployments declare it, in seconds.
_MAX_AGE: Final = 5.0
_STUCK_LAG: Final = 3600.0
_FAR_LAG: Final = 3.0
_ROUND_TRIPS: Final = 3
_TAIL: Final = 99


@dataclass(slots=True)
class AcknowledgedWrites:
    """What has been acknowledged, and when; the judge of reads."""

    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    wrong: int = 0

    def highest_acknowledged_before(self, moment: float) -> int:
        """Return the highest number acknowledged before a moment."""
        return max(
            (number for at, number in self.acknowledged if at < moment),
            default=0,
        )


@dataclass(slots=True)
class ReadLoad:
    """Readers and writers on one service."""

    deployment: Deployment
    service: str
    randomness: Random
    truth: AcknowledgedWrites = field(default_factory=AcknowledgedWrites)
    current_times: DurationHistogram = field(default_factory=DurationHistogram)
    is_over: bool = False
    _number: int = 0

    async def run(self, seconds: float) -> None:
        """Run the load for some seconds."""
        group = self.deployment.layout.groups[0]
        proxies = sorted(self.deployment.proxies)
        first = await self.deployment.connect(proxies[0], group, self.service)
        await first.run('CREATE TABLE gates (id int)')
        tasks = []
        for place in range(_READERS + _WRITERS):
            proxy = proxies[place % len(proxies)]
            kind = 'browse' if place % 2 else 'current'
            client = await self.deployment.connect(
                proxy,
                group,
                self.service,
                read_kind=kind,
            )
            step: Any = self._write if place < _WRITERS else self._read
            tasks.append(await curio.spawn(step, client, kind))
        await curio.sleep(seconds)
        self.is_over = True
        for task in tasks:
            await task.join()
        await first.close()

    async def _write(self, client: Client, kind: str) -> None:
        while not self.is_over:
            self._number += 1
            number = self._number
            answer = await client.run(f'INSERT INTO gates VALUES ({number})')
            if not answer.sqlstate:
                now = await curio.clock()
                self.truth.acknowledged.append((now, number))
            await curio.sleep(_WRITE_PAUSE)
        await client.close()

    async def _read(self, client: Client, kind: str) -> None:
        max_age = _MAX_AGE if kind == 'browse' else 0
        seen = 0
        while not self.is_over:
            await curio.sleep(_READ_PAUSE * 2 * self.randomness.random())
            began = await curio.clock()
            answer = await client.run('SELECT max(id) FROM gates')
            if answer.sqlstate:
                continue
            if not max_age:
                self.current_times.add(await curio.clock() - began)
            highest = int(answer.rows[0][0] or 0)
            expected = self.truth.highest_acknowledged_before(began - max_age)
            if highest < max(seen, expected):
                self.truth.wrong += 1
            seen = highest
        await client.close()


async def _measure(
    layout: Layout,
    seed: int,
    lags: tuple[float, float],
    router_type: type[Router] | None = None,
) -> tuple[Deployment, ReadLoad]:
    """Run the load with the lags of two replicas, in seconds."""
    deployment = Deployment(replace(layout, seed=seed))
    await deployment.start()
    service = layout.services[0]
    replicas = deployment.list_databases(service)[1:]
    for database, lag in zip(replicas, lags, strict=True):
        database.profile.apply_lag = lag
    if router_type is not None:
        install_router(deployment, router_type)
    load = ReadLoad(deployment, service, Random(seed))
    await load.run(_SECONDS if router_type is None else _NAIVE_SECONDS)
    await deployment.close()
    return deployment, load


class ReplicaReads(Experiment):
    """Share of reads on replicas, and whether any was wrong."""

    name = 'replica-reads'
    summary = 'share of reads served by replicas while they lag'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        for place, layout in (('market', MARKET), ('buoy', BUOY)):
            lag = layout.apply_lag
            for name, lags, shares in (
                ('ordinary', (lag, lag), (0.99, 0.95)),
                ('one far', (lag, _FAR_LAG), (0.95, 0.9)),
                ('one stuck', (lag, _STUCK_LAG), (0.95, 0.9)),
            ):
                figures = await self._run_case(layout, seed, lags, shares)
                findings.extend(f'{place}, {name}:', figures)
        return findings

    async def _run_case(
        self,
        layout: Layout,
        seed: int,
        lags: tuple[float, float],
        shares: tuple[float, float],
    ) -> list[Figure]:
        deployment, load = await _measure(layout, seed, lags)
        _, naive = await _measure(layout, seed, lags, RotatingRouter)
        alone, _ = await _measure(layout, seed, lags, PrimaryRouter)
        found = Findings()
        baseline = compute_replica_share(alone)
        for access, bound in zip(('aged', 'current'), shares, strict=True):
            share = compute_replica_share(deployment, (access,))
            found.at_least(f'{access} on replicas', share, bound, '', baseline)
        found.at_most('wrong reads', load.truth.wrong, 0, '', naive.truth.wrong)
        trips = _ROUND_TRIPS * layout.hop_latency * 2
        longest = round(trips + layout.apply_lag, 4)
        tail = load.current_times.percentile(_TAIL)
        found.at_most('p99 of current reads', tail, longest, 's')
        found.record('current reads', load.current_times.count)
        return found.figures
