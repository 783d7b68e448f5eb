"""Load generator: callers that check reading their own writes.

Each request goes to a proxy chosen at random.
"""

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
_RECONNECT_DELAY_S: Final = 0.05


async def create_table(
    deployment: Deployment,
    service: str,
    group: str = 'growers',
) -> None:
    """Create the table into which the load writes."""
    proxy = min(deployment.proxies)
    client = await deployment.connect(proxy, group, service)
    answer = await client.run(f'CREATE TABLE {TABLE} (id int, writer text)')
    await client.close()
    if answer.sqlstate:
        raise RuntimeError(
            f'cannot create the table of the load: {answer.text}'
        )


def read_rows(deployment: Deployment, service: str) -> list[int]:
    """Return the write numbers stored on the primary."""
    primary = deployment.find_primary(service)
    link = primary.engine.connect()
    rows = link.execute(f'SELECT id FROM {TABLE}').fetchall()
    link.close()
    return [row[0] for row in rows]


def compute_replica_share(
    deployment: Deployment,
    accesses: tuple[str, ...] = ('current', 'aged'),
) -> float:
    """Return the fraction of successful reads served by replicas."""
    on_replicas = 0
    total = 0
    for proxy in deployment.proxies.values():
        for access in accesses:
            count = partial(
                proxy.metrics.read_batches,
                access=access,
                outcome='done',
            )
            on_replicas += count(target='replica')
            total += count()
    return on_replicas / total if total else 0


@dataclass(slots=True)
class LoadProfile:
    """Parameters of a load; times in seconds.

    Each caller repeats one write, `reads_each` reads of kind `read_kind` and
    a delay of `pause`.
    """

    pause: float = 0.05
    reads_each: int = 1
    read_kind: str = 'browse'
    group: str = 'growers'
    service: str = 'stalls'


@dataclass(slots=True)
class Load:
    """Callers that write, and read their writes back through any proxy.

    Parameters
    ----------
    deployment : Deployment
        Target of the load.
    profile : LoadProfile
        Parameters of each caller.
    rng : random.Random
        Selects proxies.
    """

    deployment: Deployment
    profile: LoadProfile
    rng: Random
    history: History = field(default_factory=History)
    is_stopping: bool = False
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    _tasks: list[Any] = field(default_factory=list)

    async def start(self, callers: int) -> None:
        """Start callers."""
        for number in range(callers):
            task = await curio.spawn(self._run_caller, f'c{number}')
            self._tasks.append(task)

    async def finish(self) -> History:
        """Wait for requests in progress to finish; return the history."""
        self.is_stopping = True
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
        while not self.is_stopping:
            await caller.write()
            for _ in range(self.profile.reads_each):
                await caller.read_back()
            await curio.sleep(self.profile.pause)
        await caller.leave()


class RoamingCaller:
    """A caller whose session moves between proxies.

    Parameters
    ----------
    load : Load
        Load to which the caller belongs.
    name : str
        Stored in the `writer` column of its rows.
    """

    def __init__(self, load: Load, name: str) -> None:
        self._load = load
        self._name = name
        self._clients: dict[str, Client] = {}
        self._token = ''
        self._acknowledged: set[int] = set()

    async def write(self) -> None:
        """Insert a row and record the reported outcome."""
        number = self._load.allocate_write_number()
        self._load.history.record_write(number, ReportedOutcome.UNKNOWN)
        client = await self._choose_client()
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
        outcome = parse_reported_outcome(answer)
        self._load.history.record_write(number, outcome)
        self._token = client.token or self._token
        if outcome is ReportedOutcome.DONE:
            self._acknowledged.add(number)

    async def read_back(self) -> None:
        """Check that a read returns all acknowledged writes of this caller."""
        client = await self._choose_client()
        if client is None:
            return
        query = f"SELECT id FROM {TABLE} WHERE writer = '{self._name}'"
        expected = set(self._acknowledged)
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
                f'{self._name} does not read its own writes {sorted(missing)}',
            )

    async def leave(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()

    async def _choose_client(self) -> Client | None:
        """Resume the session at a random proxy, like a load balancer.

        Returns None if the connection fails.
        """
        serving = sorted(
            name
            for name, proxy in self._load.deployment.proxies.items()
            if proxy.is_ready
        )
        name = self._load.rng.choice(serving)
        try:
            client = self._clients.get(name) or await self._connect(name)
            self._clients[name] = client
            if self._token:
                await client.run(f"SET deckdrum.session = '{self._token}'")
        except ConnectionError:
            self._clients.pop(name, None)
            await curio.sleep(_RECONNECT_DELAY_S)
            return None
        return client

    async def _connect(self, proxy: str) -> Client:
        profile = self._load.profile
        return await self._load.deployment.connect(
            proxy,
            profile.group,
            profile.service,
            read_kind=profile.read_kind,
        )
