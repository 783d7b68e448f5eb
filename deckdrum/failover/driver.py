"""Failover of one service, in idempotent steps.

1. *claim*: a conditional update of the group record advances it to the next
   term; only one driver succeeds.
2. *fence*: a majority of the databases rejects all earlier terms.
3. *promote*: the fenced database with the most advanced log becomes primary.
   Any two majorities intersect, so it holds every confirmed change.
4. *settle*: the group record is updated to name the new primary.

If a driver crashes, the record stays in the fencing phase until another
driver claims the next term and starts over.
"""

import uuid
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import curio
import msgspec

from deckdrum.databases import Database, DatabaseState
from deckdrum.failover.promotion import Promotion
from deckdrum.failover.steps import (
    STEP_RETRY_DELAY_S,
    repoint_replica,
    run_step,
)
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.utils import Journal

_OPERATION_BITS: Final = 128
#: Longest wait for a successor to catch up with a leaving primary.
HANDOVER_TIMEOUT_S: Final = 2.0
_HANDOVER_POLL_INTERVAL_S: Final = 0.01
#: The driver gives up if preparing or settling takes longer.
FAILOVER_TIMEOUT_S: Final = 8.0
#: Interval at which the claim is renewed while a promotion lasts, well below
#: the time after which another proxy takes over.
CLAIM_RENEWAL_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class FailoverReport:
    """End time of each phase of a failover, on the curio clock.

    `excluded` names the database that must not be promoted, if any.
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
    """A database that was fenced, with the state that it returned."""

    database: Database
    state: DatabaseState

    @property
    def log_position(self) -> tuple[int, int]:
        """Term of the last entry of its log, and the offset of its end.

        The term that it follows does not count: a replica that has just turned
        to a new primary may still lack most of its log.
        """
        return (self.state.log_term, self.state.received)


@dataclass(frozen=True, slots=True)
class _PreparedFailover:
    """A claimed term in which a majority is fenced, and the candidate."""

    claim: VersionedRecord
    candidate: FencedDatabase


@dataclass(frozen=True, slots=True)
class Handover:
    """Parameters of a planned primary change.

    `is_successor_ready` tells whether a database that is not being removed
    has received the log up to an offset; `leaving_names` are the databases
    that are being removed.
    """

    is_successor_ready: Callable[[int], bool]
    leaving_names: frozenset[str]


class FailoverDriver:
    """Runs the failover of one service.

    Parameters
    ----------
    databases : mapping of str to Database
        The service's databases, by name.
    view : StoreView
        The platform's group records.
    proxy : str
        Name of this proxy, stored in the record as its driver.
    journal : Journal
        Event log.
    randomness : random.Random
        Random generator for operation ids.
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
        current: VersionedRecord,
        report: FailoverReport,
        handover: Handover | None = None,
    ) -> bool:
        """Replace the primary of `current`.

        Parameters
        ----------
        current : VersionedRecord
            The latest known group record.
        report : FailoverReport
            Receives the end times of the phases.
        handover : Handover, optional
            Given if the primary is still running but is being removed.

        Returns
        -------
        bool
            Whether this driver settled the record.  False if another driver
            claimed a term first, the platform is unreachable, no majority
            could be fenced or the promotion failed.
        """
        try:
            return await self._drive(current, report, handover)
        except StoreError as error:
            self._journal.record('failover.no_platform', reason=str(error))
        return False

    async def _drive(
        self,
        current: VersionedRecord,
        report: FailoverReport,
        handover: Handover | None,
    ) -> bool:
        prepared: _PreparedFailover | None = None
        async with curio.ignore_after(FAILOVER_TIMEOUT_S):
            prepared = await self._prepare(current, report, handover)
        if prepared is None:
            return False
        candidate = prepared.candidate
        claim = await self._promote(candidate, prepared.claim)
        if claim is None:
            return False
        primary = candidate.database
        report.promoted = primary.name
        report.phases['promote'] = await curio.clock()
        self._journal.record(
            'failover.promoted',
            service=report.service,
            term=report.term,
            primary=primary.name,
            log_position=candidate.log_position,
        )
        await self._repoint_replicas(primary.name, report.term)
        is_settled = False
        async with curio.ignore_after(FAILOVER_TIMEOUT_S):
            is_settled = await self._settle(claim, primary.name)
        report.phases['settle'] = await curio.clock()
        self._journal.record(
            'failover.settled' if is_settled else 'failover.overtaken',
            service=report.service,
            term=report.term,
            primary=primary.name,
        )
        return is_settled

    async def _prepare(
        self,
        current: VersionedRecord,
        report: FailoverReport,
        handover: Handover | None,
    ) -> _PreparedFailover | None:
        """Claim the next term, fence a majority and choose the candidate."""
        claim = await self._claim(current, report)
        if claim is None:
            return None
        if handover is not None:
            await self._hand_over(handover, report)
        leaving_names = handover.leaving_names if handover else frozenset()
        fenced = await self._fence_majority(report, leaving_names)
        report.phases['fence'] = await curio.clock()
        self._log_fenced(report, fenced)
        candidate = choose_promotion_candidate(fenced, leaving_names)
        return _PreparedFailover(claim, candidate)

    async def _claim(
        self,
        current: VersionedRecord,
        report: FailoverReport,
    ) -> VersionedRecord | None:
        record = GroupRecord(
            service=report.service,
            term=current.record.term + 1,
            primary=current.record.primary,
            phase=Phase.FENCING,
            operation=self._make_operation(),
            driver=self._proxy,
        )
        if not await self._view.put_record(record, current.version):
            return None
        claim = self._view.records[report.service]
        if claim.record != record:
            # The view had the claim of a later driver before this one's answer.
            return None
        report.term = record.term
        report.phases['claim'] = await curio.clock()
        self._journal.record(
            'failover.claimed',
            service=report.service,
            term=record.term,
            reason=report.reason,
        )
        return claim

    async def _hand_over(
        self,
        handover: Handover,
        report: FailoverReport,
    ) -> None:
        """Fence the old primary and wait until a successor has caught up.

        A fenced primary rejects writes but still streams its log, so that a
        remaining database can receive all of it before being fenced too.
        """
        old_primary = self._databases[report.lost]
        fenced = await _fence(old_primary, report.term)
        if fenced is None:
            return
        end = fenced.state.received
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            while not handover.is_successor_ready(end):
                await curio.sleep(_HANDOVER_POLL_INTERVAL_S)
        report.phases['hand over'] = await curio.clock()

    async def _fence_majority(
        self,
        report: FailoverReport,
        leaving_names: frozenset[str],
    ) -> list[FencedDatabase]:
        """Retry until a majority is fenced, skipping the excluded database.

        Each round also waits for a database that is not being removed, so
        that a planned primary change does not promote a leaving one again.
        """
        majority = len(self._databases) // 2 + 1
        candidates = [
            database
            for name, database in self._databases.items()
            if name != report.excluded
        ]
        fenced: dict[str, FencedDatabase] = {}
        while len(fenced) < majority:
            async with curio.TaskGroup() as tasks:
                for database in candidates:
                    await tasks.spawn(_fence, database, report.term)
                await _collect_fenced(tasks, fenced, majority, leaving_names)
            if len(fenced) < majority:
                await curio.sleep(STEP_RETRY_DELAY_S)
        return list(fenced.values())

    async def _repoint_replicas(self, primary: str, term: int) -> None:
        """Repoint the replicas; no change is confirmed without them."""
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
        candidate: FencedDatabase,
        claim: VersionedRecord,
    ) -> VersionedRecord | None:
        """Promote a database and renew the claim until it leads.

        Returns
        -------
        VersionedRecord or None
            The latest claim, or None if the promotion failed or another driver
            has claimed a term.
        """
        promotion = Promotion(
            candidate.database, candidate.state, claim.record.term
        )
        await promotion.start()
        renewed_at = await curio.clock()
        latest: VersionedRecord | None = claim
        try:
            while latest is not None:
                is_promoted = await promotion.check()
                if is_promoted is not None:
                    return latest if is_promoted else None
                now = await curio.clock()
                if now - renewed_at >= CLAIM_RENEWAL_INTERVAL_S:
                    renewed_at = now
                    latest = await self._renew(latest)
        finally:
            await promotion.close()
        return None

    async def _renew(self, claim: VersionedRecord) -> VersionedRecord | None:
        """Renew a claim; return the latest one, None if it was overtaken."""
        record = msgspec.structs.replace(
            claim.record, operation=self._make_operation()
        )
        await self._try_put(record, claim.version)
        return self._find_own_claim(claim)

    def _find_own_claim(self, claim: VersionedRecord) -> VersionedRecord | None:
        """Return the known record if it is a renewal of `claim`.

        A renewal without an answer may have taken effect.  Each term is claimed
        once.
        """
        known = self._view.records[claim.record.service]
        is_own = (
            known.record.phase is Phase.FENCING
            and known.record.term == claim.record.term
        )
        return known if is_own else None

    async def _settle(self, claim: VersionedRecord, primary: str) -> bool:
        record = msgspec.structs.replace(
            claim.record,
            primary=primary,
            phase=Phase.SETTLED,
        )
        latest: VersionedRecord | None = claim
        while latest is not None:
            if await self._try_put(record, latest.version):
                return True
            latest = self._find_own_claim(latest)
            if latest is not None:
                # The update was refused or lost; nobody else has claimed.
                await curio.sleep(STEP_RETRY_DELAY_S)
        return False

    async def _try_put(self, record: GroupRecord, version: int) -> bool:
        try:
            return await self._view.put_record(record, version)
        except StoreError:
            return False

    def _log_fenced(
        self, report: FailoverReport, fenced: Iterable[FencedDatabase]
    ) -> None:
        self._journal.record(
            'failover.fenced',
            service=report.service,
            term=report.term,
            log_positions={
                each.database.name: each.log_position for each in fenced
            },
        )

    def _make_operation(self) -> str:
        number = self._randomness.getrandbits(_OPERATION_BITS)
        return str(uuid.UUID(int=number))


def choose_promotion_candidate(
    fenced: Iterable[FencedDatabase], leaving_names: Container[str]
) -> FencedDatabase:
    """Return the database to promote.

    It must have the most advanced log, since a shorter log could lack a
    confirmed change.  Among equals, databases that are not being removed are
    preferred.
    """
    candidates = list(fenced)
    log_position = max(each.log_position for each in candidates)
    furthest = [
        each for each in candidates if each.log_position == log_position
    ]
    return min(
        furthest,
        key=lambda each: (
            each.state.leaving or each.database.name in leaving_names,
            each.database.name,
        ),
    )


async def _collect_fenced(
    tasks: Any,
    fenced: dict[str, FencedDatabase],
    majority: int,
    leaving_names: frozenset[str],
) -> None:
    """Collect fenced databases until they form a usable majority."""
    async for task in tasks:
        if isinstance(task.result, FencedDatabase):
            fenced[task.result.database.name] = task.result
        if len(fenced) >= majority and fenced.keys() - leaving_names:
            await tasks.cancel_remaining()
            return


async def _fence(database: Database, term: int) -> FencedDatabase | None:
    state = await run_step(database, lambda link: database.fence(link, term))
    if state is None or state.fenced != term:
        return None
    return FencedDatabase(database, state)
