"""Promoting one of the candidates through the platform.

A promotion whose effect this node has not seen may have taken effect, and other
nodes may use the new primary.  Until its term has been ended everywhere, by a
claim of its own, no other server is promoted.
"""

from collections.abc import Iterable
from enum import Enum, auto
from typing import Final

import curio

from deckdrum.leadership.context import (
    POLL_INTERVAL_S,
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
)
from deckdrum.leadership.fencing import PromotionCandidate
from deckdrum.leadership.peer_observation import Leader, PeerObserver
from deckdrum.leadership.promotion_client import (
    PromotionOutcome,
    PromotionRequest,
)
from deckdrum.leadership.record_store import (
    CLAIM_LIFETIME_S,
    LeadershipRecordStore,
)
from deckdrum.serving.runtime import ServiceRuntime

#: Longest wait for the platform's answer to a promotion request.
PROMOTION_CALL_TIMEOUT_S: Final = 0.6
#: Longest wait for a promoted server to be seen as primary.
PROMOTION_TIMEOUT_S: Final = 2.0
#: Wait before a promotion request without an answer is repeated.
PROMOTION_RETRY_DELAY_S: Final = 0.9
#: Wait for a promotion of a server that led already to take effect, if it does.
CONFIRMATION_DELAY_S: Final = 1.0


class _Failure(Enum):
    """Why no server is known to lead after a promotion was requested."""

    #: The platform has refused every request and carried out none.
    REFUSED = auto()
    #: A request may have been carried out, or there is no time for one.
    UNRESOLVED = auto()


class ServerPromoter:
    """Promotes servers of one group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    context : LeadershipContext
        Services of the node.
    records : LeadershipRecordStore
        Knows whether a claim has been superseded.
    """

    def __init__(
        self,
        runtime: ServiceRuntime,
        context: LeadershipContext,
        records: LeadershipRecordStore,
    ) -> None:
        self._runtime = runtime
        self._context = context
        self._records = records
        self._observer = PeerObserver(runtime, context.peers)

    async def promote(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        candidates: Iterable[PromotionCandidate],
    ) -> Leader | None:
        """Promote the first candidate that is not refused.

        Returns
        -------
        Leader or None
            None if no candidate is known to lead.  One of them may lead all
            the same.
        """
        for candidate in candidates:
            promoted = await self._promote_one(claim, candidate)
            if isinstance(promoted, Leader):
                report.promoted = promoted.server
                await report.record_phase('promote')
                return promoted
            if promoted is _Failure.UNRESOLVED:
                return None
        return None

    async def confirm(
        self, claim: LeadershipClaim, leader: Leader
    ) -> Leader | None:
        """Order a server that was found leading, and return what it leads then.

        The platform changes nothing for its present primary.  If another server
        has taken over since, this one takes the next term.

        Returns
        -------
        Leader or None
            None if it is not known to lead.  It may lead all the same.
        """
        request = PromotionRequest(
            self._runtime.name,
            leader.server,
            self._context.node,
            claim.fencing_token,
            claim.sent_at + CLAIM_LIFETIME_S,
        )
        while await self._may_request(claim):
            outcome = await self._request(request, claim)
            if outcome is PromotionOutcome.ACCEPTED:
                await curio.sleep(CONFIRMATION_DELAY_S)
                return await self._find_confirmed(leader)
            if outcome is PromotionOutcome.REFUSED:
                return None
            await curio.sleep(POLL_INTERVAL_S)
        return None

    async def _find_confirmed(self, leader: Leader) -> Leader | None:
        handle = self._runtime.servers.get(leader.server)
        if handle is None:
            return None
        term = await self._observer.find_led_term(handle)
        return Leader(leader.server, term) if term >= leader.term else None

    async def _promote_one(
        self,
        claim: LeadershipClaim,
        candidate: PromotionCandidate,
    ) -> Leader | _Failure:
        """Request a promotion until it succeeds, is refused or times out."""
        request = PromotionRequest(
            self._runtime.name,
            candidate.handle.id,
            self._context.node,
            claim.fencing_token,
            claim.sent_at + CLAIM_LIFETIME_S,
        )
        may_have_effect = False
        while await self._may_request(claim):
            outcome = await self._request(request, claim)
            if outcome is PromotionOutcome.REFUSED:
                break
            if outcome is PromotionOutcome.NOT_ATTEMPTED:
                await curio.sleep(POLL_INTERVAL_S)
                continue
            may_have_effect = True
            leader = await self._wait_for_effect(candidate, outcome)
            if leader is not None:
                return leader
            self._log_unseen(request, candidate, outcome)
            if outcome is PromotionOutcome.ACCEPTED:
                break
        else:
            return _Failure.UNRESOLVED
        return _Failure.UNRESOLVED if may_have_effect else _Failure.REFUSED

    async def _may_request(self, claim: LeadershipClaim) -> bool:
        """Return whether the claim allows another promotion request."""
        remaining = claim.sent_at + CLAIM_LIFETIME_S - await curio.clock()
        has_time = remaining >= PROMOTION_CALL_TIMEOUT_S
        return has_time and not self._records.is_superseded(claim)

    async def _request(
        self, request: PromotionRequest, claim: LeadershipClaim
    ) -> PromotionOutcome:
        outcome = await self._context.promotion_client.promote(
            request, PROMOTION_CALL_TIMEOUT_S
        )
        self._runtime.journal.record(
            'leadership.ordered',
            service=request.service,
            server=request.server,
            fence=request.fencing_token,
            term=claim.record.term,
            outcome=outcome,
        )
        return outcome

    async def _wait_for_effect(
        self, candidate: PromotionCandidate, outcome: PromotionOutcome
    ) -> Leader | None:
        """Wait until this node or a peer sees the server lead a later term."""
        timeout = (
            PROMOTION_TIMEOUT_S
            if outcome is PromotionOutcome.ACCEPTED
            else PROMOTION_RETRY_DELAY_S
        )
        async with curio.ignore_after(timeout):
            while True:
                term = await self._observer.find_led_term(candidate.handle)
                if term > candidate.status.term:
                    return Leader(candidate.handle.id, term)
                await curio.sleep(POLL_INTERVAL_S)
        return None

    def _log_unseen(
        self,
        request: PromotionRequest,
        candidate: PromotionCandidate,
        outcome: PromotionOutcome,
    ) -> None:
        """Log a promotion that may have taken effect and was not seen."""
        handle = candidate.handle
        state = self._runtime.leadership_state
        self._runtime.journal.record(
            'leadership.order_unseen',
            service=request.service,
            server=request.server,
            fence=request.fencing_token,
            outcome=outcome,
            reachable=handle.status is not None,
            reason=handle.last_error,
            listed_as=handle.server.role,
            known_term=state.term,
            known_primary=state.primary,
        )
