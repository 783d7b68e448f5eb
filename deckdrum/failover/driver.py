"""The steps of a failover, each of which may be taken twice.

1. *claim*: a conditional update of the group's record moves it to the next
   term; one driver wins.
2. *fence*: a majority of the databases refuses all earlier terms.
3. *promote*: the furthest of the fenced databases leads the new term.  A
   confirmed change lies on a majority, two majorities meet, so it has it.
4. *settle*: the record names the new primary.

A driver that dies leaves a record in the fencing phase; another claims the
next term and begins again.
"""

import uuid
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import curio
import msgspec

from deckdrum.databases import Database, DatabaseState
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.utils import Journal

#: Longest wait for one step on one database, in seconds.
STEP_TIMEOUT_S: Final = 0.5
#: Pause before a step is tried again, in seconds.
STEP_RETRY_DELAY_S: Final = 0.1
#: Tries to promote before the failover begins again with another majority.
MAX_PROMOTION_ATTEMPTS: Final = 4
#: Bits of an operation id.
_OPERATION_BITS: Final = 128
#: Longest wait for a successor to catch up, in seconds.
HANDOVER_TIMEOUT_S: Final = 2.0
_HANDOVER_POLL_INTERVAL_S: Final = 0.01
#: Longest time that one driver tries, in seconds; then another may.
FAILOVER_TIMEOUT_S: Final = 8.0


@dataclass(slots=True)
class FailoverReport:
    """When each phase of a failover ended, in kernel seconds.

    `excluded` names a database that must not lead next, if any.
    """

    service: str
    term: int
    driver: str
    lost: str
    reason: str
    phases: dict[str, float] = field(default_factory=dict)
    promoted: str = ''
    excluded: str = ''


@dataclass(frozen=True, slots=True)
class FencedDatabase:
    """A database that accepted the fence, and its state."""

    database: Database
    state: DatabaseState

    @property
    def log_position(self) -> tuple[int, int]:
        """How far the log reaches: its last term and offset."""
        return (self.state.term, self.state.received)


@dataclass(frozen=True, slots=True)
class Handover:
    """How a primary that still answers gives way.

    `is_successor_ready` tells whether a database that is to stay has received
    the log up to an offset; `unwanted` are the names of those that leave.
    """

    is_successor_ready: Callable[[int], bool]
    unwanted: frozenset[str]


