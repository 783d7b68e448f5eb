"""A fair queue for the connections of one database.

The free connection goes to the waiting group that holds the fewest
connections for its weight; among equals to the one that has used the least.

Within a group those that can still be in time go first, and workspaces take
turns (`load.waiting`).

Beyond its share a group borrows.  What other groups have lately needed, up to
their shares, is not lent: they find it free.  A need that is not felt again
fades within seconds, so that a group alone uses every connection.
"""

import math
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.load.waiting import (
    can_queue_late,
    compute_retry_after,
    count_before,
    count_own_ahead,
    select_next,
)
from deckdrum.outcomes import Code, Refusal, refuse

#: Time in which a need that is not felt again fades by half, in seconds.
_NEED_HALF_LIFE: Final = 1.0
#: Weight of the latest hold in the usual one.
_HOLD_WEIGHT: Final = 0.05
#: How often a waiting request looks whether needs have faded, in seconds.
_LOOK_AGAIN: Final = 0.25


@dataclass(frozen=True, slots=True)
class GroupShare:
    """What the configuration grants a member group."""

    weight: float = 1
    max_waiting: int = 200


@dataclass(slots=True, eq=False)
class Permit:
    """The right to use one connection; given back by `FairQueue.release`."""

    group: str
    granted_at: float
    owner: str = ''
    spent: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    group: str
    #: Until when it must have its turn to be in time, in kernel seconds.
    due: float
    #: Workspace that it belongs to; empty where there are none.
    owner: str
    ready: Any = field(default_factory=curio.Event)
    permit: Permit | None = None


@dataclass(slots=True)
class _Account:
    """Holdings of one group.

    Connections held, in all and by workspace, seconds used, waiters, and how
    many connections it lately needed at a time (`needed` as of `needed_at`).
    """

    share: GroupShare
    held: int = 0
    held_by_owner: Counter[str] = field(default_factory=Counter)
    used: float = 0
    needed: float = 0
    needed_at: float = 0
    waiting: deque[_Waiter] = field(default_factory=deque)

    @property
    def dues(self) -> list[float]:
        """Until when each waiter must have its turn, in their order."""
        return [waiter.due for waiter in self.waiting]

    @property
    def turns(self) -> list[int]:
        """How many of its own workspace go before each waiter."""
        owners = [waiter.owner for waiter in self.waiting]
        return count_own_ahead(owners, self.held_by_owner)

    def count_before(self, owner: str, now: float) -> int:
        """Return how many waiters go before one more of a workspace."""
        own = sum(waiter.owner == owner for waiter in self.waiting)
        turn = self.held_by_owner[owner] + own
        return count_before(self.dues, self.turns, turn, now)

    def take_next(self, now: float) -> _Waiter:
        """Remove the waiter that is next and return it."""
        place = select_next(self.dues, self.turns, now)
        waiter = self.waiting[place]
        del self.waiting[place]
        return waiter

    def note_need(self, now: float) -> None:
        """Note a request: one connection more than are held is needed."""
        wanted = self.held + len(self.waiting) + 1
        self.needed = max(wanted, self.read_need(now))
        self.needed_at = now

    def read_need(self, now: float) -> float:
        """Return the lately needed connections; fades by halves."""
        age = now - self.needed_at
        faded = math.exp2(-age / _NEED_HALF_LIFE)
        return self.needed * faded

    def rank(self) -> tuple[float, float]:
        """Return the order in which groups are served; the least first."""
        weight = self.share.weight
        return (self.held + 1) / weight, self.used / weight


