"""Failovers whose driver loses touch with one database at a chosen step.

Callers write throughout.  The driver's orders may be lost, executed without
an answer, or executed late.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

import curio

from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.bench.history import ReportedOutcome
from deckdrum.bench.workload import Load, LoadProfile, create_table, read_rows
from deckdrum.standins.database import Role, StandinDatabase
from deckdrum.store.records import RECORDS_PREFIX
from deckdrum.utils import Journal

_SERVICE: Final = 'stalls'
_RECORD_PATH: Final = RECORDS_PREFIX + _SERVICE
_PROXIES: Final = 4
_CALLERS: Final = 4
_REQUEST_INTERVAL_S: Final = 0.05
_PACE: Final = LoadProfile(pause=_REQUEST_INTERVAL_S, reads_each=0)
_WARM_UP_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.002
#: Longest wait for the step after which the cut begins.
_STEP_TIMEOUT_S: Final = 5.0
#: Time for the next failover after the last fault is over.
_RECOVERY_TIME_S: Final = 6.0


class Step(StrEnum):
    """Step of a failover, by the event that ends it."""

    CLAIM = 'failover.claimed'
    FENCE = 'failover.fenced'
    PROMOTE = 'failover.promoted'
    SETTLE = 'failover.settled'


class Direction(StrEnum):
    """What is lost between the driver and the database."""

    #: Requests and answers.
    BOTH = 'both'
    #: Answers only: the database executes what it is told.
    ANSWERS = 'answers'
    #: Nothing, but orders are executed at the end of the cut.
    LATE_ORDERS = 'late orders'


class Loss(StrEnum):
    """How the first primary is lost."""

    CRASH = 'crash'
    #: Only one proxy, but no other database, reaches it.
    PARTITION = 'partition'


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut between the driver of the first failover and one database.

    It begins `delay` seconds after `step` and lasts `duration` seconds.
    `target` is the index of the database; the first one is the primary.
    `reaching` is the index of the proxy that reaches a partitioned primary.
    `promotion_time` is the time that each promotion takes, in seconds.
    """

    step: Step
    direction: Direction
    target: int
    duration: float
    delay: float = 0
    loss: Loss = Loss.CRASH
    reaching: int = 0
    databases: int = 3
    promotion_time: float = 0


@dataclass(slots=True)
class CutResult:
    """What a failover with a cut led to.

    Attributes
    ----------
    violations : list of str
        Violated invariants.
    gap : float
        Longest time without an acknowledged write, in seconds.
    claims : int
        Number of terms that were claimed.
    """

    violations: list[str]
    gap: float
    claims: int


class _EventListener(logging.Handler):
    """Log handler that counts events and acts on the first of one kind."""

    def __init__(self, event: str, action: Callable[[], None]) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()
        self._event = event
        self._action = action

    def emit(self, record: logging.LogRecord) -> None:
        """Handle one event of the journal."""
        if not isinstance(record.msg, dict):
            return
        event = record.msg['event']
        self.counts[event] += 1
        if event == self._event and self.counts[event] == 1:
            self._action()


class CutRun:
    """One run of a failover with a cut.

    Parameters
    ----------
    cut : Cut
        The cut.
    """

    def __init__(self, cut: Cut) -> None:
        self._cut = cut
        self._listener = _EventListener(cut.step, self._handle_step)
        logger = logging.Logger('deckdrum.bench', logging.INFO)
        logger.addHandler(self._listener)
        layout = Layout(
            services=(_SERVICE,),
            proxies=_PROXIES,
            databases=cut.databases,
        )
        self._deployment = Deployment(layout, Journal(logger, 'bench'))
        self._load = Load(self._deployment, _PACE, Random(1))
        self._is_step_done = False
        self._leaders: defaultdict[int, set[str]] = defaultdict(set)
        self._last_write_at: float = 0
        self._gap: float = 0

    async def run(self) -> CutResult:
        """Lose the primary, cut the driver off, and check the writes."""
        deployment = self._deployment
        await deployment.start()
        await create_table(deployment, _SERVICE)
        await self._load.start(_CALLERS)
        self._last_write_at = await curio.clock()
        poll_task = await curio.spawn(self._poll)
        await curio.sleep(_WARM_UP_S)
        await self._run_fault()
        await curio.sleep(_RECOVERY_TIME_S)
        history = await self._load.finish()
        await poll_task.cancel()
        self._gap = max(self._gap, await curio.clock() - self._last_write_at)
        violations = history.check_rows(read_rows(deployment, _SERVICE))
        await deployment.close()
        return CutResult(
            violations + self._find_double_leaders(),
            round(self._gap, 2),
            self._listener.counts[Step.CLAIM],
        )

    @property
    def _target(self) -> StandinDatabase:
        databases = self._deployment.list_databases(_SERVICE)
        return databases[self._cut.target]

    async def _run_fault(self) -> None:
        primary = self._deployment.find_primary(_SERVICE)
        for database in self._deployment.list_databases(_SERVICE):
            database.faults.promotion_time = self._cut.promotion_time
        if self._cut.loss is Loss.CRASH:
            await primary.crash()
        else:
            self._partition(primary)
        async with curio.ignore_after(_STEP_TIMEOUT_S):
            while not self._is_step_done:
                await curio.sleep(_POLL_INTERVAL_S)
        if self._cut.delay:
            await curio.sleep(self._cut.delay)
            self._begin_cut()
        await curio.sleep(self._cut.duration)
        self._target.faults.answers_cut_to.clear()
        self._target.faults.order_delay = 0
        self._target.faults.cut_from.clear()
        if self._cut.loss is Loss.CRASH:
            await primary.start()
        primary.faults.cut_from.clear()

    def _partition(self, primary: StandinDatabase) -> None:
        proxies = sorted(self._deployment.proxies)
        reaching = proxies[self._cut.reaching]
        others = {
            each.name for each in self._deployment.list_databases(_SERVICE)
        }
        unreachable = others.union(proxies) - {primary.name, reaching}
        primary.faults.cut_from |= unreachable

    def _handle_step(self) -> None:
        self._is_step_done = True
        if not self._cut.delay:
            self._begin_cut()

    def _begin_cut(self) -> None:
        record = self._deployment.platform.read_object(_RECORD_PATH)
        faults = self._target.faults
        match self._cut.direction:
            case Direction.BOTH:
                faults.cut_from.add(record['driver'])
            case Direction.ANSWERS:
                faults.answers_cut_to.add(record['driver'])
            case Direction.LATE_ORDERS:
                faults.order_delay = self._cut.duration

    async def _poll(self) -> None:
        """Record who leads each term, and when writes are acknowledged."""
        databases = self._deployment.list_databases(_SERVICE)
        count = 0
        while True:
            now = await curio.clock()
            for database in databases:
                if database.running and database.role is Role.PRIMARY:
                    self._leaders[database.term].add(database.name)
            acknowledged = self._load.history.count(ReportedOutcome.DONE)
            if acknowledged > count:
                count = acknowledged
                self._gap = max(self._gap, now - self._last_write_at)
                self._last_write_at = now
            await curio.sleep(_POLL_INTERVAL_S)

    def _find_double_leaders(self) -> list[str]:
        return [
            f'term {term} was led by {sorted(names)}'
            for term, names in self._leaders.items()
            if len(names) > 1
        ]


async def run_cut(cut: Cut) -> CutResult:
    """Run a failover with a cut; return what was violated and measured."""
    return await CutRun(cut).run()
