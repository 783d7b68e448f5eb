"""Rejecting statements that a holder would reject because of its load."""

from collections import defaultdict
from typing import Final

import curio

from deckdrum.load.queueing import compute_retry_after
from deckdrum.load.shedding import HolderRejections, StatementKind
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.serving.host import Outcome
from deckdrum.serving.runtime import ServiceRuntime

#: Value of the label `place` of rejected statements.
_AT_ENTRY: Final = 'entry'
#: Codes with which a holder rejects statements because of its load.
_OVERLOAD_CODES: Final = frozenset((Code.QUEUE_FULL, Code.QUEUE_TIMEOUT))


class LoadShedder:
    """Rejects less urgent statements of one group for overloaded holders.

    It does nothing in a group without urgent routes.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    """

    def __init__(self, runtime: ServiceRuntime) -> None:
        self._runtime = runtime
        self._by_holder: defaultdict[str, HolderRejections] = defaultdict(
            HolderRejections
        )
        self._rejected = 0

    def check(
        self, holder: str, kind: StatementKind, now: float
    ) -> Refusal | None:
        """Return the refusal of a statement, None to send it to a holder."""
        if not self._runtime.declaration.has_urgent_routes:
            return None
        rejections = self._by_holder.get(holder)
        remaining = rejections.find_remaining(kind, now) if rejections else 0
        if not remaining:
            return None
        self._rejected += 1
        self._runtime.counters.turned_away[kind.priority, _AT_ENTRY] += 1
        return refuse(
            Code.QUEUE_TIMEOUT,
            f'{holder} is overloaded, and more urgent statements go first',
            compute_retry_after(remaining, self._rejected),
        )

    async def record(
        self,
        holder: str,
        kind: StatementKind,
        outcome: Outcome,
        sent_at: float,
    ) -> None:
        """Record how a holder answered a statement sent at `sent_at`."""
        if not self._runtime.declaration.has_urgent_routes:
            self._by_holder.clear()
            return
        if not isinstance(outcome, Refusal):
            rejections = self._by_holder.get(holder)
            if rejections is not None:
                rejections.record_success(kind, sent_at)
        elif outcome.code in _OVERLOAD_CODES and outcome.retry_after:
            self._by_holder[holder].record_rejection(
                kind, outcome.retry_after, await curio.clock()
            )
