"""Tests that a suspended and resumed keeper process loses no writes.

The proxies are separate processes in real time; no durations are asserted.
"""

import itertools
import signal
import tempfile
from collections.abc import Iterator

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.history import (
    History,
    ReportedOutcome,
    parse_reported_outcome,
)
from deckdrum.bench.slopes import ProxyProcess
from deckdrum.bench.workload import read_rows
from deckdrum.fleet.membership import rank_keepers

SERVICE = 'stalls'


async def write_until_done(
    client: Client,
    numbers: Iterator[int],
    history: History,
) -> None:
    """Write rows until one is acknowledged."""
    outcome = ReportedOutcome.UNKNOWN
    while outcome is not ReportedOutcome.DONE:
        number = next(numbers)
        history.record_write(number, ReportedOutcome.UNKNOWN)
        insert = f"INSERT INTO bookings VALUES ({number}, 'f')"
        outcome = parse_reported_outcome(await client.run(insert))
        history.record_write(number, outcome)


async def suspend_keeper(folder: str) -> list[str]:
    deployment = Deployment(Layout(services=(SERVICE,), proxies=0))
    await deployment.start()
    platform = deployment.platform.address
    proxies = [ProxyProcess(number, platform, folder) for number in (5, 6, 7)]
    history = History()
    numbers = itertools.count(1)
    try:
        for proxy in proxies:
            await proxy.start(deployment)
        named = {proxy.name: proxy for proxy in proxies}
        ranking = rank_keepers(SERVICE, named)
        keeper, entry = named[ranking[0]], named[ranking[1]]
        client = await entry.connect(SERVICE)
        await client.run('CREATE TABLE bookings (id int, writer text)')
        await write_until_done(client, numbers, history)
        for number in (signal.SIGSTOP, signal.SIGCONT):
            keeper.process.send_signal(number)
            await write_until_done(client, numbers, history)
            await write_until_done(client, numbers, history)
        await client.close()
        return history.check_rows(read_rows(deployment, SERVICE))
    finally:
        for proxy in proxies:
            proxy.stop()
        await deployment.close()


def test_suspended_keeper_is_replaced_without_lost_writes() -> None:
    with tempfile.TemporaryDirectory() as folder:
        assert not curio.run(suspend_keeper, folder)
