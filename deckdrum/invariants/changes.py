"""Invariants of writes: durability, at most once, correct refusals."""

from random import Random
from typing import Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.history import (
    History,
    ReportedOutcome,
    parse_reported_outcome,
)
from deckdrum.bench.workload import Load, LoadProfile, create_table, read_rows
from deckdrum.standins.database import StandinDatabase

_SERVICE: Final = 'stalls'
_WRITERS: Final = 6
_CRASH_COUNT: Final = 10
_WRITE_INTERVAL_S: Final = 0.02
#: Times after the start of the writes at which the primary is crashed.
_CRASH_TIMES_S: Final = tuple(step / 1000 for step in range(_CRASH_COUNT))
_CHANGE_TIMEOUT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.005
_PACE: Final = LoadProfile(pause=_WRITE_INTERVAL_S, reads_each=0)


async def check_acknowledged_writes() -> list[str]:
    """Partition a primary and its keeper from the rest while callers write.

    The other databases and proxies promote a new primary; writes that the old
    one accepts afterwards must not be acknowledged.
    """
    deployment = Deployment(Layout(services=(_SERVICE,)))
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = Load(deployment, _PACE, Random(3))
    await load.start(_WRITERS)
    await curio.sleep(1)
    primary = deployment.find_primary(_SERVICE)
    _partition_with_keeper(deployment, primary)
    await curio.sleep(6)
    primary.faults.cut_from.clear()
    await curio.sleep(2)
    history = await load.finish()
    violations = history.check_rows(read_rows(deployment, _SERVICE))
    if deployment.find_primary(_SERVICE) is primary:
        violations.append('the partitioned primary was not replaced')
    await deployment.close()
    return violations


async def check_lagging_follower() -> list[str]:
    """Crash two primaries in turn while one replica receives no log.

    The replica follows the second primary, but lacks writes that the first one,
    which is back by then, holds.
    """
    deployment = Deployment(Layout(services=(_SERVICE,)))
    await deployment.start()
    await create_table(deployment, _SERVICE)
    first, second, lagging = deployment.list_databases(_SERVICE)
    await curio.sleep(1)
    lagging.faults.receives_no_log = True
    load = Load(deployment, _PACE, Random(4))
    await load.start(_WRITERS)
    await curio.sleep(1)
    await first.crash()
    await _wait_for_primary(deployment, second, lagging)
    await second.crash()
    await first.start()
    lagging.faults.receives_no_log = False
    await curio.sleep(3)
    history = await load.finish()
    violations = history.check_rows(read_rows(deployment, _SERVICE))
    if deployment.find_primary(_SERVICE) is second:
        violations.append('the second primary was not replaced')
    await deployment.close()
    return violations


async def _wait_for_primary(
    deployment: Deployment, primary: StandinDatabase, follower: StandinDatabase
) -> None:
    """Wait until a database leads and another one follows it."""
    async with curio.timeout_after(_CHANGE_TIMEOUT_S):
        while not (
            deployment.find_primary(_SERVICE) is primary
            and follower.term == primary.term
        ):
            await curio.sleep(_POLL_INTERVAL_S)


def _partition_with_keeper(
    deployment: Deployment, primary: StandinDatabase
) -> None:
    """Partition a primary from everything but its keeper."""
    keepers = [
        name
        for name, proxy in deployment.proxies.items()
        if proxy.membership.list_keepers(_SERVICE, 0)[0].name == name
    ]
    others = {each.name for each in deployment.list_databases(_SERVICE)}
    proxies = set(deployment.proxies) - set(keepers)
    primary.faults.cut_from.update(others - {primary.name}, proxies)


async def check_reported_outcomes() -> list[str]:
    """Crash the primary at different times of a write."""
    violations: list[str] = []
    for crash_time in _CRASH_TIMES_S:
        violations.extend(await _crash_after(crash_time, is_once=False))
    return violations


async def check_at_most_once() -> list[str]:
    """Crash the primary during writes that must not be retried."""
    violations: list[str] = []
    for crash_time in _CRASH_TIMES_S:
        violations.extend(await _crash_after(crash_time, is_once=True))
    return violations


async def _crash_after(seconds: float, is_once: bool) -> list[str]:
    """Crash the primary some time after the writes began, and restart it."""
    deployment = Deployment(Layout(services=(_SERVICE,)))
    await deployment.start()
    await create_table(deployment, _SERVICE)
    history = History()
    async with curio.TaskGroup() as tasks:
        for number in range(_WRITERS):
            client = await deployment.connect(f'p{number % 3 + 1}')
            write = _write_once if is_once else _write
            await tasks.spawn(write, client, number, history)
        await curio.sleep(seconds)
        primary = deployment.find_primary(_SERVICE)
        await primary.crash()
        await curio.sleep(2)
        await primary.start()
        await curio.sleep(1)
    violations = history.check_rows(read_rows(deployment, _SERVICE))
    await deployment.close()
    return [f'crash after {seconds:.3f} s: {each}' for each in violations]


async def _write(client: Client, number: int, history: History) -> None:
    history.record_write(number, ReportedOutcome.UNKNOWN)
    insert = f"INSERT INTO bookings VALUES ({number}, 'w')"
    history.record_write(
        number, parse_reported_outcome(await client.run(insert))
    )
    await client.close()


async def _write_once(client: Client, number: int, history: History) -> None:
    await client.run('SET deckdrum.repeatable = off')
    await _write(client, number, history)
