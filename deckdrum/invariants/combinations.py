"""Faults one after the other and at one time, under one load."""

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
_PAUSE: Final = 0.05
_PACE: Final = LoadProfile(pause=_PAUSE)
_RECOVERY_TIME_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, when it comes and how long it lasts, in seconds.

    `place` chooses among the databases or proxies.
    """

    kind: str
    starts: float
    lasts: float
    place: int


def _pick_database(deployment: Deployment, fault: Fault) -> StandinDatabase:
    databases = deployment.list_databases(_SERVICE)
    return databases[fault.place % len(databases)]


async def crash(deployment: Deployment, fault: Fault) -> None:
    """Crash a database, and start it again."""
    database = _pick_database(deployment, fault)
    if database.running:
        await database.crash()
        await curio.sleep(fault.lasts)
        await database.start()


async def pause(deployment: Deployment, fault: Fault) -> None:
    """Pause a database."""
    faults = _pick_database(deployment, fault).faults
    faults.paused = True
    await curio.sleep(fault.lasts)
    faults.paused = False


async def cut(deployment: Deployment, fault: Fault) -> None:
    """Cut a database off from the others and from all proxies but one."""
    database = _pick_database(deployment, fault)
    names = {each.name for each in deployment.list_databases(_SERVICE)}
    proxies = sorted(deployment.proxies)
    kept = proxies[fault.place % len(proxies)]
    away = (names - {database.name}) | (set(proxies) - {kept})
    database.faults.cut_from |= away
    await curio.sleep(fault.lasts)
    database.faults.cut_from -= away


async def lose_platform(deployment: Deployment, fault: Fault) -> None:
    """Take the platform away."""
    deployment.platform.faults.down = True
    await curio.sleep(fault.lasts)
    deployment.platform.faults.down = False


async def lose_answers(deployment: Deployment, fault: Fault) -> None:
    """Lose answers of the platform after changes took effect."""
    deployment.platform.faults.lost_answers += 1 + fault.place


async def stop_proxy(deployment: Deployment, fault: Fault) -> None:
    """Kill a proxy, and start another."""
    if len(deployment.proxies) < _PROXIES:
        return
    names = sorted(deployment.proxies)
    proxy = deployment.proxies.pop(names[fault.place % len(names)])
    await proxy.close()
    await curio.sleep(fault.lasts)
    number = int(proxy.name[1:]) + _PROXIES
    await deployment.start_proxy(number)


_Bring = Callable[[Deployment, Fault], Awaitable[None]]
FAULT_INJECTORS: Final[Mapping[str, _Bring]] = MappingProxyType(
    {
        'crash': crash,
        'pause': pause,
        'cut': cut,
        'lose platform': lose_platform,
        'lose answers': lose_answers,
        'stop proxy': stop_proxy,
    }
)


async def run_faults(faults: Sequence[Fault]) -> list[str]:
    """Bring the faults about under load; return the promises broken."""
    layout = Layout(services=(_SERVICE,), proxies=_PROXIES)
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, _SERVICE)
    load = Load(deployment, _PACE, Random(len(faults)))
    await load.start(_CALLERS)
    async with curio.TaskGroup() as tasks:
        for fault in faults:
            await tasks.spawn(_inject_later, deployment, fault)
    await curio.sleep(_RECOVERY_TIME_S)
    history = await load.finish()
    broken = history.check_rows(read_rows(deployment, _SERVICE))
    await deployment.close()
    return broken


async def _inject_later(deployment: Deployment, fault: Fault) -> None:
    await curio.sleep(fault.starts)
    await FAULT_INJECTORS[fault.kind](deployment, fault)
