"""Accounts of the groups that share the connections of one database."""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.load.queueing import (
    count_ahead,
    count_own_ahead,
    find_crowded_out,
    select_next,
)
from deckdrum.load.urgency import (
    DEFAULT_PRIORITY,
    GUARANTEED_INTERVAL,
    Contender,
    QueuedRequest,
    count_ahead_by_urgency,
    find_displaced,
    limit_reserved,
    select_account,
)

#: Group of the proxy's own commands, which are as urgent as the most urgent
#: statements: without them the primary's term cannot be confirmed.
COMMAND_GROUP: Final = ''
#: Prefix of the group of a connection that is lent for a group of another node.
LOAN_PREFIX: Final = 'loan:'
#: Time in which a group's demand decays by half.
_DEMAND_HALF_LIFE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class GroupShare:
    """The configured share of a member group.

    `priority` is 0 for the most urgent; None if it does not matter.
    """

    weight: float = 1
    max_waiters: int = 200
    priority: int | None = None


@dataclass(slots=True, eq=False)
class Permit:
    """The right to use one connection, until `FairQueue.release`."""

    group: str
    granted_at: float
    owner: str = ''
    is_released: bool = False


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a connection."""

    group: str
    #: Latest start that meets the objective, in kernel seconds.
    deadline: float
    #: Workspace that it belongs to; empty if there are none.
    owner: str
    ready: Any = field(default_factory=curio.Event)
    permit: Permit | None = None
    #: Why another request has displaced it; empty if none has.
    displaced_by: str = ''


@dataclass(slots=True)
class Account:
    """State of one group.

    `held_by_owner` counts connections in use by workspace, and `used` sums up
    connection time in seconds.  `demand` is the number of connections recently
    needed at a time, as of `demand_at` in kernel seconds.  `passed_over` counts
    connections granted to more urgent accounts while this one waited, since it
    last got one.
    """

    share: GroupShare
    priority: int = DEFAULT_PRIORITY
    passed_over: int = 0
    held: int = 0
    held_by_owner: Counter[str] = field(default_factory=Counter)
    used: float = 0
    demand: float = 0
    demand_at: float = 0
    waiting: deque[Waiter] = field(default_factory=deque)

    @property
    def deadlines(self) -> list[float]:
        """Latest start of each waiter, in order of arrival."""
        return [waiter.deadline for waiter in self.waiting]

    @property
    def own_ahead(self) -> list[int]:
        """How many of its own workspace are ahead of each waiter."""
        owners = [waiter.owner for waiter in self.waiting]
        return count_own_ahead(owners, self.held_by_owner)

    def count_own_ahead(self, owner: str) -> int:
        """Return how many of its own workspace are ahead of a new one."""
        own_waiting = sum(waiter.owner == owner for waiter in self.waiting)
        return self.held_by_owner[owner] + own_waiting

    def count_ahead(self, owner: str, now: float) -> int:
        """Return how many waiters are ahead of a new one of a workspace."""
        return count_ahead(
            self.deadlines, self.own_ahead, self.count_own_ahead(owner), now
        )

    def find_crowded_out(self, owner: str) -> Waiter | None:
        """Return the last waiter if a new one of a workspace precedes it."""
        index = find_crowded_out(self.own_ahead, self.count_own_ahead(owner))
        return None if index is None else self.waiting[index]

    def list_places(self, now: float) -> list[int]:
        """Return how many of this group are served before each waiter."""
        own_ahead = self.own_ahead
        order = sorted(
            range(len(self.waiting)),
            key=lambda index: (
                self.waiting[index].deadline < now,
                own_ahead[index],
                index,
            ),
        )
        places = [0 for _ in order]
        for place, index in enumerate(order):
            places[index] = place
        return places

    def pop_next(self, now: float) -> Waiter:
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


class Accounts:
    """The accounts of all groups, and which is served next.

    Groups that are not in `shares` get the default share.
    """

    def __init__(self, slots: int, shares: Mapping[str, GroupShare]) -> None:
        self.slots = slots
        self._shares = dict(shares)
        #: Whether groups are served in the order of their priorities.
        self.has_priorities = _has_priorities(shares)
        self._accounts: dict[str, Account] = {}
        #: Grants since the guaranteed minimum of less urgent groups was used.
        self._granted_since_turn = 0

    @property
    def listed(self) -> Collection[Account]:
        """All accounts."""
        return self._accounts.values()

    @property
    def held(self) -> int:
        """Connections in use."""
        return sum(account.held for account in self.listed)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(account.waiting) for account in self.listed)

    def resize(self, slots: int, shares: Mapping[str, GroupShare]) -> None:
        """Apply a new configuration; connections in use are kept."""
        self.slots = slots
        self._shares = dict(shares)
        self.has_priorities = _has_priorities(shares)
        for group, account in self._accounts.items():
            account.share = self._shares.get(group, GroupShare())
            account.priority = self.find_priority(group)

    def get(self, group: str) -> Account:
        """Return the account of a group."""
        account = self._accounts.get(group)
        if account is None:
            account = Account(
                self._shares.get(group, GroupShare()),
                self.find_priority(group),
            )
            # A new group starts level with the group that has used least.
            account.used = min(
                (each.used for each in self._accounts.values()),
                default=0,
            )
            self._accounts[group] = account
        return account

    def find_priority(self, group: str) -> int:
        """Return the priority of a group; a loan has that of its borrower."""
        if group == COMMAND_GROUP:
            return 0
        share = self._shares.get(group.removeprefix(LOAN_PREFIX))
        if share is None or share.priority is None:
            return DEFAULT_PRIORITY
        return share.priority

    def count_waiting(self) -> Counter[int]:
        """Return the number of waiting requests by priority, if there are any.

        Without priorities, nothing is counted.
        """
        waiting: Counter[int] = Counter()
        if self.has_priorities:
            for account in self.listed:
                waiting[account.priority] += len(account.waiting)
        return waiting

    def count_share(self, account: Account) -> int:
        """Return a group's share in connections, at least one."""
        weights = [share.weight for share in self._shares.values()]
        total_weight = sum(weights) or account.share.weight
        return max(1, int(self.slots * account.share.weight / total_weight))

    def count_connections(self, account: Account) -> int:
        """Return the number of connections that serve a group's waiters."""
        return max(account.held, self.count_share(account))

    def can_grant(self, account: Account, now: float) -> bool:
        """Return whether a group may be granted a connection."""
        free = self.slots - self.held
        if free <= 0:
            return False
        if self.has_priorities:
            more_urgent = (
                each for each in self.listed if each.priority < account.priority
            )
            needed = self._count_reserved(more_urgent, now)
            return free > limit_reserved(needed, self.slots)
        if account.held < self.count_share(account):
            return True
        others = (each for each in self.listed if each is not account)
        return free > self._count_reserved(others, now)

    def count_ahead(self, account: Account, owner: str, now: float) -> int:
        """Return how many waiters are ahead of a new one of a workspace."""
        own_ahead = account.count_ahead(owner, now)
        if not self.has_priorities:
            return own_ahead
        others = (
            (each.priority, len(each.waiting))
            for each in self.listed
            if each is not account
        )
        return count_ahead_by_urgency(account.priority, own_ahead, others)

    def record_grant(self, account: Account, owner: str) -> None:
        """Count a connection granted to a workspace of a group."""
        account.held += 1
        account.held_by_owner[owner] += 1
        self._record_passed_over(account)

    def select_next(self, now: float) -> Account | None:
        """Return the group that gets the next connection, if one is free."""
        if self.held >= self.slots:
            return None
        waiting = [each for each in self.listed if each.waiting]
        if not self.has_priorities:
            ready = [each for each in waiting if self.can_grant(each, now)]
            return min(ready, key=Account.rank, default=None)
        contenders = [
            Contender(
                each.priority,
                each.passed_over,
                self.can_grant(each, now),
                each.rank(),
            )
            for each in waiting
        ]
        selected = select_account(contenders, self._granted_since_turn)
        return None if selected is None else waiting[selected]

    def remove_displaced(
        self, priority: int, now: float, interval: float
    ) -> list[Waiter]:
        """Remove the waiters that are late behind a more urgent request.

        Parameters
        ----------
        priority : int
            Priority of the request, which does not wait yet.
        now : float
            Current time, in kernel seconds.
        interval : float
            Expected time between two grants, in seconds.
        """
        if not self.has_priorities:
            return []
        waiters = [
            (account, waiter, place)
            for account in self.listed
            if account.priority > priority and account.waiting
            for waiter, place in zip(
                account.waiting, account.list_places(now), strict=True
            )
        ]
        if not waiters:
            return []
        requests = [
            QueuedRequest(account.priority, place, waiter.deadline)
            for account, waiter, place in waiters
        ]
        first = self.waiting - len(waiters) + 1
        displaced = []
        for index in find_displaced(requests, first, now, interval):
            account, waiter, _ = waiters[index]
            account.waiting.remove(waiter)
            waiter.displaced_by = 'serves more urgent ones first'
            displaced.append(waiter)
        return displaced

    def _count_reserved(self, accounts: Iterable[Account], now: float) -> int:
        """Return how many free connections are reserved for some groups."""
        reserved = 0
        for account in accounts:
            demand = round(account.compute_demand(now))
            own_demand = min(demand, self.count_share(account))
            reserved += max(0, own_demand - account.held)
        return reserved

    def _record_passed_over(self, granted: Account) -> None:
        """Count a grant for the guaranteed minimum of less urgent groups."""
        if granted.passed_over >= GUARANTEED_INTERVAL - 1:
            self._granted_since_turn = 0
        else:
            self._granted_since_turn += 1
        granted.passed_over = 0
        for account in self.listed:
            if account.waiting and account.priority > granted.priority:
                account.passed_over += 1


def _has_priorities(shares: Mapping[str, GroupShare]) -> bool:
    return any(share.priority is not None for share in shares.values())
