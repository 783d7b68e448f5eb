"""A fair queue for the connections of one database.

The free connection goes to the waiting group that holds the fewest
connections for its weight; among equals to the one that has used the least.
A group alone may use every connection; a group that comes back gets the next
connection that is released.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import curio

from deckdrum.outcomes import Code, Refusal, refuse


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
    spent: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    group: str
    ready: Any = field(default_factory=curio.Event)
    permit: Permit | None = None


@dataclass(slots=True)
class _Account:
    """Holdings of one group: connections held, seconds used, and waiters."""

    share: GroupShare
    held: int = 0
    used: float = 0
    waiting: deque[_Waiter] = field(default_factory=deque)

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
        self._slots = slots
        self._shares = dict(shares)
        self._accounts: dict[str, _Account] = {}
        #: Permits granted so far.
        self.granted = 0

    @property
    def held(self) -> int:
        """Connections in use."""
        return sum(account.held for account in self._accounts.values())

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(each.waiting) for each in self._accounts.values())

    @property
    def is_free(self) -> bool:
        """Whether a request would be served at once."""
        return self.held < self._slots and not self.waiting

    def count_held(self, group: str) -> int:
        """Return the connections that `group` uses."""
        return self._find(group).held

    async def resize(
        self,
        slots: int,
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Take over a new configuration; held connections stay held."""
        self._slots = slots
        self._shares = dict(shares)
        for group, account in self._accounts.items():
            account.share = self._shares.get(group, GroupShare())
        await self._dispatch()

    async def acquire(self, group: str, limit: float) -> Permit | Refusal:
        """Wait for a connection.

        Parameters
        ----------
        group : str
            The member group that asks.
        limit : float
            Longest wait in seconds.

        Returns
        -------
        Permit or Refusal
            ``QUEUE_FULL`` at once if too many of the group wait already,
            ``QUEUE_TIMEOUT`` after `limit`.
        """
        account = self._find(group)
        now = await curio.clock()
        if self.is_free:
            return self._grant(account, group, now)
        if len(account.waiting) >= account.share.max_waiting:
            return refuse(Code.QUEUE_FULL, f'group {group}')
        waiter = _Waiter(group)
        account.waiting.append(waiter)
        try:
            async with curio.ignore_after(limit):
                await waiter.ready.wait()
        except curio.CancelledError:
            await self._abandon(account, waiter)
            raise
        if waiter.permit is None:
            account.waiting.remove(waiter)
            return refuse(Code.QUEUE_TIMEOUT, f'group {group}')
        return waiter.permit

    async def release(self, permit: Permit) -> None:
        """Give a connection back; a second call does nothing."""
        if permit.spent:
            return
        permit.spent = True
        account = self._find(permit.group)
        account.held -= 1
        account.used += await curio.clock() - permit.granted_at
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

    def _grant(self, account: _Account, group: str, now: float) -> Permit:
        account.held += 1
        self.granted += 1
        return Permit(group, now)

    async def _abandon(self, account: _Account, waiter: _Waiter) -> None:
        if waiter.permit is None:
            account.waiting.remove(waiter)
        else:
            await self.release(waiter.permit)

    async def _dispatch(self) -> None:
        now = await curio.clock()
        while self.held < self._slots:
            waiting = [each for each in self._accounts.values() if each.waiting]
            if not waiting:
                return
            account = min(waiting, key=_Account.rank)
            waiter = account.waiting.popleft()
            waiter.permit = self._grant(account, waiter.group, now)
            await waiter.ready.set()
