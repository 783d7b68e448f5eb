"""``outcomes``: a request cut at every step, and what the caller is told."""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment
from deckdrum.bench.experiments.base import Experiment, Findings
from deckdrum.bench.history import (
    History,
    ReportedOutcome,
    parse_reported_outcome,
)
from deckdrum.bench.layouts import MARKET
from deckdrum.bench.workload import create_table, read_rows
from deckdrum.fleet.membership import rank_keepers

_SERVICE: Final = 'stalls'
_WRITERS: Final = 4
_STEP: Final = 0.001
_STEPS: Final = 10
_MEND_AFTER: Final = 3.0
_SETTLE: Final = 1.5
_PROXIES: Final = 4


@dataclass(slots=True)
class FaultTarget:
    """A deployment whose next request will be cut."""

    deployment: Deployment

    @property
    def keeper(self) -> str:
        """Name of the proxy that keeps the service."""
        return rank_keepers(_SERVICE, self.deployment.proxies)[0]


async def crash_database(cut: FaultTarget) -> None:
    """Crash the primary, and start it again later."""
    primary = cut.deployment.find_primary(_SERVICE)
    await primary.crash()
    await curio.sleep(_MEND_AFTER)
    await primary.start()


async def pause_database(cut: FaultTarget) -> None:
    """Pause the primary for a while."""
    primary = cut.deployment.find_primary(_SERVICE)
    primary.faults.paused = True
    await curio.sleep(_MEND_AFTER)
    primary.faults.paused = False


async def cut_link(cut: FaultTarget) -> None:
    """Cut the keeper from the primary for a while."""
    faults = cut.deployment.find_primary(_SERVICE).faults
    keeper = cut.keeper
    faults.cut_from.add(keeper)
    await curio.sleep(_MEND_AFTER)
    faults.cut_from.discard(keeper)


async def kill_keeper(cut: FaultTarget) -> None:
    """Kill the proxy that keeps the service."""
    proxy = cut.deployment.proxies.pop(cut.keeper)
    await proxy.close()


async def kill_entry(cut: FaultTarget) -> None:
    """Kill a proxy to which callers are connected."""
    names = sorted(cut.deployment.proxies.keys() - {cut.keeper})
    proxy = cut.deployment.proxies.pop(names[0])
    await proxy.close()


_Cutting = Callable[[FaultTarget], Awaitable[None]]
REQUEST_FAULTS: Final[Mapping[str, _Cutting]] = MappingProxyType(
    {
        'database crashes': crash_database,
        'database pauses': pause_database,
        'link cut': cut_link,
        'keeper killed': kill_keeper,
        'entry killed': kill_entry,
    }
)


async def run_with_fault(
    cause: _Cutting,
    moment: float,
    is_once: bool,
    seed: int,
) -> tuple[History, list[str]]:
    """Cut writers' requests at a moment; return the record and what broke."""
    layout = replace(
        MARKET,
        services=(_SERVICE,),
        proxies=_PROXIES,
        seed=seed,
    )
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, _SERVICE)
    history = History()
    clients = []
    for proxy in sorted(deployment.proxies):
        client = await deployment.connect(proxy)
        if is_once:
            await client.run('SET deckdrum.repeatable = off')
        clients.append(client)
    async with curio.TaskGroup() as tasks:
        for number, client in enumerate(clients):
            await tasks.spawn(_write, client, number, history)
        await curio.sleep(moment)
        await cause(FaultTarget(deployment))
        await curio.sleep(_SETTLE)
    broken = history.check_rows(read_rows(deployment, _SERVICE))
    await deployment.close()
    return history, broken


async def _write(client: Client, number: int, history: History) -> None:
    history.record_write(number, ReportedOutcome.UNKNOWN)
    insert = f"INSERT INTO bookings VALUES ({number}, 'w')"
    try:
        answer = await client.run(insert)
    except ConnectionError:
        return
    history.record_write(number, parse_reported_outcome(answer))
    await client.close()


class Outcomes(Experiment):
    """Every cause at every step, repeatable or not."""

    name = 'outcomes'
    summary = 'requests cut at every step: is what callers are told true?'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        for name, cause in REQUEST_FAULTS.items():
            for is_once in (False, True):
                kind = 'once' if is_once else 'repeatable'
                found = await self._run_steps(cause, is_once, seed)
                findings.extend(f'{name}, {kind}:', found.figures)
        return findings

    async def _run_steps(
        self,
        cause: _Cutting,
        is_once: bool,
        seed: int,
    ) -> Findings:
        told: Counter[ReportedOutcome] = Counter()
        broken = 0
        for step in range(_STEPS):
            history, wrong = await run_with_fault(
                cause, step * _STEP, is_once, seed
            )
            told.update(history.writes.values())
            broken += len(wrong)
        found = Findings()
        found.at_most('untrue', broken, 0)
        for each in ReportedOutcome:
            found.record(each.value, told[each])
        return found
