"""A fair queue for the connections of one database.

A free connection goes to the waiting group with the fewest connections in
proportion to its weight; among equals, to the group that has used the least
connection time.

Within a group, requests that can still be answered in time go first, and
workspaces take turns (`load.queueing`).

A group may borrow connections beyond its share.  Connections that other groups
needed recently, up to their shares, are reserved for them.  This demand decays
within seconds, so a group that is alone can use every connection.
"""

import math
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.load.queueing import (
    can_queue_late,
    compute_retry_after,
    count_ahead,
    count_own_ahead,
    select_next,
)
from deckdrum.outcomes import Code, Refusal, refuse

#: Time in which a group's demand decays by half.
_DEMAND_HALF_LIFE_S: Final = 1.0
#: Smoothing factor of the average time for which a connection is held.
_HOLD_TIME_SMOOTHING: Final = 0.05
#: Interval at which a waiting request checks whether demand has decayed.
_RECHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class GroupShare:
    """The configured share of a member group."""

    weight: float = 1
    max_waiters: int = 200


@dataclass(slots=True, eq=False)
class Permit:
    """The right to use one connection, until `FairQueue.release`."""

    group: str
    granted_at: float
    owner: str = ''
    is_released: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    group: str
    #: Latest start that meets the objective, in kernel seconds.
    deadline: float
    #: Workspace that it belongs to; empty if there are none.
    owner: str
    ready: Any = field(default_factory=curio.Event)
    permit: Permit | None = None


@dataclass(slots=True)
class _Account:
    """State of one group.

    `held_by_owner` counts connections in use by workspace, and `used` sums up
    connection time in seconds.  `demand` is the number of connections recently
    needed at a time, as of `demand_at` in kernel seconds.
    """

    share: GroupShare
    held: int = 0
    held_by_owner: Counter[str] = field(default_factory=Counter)
    used: float = 0
    demand: float = 0
    demand_at: float = 0
    waiting: deque[_Waiter] = field(default_factory=deque)

    @property
    def deadlines(self) -> list[float]:
        """Latest start of each waiter, in order of arrival."""
        return [waiter.deadline for waiter in self.waiting]

    @property
    def own_ahead(self) -> list[int]:
        """How many of its own workspace are ahead of each waiter."""
        owners = [waiter.owner for waiter in self.waiting]
        return count_own_ahead(owners, self.held_by_owner)

    def count_ahead(self, owner: str, now: float) -> int:
        """Return how many waiters are ahead of a new one of a workspace."""
        own_waiting = sum(waiter.owner == owner for waiter in self.waiting)
        own_ahead_of_new = self.held_by_owner[owner] + own_waiting
        return count_ahead(
            self.deadlines, self.own_ahead, own_ahead_of_new, now
        )

    def pop_next(self, now: float) -> _Waiter:
        """Remove and return the waiter that is served next."""
        index = select_next(self.deadlines, self.own_ahead, now)
        waiter = self.waiting[index]
        del self.waiting[index]
        return waiter

    def record_demand(self, now: float) -> None:
        """Update the demand for a new request."""
        requested = self.held + len(self.waiting) + 1
        self.demand = max(requested, self.compute_demand(now))
        self.demand_at = now

    def compute_demand(self, now: float) -> float:
        """Return the decayed demand, in connections."""
        age = now - self.demand_at
        decay = math.exp2(-age / _DEMAND_HALF_LIFE_S)
        return self.demand * decay

    def rank(self) -> tuple[float, float]:
        """Return the sort key by which groups are served, the least first."""
        weight = self.share.weight
        return (self.held + 1) / weight, self.used / weight


