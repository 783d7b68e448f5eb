"""Run a soak test: load with faults, recovery, then checks."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from random import Random
from typing import Final

import curio

from deckdrum.soak.callers import Caller
from deckdrum.soak.checks import SoakHistory, find_violations
from deckdrum.soak.environment import SoakEnvironment
from deckdrum.soak.faults import (
    FAULTS,
    MAX_FAULT_DURATION_S,
    MIN_FAULT_DURATION_S,
)
from deckdrum.soak.links import LinkState
from deckdrum.soak.membership_faults import MEMBERSHIP_FAULTS
from deckdrum.soak.partition_faults import PARTITION_FAULTS
from deckdrum.soak.processes import NodeProcess
from deckdrum.soak.records import Attempt
from deckdrum.soak.resources import find_unreturned
from deckdrum.standins.users import StoreFault

#: Longest wait until every node serves, at the start and after the faults.
RECOVERY_TIMEOUT_S: Final = 60.0
#: Time for late answers and replication once the callers have finished.
_SETTLE_DELAY_S: Final = 1.0
_POLL_INTERVAL_S: Final = 0.1
#: How often each membership fault stands among the others.
_MEMBERSHIP_WEIGHT: Final = 3


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of a soak test.

    Attributes
    ----------
    seed : int
        Seed of all random choices.
    seconds : float
        Time during which faults are injected.
    nodes, callers : int
        Numbers of node processes and of callers.
    series : int
        Number of concurrent series of faults.
    has_urgent_routes : bool
        Whether a route has priority 0 and machines are uneven, which turns on
        scheduling under overload.
    synchronous_replicas : int
        Number of replicas that must receive a change before it is
        acknowledged.
    has_membership_faults : bool
        Whether nodes join and restart that the store turns away, and a server
        is lost for good.
    """

    seed: int
    seconds: float = 20
    nodes: int = 5
    callers: int = 8
    series: int = 2
    has_urgent_routes: bool = False
    synchronous_replicas: int = 1
    has_membership_faults: bool = False


@dataclass(slots=True)
class SoakReport:
    """Result of a soak test.

    `violations` lists the violated guarantees, `takeovers` the promotions that
    took effect, `faults` the injected faults in the order in which they ended,
    `outcome_counts` the attempts by their outcome.  Times are in kernel
    seconds.
    """

    violations: list[str] = field(default_factory=list)
    takeovers: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    outcome_counts: Counter[str] = field(default_factory=Counter)


