"""Sharing a workspace's limit among the coordinators of a panel.

While one coordinator counts alone, the other side of a network partition is
left with a deputy's rate: a workspace with a limit of 131 operations a second
began 700 in 15 s, of 1,965 that its limit allows.  Here each of the k members
of a panel owns a k-th of rate and burst and lends it, under a lease, to the
member that ranks first for a workspace.  While all are in contact, the first
one has the whole limit; in a partition each side has the shares of its own
members.

No share is used by two nodes at a time.  A lease expires at the borrower before
it expires at the lender, a new borrower waits for the leases of others, and a
node that began to use a share starts with no tokens from it.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from deckdrum.utils.ranks import compute_rendezvous_rank

#: How long a share is lent, in seconds: a usual operation has an objective of
#: 0.2 s and a time limit of 0.6 s, in which a retry finds the new borrower.
LEASE_S: Final = 0.4
#: Time before its start for which a new member lends its share: a process takes
#: at least that long to start, and nobody uses the share meanwhile.  Callers
#: that retry after a restart of all nodes need these tokens at once.
START_UP_TIME_S: Final = 0.2
#: How long a member that reaches less than half of the others uses its share,
#: in seconds: others mark it as gone and replace it after 10 s.
CUT_OFF_TIMEOUT_S: Final = 8.0
_LONG_AGO: Final = float('-inf')
_RANK_KEY: Final = 'limits'
#: Members of a panel in each data centre.
_MEMBERS_PER_DATA_CENTRE: Final = 2


def form_panels(coordinators: Mapping[str, str]) -> list[tuple[str, ...]]:
    """Return the panels of some coordinators, two of each data centre.

    Parameters
    ----------
    coordinators : mapping of str to str
        Data centres by the names of the coordinators.

    Examples
    --------
    >>> form_panels({'n1': 'a', 'n2': 'a', 'n3': 'b', 'n4': 'b'})
    [('n1', 'n2', 'n3', 'n4')]
    >>> len(form_panels({'n1': 'a', 'n2': 'a', 'n3': 'a', 'n4': 'b'}))
    3
    """
    by_data_centre: defaultdict[str, list[str]] = defaultdict(list)
    for name in sorted(
        coordinators, key=partial(compute_rendezvous_rank, _RANK_KEY)
    ):
        by_data_centre[coordinators[name]].append(name)
    count = max(map(len, by_data_centre.values()), default=0)
    # With two in each data centre, the second panel equals the first one.
    if count <= _MEMBERS_PER_DATA_CENTRE:
        count = min(count, 1)
    return [
        _form_panel(number, list(by_data_centre.values()))
        for number in range(count)
    ]


def _form_panel(number: int, ranked: Sequence[list[str]]) -> tuple[str, ...]:
    """Return the members of a panel, from the ranking of each data centre."""
    members = {
        names[(number + step) % len(names)]
        for names in ranked
        for step in range(_MEMBERS_PER_DATA_CENTRE)
    }
    return tuple(sorted(members))


def select_panel(
    workspace: str, panels: Sequence[tuple[str, ...]]
) -> tuple[str, ...]:
    """Return the panel of a workspace.

    Examples
    --------
    >>> select_panel('growers', [('n1', 'n2'), ('n2', 'n3')])
    ('n1', 'n2')
    >>> select_panel('growers', [])
    ()
    """
    numbers = sorted(
        range(len(panels)),
        key=lambda number: compute_rendezvous_rank(workspace, str(number)),
    )
    return panels[numbers[0]] if numbers else ()


@dataclass(frozen=True, slots=True)
class Loan:
    """Terms on which a share is lent; times are in seconds.

    Attributes
    ----------
    usable_after : float
        Time until it may be used, from the arrival of the answer; negative if
        nobody has used it for that time.
    lifetime : float
        Time for which it is lent, from the sending of the request.
    lent_to : tuple of str
        Other nodes to which it is lent.
    """

    usable_after: float
    lifetime: float
    lent_to: tuple[str, ...]


class OwnShare:
    """The share that a member of a panel owns and lends.

    Parameters
    ----------
    since : float
        When the node became a member, in kernel seconds.  It does not know what
        a former process under its name has lent until then.

    Examples
    --------
    >>> share = OwnShare(since=0)
    >>> share.lend('n1', now=1)
    Loan(usable_after=0, lifetime=0.4, lent_to=())
    >>> share.lend('n2', now=1.25)
    Loan(usable_after=0.1499..., lifetime=0.4, lent_to=('n1',))
    >>> share.find_since(['n1'], now=1.25)
    >>> share.find_since(['n1'], now=1.5)
    1.4
    """

    def __init__(self, since: float) -> None:
        self._free_from = since + LEASE_S
        #: Start of use and end of each lease, by borrower.
        self._leases: dict[str, tuple[float, float]] = {}

    def lend(
        self, borrower: str, now: float, members: Collection[str] = ()
    ) -> Loan:
        """Lend the share, or renew the lease of a borrower.

        A new process lends at once: starting it takes about as long as a lease
        of the former process lasts.  It cannot know which other members run, so
        it lists all of them; otherwise, after a restart of all nodes, each
        borrower would wait for the lease of the one that asked first.

        Parameters
        ----------
        borrower : str
            Name of the node that asks.
        now : float
            Current time, in kernel seconds.
        members : collection of str
            Other members of the panels.
        """
        is_new = now < self._free_from and borrower in members
        listed = set(self.list_borrowers(now))
        if is_new:
            listed.update(members)
        listed.discard(borrower)
        usable_from, expires_at = self._leases.get(borrower, (now, _LONG_AGO))
        if expires_at <= now:
            ends = [
                self._leases[name][1] for name in listed & self._leases.keys()
            ]
            usable_from = max([now, *ends])
            if is_new:
                usable_from = self._free_from - LEASE_S - START_UP_TIME_S
        self._leases[borrower] = (usable_from, now + LEASE_S)
        return Loan(usable_from - now, LEASE_S, tuple(sorted(listed)))

    def list_borrowers(self, now: float) -> list[str]:
        """Return the nodes to which the share is lent."""
        return [
            name
            for name, (_, expires_at) in self._leases.items()
            if expires_at > now
        ]

    def find_since(self, preceding: Iterable[str], now: float) -> float | None:
        """Return since when the owner may use the share, None if it may not.

        Parameters
        ----------
        preceding : iterable of str
            Nodes that precede the owner for a workspace, or that are not known
            to follow it.
        now : float
            Current time, in kernel seconds.
        """
        ends = [
            self._leases[name][1] for name in preceding if name in self._leases
        ]
        since = max([self._free_from, *ends])
        return since if since <= now else None


class BorrowedShare:
    """The share of another member, as its borrower knows it.

    Examples
    --------
    >>> share = BorrowedShare()
    >>> share.renew(Loan(0, 0.4, ()), sent_at=1.0, now=1.01)
    >>> share.find_since(['n1'], now=1.02)
    1.01

    Another node to which it is lent as well waits until the former lease ends:

    >>> share.renew(Loan(0, 0.4, ('n1',)), sent_at=1.15, now=1.16)
    >>> share.find_since(['n1'], now=1.3), share.find_since(['n1'], now=1.41)
    (1.01, None)
    >>> share.find_since([], now=1.41)
    1.01
    """

    def __init__(self) -> None:
        #: When the lease ends, in kernel seconds.
        self.expires_at: float = _LONG_AGO
        self._usable_from: float = _LONG_AGO
        #: Other borrowers, with the end of the last lease without them.
        self._listed: dict[str, float] = {}
        self._sent_at: float = _LONG_AGO
        #: When the lender last stopped to lend to others, by their names.
        self._cleared_at: dict[str, float] = {}

    @property
    def lent_to(self) -> Collection[str]:
        """Other nodes to which the lender has lent the share."""
        return self._listed.keys()

    def renew(self, loan: Loan, sent_at: float, now: float) -> None:
        """Apply the answer to a request that was sent at `sent_at`."""
        if sent_at < self._sent_at:
            # A later request has been answered already.
            return
        self._sent_at = sent_at
        is_continued = self.expires_at > now
        if loan.usable_after or not is_continued:
            # A lender that has started again may have lent it to others.
            self._usable_from = now + loan.usable_after
        former_end = self.expires_at if is_continued else _LONG_AGO
        cleared = self._listed.keys() - set(loan.lent_to)
        self._cleared_at.update(dict.fromkeys(cleared, now))
        self._listed = {
            name: self._listed.get(name, former_end) for name in loan.lent_to
        }
        self.expires_at = sent_at + loan.lifetime

    def find_since(self, preceding: Iterable[str], now: float) -> float | None:
        """Return since when the share may be used, None if it may not be.

        Parameters
        ----------
        preceding : iterable of str
            Nodes that precede the borrower for a workspace, or that are not
            known to follow it.
        now : float
            Current time, in kernel seconds.
        """
        since = self._usable_from
        for name in preceding:
            if now >= self._listed.get(name, now + 1):
                return None
            since = max(since, self._cleared_at.get(name, _LONG_AGO))
        return since if since <= now < self.expires_at else None


class PeerContact:
    """When another member last answered.

    Parameters
    ----------
    since : float
        When it became a member, in kernel seconds.
    """

    def __init__(self, since: float) -> None:
        #: When it was last reached, in kernel seconds.
        self.reached_at = since

    def record_answer(self, sent_at: float) -> None:
        """Record that the member answered a request."""
        self.reached_at = max(self.reached_at, sent_at)


def is_cut_off(contacts: Sequence[PeerContact], now: float) -> bool:
    """Return whether a member has reached too few others for too long.

    Examples
    --------
    >>> contacts = [PeerContact(since) for since in (1, 8, 9)]
    >>> is_cut_off(contacts, now=15), is_cut_off(contacts, now=17)
    (False, True)
    >>> is_cut_off([], now=17)
    False
    """
    if not contacts:
        return False
    times = sorted((contact.reached_at for contact in contacts), reverse=True)
    # The last moment by which at least half of the others were reached since.
    half_reached_at = times[(len(times) + 1) // 2 - 1]
    return now - half_reached_at > CUT_OFF_TIMEOUT_S