class FairQueue:
    """Shares a number of connections between member groups.

    Parameters
    ----------
    slots : int
        Connections to share.
    shares : mapping of str to GroupShare
        Declared groups; others get the default share.
    """

    def __init__(self, slots: int, shares: Mapping[str, GroupShare]) -> None:
        #: Connections to share.
        self.slots = slots
        self._shares = dict(shares)
        self._accounts: dict[str, _Account] = {}
        self._usual_hold: float = 0
        #: Permits granted, and requests turned away, so far.
        self.granted_count = 0
        self.turned_away = 0

    @property
    def held(self) -> int:
        """Connections in use."""
        return sum(account.held for account in self._accounts.values())

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(each.waiting) for each in self._accounts.values())

    @property
    def is_busy(self) -> bool:
        """Whether a request might have to wait."""
        return self.held >= self.slots or self.waiting > 0

    def count_held(self, group: str) -> int:
        """Return the connections that `group` uses."""
        return self._find(group).held

    def must_return_connection(self, group: str) -> bool:
        """Tell whether `group` borrows while another waits for its share."""
        borrower = self._find(group)
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
        """Take over a new configuration; held connections stay held."""
        self.slots = slots
        self._shares = dict(shares)
        for group, account in self._accounts.items():
            account.share = self._shares.get(group, GroupShare())
        await self._dispatch()

    async def acquire(
        self,
        group: str,
        limit: float,
        patience: float = math.inf,
        owner: str = '',
    ) -> Permit | Refusal:
        """Wait for a connection.

        Parameters
        ----------
        group : str
            The member group that asks.
        limit : float
            Longest wait in seconds.
        patience : float
            Longest wait after which the request can be answered in time.
        owner : str
            Workspace of the group that takes turns with others.

        Returns
        -------
        Permit or Refusal
            ``QUEUE_FULL`` at once if too many of the group wait already,
            ``QUEUE_TIMEOUT`` after `limit`, or as soon as it is known that its
            turn comes later, or that it is late like enough others.
        """
        account = self._find(group)
        now = await curio.clock()
        account.note_need(now)
        if not account.waiting and self._may_grant(account, now):
            return self._grant(account, group, owner, now)
        if len(account.waiting) >= account.share.max_waiting:
            return await self._refuse(
                Code.QUEUE_FULL, account, owner, 'is full'
            )
        expected = self._expect_wait(account, owner, now)
        is_late = expected > patience and not self._may_be_late(account, now)
        if expected > limit or is_late:
            reason = 'waits too long'
            return await self._refuse(
                Code.QUEUE_TIMEOUT, account, owner, reason
            )
        waiter = _Waiter(group, now + patience, owner)
        account.waiting.append(waiter)
        try:
            await self._wait_in_time(waiter, account, limit, patience)
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
        """Give a connection back; a second call does nothing."""
        if permit.spent:
            return
        permit.spent = True
        account = self._find(permit.group)
        account.held -= 1
        account.held_by_owner[permit.owner] -= 1
        if not account.held_by_owner[permit.owner]:
            del account.held_by_owner[permit.owner]
        hold = await curio.clock() - permit.granted_at
        account.used += hold
        self._usual_hold += (hold - self._usual_hold) * _HOLD_WEIGHT
        await self._dispatch()

    def _find(self, group: str) -> _Account:
        account = self._accounts.get(group)
        if account is None:
            account = _Account(self._shares.get(group, GroupShare()))
            # A newcomer starts level with the least user, not with a credit.
            account.used = min(
                (each.used for each in self._accounts.values()),
                default=0,
            )
            self._accounts[group] = account
        return account

    def _expect_wait(
        self,
        account: _Account,
        owner: str,
        now: float,
    ) -> float:
        """Return the likely wait of one request more, in seconds."""
        ahead = account.count_before(owner, now)
        return ahead * self._usual_hold / self._count_connections(account)

    def _may_be_late(self, account: _Account, now: float) -> bool:
        """Tell whether one more request of a group may wait too long."""
        connections = self._count_connections(account)
        return can_queue_late(account.dues, now, connections)

    def _count_connections(self, account: _Account) -> int:
        """Return the connections that serve a group's waiters."""
        return max(account.held, self._count_share(account))

    async def _refuse(
        self,
        code: Code,
        account: _Account,
        owner: str,
        reason: str,
    ) -> Refusal:
        """Return a refusal that tells when the queue will have emptied."""
        now = await curio.clock()
        wait = self._expect_wait(account, owner, now) + self._usual_hold
        self.turned_away += 1
        retry_after = compute_retry_after(wait, self.turned_away)
        return refuse(code, f'the group {reason}', retry_after)

    def _may_grant(self, account: _Account, now: float) -> bool:
        """Tell whether a group may have one connection more."""
        free = self.slots - self.held
        if free <= 0:
            return False
        if account.held < self._count_share(account):
            return True
        return free > self._count_reserved(account, now)

    def _count_share(self, account: _Account) -> int:
        """Return the connections that belong to a group, at least one."""
        weights = [share.weight for share in self._shares.values()]
        whole = sum(weights) or account.share.weight
        return max(1, int(self.slots * account.share.weight / whole))

    def _count_reserved(self, borrower: _Account, now: float) -> int:
        """Return the free connections that others are likely to need."""
        reserved = 0
        for account in self._accounts.values():
            if account is not borrower:
                need = round(account.read_need(now))
                own = min(need, self._count_share(account))
                reserved += max(0, own - account.held)
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
        limit: float,
        patience: float,
    ) -> None:
        """Wait; once late only if few others are."""
        await self._wait(waiter, min(limit, patience))
        if waiter.permit is not None or limit <= patience:
            return
        now = await curio.clock()
        others = [each.due for each in account.waiting if each is not waiter]
        if can_queue_late(others, now, self._count_connections(account)):
            await self._wait(waiter, limit - patience)

    async def _wait(self, waiter: _Waiter, limit: float) -> None:
        """Wait for a permit; needs of others that fade free connections."""
        async with curio.ignore_after(limit):
            while waiter.permit is None:
                async with curio.ignore_after(_LOOK_AGAIN):
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
                if each.waiting and self._may_grant(each, now)
            ]
            if not ready:
                return
            account = min(ready, key=_Account.rank)
            waiter = account.take_next(now)
            waiter.permit = self._grant(
                account,
                waiter.group,
                waiter.owner,
                now,
            )
            await waiter.ready.set()