class Soak:
    """One run of a soak test.

    Parameters
    ----------
    plan : SoakPlan
        Parameters of the run.
    folder : Path
        Directory for settings and logs of the nodes; the logs are kept.
    """

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._randomness = Random(plan.seed)
        self._environment = SoakEnvironment(
            folder,
            Random(self._randomness.random()),
            has_urgent_routes=plan.has_urgent_routes,
            synchronous_replicas=plan.synchronous_replicas,
        )
        self._kinds = FAULTS + PARTITION_FAULTS
        if plan.has_membership_faults:
            self._kinds += MEMBERSHIP_FAULTS * _MEMBERSHIP_WEIGHT
        self._report = SoakReport()
        self._callers: list[Caller] = []
        self._are_faults_over = False

    async def run(self) -> SoakReport:
        """Run the soak test and return its report."""
        try:
            await self._environment.start(self._plan.nodes)
            await self._wait_until_ready()
            await self._run_phases()
        finally:
            for node in self._environment.nodes:
                self._report.violations.extend(find_node_failures(node))
            await self._environment.close()
        return self._report

    async def _run_phases(self) -> None:
        """Run callers during and after the faults, then check the results."""
        caller_tasks = [
            await curio.spawn(self._run_caller, number, daemon=True)
            for number in range(self._plan.callers)
        ]
        await self._inject_faults()
        self._clear_faults()
        await self._wait_until_serving()
        for caller in self._callers:
            caller.is_stopped = True
        for task in caller_tasks:
            await task.join()
        await curio.sleep(_SETTLE_DELAY_S)
        self._check_guarantees()
        self._report.violations.extend(
            await find_unreturned(self._environment.nodes)
        )

    async def _inject_faults(self) -> None:
        """Run all series of faults for the planned time."""
        fault_tasks = [
            await curio.spawn(self._run_fault_series, daemon=True)
            for _ in range(self._plan.series)
        ]
        await curio.sleep(self._plan.seconds)
        self._are_faults_over = True
        for task in fault_tasks:
            await task.join()

    async def _run_caller(self, number: int) -> None:
        caller = Caller(
            f'c{number}',
            self._environment.nodes,
            Random(f'{self._plan.seed}/{number}'),
            is_persistent=bool(number % 2),
        )
        self._callers.append(caller)
        await caller.run()

    async def _run_fault_series(self) -> None:
        """Inject one fault after another until the planned time is over."""
        while not self._are_faults_over:
            fault = self._randomness.choice(self._kinds)
            duration = self._randomness.uniform(
                MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S
            )
            began_at = await curio.clock()
            target = await fault.inject(self._environment, duration)
            ended_at = await curio.clock()
            kind = type(fault).__name__
            self._report.faults.append(
                f'{began_at:.2f} to {ended_at:.2f} s: {kind} {target}'
            )
            await curio.sleep(self._randomness.random())

    def _clear_faults(self) -> None:
        """Clear faults of store and links and start stopped nodes."""
        self._environment.store.fault = StoreFault.NONE
        self._environment.store.turned_away.clear()
        for link in self._environment.links.values():
            link.state = LinkState.OPEN
        for node in self._environment.nodes:
            node.start()

    async def _wait_until_ready(self) -> None:
        async with curio.timeout_after(RECOVERY_TIMEOUT_S):
            for node in self._environment.nodes:
                while not await node.is_ready():
                    await curio.sleep(_POLL_INTERVAL_S)

    async def _wait_until_serving(self) -> None:
        """Wait until every node serves a caller; report those that do not."""
        since = await curio.clock()
        async with curio.ignore_after(RECOVERY_TIMEOUT_S):
            while self._find_unserving_nodes(since):
                await curio.sleep(_POLL_INTERVAL_S)
        self._report.violations.extend(
            f'{name} served no caller after the faults'
            for name in self._find_unserving_nodes(since)
        )

    def _find_unserving_nodes(self, since: float) -> list[str]:
        return [
            node.name
            for node in self._environment.nodes
            if not any(
                caller.last_served_at.get(node.name, 0) > since
                for caller in self._callers
            )
        ]

    def _check_guarantees(self) -> None:
        group = self._environment.group
        attempts: list[Attempt] = []
        for caller in self._callers:
            attempts.extend(caller.attempts)
        history = SoakHistory(
            attempts,
            group.primary.log,
            group.executed_statements,
            group.commits,
            group.takeovers,
            group.promotions,
            has_synchronous_replicas=bool(self._plan.synchronous_replicas),
        )
        self._report.violations.extend(find_violations(history))
        self._report.takeovers.extend(
            f'{each.took_effect_at:.3f} s: {each.server} in term {each.term}'
            for each in group.takeovers
        )
        self._report.outcome_counts.update(
            attempt.outcome for attempt in attempts
        )


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run a soak test; logs of the nodes and report are kept in `folder`."""
    start = datetime.now() - timedelta(seconds=await curio.clock())
    report = await Soak(plan, folder).run()
    lines = [
        f'kernel second 0: {start}',
        *report.faults,
        *report.takeovers,
        *report.violations,
    ]
    (folder / 'report.txt').write_text('\n'.join(lines))
    return report


def find_node_failures(node: NodeProcess) -> list[str]:
    """Return unexpected exits and uncaught exceptions of a node."""
    node.record_exit()
    found = [
        f'{node.name} exited unexpectedly with code {code}'
        for code in node.unexpected_exits
    ]
    text = node.log_path.read_text(errors='replace')
    if 'Traceback' in text:
        found.append(f'{node.name} logged an uncaught exception')
    return found
