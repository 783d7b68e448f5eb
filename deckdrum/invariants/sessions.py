"""Invariants of sessions: own writes, answers and transactions."""

from random import Random
from typing import Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.workload import Load, LoadProfile, create_table

_ONE_SERVICE: Final = ('stalls',)
_APPLY_LAG_S: Final = 0.8
_CALLERS: Final = 8
_ROUNDS: Final = 6
#: Time after which a slow request is abandoned.
_MID_REQUEST_S: Final = 0.03


async def check_read_your_writes() -> list[str]:
    """Read on other proxies after writes while replicas lag."""
    layout = Layout(services=_ONE_SERVICE, apply_lag=_APPLY_LAG_S)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, 'stalls')
    load = Load(deployment, LoadProfile(), Random(2))
    await load.start(_CALLERS)
    await curio.sleep(3)
    history = await load.finish()
    await deployment.close()
    if not history.checks:
        return ['no read was checked']
    return history.violations


async def check_transaction_isolation() -> list[str]:
    """Run more concurrent transactions than there are connections."""
    layout = Layout(services=_ONE_SERVICE, max_connections=7)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, 'stalls')
    violations: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS):
            await tasks.spawn(_run_transactions, deployment, number, violations)
    await deployment.close()
    return violations


async def _run_transactions(
    deployment: Deployment,
    number: int,
    violations: list[str],
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
            violations.append(f'{answer.text} {own.text} {end.text}')
            continue
        # Half of the earlier transactions were rolled back.
        expected = str((turn + 1) // 2 + 1)
        if own.rows[0][0] != expected:
            violations.append(
                f'c{number} turn {turn} saw {own.rows[0][0]} rows'
            )
    await client.close()


async def check_answer_isolation() -> list[str]:
    """Cancel and abandon requests that share connections with others."""
    layout = Layout(
        services=_ONE_SERVICE,
        max_connections=6,
        proxies=2,
        # Lets slow and fast requests share connections.
        read_functions=('pg_sleep',),
    )
    deployment = Deployment(layout)
    await deployment.start()
    violations: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS):
            await tasks.spawn(_run_queries, deployment, number, violations)
        await tasks.spawn(_abandon_requests, deployment)
    await deployment.close()
    return violations


async def _run_queries(
    deployment: Deployment,
    number: int,
    violations: list[str],
) -> None:
    client = await deployment.connect(f'p{number % 2 + 1}')
    for turn in range(_ROUNDS * 5):
        literal = f'{number}-{turn}'
        answer = await client.run(f"SELECT '{literal}', 'x{literal}'")
        expected = (literal, f'x{literal}')
        if answer.sqlstate or list(answer.rows) != [expected]:
            violations.append(f'{literal} got {answer.rows} {answer.text}')
        if client.link.status != 'I':
            violations.append(
                f'{literal} is in the transaction of another session'
            )
    await client.close()


async def _abandon_requests(deployment: Deployment) -> None:
    """Abandon or cancel requests before they are answered."""
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
