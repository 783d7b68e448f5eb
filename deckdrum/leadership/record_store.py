"""Conditional updates of a group's leadership record in the control store."""

import uuid
from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import Kind
from deckdrum.leadership.context import (
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
)
from deckdrum.leadership.peer_observation import Leader
from deckdrum.outcomes.errors import StoreError
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.store.records import GroupRecord, Phase

#: Time after a claim within which its driver may promote.  It is shorter than
#: the takeover delay, so that two nodes never promote at once.
CLAIM_LIFETIME_S: Final = 3.5
#: Time after a claim before another node takes it over.
CLAIM_TAKEOVER_DELAY_S: Final = 5.0
_OPERATION_ID_BITS: Final = 128


class LeadershipRecordStore:
    """Updates one group's leadership record, conditional on its revision.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    context : LeadershipContext
        Services of the node.
    """

    def __init__(
        self, runtime: ServiceRuntime, context: LeadershipContext
    ) -> None:
        self._runtime = runtime
        self._context = context

    async def claim(
        self, report: PrimaryChangeReport
    ) -> LeadershipClaim | None:
        """Claim the change; return None if it is obsolete or not stored."""
        known = self._context.view.get_leadership(self._runtime.name)
        report.failure_detail = self._find_conflict(report)
        if report.failure_detail:
            report.log(
                self._runtime.journal,
                'leadership.change_outdated',
                report.reason,
            )
            return None
        state = self._runtime.leadership_state
        sent_at = await curio.clock()
        # A replica accepts a fence only for a term above the one it follows.
        term = max(state.term, state.ended_term, state.highest_seen_term) + 1
        if known is not None:
            # Above a claim that was not finished, since a server may lead the
            # term that it announced.
            term = max(term, known[1].term + 1)
        number = self._context.randomness.getrandbits(_OPERATION_ID_BITS)
        record = GroupRecord(
            service=self._runtime.name,
            term=term,
            primary='',
            phase=Phase.FENCING,
            operation=str(uuid.UUID(int=number)),
            driver=self._context.node,
            former=report.former,
            former_term=self._find_former_term(report, term),
        )
        revision = await self._put(record, known[0] if known else 0)
        if revision is None:
            return None
        report.term = term
        return LeadershipClaim(record, revision, sent_at)

    def is_completed(self, record: GroupRecord) -> bool:
        """Return whether a claimed change already has a new primary.

        The claim has ended the terms before it, so a primary that may be used
        was promoted for it.
        """
        state = self._runtime.leadership_state
        return state.has_primary and state.term > record.former_term

    def is_superseded(self, claim: LeadershipClaim) -> bool:
        """Return whether the record was updated after the claim."""
        known = self._context.view.get_leadership(self._runtime.name)
        return known is not None and known[0] > claim.fencing_token

    async def settle(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        leader: Leader,
    ) -> None:
        """Store the new primary."""
        record = GroupRecord(
            service=claim.record.service,
            term=leader.term,
            primary=leader.server,
            phase=Phase.SETTLED,
            operation=claim.record.operation,
            driver=self._context.node,
            former=report.former,
            primary_started_at=self._runtime.leadership_state.get_start_time(
                leader.server
            ),
        )
        await self._put(record, claim.fencing_token)

    async def settle_completed(
        self, claimed: GroupRecord, leader: Leader
    ) -> None:
        """Settle a completed change whose record would block every later one.

        A newer claim is left to its own driver.
        """
        known = self._context.view.get_leadership(self._runtime.name)
        if known is None or known[1] != claimed:
            return
        state = self._runtime.leadership_state
        record = replace(
            claimed,
            term=leader.term,
            primary=leader.server,
            phase=Phase.SETTLED,
            former_term=0,
            primary_started_at=state.get_start_time(leader.server),
        )
        await self._put(record, known[0])

    async def create_initial(self) -> None:
        """Store the primary of a group without a record, for nodes to read."""
        state = self._runtime.leadership_state
        number = self._context.randomness.getrandbits(_OPERATION_ID_BITS)
        record = GroupRecord(
            service=self._runtime.name,
            term=state.term,
            primary=state.primary,
            phase=Phase.SETTLED,
            operation=str(uuid.UUID(int=number)),
            primary_started_at=state.get_start_time(state.primary),
        )
        await self._put(record, 0)

    async def revert(
        self, report: PrimaryChangeReport, claim: LeadershipClaim
    ) -> None:
        """Store that the former term resumes."""
        state = self._runtime.leadership_state
        # A former primary that has restarted cannot resume its term.
        is_restarted = state.has_restarted(report.former)
        former = '' if is_restarted else report.former
        record = GroupRecord(
            service=claim.record.service,
            term=claim.record.former_term,
            primary=former,
            phase=Phase.SETTLED,
            operation=claim.record.operation,
            driver=self._context.node,
            primary_started_at=state.get_start_time(former),
        )
        await self._put(record, claim.fencing_token)

    async def release(self, claim: LeadershipClaim) -> None:
        """Leave a claim under which nothing was ordered to any node."""
        record = replace(
            claim.record, driver='', released_by=claim.record.driver
        )
        await self._put(record, claim.fencing_token)

    def _find_former_term(self, report: PrimaryChangeReport, term: int) -> int:
        """Return the term that the former primary led."""
        state = self._runtime.leadership_state
        known = self._context.view.get_leadership(self._runtime.name)
        if known is not None and known[1].phase is Phase.FENCING:
            return known[1].former_term or known[1].term - 1
        if state.primary == report.former:
            return state.term
        if known is not None and known[1].primary == report.former:
            return known[1].term
        return term - 1

    def _find_conflict(self, report: PrimaryChangeReport) -> str:
        """Return what made the change obsolete since the decision, if any."""
        state = self._runtime.leadership_state
        if state.has_primary and state.primary != report.former:
            return f'{state.primary} leads term {state.term}'
        known = self._context.view.get_leadership(self._runtime.name)
        if known is None:
            return ''
        record = known[1]
        found = f'record: primary {record.primary or "none"}, {record.phase}'
        if record.phase is Phase.FENCING or report.is_takeover:
            # A later claim than the one decided about has a driver of its own.
            is_same = record.operation == report.unfinished_operation
            is_unfinished = is_same and record.phase is Phase.FENCING
            return '' if is_unfinished else f'{found} by {record.driver}'
        # An abandoned change may leave a record without a primary.
        return '' if record.primary in {'', report.former} else found

    async def _put(self, record: GroupRecord, revision: int) -> int | None:
        """Store a record if its revision matches; return the new revision."""
        name = self._runtime.name
        try:
            stored = await self._context.view.put(
                Kind.LEADERSHIP,
                name,
                record,
                revision,
            )
        except StoreError as error:
            self._runtime.journal.record(
                'leadership.store_silent',
                service=name,
                reason=str(error),
            )
            return await self._read_back(record)
        return await self._read_back(record) if stored is None else stored

    async def _read_back(self, record: GroupRecord) -> int | None:
        """Return the revision of an unanswered update, None if not stored."""
        try:
            entry = await self._context.view.fetch(
                Kind.LEADERSHIP,
                self._runtime.name,
            )
        except StoreError:
            # Nodes learn the outcome when they next read the store.
            return None
        if entry is None or entry.record != record:
            return None
        return entry.revision
