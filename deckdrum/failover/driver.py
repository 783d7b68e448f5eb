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
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import curio

from deckdrum.databases import Database, DatabaseState
from deckdrum.outcomes.errors import StoreError
from deckdrum.platform.records import GroupRecord, Phase
from deckdrum.platform.view import HeldRecord, StoreView
from deckdrum.utils import Journal

#: Longest wait for one step on one database, in seconds.
STEP_LIMIT: Final = 0.5
#: Pause before a step is tried again, in seconds.
STEP_PAUSE: Final = 0.1
#: Tries to promote before the failover begins again with another majority.
PROMOTE_TRIES: Final = 4
#: Bits of an operation id.
_OPERATION_BITS: Final = 128
#: Longest time that one driver tries, in seconds; then another may.
DRIVE_LIMIT: Final = 8.0


@dataclass(slots=True)
class FailoverReport:
    """When each phase of a failover ended, in kernel seconds."""

    service: str
    term: int
    driver: str
    lost: str
    reason: str
    phases: dict[str, float] = field(default_factory=dict)
    promoted: str = ''


@dataclass(frozen=True, slots=True)
class Fenced:
    """A database that accepted the fence, and its state."""

    database: Database
    state: DatabaseState

    @property
    def rank(self) -> tuple[int, int, str]:
        """Order by how far the log reaches."""
        return (self.state.term, self.state.received, self.database.name)


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

    async def drive(
        self,
        held: HeldRecord,
        report: FailoverReport,
    ) -> bool:
        """Replace the primary of `held`.

        Returns
        -------
        bool
            Whether this driver settled the record; False if another driver
            was first, the platform is out or no majority can be fenced.
        """
        async with curio.ignore_after(DRIVE_LIMIT):
            try:
                return await self._drive(held, report)
            except StoreError as error:
                self._journal.record('failover.no_platform', reason=str(error))
        return False

    async def _drive(self, held: HeldRecord, report: FailoverReport) -> bool:
        claim = await self._claim(held, report)
        if claim is None:
            return False
        fenced = await self._fence_majority(report.term)
        report.phases['fence'] = await curio.clock()
        chosen = await self._promote(fenced, report.term)
        if chosen is None:
            return False
        report.promoted = chosen.name
        report.phases['promote'] = await curio.clock()
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
        held: HeldRecord,
        report: FailoverReport,
    ) -> HeldRecord | None:
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

    async def _fence_majority(self, term: int) -> list[Fenced]:
        majority = len(self._databases) // 2 + 1
        fenced: dict[str, Fenced] = {}
        while len(fenced) < majority:
            missing = [
                each
                for each in self._databases.values()
                if each.name not in fenced
            ]
            for answer in await self._fence_all(missing, term, majority):
                fenced[answer.database.name] = answer
            if len(fenced) < majority:
                await curio.sleep(STEP_PAUSE)
        return list(fenced.values())

    async def _fence_all(
        self,
        databases: Iterable[Database],
        term: int,
        majority: int,
    ) -> list[Fenced]:
        """Fence at once; stop waiting when a majority has answered."""
        found: list[Fenced] = []
        async with curio.TaskGroup() as tasks:
            for database in databases:
                await tasks.spawn(_fence, database, term)
            async for task in tasks:
                if isinstance(task.result, Fenced):
                    found.append(task.result)
                if len(found) >= majority:
                    await tasks.cancel_remaining()
                    break
        return found

    async def _promote(
        self,
        fenced: list[Fenced],
        term: int,
    ) -> Database | None:
        """Promote the furthest; asking it twice does no harm.

        Only the furthest may lead: a lesser one could lack a confirmed
        change that the furthest alone among the fenced holds.
        """
        furthest = max(fenced, key=_rank)
        for _ in range(PROMOTE_TRIES):
            state = await _call_step(furthest.database, 'promote', term)
            if state is not None:
                return furthest.database
            await curio.sleep(STEP_PAUSE)
        return None

    async def _settle(self, claim: HeldRecord, primary: str) -> bool:
        record = claim.record.model_copy(
            update={'primary': primary, 'phase': Phase.SETTLED},
        )
        while True:
            try:
                return await self._view.put_record(record, claim.version)
            except StoreError:
                await curio.sleep(STEP_PAUSE)

    def _make_operation(self) -> str:
        number = self._randomness.getrandbits(_OPERATION_BITS)
        return str(uuid.UUID(int=number))


def _rank(fenced: Fenced) -> tuple[int, int, str]:
    return fenced.rank


async def _fence(database: Database, term: int) -> Fenced | None:
    state = await _call_step(database, 'fence', term)
    if state is None or state.fenced != term:
        return None
    return Fenced(database, state)


async def _call_step(
    database: Database,
    step: str,
    term: int,
) -> DatabaseState | None:
    """Take one step on a database over a connection of its own."""
    link: Any = None
    try:
        async with curio.timeout_after(STEP_LIMIT):
            link = await database.connect(STEP_LIMIT)
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


async def direct_follower(
    database: Database,
    primary: str,
    term: int,
) -> bool:
    """Have a database replicate from `primary`; tell whether it does."""
    link: Any = None
    try:
        async with curio.timeout_after(STEP_LIMIT):
            link = await database.connect(STEP_LIMIT)
            state = await database.follow(link, primary, term)
    except (ConnectionError, curio.TaskTimeout):
        return False
    finally:
        if link is not None:
            await link.close()
    return state is not None
