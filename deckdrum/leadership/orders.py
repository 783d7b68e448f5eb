"""Ordering the promotion of a server, until one leads."""

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
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime

#: Longest wait for the platform's answer to a promotion, in seconds.
PROMOTION_CALL_TIMEOUT_S: Final = 0.6
#: Longest wait for a promoted server to lead, in seconds; a promotion takes
#: 0.3 to 0.6 s.
PROMOTION_TIMEOUT_S: Final = 2.0
#: Time between a promotion without an answer and its repetition, in seconds.
PROMOTION_RETRY_DELAY_S: Final = 0.9


class ServerPromoter:
    """Orders promotions of one group's servers.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    tools : ChangeTools
        What the node provides.
    claims : ClaimBook
        Tells whether a claim has been overtaken.
    """

    def __init__(
        self,
        runtime: ServiceRuntime,
        tools: LeadershipContext,
        claims: LeadershipRecordStore,
    ) -> None:
        self._runtime = runtime
        self._tools = tools
        self._claims = claims

    async def promote(
        self,
        report: PrimaryChangeReport,
        claim: LeadershipClaim,
        successors: Iterable[ServerHandle],
    ) -> str | None:
        """Promote the first successor that runs; return its id."""
        for handle in successors:
            order = PromotionRequest(
                self._runtime.name,
                handle.id,
                self._tools.node,
                claim.fence,
            )
            if await self._order(order, claim, handle):
                report.promoted = handle.id
                await report.note('promote')
                return handle.id
        return None

    async def _order(
        self,
        order: PromotionRequest,
        claim: LeadershipClaim,
        handle: ServerHandle,
    ) -> bool:
        """Order a promotion until the server leads or refuses."""
        while True:
            remaining = claim.sent_at + CLAIM_LIFETIME_S - await curio.clock()
            if remaining < PROMOTION_CALL_TIMEOUT_S:
                return False
            if self._claims.is_superseded(claim):
                return False
            outcome = await self._tools.duty.promote(
                order, PROMOTION_CALL_TIMEOUT_S
            )
            self._runtime.journal.record(
                'leadership.ordered',
                service=order.service,
                server=order.server,
                fence=order.fence,
                term=claim.record.term,
                outcome=outcome,
            )
            if outcome is PromotionOutcome.REFUSED:
                return False
            if outcome is PromotionOutcome.NOT_ATTEMPTED:
                await curio.sleep(POLL_INTERVAL_S)
                continue
            is_sure = outcome is PromotionOutcome.ACCEPTED
            limit = PROMOTION_TIMEOUT_S if is_sure else PROMOTION_RETRY_DELAY_S
            if await self._await_lead(handle, claim.record.term, limit):
                return True
            if is_sure:
                return False

    async def _await_lead(
        self,
        handle: ServerHandle,
        term: int,
        limit: float,
    ) -> bool:
        async with curio.ignore_after(limit):
            while True:
                await self._runtime.ask(handle)
                leadership_state = self._runtime.leadership_state
                if (
                    leadership_state.primary == handle.id
                    and leadership_state.term >= term
                ):
                    return True
                await curio.sleep(POLL_INTERVAL_S)
        return False
