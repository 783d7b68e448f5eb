"""Promises to one session: own writes, whole answers, whole transactions."""

from random import Random
from typing import Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.workload import Load, LoadProfile, create_table

_ONE_SERVICE: Final = ('stalls',)
_LAG: Final = 0.8
_CALLERS: Final = 8
_ROUNDS: Final = 6
#: A moment inside a slow request, in seconds.
_MID_REQUEST_S: Final = 0.03


async def check_read_your_writes() -> list[str]:
    """Have callers read aged data on other proxies while replicas lag."""
    layout = Layout(services=_ONE_SERVICE, apply_lag=_LAG)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, 'stalls')
    load = Load(deployment, LoadProfile(), Random(2))
    await load.start(_CALLERS)
    await curio.sleep(3)
    history = await load.finish()
    await deployment.close()
    if not history.checks:
        return ['nothing was checked']
    return history.violations


async def check_transaction_isolation() -> list[str]:
    """Run more transactions than connections, each with its own rows."""
    layout = Layout(services=_ONE_SERVICE, max_connections=7)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, 'stalls')
    broken: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS):
            await tasks.spawn(_run_transactions, deployment, number, broken)
    await deployment.close()
    return broken


async def _run_transactions(
    deployment: Deployment,
    number: int,
    broken: list[str],
) -> None:
    client = await deployment.connect(f'p{number % 3 + 1}')
    query = "SELECT count(*) FROM bookings WHERE writer = 'c{0}'"
    for turn in range(_ROUNDS):
        await client.run('BEGIN')
        insert = f"INSERT INTO bookings VALUES ({turn}, 'c{number}')"
        answer = await client.run(insert)
        own = await client.run(query.format(number))
        end = await client.run('ROLLBACK' if turn % 2 else 'COMMIT')
        if answer.sqlstate or own.sqlstate or end.sqlstate:
            broken.append(f'{answer.text} {own.text} {end.text}')
            continue
        # Rolled-back turns leave no row: half of the earlier turns remain.
        expected = str((turn + 1) // 2 + 1)
        if own.rows[0][0] != expected:
            broken.append(f'c{number} turn {turn} saw {own.rows[0][0]} rows')
    await client.close()


async def check_answer_isolation() -> list[str]:
    """Cancel and abandon requests while others use the same connections."""
    layout = Layout(
        services=_ONE_SERVICE,
        max_connections=6,
        proxies=2,
        # Slow requests and quick ones then share connections.
        read_functions=('pg_sleep',),
    )
    deployment = Deployment(layout)
    await deployment.start()
    broken: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS):
            await tasks.spawn(_run_queries, deployment, number, broken)
        await tasks.spawn(_abandon_requests, deployment)
    await deployment.close()
    return broken


async def _run_queries(
    deployment: Deployment,
    number: int,
    broken: list[str],
) -> None:
    client = await deployment.connect(f'p{number % 2 + 1}')
    for turn in range(_ROUNDS * 5):
        asked = f'{number}-{turn}'
        answer = await client.run(f"SELECT '{asked}', 'x{asked}'")
        expected = (asked, f'x{asked}')
        if answer.sqlstate or list(answer.rows) != [expected]:
            broken.append(f'{asked} got {answer.rows} {answer.text}')
        if client.link.status != 'I':
            broken.append(f'{asked} is in a transaction of somebody else')
    await client.close()


async def _abandon_requests(deployment: Deployment) -> None:
    """Leave in the middle of answers, and cancel others."""
    for turn in range(_ROUNDS * 2):
        client = await deployment.connect(f'p{turn % 2 + 1}')
        task = await curio.spawn(_run_slow_query, client)
        await curio.sleep(_MID_REQUEST_S)
        if turn % 2:
            await client.link.cancel()
        await client.close()
        await task.join()


async def _run_slow_query(client: Client) -> None:
    try:
        await client.run('BEGIN READ ONLY')
        await client.run('SELECT pg_sleep(0.08)')
    except ConnectionError:
        return