class FailoverDriver:
    """Drives the failover of one service.

    Parameters
    ----------
    databases : mapping of str to Database
        The service's databases.
    view : StoreView
        The platform's records.
    proxy : str
        Name of this proxy, written into the record.
    journal : Journal
        For changes of state.
    randomness : random.Random
        Source of operation ids.
    """

    def __init__(
        self,
        databases: Mapping[str, Database],
        view: StoreView,
        proxy: str,
        journal: Journal,
        randomness: Random,
    ) -> None:
        self._databases = databases
        self._view = view
        self._proxy = proxy
        self._journal = journal
        self._randomness = randomness

    async def run_failover(
        self,
        held: VersionedRecord,
        report: FailoverReport,
        handover: Handover | None = None,
    ) -> bool:
        """Replace the primary of `held`.

        Parameters
        ----------
        held : HeldRecord
            The record as it is known.
        report : FailoverReport
            Filled with the times of the phases.
        handover : Handover, optional
            For a primary that still answers and must leave.

        Returns
        -------
        bool
            Whether this driver settled the record; False if another driver
            was first, the platform is out or no majority can be fenced.
        """
        async with curio.ignore_after(FAILOVER_TIMEOUT_S):
            try:
                return await self._drive(held, report, handover)
            except StoreError as error:
                self._journal.record('failover.no_platform', reason=str(error))
        return False

    async def _drive(
        self,
        held: VersionedRecord,
        report: FailoverReport,
        handover: Handover | None,
    ) -> bool:
        claim = await self._claim(held, report)
        if claim is None:
            return False
        if handover is not None:
            await self._hand_over(handover, report)
        unwanted = handover.unwanted if handover else frozenset()
        fenced = await self._fence_majority(report, unwanted)
        report.phases['fence'] = await curio.clock()
        leader = choose_promotion_candidate(fenced, unwanted)
        chosen = await self._promote(leader, report.term)
        if chosen is None:
            return False
        report.promoted = chosen.name
        report.phases['promote'] = await curio.clock()
        await self._repoint_replicas(chosen.name, report.term)
        is_settled = await self._settle(claim, chosen.name)
        report.phases['settle'] = await curio.clock()
        self._journal.record(
            'failover.settled' if is_settled else 'failover.overtaken',
            service=report.service,
            term=report.term,
            primary=chosen.name,
        )
        return is_settled

    async def _claim(
        self,
        held: VersionedRecord,
        report: FailoverReport,
    ) -> VersionedRecord | None:
        record = GroupRecord(
            service=report.service,
            term=held.record.term + 1,
            primary=held.record.primary,
            phase=Phase.FENCING,
            operation=self._make_operation(),
            driver=self._proxy,
        )
        if not await self._view.put_record(record, held.version):
            return None
        report.term = record.term
        report.phases['claim'] = await curio.clock()
        self._journal.record(
            'failover.claimed',
            service=report.service,
            term=record.term,
            reason=report.reason,
        )
        return self._view.records[report.service]

    async def _hand_over(
        self,
        handover: Handover,
        report: FailoverReport,
    ) -> None:
        """Stop the old primary and let a successor catch up with it.

        A fenced primary takes no writes but still sends its log, so that a
        database that is to stay reaches its end before it is fenced too.
        """
        old = self._databases[report.lost]
        state = await _run_step(old, 'fence', report.term)
        if state is None:
            return
        end = state.received
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            while not handover.is_successor_ready(end):
                await curio.sleep(_HANDOVER_POLL_INTERVAL_S)
        report.phases['hand over'] = await curio.clock()

    async def _fence_majority(
        self,
        report: FailoverReport,
        unwanted: frozenset[str],
    ) -> list[FencedDatabase]:
        """Fence until a majority has accepted, without the excluded one.

        One round waits for a database that is to stay, so that a planned
        change of primary does not end where it began.
        """
        majority = len(self._databases) // 2 + 1
        asked = [
            database
            for name, database in self._databases.items()
            if name != report.excluded
        ]
        fenced: dict[str, FencedDatabase] = {}
        while len(fenced) < majority:
            async with curio.TaskGroup() as tasks:
                for database in asked:
                    await tasks.spawn(_fence, database, report.term)
                await _collect_fenced(tasks, fenced, majority, unwanted)
            if len(fenced) < majority:
                await curio.sleep(STEP_RETRY_DELAY_S)
        return list(fenced.values())

    async def _repoint_replicas(self, primary: str, term: int) -> None:
        """Have the others follow at once: a majority needs one of them."""
        for database in self._databases.values():
            if database.name != primary:
                await curio.spawn(
                    repoint_replica,
                    database,
                    primary,
                    term,
                    daemon=True,
                )

    async def _promote(
        self,
        leader: FencedDatabase,
        term: int,
    ) -> Database | None:
        """Promote a database; asking it twice does no harm."""
        for _ in range(MAX_PROMOTION_ATTEMPTS):
            state = await _run_step(leader.database, 'promote', term)
            if state is not None:
                return leader.database
            await curio.sleep(STEP_RETRY_DELAY_S)
        return None

    async def _settle(self, claim: VersionedRecord, primary: str) -> bool:
        record = msgspec.structs.replace(
            claim.record,
            primary=primary,
            phase=Phase.SETTLED,
        )
        while True:
            try:
                return await self._view.put_record(record, claim.version)
            except StoreError:
                await curio.sleep(STEP_RETRY_DELAY_S)

    def _make_operation(self) -> str:
        number = self._randomness.getrandbits(_OPERATION_BITS)
        return str(uuid.UUID(int=number))


def choose_promotion_candidate(
    fenced: Iterable[FencedDatabase], unwanted: Container[str]
) -> FencedDatabase:
    """Return the database to promote: the furthest, wanted if possible.

    Only a furthest one may lead: a lesser one could lack a confirmed change
    that the furthest alone among the fenced holds.
    """
    known = list(fenced)
    log_position = max(each.log_position for each in known)
    furthest = [each for each in known if each.log_position == log_position]
    return min(
        furthest,
        key=lambda each: (
            each.state.leaving or each.database.name in unwanted,
            each.database.name,
        ),
    )


async def _collect_fenced(
    tasks: Any,
    fenced: dict[str, FencedDatabase],
    majority: int,
    unwanted: frozenset[str],
) -> None:
    """Collect fenced databases until they are enough."""
    async for task in tasks:
        if isinstance(task.result, FencedDatabase):
            fenced[task.result.database.name] = task.result
        if len(fenced) >= majority and fenced.keys() - unwanted:
            await tasks.cancel_remaining()
            return


async def _fence(database: Database, term: int) -> FencedDatabase | None:
    state = await _run_step(database, 'fence', term)
    if state is None or state.fenced != term:
        return None
    return FencedDatabase(database, state)


async def _run_step(
    database: Database,
    step: str,
    term: int,
) -> DatabaseState | None:
    """Take one step on a database over a connection of its own."""
    link: Any = None
    try:
        async with curio.timeout_after(STEP_TIMEOUT_S):
            link = await database.connect(STEP_TIMEOUT_S)
            state: DatabaseState | None = await getattr(database, step)(
                link,
                term,
            )
    except (ConnectionError, curio.TaskTimeout):
        return None
    finally:
        if link is not None:
            await link.close()
    return state


async def repoint_replica(
    database: Database,
    primary: str,
    term: int,
) -> bool:
    """Have a database replicate from `primary`; tell whether it does."""
    link: Any = None
    try:
        async with curio.timeout_after(STEP_TIMEOUT_S):
            link = await database.connect(STEP_TIMEOUT_S)
            state = await database.follow(link, primary, term)
    except (ConnectionError, curio.TaskTimeout):
        return False
    finally:
        if link is not None:
            await link.close()
    return state is not None
