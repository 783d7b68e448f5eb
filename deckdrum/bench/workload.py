"""Callers that write, read back and roam between proxies."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment
from deckdrum.bench.history import (
    History,
    ReportedOutcome,
    parse_reported_outcome,
)

TABLE: Final = 'bookings'
_RECONNECT_PAUSE: Final = 0.05


async def create_table(
    deployment: Deployment,
    service: str,
    group: str = 'growers',
) -> None:
    """Create the table that the load uses."""
    proxy = min(deployment.proxies)
    client = await deployment.connect(proxy, group, service)
    answer = await client.run(f'CREATE TABLE {TABLE} (id int, writer text)')
    await client.close()
    if answer.sqlstate:
        raise RuntimeError(f'no table: {answer.text}')


def read_rows(deployment: Deployment, service: str) -> list[int]:
    """Return the numbers of the rows that the primary holds."""
    primary = deployment.find_primary(service)
    link = primary.engine.connect()
    rows = link.execute(f'SELECT id FROM {TABLE}').fetchall()
    link.close()
    return [row[0] for row in rows]


def compute_replica_share(
    deployment: Deployment,
    accesses: tuple[str, ...] = ('current', 'aged'),
) -> float:
    """Return the share of answered reads that replicas served."""
    on_replicas = 0
    in_all = 0
    for proxy in deployment.proxies.values():
        for access in accesses:
            count = partial(
                proxy.metrics.read_batches,
                access=access,
                outcome='done',
            )
            on_replicas += count(target='replica')
            in_all += count()
    return on_replicas / in_all if in_all else 0


@dataclass(slots=True)
class LoadProfile:
    """How a load behaves; times in seconds.

    `read_kind` is the kind of read by which a caller reads back.
    """

    pause: float = 0.05
    reads_each: int = 1
    read_kind: str = 'browse'
    group: str = 'growers'
    service: str = 'stalls'


@dataclass(slots=True)
class Load:
    """Callers that write, and check by reading on another proxy.

    Parameters
    ----------
    deployment : Deployment
        What is loaded.
    pace : Pace
        How each caller behaves.
    randomness : random.Random
        Chooses proxies.
    """

    deployment: Deployment
    pace: LoadProfile
    randomness: Random
    history: History = field(default_factory=History)
    is_over: bool = False
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    _tasks: list[Any] = field(default_factory=list)

    async def start(self, callers: int) -> None:
        """Start callers."""
        for number in range(callers):
            task = await curio.spawn(self._run_caller, f'c{number}')
            self._tasks.append(task)

    async def finish(self) -> History:
        """Let the callers finish what they do; return the record."""
        self.is_over = True
        for task in self._tasks:
            await task.join()
        return self.history

    def set_first_write_number(self, first: int) -> None:
        """Set the number of the first write."""
        self._numbers = itertools.count(first)

    def allocate_write_number(self) -> int:
        """Return the number of the next write."""
        return next(self._numbers)

    async def _run_caller(self, name: str) -> None:
        caller = RoamingCaller(self, name)
        while not self.is_over:
            await caller.write()
            for _ in range(self.pace.reads_each):
                await caller.read_back()
            await curio.sleep(self.pace.pause)
        await caller.leave()


class RoamingCaller:
    """One caller whose session moves between proxies.

    Parameters
    ----------
    load : Load
        To which it belongs.
    name : str
        Written into its rows.
    """

    def __init__(self, load: Load, name: str) -> None:
        self._load = load
        self._name = name
        self._clients: dict[str, Client] = {}
        self._token = ''
        self._done: set[int] = set()

    async def write(self) -> None:
        """Insert a row and note what was told."""
        number = self._load.allocate_write_number()
        self._load.history.record_write(number, ReportedOutcome.UNKNOWN)
        client = await self._move()
        if client is None:
            self._load.history.record_write(number, ReportedOutcome.NOT_RUN)
            return
        try:
            answer = await client.run(
                f"INSERT INTO {TABLE} VALUES ({number}, '{self._name}')",
            )
        except ConnectionError:
            await self.leave()
            return
        told = parse_reported_outcome(answer)
        self._load.history.record_write(number, told)
        self._token = client.token or self._token
        if told is ReportedOutcome.DONE:
            self._done.add(number)

    async def read_back(self) -> None:
        """Read own rows on another proxy and check that all are there."""
        client = await self._move()
        if client is None:
            return
        query = f"SELECT id FROM {TABLE} WHERE writer = '{self._name}'"
        expected = set(self._done)
        try:
            answer = await client.run(query)
        except ConnectionError:
            await self.leave()
            return
        if answer.sqlstate:
            return
        self._token = client.token or self._token
        history = self._load.history
        history.reads += 1
        history.checks += len(expected)
        missing = expected - {int(row[0] or 0) for row in answer.rows}
        if missing:
            history.record_violation(
                f'{self._name} does not see its writes {sorted(missing)}',
            )

    async def leave(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()

    async def _move(self) -> Client | None:
        """Go on at a proxy chosen at random, as a balancer would."""
        serving = sorted(
            name
            for name, proxy in self._load.deployment.proxies.items()
            if proxy.is_ready
        )
        name = self._load.randomness.choice(serving)
        try:
            client = self._clients.get(name) or await self._connect(name)
            self._clients[name] = client
            if self._token:
                await client.run(f"SET deckdrum.session = '{self._token}'")
        except ConnectionError:
            self._clients.pop(name, None)
            await curio.sleep(_RECONNECT_PAUSE)
            return None
        return client

    async def _connect(self, proxy: str) -> Client:
        pace = self._load.pace
        return await self._load.deployment.connect(
            proxy,
            pace.group,
            pace.service,
            read_kind=pace.read_kind,
        )
