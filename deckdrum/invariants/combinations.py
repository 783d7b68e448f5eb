"""Sequences of overlapping faults under load."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.workload import Load, LoadProfile, create_table, read_rows
from deckdrum.standins.database import StandinDatabase

_SERVICE: Final = 'stalls'
_PROXIES: Final = 4
_CALLERS: Final = 4
_REQUEST_INTERVAL_S: Final = 0.05
_PACE: Final = LoadProfile(pause=_REQUEST_INTERVAL_S)
_RECOVERY_TIME_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault with its start and duration in seconds.

    `target` is the index of the database or proxy, modulo their number.
    """

    kind: str
    start: float
    duration: float
    target: int


def _pick_database(deployment: Deployment, fault: Fault) -> StandinDatabase:
    databases = deployment.list_databases(_SERVICE)
    return databases[fault.target % len(databases)]


async def crash(deployment: Deployment, fault: Fault) -> None:
    """Crash a database and restart it."""
    database = _pick_database(deployment, fault)
    if database.running:
        await database.crash()
        await curio.sleep(fault.duration)
        await database.start()


async def pause(deployment: Deployment, fault: Fault) -> None:
    """Pause a database for some time."""
    faults = _pick_database(deployment, fault).faults
    faults.paused = True
    await curio.sleep(fault.duration)
    faults.paused = False


async def partition(deployment: Deployment, fault: Fault) -> None:
    """Partition a database from the others and from all proxies but one."""
    database = _pick_database(deployment, fault)
    names = {each.name for each in deployment.list_databases(_SERVICE)}
    proxies = sorted(deployment.proxies)
    reachable_proxy = proxies[fault.target % len(proxies)]
    unreachable = (names - {database.name}) | (set(proxies) - {reachable_proxy})
    database.faults.cut_from |= unreachable
    await curio.sleep(fault.duration)
    database.faults.cut_from -= unreachable


async def lose_platform(deployment: Deployment, fault: Fault) -> None:
    """Make the platform unavailable for some time."""
    deployment.platform.faults.is_down = True
    await curio.sleep(fault.duration)
    deployment.platform.faults.is_down = False


async def lose_answers(deployment: Deployment, fault: Fault) -> None:
    """Lose replies of the platform to changes that took effect."""
    deployment.platform.faults.lost_answers += 1 + fault.target


async def stop_proxy(deployment: Deployment, fault: Fault) -> None:
    """Stop a proxy and start another."""
    if len(deployment.proxies) < _PROXIES:
        return
    names = sorted(deployment.proxies)
    proxy = deployment.proxies.pop(names[fault.target % len(names)])
    await proxy.close()
    await curio.sleep(fault.duration)
    number = int(proxy.name[1:]) + _PROXIES
    await deployment.start_proxy(number)


_Injector = Callable[[Deployment, Fault], Awaitable[None]]
FAULT_INJECTORS: Final[Mapping[str, _Injector]] = MappingProxyType(
    {
        'crash': crash,
        'pause': pause,
        'cut': partition,
        'lose platform': lose_platform,
        'lose answers': lose_answers,
        'stop proxy': stop_proxy,
    }
)


async def run_faults(
    faults: Sequence[Fault], recovery_time: float = _RECOVERY_TIME_S
) -> list[str]:
    """Inject faults under load; return the violated invariants.

    The load goes on for `recovery_time` seconds after the last fault.
    """
    layout = Layout(services=(_SERVICE,), proxies=_PROXIES)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = Load(deployment, _PACE, Random(len(faults)))
    await load.start(_CALLERS)
    async with curio.TaskGroup() as tasks:
        for fault in faults:
            await tasks.spawn(_inject_later, deployment, fault)
    await curio.sleep(recovery_time)
    history = await load.finish()
    violations = history.check_rows(read_rows(deployment, _SERVICE))
    await deployment.close()
    return violations


async def _inject_later(deployment: Deployment, fault: Fault) -> None:
    await curio.sleep(fault.start)
    await FAULT_INJECTORS[fault.kind](deployment, fault)
