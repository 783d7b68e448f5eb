"""``outcomes``: reported outcomes of writes interrupted by faults."""

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
_WRITER_COUNT: Final = 4
_STEP_S: Final = 0.001
_STEP_COUNT: Final = 10
_FAULT_DURATION_S: Final = 3.0
_SETTLE_DELAY_S: Final = 1.5
_PROXY_COUNT: Final = 4


@dataclass(slots=True)
class FaultTarget:
    """The deployment into which a fault is injected."""

    deployment: Deployment

    @property
    def keeper(self) -> str:
        """Name of the proxy that keeps the service."""
        return rank_keepers(_SERVICE, self.deployment.proxies)[0]


async def crash_database(target: FaultTarget) -> None:
    """Crash the primary and restart it."""
    primary = target.deployment.find_primary(_SERVICE)
    await primary.crash()
    await curio.sleep(_FAULT_DURATION_S)
    await primary.start()


async def pause_database(target: FaultTarget) -> None:
    """Pause the primary temporarily."""
    primary = target.deployment.find_primary(_SERVICE)
    primary.faults.paused = True
    await curio.sleep(_FAULT_DURATION_S)
    primary.faults.paused = False


async def cut_keeper_link(target: FaultTarget) -> None:
    """Cut the link between the keeper and the primary temporarily."""
    faults = target.deployment.find_primary(_SERVICE).faults
    keeper = target.keeper
    faults.cut_from.add(keeper)
    await curio.sleep(_FAULT_DURATION_S)
    faults.cut_from.discard(keeper)


async def kill_keeper(target: FaultTarget) -> None:
    """Kill the proxy that keeps the service."""
    proxy = target.deployment.proxies.pop(target.keeper)
    await proxy.close()


async def kill_entry(target: FaultTarget) -> None:
    """Kill a proxy that serves callers but is not the keeper."""
    names = sorted(target.deployment.proxies.keys() - {target.keeper})
    proxy = target.deployment.proxies.pop(names[0])
    await proxy.close()


_Fault = Callable[[FaultTarget], Awaitable[None]]
REQUEST_FAULTS: Final[Mapping[str, _Fault]] = MappingProxyType(
    {
        'database crashes': crash_database,
        'database pauses': pause_database,
        'link cut': cut_keeper_link,
        'keeper killed': kill_keeper,
        'entry killed': kill_entry,
    }
)


async def run_with_fault(
    inject_fault: _Fault,
    delay: float,
    is_not_repeatable: bool,
    seed: int,
) -> tuple[History, list[str]]:
    """Inject a fault `delay` seconds after writes are issued.

    Returns the history and its consistency violations.
    """
    layout = replace(
        MARKET,
        services=(_SERVICE,),
        proxies=_PROXY_COUNT,
        seed=seed,
    )
    deployment = Deployment(layout)
    await deployment.start()
    await create_table(deployment, _SERVICE)
    history = History()
    clients = []
    for proxy in sorted(deployment.proxies):
        client = await deployment.connect(proxy)
        if is_not_repeatable:
            await client.run('SET deckdrum.repeatable = off')
        clients.append(client)
    async with curio.TaskGroup() as tasks:
        for number, client in enumerate(clients):
            await tasks.spawn(_write, client, number, history)
        await curio.sleep(delay)
        await inject_fault(FaultTarget(deployment))
        await curio.sleep(_SETTLE_DELAY_S)
    violations = history.check_rows(read_rows(deployment, _SERVICE))
    await deployment.close()
    return history, violations


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
    """All faults at successive delays, with and without automatic retry."""

    name = 'outcomes'
    summary = 'faults during writes: are the reported outcomes correct?'

    async def run(self, seed: int) -> Findings:
        """Run the experiment and return its figures."""
        findings = Findings()
        for name, inject_fault in REQUEST_FAULTS.items():
            for is_not_repeatable in (False, True):
                kind = 'once' if is_not_repeatable else 'repeatable'
                found = await self._run_steps(
                    inject_fault, is_not_repeatable, seed
                )
                findings.extend(f'{name}, {kind}:', found.figures)
        return findings

    async def _run_steps(
        self,
        inject_fault: _Fault,
        is_not_repeatable: bool,
        seed: int,
    ) -> Findings:
        outcomes: Counter[ReportedOutcome] = Counter()
        violations = 0
        for step in range(_STEP_COUNT):
            history, step_violations = await run_with_fault(
                inject_fault, step * _STEP_S, is_not_repeatable, seed
            )
            outcomes.update(history.writes.values())
            violations += len(step_violations)
        found = Findings()
        found.at_most('untrue', violations, 0)
        for each in ReportedOutcome:
            found.record(each.value, outcomes[each])
        return found
