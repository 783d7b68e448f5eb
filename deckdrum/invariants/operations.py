"""Promises to operators: leaving, planned stops and configurations."""

from random import Random
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.workload import Load, LoadProfile, create_table
from deckdrum.store import Instance, InstanceState
from deckdrum.store.records import ConfigurationRecord

_ONE_SERVICE: Final = ('stalls',)
_CALLERS: Final = 4
#: Pause of a caller between two rounds, in seconds.
_PAUSE: Final = 0.05
_PACE: Final = LoadProfile(pause=_PAUSE, reads_each=2)
_POLL: Final = 0.01
_BUSY_TIME_S: Final = 0.2
_MAX_TRANSACTIONS: Final = 400
_LEAVING: Final = ('stalls-1', 'stalls-2')
#: Longest time that work may still go to a leaving database, in seconds.
LEAVING_TIMEOUT_S: Final = 4.0
#: Longest time until a configuration is in force everywhere, in seconds.
ROLLOUT_TIMEOUT_S: Final = 5.0


async def check_leaving_servers() -> list[str]:
    """List a replica as leaving while callers read."""
    deployment = Deployment(Layout(services=_ONE_SERVICE))
    await deployment.start()
    await create_table(deployment, 'stalls')
    load = Load(deployment, _PACE, Random(4))
    await load.start(_CALLERS)
    await curio.sleep(1)
    for name in _LEAVING:
        await _list_leaving(deployment, name)
    await curio.sleep(LEAVING_TIMEOUT_S)
    before = _count_work(deployment)
    await curio.sleep(2)
    after = _count_work(deployment)
    await load.finish()
    await deployment.close()
    broken = [
        f'{left}, which is leaving, got {after[left] - before[left]} requests'
        for left in _LEAVING
        if after[left] > before[left]
    ]
    if after['stalls-3'] == before['stalls-3']:
        broken.append('nobody was served')
    return broken + load.history.violations


async def _list_leaving(deployment: Deployment, name: str) -> None:
    database = deployment.databases[name]
    instance = Instance(
        name=name,
        kind='database',
        data_centre=database.profile.data_centre,
        address=str(database.address),
        state=InstanceState.LEAVING,
    )
    await deployment.platform.list_instance(instance)


def _count_work(deployment: Deployment) -> dict[str, int]:
    """Return the requests that each database has been given."""
    counts = dict.fromkeys(deployment.databases, 0)
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            for name, pool in keeper.pools.items():
                counts[name] += pool.queue.granted_count
    return counts


async def check_graceful_shutdown() -> list[str]:
    """Stop proxies one after the other while callers are busy."""
    deployment = Deployment(Layout(services=_ONE_SERVICE, proxies=4))
    await deployment.start()
    await create_table(deployment, 'stalls')
    broken: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS * 2):
            name = f'p{number % 2 + 1}'
            await tasks.spawn(
                _run_transactions_until_drained,
                deployment,
                name,
                number,
                broken,
            )
        await curio.sleep(_BUSY_TIME_S)
        for name in ('p1', 'p2'):
            if not await deployment.proxies[name].drain():
                broken.append(f'{name} did not drain in time')
            await deployment.proxies[name].close()
    await deployment.close()
    return broken


async def _run_transactions_until_drained(
    deployment: Deployment,
    proxy: str,
    number: int,
    broken: list[str],
) -> None:
    """Run transactions until told to leave; every one must be whole."""
    client = await deployment.connect(proxy)
    statements = (
        'BEGIN',
        f"INSERT INTO bookings VALUES ({number}, 'busy')",
        'SELECT pg_sleep(0.05)',
        'COMMIT',
    )
    for _ in range(_MAX_TRANSACTIONS):
        for place, statement in enumerate(statements):
            try:
                answer = await client.run(statement)
            except ConnectionError:
                if place:
                    broken.append(f'caller {number} was cut at {statement}')
                return
            if answer.sqlstate.startswith('DD') and not place:
                await client.close()
                return
            if answer.sqlstate:
                broken.append(f'{statement}: {answer.sqlstate} {answer.text}')
    broken.append(f'caller {number} was never told to leave')


async def check_configuration_order() -> list[str]:
    """Apply while the platform fails; bring old configurations back."""
    deployment = Deployment(Layout(services=_ONE_SERVICE))
    await deployment.start()
    text = deployment.describe()
    broken: list[str] = []
    seen: dict[str, int] = {}
    watching = await curio.spawn(_watch_versions, deployment, seen, broken)
    await deployment.apply(text.replace('max_age: 5', 'max_age: 4'), number=2)
    broken.extend(await _check_in_force_everywhere(deployment, 2))
    broken.extend(await _pass_outage(deployment, text))
    await deployment.apply(text.replace('max_age: 5', 'max_age: 3'), number=3)
    await curio.sleep(ROLLOUT_TIMEOUT_S)
    broken.extend(await _check_in_force_everywhere(deployment, 3))
    await watching.cancel()
    await deployment.close()
    return broken


async def _pass_outage(deployment: Deployment, text: str) -> list[str]:
    """Offer the old configuration, and start a proxy, in an outage."""
    faults = deployment.platform.faults
    faults.down = True
    await curio.sleep(1)
    await _apply_old_configuration(deployment, text)
    # The late proxy must get everything from a peer.
    membership = deployment.proxies['p1'].membership
    await deployment.start_proxy(9, peers=(membership.own.address,))
    broken = await _check_in_force_everywhere(deployment, 2)
    faults.down = False
    return broken


async def _apply_old_configuration(deployment: Deployment, text: str) -> None:
    """Give proxies a configuration that was in force before."""
    old = ConfigurationRecord(
        number=1,
        operation='operation-1',
        author='bench',
        text=text,
    )
    for proxy in deployment.proxies.values():
        await proxy.view.apply_configuration(old)


async def _watch_versions(
    deployment: Deployment,
    seen: dict[str, int],
    broken: list[str],
) -> None:
    while True:
        for name, proxy in deployment.proxies.items():
            if proxy.view.number < seen.get(name, 0):
                broken.append(f'{name} went back to {proxy.view.number}')
            seen[name] = proxy.view.number
        await curio.sleep(_POLL)


async def _check_in_force_everywhere(
    deployment: Deployment,
    number: int,
) -> list[str]:
    async with curio.ignore_after(ROLLOUT_TIMEOUT_S):
        while any(
            proxy.view.number != number for proxy in deployment.proxies.values()
        ):
            await curio.sleep(_POLL)
    return [
        f'{name} has configuration {proxy.view.number}, expected {number}'
        for name, proxy in deployment.proxies.items()
        if proxy.view.number != number
    ]
