"""``replica-reads``: current and aged reads while replicas lag."""

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

_DURATION_S: Final = 6
_NAIVE_DURATION_S: Final = 2
_READER_COUNT: Final = 8
_WRITER_COUNT: Final = 2
_READ_INTERVAL_S: Final = 0.05
_WRITE_INTERVAL_S: Final = 0.1
#: Must match `max_age` of the read kind "browse" in the deployment.
_MAX_AGE_S: Final = 5.0
_STUCK_LAG_S: Final = 3600.0
_FAR_LAG_S: Final = 3.0
_ROUND_TRIPS: Final = 3
_TAIL_PERCENTILE: Final = 99


@dataclass(slots=True)
class AcknowledgedWrites:
    """Acknowledged writes with their times, to detect stale reads."""

    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    stale_reads: int = 0

    def highest_acknowledged_before(self, moment: float) -> int:
        """Return the highest number acknowledged before a time."""
        return max(
            (number for at, number in self.acknowledged if at < moment),
            default=0,
        )


@dataclass(slots=True)
class ReadLoad:
    """Concurrent readers and writers of one service."""

    deployment: Deployment
    service: str
    rng: Random
    acknowledged_writes: AcknowledgedWrites = field(
        default_factory=AcknowledgedWrites
    )
    current_durations: DurationHistogram = field(
        default_factory=DurationHistogram
    )
    is_stopping: bool = False
    _number: int = 0

    async def run(self, seconds: float) -> None:
        """Run the load for the given duration."""
        group = self.deployment.layout.groups[0]
        proxies = sorted(self.deployment.proxies)
        first = await self.deployment.connect(proxies[0], group, self.service)
        await first.run('CREATE TABLE gates (id int)')
        tasks = []
        for index in range(_READER_COUNT + _WRITER_COUNT):
            proxy = proxies[index % len(proxies)]
            kind = 'browse' if index % 2 else 'current'
            client = await self.deployment.connect(
                proxy,
                group,
                self.service,
                read_kind=kind,
            )
            step: Any = self._write if index < _WRITER_COUNT else self._read
            tasks.append(await curio.spawn(step, client, kind))
        await curio.sleep(seconds)
        self.is_stopping = True
        for task in tasks:
            await task.join()
        await first.close()

    async def _write(self, client: Client, kind: str) -> None:
        while not self.is_stopping:
            self._number += 1
            number = self._number
            answer = await client.run(f'INSERT INTO gates VALUES ({number})')
            if not answer.sqlstate:
                now = await curio.clock()
                self.acknowledged_writes.acknowledged.append((now, number))
            await curio.sleep(_WRITE_INTERVAL_S)
        await client.close()

    async def _read(self, client: Client, kind: str) -> None:
        max_age = _MAX_AGE_S if kind == 'browse' else 0
        seen = 0
        while not self.is_stopping:
            await curio.sleep(_READ_INTERVAL_S * 2 * self.rng.random())
            started_at = await curio.clock()
            answer = await client.run('SELECT max(id) FROM gates')
            if answer.sqlstate:
                continue
            if not max_age:
                self.current_durations.add(await curio.clock() - started_at)
            highest = int(answer.rows[0][0] or 0)
            expected = self.acknowledged_writes.highest_acknowledged_before(
                started_at - max_age
            )
            if highest < max(seen, expected):
                self.acknowledged_writes.stale_reads += 1
            seen = highest
        await client.close()


async def _measure(
    layout: Layout,
    seed: int,
    lags: tuple[float, float],
    router_type: type[Router] | None = None,
) -> tuple[Deployment, ReadLoad]:
    """Run the load with the given lags of two replicas, in seconds."""
    deployment = Deployment(replace(layout, seed=seed))
    await deployment.start()
    service = layout.services[0]
    replicas = deployment.list_databases(service)[1:]
    for database, lag in zip(replicas, lags, strict=True):
        database.profile.apply_lag = lag
    if router_type is not None:
        install_router(deployment, router_type)
    load = ReadLoad(deployment, service, Random(seed))
    await load.run(_DURATION_S if router_type is None else _NAIVE_DURATION_S)
    await deployment.close()
    return deployment, load


class ReplicaReads(Experiment):
    """Fraction of reads served by replicas, and stale reads."""

    name = 'replica-reads'
    summary = 'share of reads served by replicas while they lag'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        for layout_name, layout in (('market', MARKET), ('buoy', BUOY)):
            lag = layout.apply_lag
            for name, lags, shares in (
                ('ordinary', (lag, lag), (0.99, 0.95)),
                ('one far', (lag, _FAR_LAG_S), (0.95, 0.9)),
                ('one stuck', (lag, _STUCK_LAG_S), (0.95, 0.9)),
            ):
                figures = await self._run_case(layout, seed, lags, shares)
                findings.extend(f'{layout_name}, {name}:', figures)
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
        primary_only, _ = await _measure(layout, seed, lags, PrimaryRouter)
        found = Findings()
        baseline = compute_replica_share(primary_only)
        for access, bound in zip(('aged', 'current'), shares, strict=True):
            share = compute_replica_share(deployment, (access,))
            found.at_least(f'{access} on replicas', share, bound, '', baseline)
        found.at_most(
            'wrong reads',
            load.acknowledged_writes.stale_reads,
            0,
            '',
            naive.acknowledged_writes.stale_reads,
        )
        trips = _ROUND_TRIPS * layout.hop_latency * 2
        max_p99 = round(trips + layout.apply_lag, 4)
        p99 = load.current_durations.percentile(_TAIL_PERCENTILE)
        found.at_most('p99 of current reads', p99, max_p99, 's')
        found.record('current reads', load.current_durations.count)
        return found.figures
