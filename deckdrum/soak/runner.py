"""Running a soak: callers and faults for a while, then quiet, then checks."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

import curio

from deckdrum.soak.callers import Caller
from deckdrum.soak.faults import (
    FAULTS,
    MAX_FAULT_DURATION_S,
    MIN_FAULT_DURATION_S,
)
from deckdrum.soak.links import LinkState
from deckdrum.soak.processes import NodeProcess
from deckdrum.soak.promises import SoakHistory, find_violations
from deckdrum.soak.records import Attempt
from deckdrum.soak.world import SoakEnvironment
from deckdrum.standins.users import StoreFault

#: Longest wait until every node serves, at the start and after the faults, in
#: seconds.  It only ends a soak that would not end by itself.
RECOVERY_TIMEOUT_S: Final = 60.0
#: Time for late answers and for replicas once the callers are done, in s.
_SETTLE: Final = 1.0
#: Pause between two looks whether every node serves, in seconds.
_POLL: Final = 0.1


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What a soak is to do.

    Attributes
    ----------
    seed : int
        Of all that is drawn.
    seconds : float
        How long faults strike.
    nodes, callers : int
        Node processes and callers.
    series : int
        Series of faults that overlap.
    """

    seed: int
    seconds: float = 20
    nodes: int = 5
    callers: int = 8
    series: int = 2


@dataclass(slots=True)
class SoakReport:
    """What a soak has found.

    `broken` lists promises that were broken; `faults` what was struck, in the
    order in which it was mended; `outcome_counts` counts attempts by how they ended.
    """

    broken: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    outcome_counts: Counter[str] = field(default_factory=Counter)


class Soak:
    """One soak.

    Parameters
    ----------
    plan : SoakPlan
        What to do.
    folder : Path
        For settings and logs of the nodes; the logs stay there.
    """

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._randomness = Random(plan.seed)
        self._world = SoakEnvironment(folder, Random(self._randomness.random()))
        self._report = SoakReport()
        self._callers: list[Caller] = []
        self._are_faults_over = False

    async def run(self) -> SoakReport:
        """Run it and return what was found."""
        try:
            await self._world.start(self._plan.nodes)
            await self._await_ready()
            await self._load()
        finally:
            for node in self._world.nodes:
                self._report.broken.extend(find_node_faults(node))
            await self._world.close()
        return self._report

    async def _load(self) -> None:
        """Have callers at work while faults strike, and after it."""
        calling = [
            await curio.spawn(self._call, number, daemon=True)
            for number in range(self._plan.callers)
        ]
        await self._strike_all()
        self._mend()
        await self._await_served()
        for caller in self._callers:
            caller.is_over = True
        for task in calling:
            await task.join()
        await curio.sleep(_SETTLE)
        self._judge()

    async def _strike_all(self) -> None:
        """Strike in every series for as long as is planned."""
        striking = [
            await curio.spawn(self._strike, daemon=True)
            for _ in range(self._plan.series)
        ]
        await curio.sleep(self._plan.seconds)
        self._are_faults_over = True
        for task in striking:
            await task.join()

    async def _call(self, number: int) -> None:
        caller = Caller(
            f'c{number}',
            self._world.nodes,
            Random(f'{self._plan.seed}/{number}'),
        )
        self._callers.append(caller)
        await caller.run()

    async def _strike(self) -> None:
        """Strike with one fault after the other until they are over."""
        while not self._are_faults_over:
            fault = self._randomness.choice(FAULTS)
            lasting = self._randomness.uniform(
                MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S
            )
            struck = await fault.strike(self._world, lasting)
            kind = type(fault).__name__
            self._report.faults.append(f'{kind} {struck} {lasting:.1f} s')
            await curio.sleep(self._randomness.random())

    def _mend(self) -> None:
        """Make sure that nothing stays broken."""
        self._world.store.fault = StoreFault.NONE
        self._world.store.turned_away.clear()
        for link in self._world.links.values():
            link.state = LinkState.OPEN
        for node in self._world.nodes:
            node.start()

    async def _await_ready(self) -> None:
        async with curio.timeout_after(RECOVERY_TIMEOUT_S):
            for node in self._world.nodes:
                while not await node.is_ready():
                    await curio.sleep(_POLL)

    async def _await_served(self) -> None:
        """Wait until every node serves again."""
        since = await curio.clock()
        async with curio.ignore_after(RECOVERY_TIMEOUT_S):
            while self._find_unserved(since):
                await curio.sleep(_POLL)
        self._report.broken.extend(
            f'{name} does not serve again'
            for name in self._find_unserved(since)
        )

    def _find_unserved(self, since: float) -> list[str]:
        return [
            node.name
            for node in self._world.nodes
            if not any(
                caller.last_served_at.get(node.name, 0) > since
                for caller in self._callers
            )
        ]

    def _judge(self) -> None:
        group = self._world.group
        attempts: list[Attempt] = []
        for caller in self._callers:
            attempts.extend(caller.attempts)
        evidence = SoakHistory(attempts, group.primary.log, group.ran)
        self._report.broken.extend(find_violations(evidence))
        self._report.outcome_counts.update(attempt.fate for attempt in attempts)


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run a soak; the nodes' logs stay in `folder`."""
    return await Soak(plan, folder).run()


def find_node_faults(node: NodeProcess) -> list[str]:
    """Return ends of a node by itself, and errors that nobody caught."""
    node.record_exit()
    found = [
        f'{node.name} ended by itself with {code}'
        for code in node.unexpected_exits
    ]
    text = node.log_path.read_text(errors='replace')
    if 'Traceback' in text:
        found.append(f'{node.name} logged an error that nobody caught')
    return found
