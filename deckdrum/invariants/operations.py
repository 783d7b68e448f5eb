"""Invariants of operations: draining, shutdown and configuration."""

from random import Random
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.workload import Load, LoadProfile, create_table
from deckdrum.store import Instance, InstanceState
from deckdrum.store.records import ConfigurationRecord

_ONE_SERVICE: Final = ('stalls',)
_CALLERS: Final = 4
_REQUEST_INTERVAL_S: Final = 0.05
_PACE: Final = LoadProfile(pause=_REQUEST_INTERVAL_S, reads_each=2)
_POLL_INTERVAL_S: Final = 0.01
_BUSY_TIME_S: Final = 0.2
_MAX_TRANSACTIONS: Final = 400
_LEAVING_SERVERS: Final = ('stalls-1', 'stalls-2')
#: Time after which a leaving database must not receive requests.
LEAVING_TIMEOUT_S: Final = 4.0
#: Time after which a configuration must be in force on every proxy.
ROLLOUT_TIMEOUT_S: Final = 5.0


async def check_leaving_servers() -> list[str]:
    """Mark replicas as leaving while callers read."""
    deployment = Deployment(Layout(services=_ONE_SERVICE))
    await deployment.start()
    await create_table(deployment, 'stalls')
    load = Load(deployment, _PACE, Random(4))
    await load.start(_CALLERS)
    await curio.sleep(1)
    for name in _LEAVING_SERVERS:
        await _mark_leaving(deployment, name)
    await curio.sleep(LEAVING_TIMEOUT_S)
    before = _count_requests(deployment)
    await curio.sleep(2)
    after = _count_requests(deployment)
    await load.finish()
    await deployment.close()
    violations = [
        f'{server}, which is leaving, got '
        f'{after[server] - before[server]} requests'
        for server in _LEAVING_SERVERS
        if after[server] > before[server]
    ]
    if after['stalls-3'] == before['stalls-3']:
        violations.append('no request was served')
    return violations + load.history.violations


async def _mark_leaving(deployment: Deployment, name: str) -> None:
    database = deployment.databases[name]
    instance = Instance(
        name=name,
        kind='database',
        data_centre=database.profile.data_centre,
        address=str(database.address),
        state=InstanceState.LEAVING,
    )
    await deployment.platform.list_instance(instance)


def _count_requests(deployment: Deployment) -> dict[str, int]:
    """Return the number of requests that each database has received."""
    counts = dict.fromkeys(deployment.databases, 0)
    for proxy in deployment.proxies.values():
        for keeper in proxy.keeper_manager.keepers.values():
            for name, pool in keeper.pools.items():
                counts[name] += pool.queue.granted_count
    return counts


async def check_graceful_shutdown() -> list[str]:
    """Stop proxies one after the other while callers run transactions."""
    deployment = Deployment(Layout(services=_ONE_SERVICE, proxies=4))
    await deployment.start()
    await create_table(deployment, 'stalls')
    violations: list[str] = []
    async with curio.TaskGroup() as tasks:
        for number in range(_CALLERS * 2):
            name = f'p{number % 2 + 1}'
            await tasks.spawn(
                _run_transactions_until_drained,
                deployment,
                name,
                number,
                violations,
            )
        await curio.sleep(_BUSY_TIME_S)
        for name in ('p1', 'p2'):
            if not await deployment.proxies[name].drain():
                violations.append(f'{name} did not drain in time')
            await deployment.proxies[name].close()
    await deployment.close()
    return violations


async def _run_transactions_until_drained(
    deployment: Deployment,
    proxy: str,
    number: int,
    violations: list[str],
) -> None:
    """Run transactions until the proxy drains; none may be interrupted."""
    client = await deployment.connect(proxy)
    statements = (
        'BEGIN',
        f"INSERT INTO bookings VALUES ({number}, 'busy')",
        'SELECT pg_sleep(0.05)',
        'COMMIT',
    )
    for _ in range(_MAX_TRANSACTIONS):
        for index, statement in enumerate(statements):
            try:
                answer = await client.run(statement)
            except ConnectionError:
                if index:
                    violations.append(
                        f'caller {number} was disconnected at {statement}'
                    )
                return
            if answer.sqlstate.startswith('DD') and not index:
                await client.close()
                return
            if answer.sqlstate:
                violations.append(
                    f'{statement}: {answer.sqlstate} {answer.text}'
                )
    violations.append(f'caller {number} was not asked to reconnect')


async def check_configuration_order() -> list[str]:
    """Apply configurations during an outage, and replay an old one."""
    deployment = Deployment(Layout(services=_ONE_SERVICE))
    await deployment.start()
    text = deployment.describe()
    violations: list[str] = []
    seen: dict[str, int] = {}
    watch_task = await curio.spawn(
        _watch_versions, deployment, seen, violations
    )
    await deployment.apply(text.replace('max_age: 5', 'max_age: 4'), number=2)
    violations.extend(await _check_in_force_everywhere(deployment, 2))
    violations.extend(await _apply_during_outage(deployment, text))
    await deployment.apply(text.replace('max_age: 5', 'max_age: 3'), number=3)
    await curio.sleep(ROLLOUT_TIMEOUT_S)
    violations.extend(await _check_in_force_everywhere(deployment, 3))
    await watch_task.cancel()
    await deployment.close()
    return violations


async def _apply_during_outage(deployment: Deployment, text: str) -> list[str]:
    """Replay an old configuration and start a proxy during an outage."""
    faults = deployment.platform.faults
    faults.is_down = True
    await curio.sleep(1)
    await _apply_old_configuration(deployment, text)
    # The new proxy must fetch the configuration from a peer.
    membership = deployment.proxies['p1'].membership
    await deployment.start_proxy(9, peers=(membership.own.address,))
    violations = await _check_in_force_everywhere(deployment, 2)
    faults.is_down = False
    return violations


async def _apply_old_configuration(deployment: Deployment, text: str) -> None:
    """Send the proxies a configuration that was replaced."""
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
    violations: list[str],
) -> None:
    while True:
        for name, proxy in deployment.proxies.items():
            if proxy.view.number < seen.get(name, 0):
                violations.append(
                    f'{name} reverted to configuration {proxy.view.number}'
                )
            seen[name] = proxy.view.number
        await curio.sleep(_POLL_INTERVAL_S)


async def _check_in_force_everywhere(
    deployment: Deployment,
    number: int,
) -> list[str]:
    async with curio.ignore_after(ROLLOUT_TIMEOUT_S):
        while any(
            proxy.view.number != number for proxy in deployment.proxies.values()
        ):
            await curio.sleep(_POLL_INTERVAL_S)
    return [
        f'{name} has configuration {proxy.view.number}, expected {number}'
        for name, proxy in deployment.proxies.items()
        if proxy.view.number != number
    ]
