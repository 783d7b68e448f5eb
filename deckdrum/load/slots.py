"""Bounding the statements in flight at a server by its slots.

Addresses a server with few slots that gets statements over many connections of
several nodes: whatever exceeds its slots waits in its own queue in order of
arrival, so urgent statements wait there behind all others.

Each holder owns a *part* of the server's bound, which it may use without asking
anyone.  One holder, the slot coordinator, lends the *spare* rest to holders
whose demand exceeds their part, for a limited time.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from deckdrum.load.urgency import GUARANTEED_INTERVAL

#: Statements in flight beyond the slots, as a fraction of them.  With 10 ms of
#: work and 1.8 ms of round trip, a fifth of the time of a slot is idle unless
#: the next statement is in transit.
TRANSIT_FRACTION: Final = 0.25
#: Fraction of the bound that is divided among the holders for good.  The rest
#: follows demand, since one workspace may have most of the load of a day.
OWNED_FRACTION: Final = 0.6
#: Lifetime of a lease of spare slots, in seconds.  A holder that dies keeps
#: them for this time; statements with an objective of 100 ms are late meanwhile
#: if they need them, but own parts remain usable.
LEASE_LIFETIME_S: Final = 0.25
#: Where less urgent statements wait, one of them is admitted after this many
#: more urgent ones, as in queues for connections.
MAX_PREFERRED_IN_A_ROW: Final = GUARANTEED_INTERVAL - 1


def compute_bound(slots: int, holders: int) -> int:
    """Return how many statements may be in flight at a server.

    Examples
    --------
    >>> compute_bound(slots=4, holders=3), compute_bound(slots=4, holders=9)
    (5, 9)
    """
    return max(slots + max(1, int(slots * TRANSIT_FRACTION)), holders)


def compute_part(slots: int, holders: int) -> int:
    """Return how many of them each holder owns.

    Examples
    --------
    >>> compute_part(slots=4, holders=3), compute_part(slots=16, holders=3)
    (1, 4)
    """
    owned = int(compute_bound(slots, holders) * OWNED_FRACTION)
    return max(1, owned // holders)


def compute_spare(slots: int, holders: int) -> int:
    """Return how many of them no holder owns.

    Examples
    --------
    >>> compute_spare(slots=4, holders=3), compute_spare(slots=4, holders=9)
    (2, 0)
    """
    part = compute_part(slots, holders)
    return compute_bound(slots, holders) - part * holders


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Demand of one holder for the slots of a server.

    Attributes
    ----------
    wanted : int
        Statements in flight or waiting.
    urgent : int
        How many of them have priority 0.
    in_flight : int
        How many of them are in flight.
    """

    wanted: int
    urgent: int = 0
    in_flight: int = 0


def share_spare(
    spare: int,
    part: int,
    demands: Mapping[str, SlotDemand],
) -> dict[str, int]:
    """Divide spare slots by max-min fairness, urgent demand first.

    Parameters
    ----------
    spare : int
        Slots to divide.
    part : int
        Slots that each holder owns and uses for its urgent demand first.
    demands : mapping of str to SlotDemand
        Demand by holder; among equals the first one has precedence.

    Examples
    --------
    >>> demands = {
    ...     'n1': SlotDemand(9),
    ...     'n2': SlotDemand(2),
    ...     'n3': SlotDemand(9),
    ... }
    >>> share_spare(5, 1, demands)
    {'n1': 2, 'n2': 1, 'n3': 2}
    >>> share_spare(2, 1, demands | {'n3': SlotDemand(9, urgent=3)})
    {'n1': 0, 'n2': 0, 'n3': 2}
    """
    shares = dict.fromkeys(demands, 0)
    urgent = {name: each.urgent - part for name, each in demands.items()}
    total = {name: each.wanted - part for name, each in demands.items()}
    for needed in (urgent, total):
        while sum(shares.values()) < spare:
            unmet = [name for name in shares if shares[name] < needed[name]]
            if not unmet:
                break
            shares[min(unmet, key=shares.__getitem__)] += 1
    return shares


@dataclass(frozen=True, slots=True)
class SlotLease:
    """Spare slots that a holder may use until a point in time."""

    amount: int = 0
    end: float = float('-inf')


@dataclass(slots=True)
class _Account:
    """What a slot coordinator knows of one holder.

    `held_since` is when its uninterrupted series of leases began, and
    `granted_at` when the latest one began.
    """

    demand: SlotDemand = SlotDemand(0)
    reported_at: float = float('-inf')
    lease: SlotLease = SlotLease()
    held_since: float = float('-inf')
    granted_at: float = float('-inf')

    def is_holding(self, now: float) -> bool:
        """Return whether it has a lease."""
        return now < self.lease.end

    def is_reported(self, now: float) -> bool:
        """Return whether its demand is recent."""
        return now < self.reported_at + LEASE_LIFETIME_S

    def count_occupied(self, part: int, now: float) -> int:
        """Return how many spare slots it may be using.

        Statements that are in flight beyond the holder's part count until it
        reports that they are answered, also after its lease has ended.
        """
        leased = self.lease.amount if self.is_holding(now) else 0
        running = self.demand.in_flight - part if self.is_reported(now) else 0
        return max(0, running, leased)

    def rank(self, now: float) -> tuple[bool, float]:
        """Return the sort key by which equal demands are served.

        Holders without a lease come first, the one whose lease is longest ago
        before the others.  Of those with a lease, the one that has held it
        longest comes last.  So few spare slots go around, and each stays with a
        holder for at least one lease.
        """
        if self.is_holding(now):
            return True, -self.held_since
        return False, self.granted_at

    def renew(self, granted: int, now: float) -> None:
        """Replace its lease."""
        if not self.is_holding(now):
            self.held_since = now
        self.granted_at = now
        self.lease = SlotLease(granted, now + LEASE_LIFETIME_S)


