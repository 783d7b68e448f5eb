"""What follows a failed try: another one, or a refusal for the caller."""

from typing import Final

import curio

from deckdrum.fleet.policies import Policy
from deckdrum.operations import Answer, Rejection, RejectionCause
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.serving.attempts import NoAnswer
from deckdrum.serving.routing import Target
from deckdrum.serving.searches import Dispatch, FinishedAttempt
from deckdrum.serving.service import ServiceRuntime

#: Longest pause after every server has refused, in seconds.
LONGEST_PAUSE: Final = 0.08
#: Statements at a moment that may be tried again on account of failures,
#: refilled by each success; keeps retries a small part of the load.
RETRY_BUDGET_CAPACITY: Final = 20.0
RETRY_REFILL_FRACTION: Final = 0.1


class RetryBudget:
    """Bounds retries after failures to a part of what succeeds.

    Examples
    --------
    >>> budget = RetryBudget(reserve=1, refill=0.5)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.record_success()
    >>> budget.record_success()
    >>> budget.take()
    True
    """

    def __init__(
        self,
        reserve: float = RETRY_BUDGET_CAPACITY,
        refill: float = RETRY_REFILL_FRACTION,
    ) -> None:
        self._reserve = reserve
        self._refill = refill
        self._left = reserve

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self._left = min(self._reserve, self._left + self._refill)

    def take(self) -> bool:
        """Spend one retry; tell whether there was one."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


class RetryPolicy:
    """Decides whether a statement of one group is tried again.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    budget : RetryBudget
        Bounds retries of reads that failed on a server.
    """

    def __init__(self, runtime: ServiceRuntime, budget: RetryBudget) -> None:
        self._runtime = runtime
        self._budget = budget

    async def weigh(
        self,
        search: Dispatch,
        ended: FinishedAttempt,
    ) -> Refusal | None:
        """Decide after a failed try: a refusal, or None to go on."""
        end = ended.end
        if isinstance(end, Answer):
            raise BrokenInvariantError('a success is no failed try')
        search.last = end
        if isinstance(end, NoAnswer) and end.was_sent:
            search.may_have_run = True
        now = await curio.clock()
        if isinstance(end, Rejection):
            return await self._weigh_rejection(search, ended, end, now)
        if isinstance(end, Refusal):
            # The queue of this server is full.  Another replica may have room,
            # or the primary; nobody has if the primary has none.
            is_last = ended.target.is_primary
            return self.give_up(search, now) if is_last else None
        if not end.was_sent or search.is_repeatable:
            return await self._rest(search, ended.target)
        code = Code.TIMED_OUT if end.is_late else Code.CONNECTION_LOST
        return refuse(code, end.reason)

    def give_up(self, search: Dispatch, now: float) -> Refusal:
        """Return the refusal for a statement that nobody has run by `now`."""
        last = search.last
        if search.may_have_run:
            # Only what leaves nothing behind is tried again after a loss.
            return refuse(Code.TRANSACTION_LOST, 'no server answered it')
        if isinstance(last, Refusal):
            return last
        if isinstance(last, Rejection):
            return refuse(Code.PRIMARY_REFUSED, f'{last.cause}: {last.text}')
        primary = self._runtime.primary
        if primary is None:
            return refuse(Code.NO_PRIMARY, f'service {self._runtime.name}')
        if primary.departure.is_past_cutoff(now):
            return refuse(Code.NO_PRIMARY, 'it has left, and none follows')
        code = Code.QUEUE_TIMEOUT
        if search.is_read:
            code = Code.READ_NOT_POSSIBLE
        return refuse(code, 'no server took it in time')

    async def _weigh_rejection(
        self,
        search: Dispatch,
        ended: FinishedAttempt,
        end: Rejection,
        now: float,
    ) -> Refusal | None:
        handle = ended.target.handle
        if end.cause is RejectionCause.BEHIND and ended.target.floor:
            if Policy.REPLICA_PAUSES in self._runtime.policies:
                handle.lag.record_lag(ended.target.floor, now)
            return None
        if end.cause is RejectionCause.NOT_PRIMARY:
            await self._runtime.leadership_state.clear_primary(
                handle.id, 'it refuses changes'
            )
            return await self._rest(search, ended.target)
        if end.cause.is_not_run:
            return await self._rest(search, ended.target)
        if search.is_read and self._budget.take():
            return None
        if search.begin is not None:
            return refuse(Code.TRANSACTION_LOST, end.text)
        code = (
            Code.TIMED_OUT
            if end.cause is RejectionCause.TIMED_OUT
            else Code.STATEMENT_FAILED
        )
        return refuse(code, end.text)

    async def _rest(
        self,
        search: Dispatch,
        target: Target,
    ) -> Refusal | None:
        """Pause unless another server is left that may run the statement."""
        if not target.is_primary:
            # The next replica, or the primary if there is none.
            return None
        search.excluded_servers.clear()
        now = await curio.clock()
        if now + search.pause >= search.deadline:
            return self.give_up(search, now)
        await curio.sleep(search.pause)
        search.pause = min(search.pause * 2, LONGEST_PAUSE)
        return None
