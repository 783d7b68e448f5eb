"""A fair queue for the connections of one database.

A free connection goes to the waiting group with the fewest connections in
proportion to its weight; among equals, to the group that has used the least
connection time.

Within a group, requests that can still be answered in time go first, and
workspaces take turns (`load.queueing`).

A group may borrow connections beyond its share.  Connections that other groups
needed recently, up to their shares, are reserved for them.  This demand decays
within seconds, so a group that is alone can use every connection.

If a share has a priority, the most urgent groups are served first instead, and
the others have a guaranteed minimum (`load.urgency`).
"""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

import curio

from deckdrum.load.queueing import can_queue_late, compute_retry_after
from deckdrum.members.accounts import (
    Account,
    Accounts,
    GroupShare,
    Permit,
    Waiter,
)
from deckdrum.outcomes import Code, Refusal, refuse

#: Values of the label `place` of rejected requests.
_AT_ARRIVAL: Final = 'queue'
_DISPLACED: Final = 'displaced'
#: Smoothing factor of the average time for which a connection is held.
_HOLD_TIME_SMOOTHING: Final = 0.05
#: Interval at which a waiting request checks whether demand has decayed.
_RECHECK_INTERVAL_S: Final = 0.25


class FairQueue:
    """Shares `slots` connections between member groups.

    Groups that are not in `shares` get the default share.
    """

    def __init__(self, slots: int, shares: Mapping[str, GroupShare]) -> None:
        self._accounts = Accounts(slots, shares)
        self._average_hold_time: float = 0
        #: Rejected requests by priority and place, if there are priorities.
        self.turned_away: Counter[tuple[int, str]] = Counter()
        #: Permits granted and requests rejected so far.
        self.granted_count = 0
        self.rejected = 0

    @property
    def slots(self) -> int:
        """Number of connections."""
        return self._accounts.slots

    @property
    def held(self) -> int:
        """Connections in use."""
        return self._accounts.held

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._accounts.waiting

    @property
    def is_busy(self) -> bool:
        """Whether a request might have to wait."""
        return self.held >= self.slots or self.waiting > 0

    def count_waiting(self) -> Counter[int]:
        """Return the number of waiting requests by priority, if there are any.

        Without priorities, nothing is counted.
        """
        return self._accounts.count_waiting()

    def must_wait(self, group: str) -> bool:
        """Return whether a request of `group` might have to wait."""
        if not self._accounts.has_priorities:
            return self.is_busy
        if self.held >= self.slots:
            return True
        priority = self._accounts.find_priority(group)
        return any(
            account.waiting and account.priority <= priority
            for account in self._accounts.listed
        )

    def count_held(self, group: str) -> int:
        """Return how many connections `group` uses."""
        return self._accounts.get(group).held

    def must_return_connection(self, group: str) -> bool:
        """Return whether `group` borrows while another waits for its share."""
        borrower = self._accounts.get(group)
        if borrower.held <= self._accounts.count_share(borrower):
            return False
        return any(
            account.waiting
            and account.held < self._accounts.count_share(account)
            for account in self._accounts.listed
            if account is not borrower
        )

    async def resize(
        self,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Apply a new configuration; connections in use are kept."""
        self._accounts.resize(slots, shares)
        await self._dispatch()

    async def acquire(
        self,
        group: str,
        timeout: float,
        on_time_wait: float = math.inf,
        owner: str = '',
    ) -> Permit | Refusal:
        """Wait for a connection.

        Parameters
        ----------
        group : str
            Member group of the request.
        timeout : float
            Longest wait, in seconds.
        on_time_wait : float
            Longest wait that still meets the objective, in seconds.
        owner : str
            Workspace of the request; workspaces of a group take turns.

        Returns
        -------
        Permit or Refusal
            ``QUEUE_FULL`` at once if too many of the group wait already;
            ``QUEUE_TIMEOUT`` after `timeout`, or earlier if the wait is
            expected to be longer, or the request is late and enough late
            requests wait already, or a more urgent request displaces it.
        """
        account = self._accounts.get(group)
        now = await curio.clock()
        account.record_demand(now)
        if self._accounts.has_priorities and self.waiting:
            # Reservations may have expired since these were last checked.
            await self._dispatch()
        if not account.waiting and self._accounts.can_grant(account, now):
            permit = self._grant(account, group, owner, now)
            if self._accounts.has_priorities:
                # The next connection may be due to a less urgent group.
                await self._dispatch()
            return permit
        is_full = len(account.waiting) >= account.share.max_waiters
        crowded_out = None
        if is_full and self._accounts.has_priorities:
            crowded_out = account.find_crowded_out(owner)
        if is_full and crowded_out is None:
            return await self._refuse(
                Code.QUEUE_FULL, account, owner, 'is full'
            )
        expected = self._estimate_wait(account, owner, now)
        is_late = expected > on_time_wait and not self._can_queue_late(
            account, now
        )
        if expected > timeout or is_late:
            reason = 'waits too long'
            return await self._refuse(
                Code.QUEUE_TIMEOUT, account, owner, reason
            )
        if crowded_out is not None:
            account.waiting.remove(crowded_out)
            crowded_out.displaced_by = 'is full of requests of this workspace'
            await crowded_out.ready.set()
        await self._displace_less_urgent(account.priority, now)
        waiter = Waiter(group, now + on_time_wait, owner)
        account.waiting.append(waiter)
        try:
            await self._wait_in_time(waiter, account, timeout, on_time_wait)
        except BaseException:
            await self._abandon(account, waiter)
            raise
        return waiter.permit or await self._refuse_waiter(account, waiter)

    async def release(self, permit: Permit) -> None:
        """Return a connection; a second call does nothing."""
        if permit.is_released:
            return
        permit.is_released = True
        account = self._accounts.get(permit.group)
        account.held -= 1
        account.held_by_owner[permit.owner] -= 1
        if not account.held_by_owner[permit.owner]:
            del account.held_by_owner[permit.owner]
        hold_time = await curio.clock() - permit.granted_at
        account.used += hold_time
        self._average_hold_time += (
            hold_time - self._average_hold_time
        ) * _HOLD_TIME_SMOOTHING
        await self._dispatch()

    def _estimate_wait(
        self,
        account: Account,
        owner: str,
        now: float,
    ) -> float:
        """Return the expected wait of a new request, in seconds."""
        ahead = self._accounts.count_ahead(account, owner, now)
        if self._accounts.has_priorities:
            return ahead * self._grant_interval
        connections = self._accounts.count_connections(account)
        return ahead * self._average_hold_time / connections

    @property
    def _grant_interval(self) -> float:
        """Expected time between two grants while requests wait, in seconds."""
        return self._average_hold_time / max(1, self.held)

    def _can_queue_late(self, account: Account, now: float) -> bool:
        """Return whether one more late request of a group may wait."""
        connections = self._accounts.count_connections(account)
        return can_queue_late(account.deadlines, now, connections)

    async def _displace_less_urgent(self, priority: int, now: float) -> None:
        """Reject waiters that are late behind another request."""
        for waiter in self._accounts.remove_displaced(
            priority, now, self._grant_interval
        ):
            await waiter.ready.set()

    async def _refuse_waiter(self, account: Account, waiter: Waiter) -> Refusal:
        """Return the refusal of a request that has waited."""
        reason = waiter.displaced_by
        if not reason:
            account.waiting.remove(waiter)
            reason = 'has no connection free'
        return await self._refuse(
            Code.QUEUE_TIMEOUT,
            account,
            waiter.owner,
            reason,
            place=_DISPLACED if waiter.displaced_by else _AT_ARRIVAL,
        )

    async def _refuse(
        self,
        code: Code,
        account: Account,
        owner: str,
        reason: str,
        *,
        place: str = _AT_ARRIVAL,
    ) -> Refusal:
        """Return a refusal with the time after which to retry."""
        now = await curio.clock()
        wait = (
            self._estimate_wait(account, owner, now) + self._average_hold_time
        )
        self.rejected += 1
        if self._accounts.has_priorities:
            self.turned_away[account.priority, place] += 1
        retry_after = compute_retry_after(wait, self.rejected)
        return refuse(code, f'the group {reason}', retry_after)

    def _grant(
        self,
        account: Account,
        group: str,
        owner: str,
        now: float,
    ) -> Permit:
        self._accounts.record_grant(account, owner)
        self.granted_count += 1
        return Permit(group, now, owner)

    async def _wait_in_time(
        self,
        waiter: Waiter,
        account: Account,
        timeout: float,
        on_time_wait: float,
    ) -> None:
        """Wait for a permit; once late, only if few other requests are."""
        await self._wait(waiter, min(timeout, on_time_wait))
        is_settled = waiter.permit is not None or waiter.displaced_by
        if is_settled or timeout <= on_time_wait:
            return
        now = await curio.clock()
        others = [
            each.deadline for each in account.waiting if each is not waiter
        ]
        if can_queue_late(
            others, now, self._accounts.count_connections(account)
        ):
            await self._wait(waiter, timeout - on_time_wait)

    async def _wait(self, waiter: Waiter, timeout: float) -> None:
        """Wait for a permit, rechecking as the demand of others decays."""
        async with curio.ignore_after(timeout):
            while waiter.permit is None and not waiter.displaced_by:
                async with curio.ignore_after(_RECHECK_INTERVAL_S):
                    await waiter.ready.wait()
                await self._dispatch()

    async def _abandon(self, account: Account, waiter: Waiter) -> None:
        if waiter.permit is not None:
            await self.release(waiter.permit)
        elif not waiter.displaced_by:
            account.waiting.remove(waiter)

    async def _dispatch(self) -> None:
        now = await curio.clock()
        while True:
            account = self._accounts.select_next(now)
            if account is None:
                return
            waiter = account.pop_next(now)
            waiter.permit = self._grant(
                account,
                waiter.group,
                waiter.owner,
                now,
            )
            await waiter.ready.set()