class SpareLedger:
    """Leases of the spare slots of one server.

    Parameters
    ----------
    slots : int
        Slots of the server.
    holders : int
        Number of holders.
    lends_from : float
        Time before which nothing is lent, because leases of a former
        coordinator may not have ended.

    Examples
    --------
    >>> ledger = SpareLedger(slots=4, holders=3, lends_from=1)
    >>> ledger.lend('n1', SlotDemand(9), now=0.5).amount
    0
    >>> ledger.lend('n1', SlotDemand(9), now=1)
    SlotLease(amount=2, end=1.25)

    A lease is never reduced before its end, since an answer may be lost.  It is
    not prolonged while another holder needs a part of it.

    >>> ledger.lend('n2', SlotDemand(9), now=1.125).amount
    0
    >>> ledger.lend('n1', SlotDemand(9), now=1.125)
    SlotLease(amount=2, end=1.25)
    >>> ledger.lend('n2', SlotDemand(9), now=1.25).amount
    1
    """

    def __init__(self, slots: int, holders: int, lends_from: float) -> None:
        self._part = compute_part(slots, holders)
        self._spare = compute_spare(slots, holders)
        self._lends_from = lends_from
        self._accounts: dict[str, _Account] = {}

    def lend(self, holder: str, demand: SlotDemand, now: float) -> SlotLease:
        """Return a holder's lease, which may be its former one."""
        account = self._accounts.setdefault(holder, _Account())
        account.demand = demand
        account.reported_at = now
        if now < self._lends_from:
            return SlotLease()
        share, free = self._compute_share(holder, now)
        leased = account.lease.amount if account.is_holding(now) else 0
        granted = min(share, max(leased, free))
        if granted >= max(1, leased):
            account.renew(granted, now)
        return account.lease if account.is_holding(now) else SlotLease()

    def count_on_loan(self, now: float, excluded: str = '') -> int:
        """Return how many spare slots other holders than one may be using."""
        return sum(
            account.count_occupied(self._part, now)
            for name, account in self._accounts.items()
            if name != excluded
        )

    def _compute_share(self, holder: str, now: float) -> tuple[int, int]:
        """Return a holder's fair share, and what may be lent to it now.

        Slots that become free are kept for holders that precede it.  Otherwise
        the holder that asks first after the end of a lease would always get it.
        """
        ranks = {
            name: account.rank(now)
            for name, account in self._accounts.items()
            if account.is_reported(now)
        }
        demands = {
            name: self._accounts[name].demand
            for name in sorted(ranks, key=ranks.__getitem__)
        }
        shares = share_spare(self._spare, self._part, demands)
        free = self._spare - self.count_on_loan(now, excluded=holder)
        for name, share in shares.items():
            if name == holder:
                break
            occupied = self._accounts[name].count_occupied(self._part, now)
            free -= max(0, share - occupied)
        return shares[holder], free


@dataclass(frozen=True, slots=True)
class GateEntry:
    """A statement that waits for a slot.

    Attributes
    ----------
    priority : int
        Priority of its route; 0 is the most urgent.
    is_open : bool
        Whether it belongs to an open transaction, which holds a connection.
    """

    priority: int
    is_open: bool = False


def select_admitted(waiting: Sequence[GateEntry], preferred: int) -> int:
    """Return the index of the statement that is admitted next.

    Parameters
    ----------
    waiting : sequence of GateEntry
        Waiting statements in order of arrival.
    preferred : int
        Number of statements in a row that were admitted before less urgent
        ones.

    Examples
    --------
    >>> waiting = [GateEntry(2), GateEntry(1), GateEntry(1, is_open=True)]
    >>> select_admitted(waiting, preferred=0)
    2
    >>> select_admitted(waiting, preferred=7)
    0
    """
    priority = min(entry.priority for entry in waiting)
    if preferred >= MAX_PREFERRED_IN_A_ROW:
        less_urgent = (
            entry.priority for entry in waiting if entry.priority > priority
        )
        priority = next(less_urgent, priority)
    indexes = [
        index
        for index, entry in enumerate(waiting)
        if entry.priority == priority
    ]
    return min(indexes, key=lambda index: not waiting[index].is_open)


def count_preferred(
    waiting: Sequence[GateEntry],
    admitted: int,
    preferred: int,
) -> int:
    """Return the new value of `preferred` after an admission.

    Parameters
    ----------
    waiting : sequence of GateEntry
        Statements that waited, including the admitted one.
    admitted : int
        Index of the admitted one.
    preferred : int
        The former value.

    Examples
    --------
    >>> waiting = [GateEntry(2), GateEntry(0)]
    >>> count_preferred(waiting, 1, 3), count_preferred(waiting, 0, 7)
    (4, 0)
    >>> count_preferred([GateEntry(0)], 0, 3)
    3
    """
    priorities = [entry.priority for entry in waiting]
    if priorities[admitted] > min(priorities):
        return 0
    is_preferred = priorities[admitted] < max(priorities)
    return preferred + 1 if is_preferred else preferred
