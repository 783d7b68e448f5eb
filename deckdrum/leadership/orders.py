"""Ordering the promotion of a server, until one leads."""

from collections.abc import Iterable
from typing import Final

import curio

from deckdrum.leadership.changes import (
    ROUND_PAUSE,
    ChangeReport,
    ChangeTools,
    Claim,
)
from deckdrum.leadership.claims import CLAIM_TIME, ClaimBook
from deckdrum.leadership.duty import PromotionOrder, PromotionOutcome
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime

#: Longest wait for the platform's answer to a promotion, in seconds.
ORDER_LIMIT: Final = 0.6
#: Longest wait for a promoted server to lead, in seconds; a promotion takes
#: 0.3 to 0.6 s.
LEAD_LIMIT: Final = 2.0
#: Time between a promotion without an answer and its repetition, in seconds.
REPEAT_AFTER: Final = 0.9


class PromotionOrders:
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
        tools: ChangeTools,
        claims: ClaimBook,
    ) -> None:
        self._runtime = runtime
        self._tools = tools
        self._claims = claims

    async def promote(
        self,
        report: ChangeReport,
        claim: Claim,
        successors: Iterable[ServerHandle],
    ) -> str | None:
        """Promote the first successor that runs; return its id."""
        for handle in successors:
            order = PromotionOrder(
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
        order: PromotionOrder,
        claim: Claim,
        handle: ServerHandle,
    ) -> bool:
        """Order a promotion until the server leads or refuses."""
        while True:
            remaining = claim.sent_at + CLAIM_TIME - await curio.clock()
            if remaining < ORDER_LIMIT:
                return False
            if self._claims.is_overtaken(claim):
                return False
            outcome = await self._tools.duty.promote(order, ORDER_LIMIT)
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
            if outcome is PromotionOutcome.TURNED_AWAY:
                await curio.sleep(ROUND_PAUSE)
                continue
            is_sure = outcome is PromotionOutcome.ACCEPTED
            limit = LEAD_LIMIT if is_sure else REPEAT_AFTER
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
                belief = self._runtime.belief
                if belief.primary == handle.id and belief.term >= term:
                    return True
                await curio.sleep(ROUND_PAUSE)
        return False
