"""Promoting one of the candidates through the platform."""

from collections.abc import Iterable
from typing import Final

import curio

from deckdrum.leadership.context import (
    POLL_INTERVAL_S,
    LeadershipClaim,
    LeadershipContext,
    PrimaryChangeReport,
)
from deckdrum.leadership.promotion_client import (
    PromotionOutcome,
    PromotionRequest,
)
from deckdrum.leadership.record_store import (
    CLAIM_LIFETIME_S,
    LeadershipRecordStore,
)
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle

#: Longest wait for the platform's answer to a promotion request.
PROMOTION_CALL_TIMEOUT_S: Final = 0.6
#: Longest wait for a promoted server to report that it is primary.
PROMOTION_TIMEOUT_S: Final = 2.0
#: Wait before a promotion request without an answer is repeated.
PROMOTION_RETRY_DELAY_S: Final = 0.9


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

    async def promote(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        candidates: Iterable[ServerHandle],
    ) -> str | None:
        """Promote the first candidate that can be; return its id."""
        for handle in candidates:
            request = PromotionRequest(
                self._runtime.name,
                handle.id,
                self._context.node,
                claim.fencing_token,
            )
            if await self._promote_one(request, claim, handle):
                report.promoted = handle.id
                await report.record_phase('promote')
                return handle.id
        return None

    async def _promote_one(
        self,
        request: PromotionRequest,
        claim: LeadershipClaim,
        handle: ServerHandle,
    ) -> bool:
        """Request a promotion until it succeeds, is refused or times out."""
        while True:
            remaining = claim.sent_at + CLAIM_LIFETIME_S - await curio.clock()
            if remaining < PROMOTION_CALL_TIMEOUT_S:
                return False
            if self._records.is_superseded(claim):
                return False
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
            if outcome is PromotionOutcome.REFUSED:
                return False
            if outcome is PromotionOutcome.NOT_ATTEMPTED:
                await curio.sleep(POLL_INTERVAL_S)
                continue
            is_accepted = outcome is PromotionOutcome.ACCEPTED
            timeout = (
                PROMOTION_TIMEOUT_S if is_accepted else PROMOTION_RETRY_DELAY_S
            )
            if await self._wait_until_primary(
                handle, claim.record.term, timeout
            ):
                return True
            self._log_unseen(request, handle, outcome)
            if is_accepted:
                return False

    def _log_unseen(
        self,
        request: PromotionRequest,
        handle: ServerHandle,
        outcome: PromotionOutcome,
    ) -> None:
        """Log a promotion that may have taken effect and was not seen."""
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

    async def _wait_until_primary(
        self,
        handle: ServerHandle,
        term: int,
        timeout: float,
    ) -> bool:
        async with curio.ignore_after(timeout):
            while True:
                await self._runtime.query_server(handle)
                state = self._runtime.leadership_state
                if state.primary == handle.id and state.term >= term:
                    return True
                await curio.sleep(POLL_INTERVAL_S)
        return False
