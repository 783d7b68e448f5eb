"""Decisions after failed attempts: retry, or refuse the statement."""

from typing import Final

import curio

from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Rejection, RejectionCause
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.attempts import NoAnswer
from deckdrum.serving.dispatches import Dispatch, FinishedAttempt
from deckdrum.serving.replica_lag import find_creation
from deckdrum.serving.routing import Target
from deckdrum.serving.runtime import ServiceRuntime, is_rejecting_unproven

#: Upper bound for the backoff between attempts on the primary.
MAX_RETRY_BACKOFF_S: Final = 0.08
#: Attempts after which a read no longer waits for a replica that lags.  The
#: expected lag doubles with each: six cover ten times the usual one of 12 ms.
MAX_REPLICA_ATTEMPTS: Final = 6
#: Capacity of the retry budget, and the fraction of a retry that each success
#: adds to it.  They keep retries a small part of the load.
RETRY_BUDGET_CAPACITY: Final = 20.0
RETRY_REFILL_FRACTION: Final = 0.1


class RetryBudget:
    """Limits retries to a fraction of successful statements.

    Examples
    --------
    >>> budget = RetryBudget(capacity=1, refill=0.5)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_success()
    >>> budget.record_success()
    >>> budget.try_spend()
    True
    """

    def __init__(
        self,
        capacity: float = RETRY_BUDGET_CAPACITY,
        refill: float = RETRY_REFILL_FRACTION,
    ) -> None:
        self._capacity = capacity
        self._refill = refill
        self._tokens = capacity

    def record_success(self) -> None:
        """Add the refill of one success."""
        self._tokens = min(self._capacity, self._tokens + self._refill)

    def try_spend(self) -> bool:
        """Spend one retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryPolicy:
    """Decides whether a failed statement of one group is retried.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    budget : RetryBudget
        Limits retries of reads that failed on a server.
    """

    def __init__(self, runtime: ServiceRuntime, budget: RetryBudget) -> None:
        self._runtime = runtime
        self._budget = budget

    async def decide(
        self,
        dispatch: Dispatch,
        finished: FinishedAttempt,
    ) -> Refusal | None:
        """Return a refusal after a failed attempt, or None to retry."""
        outcome = finished.outcome
        if isinstance(outcome, Answer):
            raise BrokenInvariantError('attempt succeeded: nothing to decide')
        dispatch.last_failure = outcome
        if isinstance(outcome, NoAnswer) and outcome.was_sent:
            dispatch.may_have_run = True
        now = await curio.clock()
        if isinstance(outcome, Rejection):
            return await self._decide_after_rejection(
                dispatch, finished, outcome, now
            )
        if isinstance(outcome, Refusal):
            # The queue for this server is full.  Other replicas are tried, and
            # the primary last.
            is_final = finished.target.is_primary
            return self.build_refusal(dispatch, now) if is_final else None
        if not outcome.was_sent or dispatch.is_repeatable:
            return await self._back_off(dispatch, finished.target)
        code = Code.TIMED_OUT if outcome.is_late else Code.CONNECTION_LOST
        return refuse(code, outcome.reason)

    def build_refusal(self, dispatch: Dispatch, now: float) -> Refusal:
        """Return the refusal for a statement without an answer by `now`."""
        failure = dispatch.last_failure
        if dispatch.may_have_run:
            # Only repeatable statements get here: their effects are discarded.
            return refuse(Code.TRANSACTION_LOST, 'no server answered it')
        if isinstance(failure, Refusal):
            return failure
        if isinstance(failure, Rejection):
            return refuse(
                Code.PRIMARY_REFUSED, f'{failure.cause}: {failure.text}'
            )
        primary = self._runtime.primary
        if primary is None:
            return refuse(Code.NO_PRIMARY, f'service {self._runtime.name}')
        if primary.drain_status.is_past_cutoff(now):
            return refuse(Code.NO_PRIMARY, 'it has left, and none follows')
        if is_rejecting_unproven(self._runtime, now):
            return refuse(Code.NO_PRIMARY, 'its term is not proven here')
        code = Code.QUEUE_TIMEOUT
        if dispatch.is_read:
            code = Code.READ_NOT_POSSIBLE
        return refuse(code, 'no server took it in time')

    async def _decide_after_rejection(
        self,
        dispatch: Dispatch,
        finished: FinishedAttempt,
        outcome: Rejection,
        now: float,
    ) -> Refusal | None:
        handle = finished.target.handle
        if (
            outcome.cause is RejectionCause.BEHIND
            and finished.target.min_position
        ):
            if Policy.REPLICA_PAUSES in self._runtime.policies:
                self._record_lag(dispatch, finished.target, now)
            return None
        if outcome.cause is RejectionCause.NOT_PRIMARY:
            await self._runtime.leadership_state.clear_primary(
                handle.id, 'server reported that it is not primary'
            )
            return await self._back_off(dispatch, finished.target)
        if outcome.cause.is_not_run:
            return await self._back_off(dispatch, finished.target)
        if dispatch.is_read and self._budget.try_spend():
            return None
        if dispatch.begin is not None:
            return refuse(Code.TRANSACTION_LOST, outcome.text)
        code = (
            Code.TIMED_OUT
            if outcome.cause is RejectionCause.TIMED_OUT
            else Code.STATEMENT_FAILED
        )
        return refuse(code, outcome.text)

    def _record_lag(
        self, dispatch: Dispatch, target: Target, now: float
    ) -> None:
        """Record that a replica lacks a position, which it may have soon."""
        min_position = target.min_position
        if min_position is None:
            return
        created_at = find_creation(self._runtime.history, min_position)
        target.handle.replica_lag.record_lag(min_position, now, created_at)
        is_uneven = self._runtime.is_uneven
        if is_uneven and dispatch.attempt_count < MAX_REPLICA_ATTEMPTS:
            # The router may let the read wait for this replica.
            dispatch.excluded_servers.discard(target.handle.id)

    async def _back_off(
        self,
        dispatch: Dispatch,
        target: Target,
    ) -> Refusal | None:
        """Back off before the primary is tried again; replicas need none."""
        if not target.is_primary:
            # The router picks another replica or the primary.
            return None
        dispatch.excluded_servers.clear()
        now = await curio.clock()
        if now + dispatch.backoff >= dispatch.deadline:
            return self.build_refusal(dispatch, now)
        await curio.sleep(dispatch.backoff)
        dispatch.backoff = min(dispatch.backoff * 2, MAX_RETRY_BACKOFF_S)
        return None