class FairQueue:
    """Shares `slots` connections between member groups.

    Groups that are not in `shares` get the default share.
    """

    def __init__(self, slots: int, shares: Mapping[str, GroupShare]) -> None:
        self.slots = slots
        self._shares = dict(shares)
        self._accounts: dict[str, _Account] = {}
        self._average_hold_time: float = 0
        #: Permits granted and requests rejected so far.
        self.granted_count = 0
        self.rejected = 0

    @property
    def held(self) -> int:
        """Connections in use."""
        return sum(account.held for account in self._accounts.values())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(each.waiting) for each in self._accounts.values())

    @property
    def is_busy(self) -> bool:
        """Whether a request might have to wait."""
        return self.held >= self.slots or self.waiting > 0

    def count_held(self, group: str) -> int:
        """Return how many connections `group` uses."""
        return self._get_account(group).held

    def must_return_connection(self, group: str) -> bool:
        """Return whether `group` borrows while another waits for its share."""
        borrower = self._get_account(group)
        if borrower.held <= self._count_share(borrower):
            return False
        return any(
            account.waiting and account.held < self._count_share(account)
            for account in self._accounts.values()
            if account is not borrower
        )

    async def resize(
        self,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Apply a new configuration; connections in use are kept."""
        self.slots = slots
        self._shares = dict(shares)
        for group, account in self._accounts.items():
            account.share = self._shares.get(group, GroupShare())
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
            requests wait already.
        """
        account = self._get_account(group)
        now = await curio.clock()
        account.record_demand(now)
        if not account.waiting and self._can_grant(account, now):
            return self._grant(account, group, owner, now)
        if len(account.waiting) >= account.share.max_waiters:
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
        waiter = _Waiter(group, now + on_time_wait, owner)
        account.waiting.append(waiter)
        try:
            await self._wait_in_time(waiter, account, timeout, on_time_wait)
        except curio.CancelledError:
            await self._abandon(account, waiter)
            raise
        if waiter.permit is None:
            account.waiting.remove(waiter)
            reason = 'has no connection free'
            return await self._refuse(
                Code.QUEUE_TIMEOUT, account, owner, reason
            )
        return waiter.permit

    async def release(self, permit: Permit) -> None:
        """Return a connection; a second call does nothing."""
        if permit.is_released:
            return
        permit.is_released = True
        account = self._get_account(permit.group)
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

    def _get_account(self, group: str) -> _Account:
        account = self._accounts.get(group)
        if account is None:
            account = _Account(self._shares.get(group, GroupShare()))
            # A new group starts level with the group that has used least.
            account.used = min(
                (each.used for each in self._accounts.values()),
                default=0,
            )
            self._accounts[group] = account
        return account

    def _estimate_wait(
        self,
        account: _Account,
        owner: str,
        now: float,
    ) -> float:
        """Return the expected wait of a new request, in seconds."""
        waiters_ahead = account.count_ahead(owner, now)
        return (
            waiters_ahead
            * self._average_hold_time
            / self._count_connections(account)
        )

    def _can_queue_late(self, account: _Account, now: float) -> bool:
        """Return whether one more late request of a group may wait."""
        connections = self._count_connections(account)
        return can_queue_late(account.deadlines, now, connections)

    def _count_connections(self, account: _Account) -> int:
        """Return the number of connections that serve a group's waiters."""
        return max(account.held, self._count_share(account))

    async def _refuse(
        self,
        code: Code,
        account: _Account,
        owner: str,
        reason: str,
    ) -> Refusal:
        """Return a refusal with the time after which to retry."""
        now = await curio.clock()
        wait = (
            self._estimate_wait(account, owner, now) + self._average_hold_time
        )
        self.rejected += 1
        retry_after = compute_retry_after(wait, self.rejected)
        return refuse(code, f'the group {reason}', retry_after)

    def _can_grant(self, account: _Account, now: float) -> bool:
        """Return whether a group may be granted a connection."""
        free = self.slots - self.held
        if free <= 0:
            return False
        if account.held < self._count_share(account):
            return True
        return free > self._count_reserved(account, now)

    def _count_share(self, account: _Account) -> int:
        """Return a group's share in connections, at least one."""
        weights = [share.weight for share in self._shares.values()]
        total_weight = sum(weights) or account.share.weight
        return max(1, int(self.slots * account.share.weight / total_weight))

    def _count_reserved(self, borrower: _Account, now: float) -> int:
        """Return how many free connections are reserved for other groups."""
        reserved = 0
        for account in self._accounts.values():
            if account is not borrower:
                demand = round(account.compute_demand(now))
                own_demand = min(demand, self._count_share(account))
                reserved += max(0, own_demand - account.held)
        return reserved

    def _grant(
        self,
        account: _Account,
        group: str,
        owner: str,
        now: float,
    ) -> Permit:
        account.held += 1
        account.held_by_owner[owner] += 1
        self.granted_count += 1
        return Permit(group, now, owner)

    async def _wait_in_time(
        self,
        waiter: _Waiter,
        account: _Account,
        timeout: float,
        on_time_wait: float,
    ) -> None:
        """Wait for a permit; once late, only if few other requests are."""
        await self._wait(waiter, min(timeout, on_time_wait))
        if waiter.permit is not None or timeout <= on_time_wait:
            return
        now = await curio.clock()
        others = [
            each.deadline for each in account.waiting if each is not waiter
        ]
        if can_queue_late(others, now, self._count_connections(account)):
            await self._wait(waiter, timeout - on_time_wait)

    async def _wait(self, waiter: _Waiter, timeout: float) -> None:
        """Wait for a permit, rechecking as the demand of others decays."""
        async with curio.ignore_after(timeout):
            while waiter.permit is None:
                async with curio.ignore_after(_RECHECK_INTERVAL_S):
                    await waiter.ready.wait()
                await self._dispatch()

    async def _abandon(self, account: _Account, waiter: _Waiter) -> None:
        if waiter.permit is None:
            account.waiting.remove(waiter)
        else:
            await self.release(waiter.permit)

    async def _dispatch(self) -> None:
        now = await curio.clock()
        while True:
            ready = [
                each
                for each in self._accounts.values()
                if each.waiting and self._can_grant(each, now)
            ]
            if not ready:
                return
            account = min(ready, key=_Account.rank)
            waiter = account.pop_next(now)
            waiter.permit = self._grant(
                account,
                waiter.group,
                waiter.owner,
                now,
            )
            await waiter.ready.set()
