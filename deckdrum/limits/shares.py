"""Exchange of shares of the limits between the members of a panel."""

from collections.abc import Collection, Sequence
from typing import Final

import curio

from deckdrum.control import ControlView, Member
from deckdrum.fleet.limit_messages import AskLimitShare, LimitShareAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.limit_shares import (
    LEASE_S,
    BorrowedShare,
    Loan,
    OwnShare,
    PeerContact,
    form_panels,
    is_cut_off,
    select_panel,
)
from deckdrum.load.rate_limits import rank_coordinators
from deckdrum.utils import Journal

#: Time between two requests to the same member: a lease survives the loss of
#: one answer.
ASK_INTERVAL_S: Final = 0.15
#: How long a new node looks often whether it is a member of a panel.  After a
#: restart of all nodes every limit waits for that.
START_TIMEOUT_S: Final = 2.0
_START_POLL_INTERVAL_S: Final = 0.02
_NOT_LENT: Final = LimitShareAnswer(is_lent=False)


class LimitShares:
    """Shares of the limits that a node owns and borrows.

    It is active where a route is urgent, unless a coordinator is of an earlier
    version, which knows no shares and publishes no capacity.

    `view` has the current configuration, and `journal` logs shares that are
    lost and regained.
    """

    def __init__(
        self,
        node: str,
        view: ControlView,
        peers: NodePeers,
        journal: Journal,
    ) -> None:
        #: Whether coordinators form panels instead of counting alone.
        self.is_active = False
        #: Whether the node is shutting down, so that it borrows no more.
        self.is_stopping = False
        #: Part of a limit that this node holds where it ranks first.
        self.held_fraction: float = 0
        #: Number of nodes to which the own share is lent.
        self.lent_count = 0
        self._node = node
        self._view = view
        self._peers = peers
        self._journal = journal
        self._coordinators: frozenset[str] = frozenset()
        self._panels: list[tuple[str, ...]] = []
        self._own: OwnShare | None = None
        self._borrowed: dict[str, BorrowedShare] = {}
        self._contacts: dict[str, PeerContact] = {}
        #: Members whose shares have been lost since they were first lent.
        self._lost: set[str] = set()

    def apply_coordinators(
        self, coordinators: Collection[Member], now: float
    ) -> bool:
        """Form the panels; return whether they have changed."""
        configuration = self._view.configuration
        is_active = (
            configuration is not None
            and configuration.has_urgent_routes
            and all(member.capacity for member in coordinators)
        )
        self.is_active = is_active
        data_centres = {
            member.name: member.data_centre
            for member in coordinators
            if is_active
        }
        self._coordinators = frozenset(data_centres)
        panels = form_panels(data_centres)
        has_changed = panels != self._panels
        self._panels = panels
        self._apply_membership(now)
        return has_changed

    def rank(self, workspace: str) -> list[str]:
        """Return the members of a workspace's panel, the first one first."""
        panel = select_panel(workspace, self._panels)
        return rank_coordinators(workspace, panel)

    def list_usable(self, ranked: Sequence[str], now: float) -> list[float]:
        """Return since when this node may use each share of a workspace.

        `ranked` lists the members of the workspace's panel.
        """
        if self._own is None or self._node not in ranked:
            return []
        position = ranked.index(self._node)
        preceding = ranked[:position]
        others = [*preceding, *ranked[position + 1 :]]
        contacts = [self._contacts[name] for name in others]
        found = [
            self._borrowed[name].find_since(
                self._add_unknown(preceding, self._borrowed[name].lent_to), now
            )
            for name in ranked[position + 1 :]
        ]
        if not is_cut_off(contacts, now):
            borrowers = self._own.list_borrowers(now)
            found.append(
                self._own.find_since(
                    self._add_unknown(preceding, borrowers), now
                )
            )
        return [since for since in found if since is not None]

    def find_holder(self, ranked: Sequence[str], now: float) -> str | None:
        """Return the node to ask for a workspace of which this has no share."""
        if self._own is None or self._node not in ranked:
            candidates = set(ranked)
        else:
            candidates = set(self._own.list_borrowers(now))
            for share in self._borrowed.values():
                candidates.update(share.lent_to)
        candidates.discard(self._node)
        for name in ranked:
            is_responsive = not self._peers.health.is_unresponsive(name)
            if name in candidates and is_responsive:
                return name
        return None

    async def answer(self, request: AskLimitShare) -> LimitShareAnswer:
        """Lend the own share to another member."""
        now = await curio.clock()
        is_member = request.borrower in self._contacts
        contacts = list(self._contacts.values())
        if self._own is None or not is_member or is_cut_off(contacts, now):
            return _NOT_LENT
        loan = self._own.lend(request.borrower, now, self._contacts.keys())
        return LimitShareAnswer(
            is_lent=True,
            usable_after=loan.usable_after,
            lifetime=loan.lifetime,
            lent_to=loan.lent_to,
        )

    async def run(self) -> None:
        """Borrow the shares of the other members, without end."""
        await self._wait_for_membership()
        while True:
            if self._own is not None and not self.is_stopping:
                for name in list(self._contacts):
                    await curio.spawn(self._ask, name, daemon=True)
            self._update_figures(await curio.clock())
            await curio.sleep(ASK_INTERVAL_S)

    async def _wait_for_membership(self) -> None:
        """Wait until this node knows its panel, for a short time."""
        async with curio.ignore_after(START_TIMEOUT_S):
            await curio.sleep(_START_POLL_INTERVAL_S)
            while self._own is None:
                await curio.sleep(_START_POLL_INTERVAL_S)

    async def _ask(self, name: str) -> None:
        member = self._view.members.get(name)
        contact = self._contacts.get(name)
        if member is None or contact is None:
            return
        sent_at = await curio.clock()
        answer = await self._peers.ask(
            member.endpoint, AskLimitShare(self._node), LEASE_S
        )
        now = await curio.clock()
        if isinstance(answer, LimitShareAnswer) and answer.is_lent:
            contact.record_answer(sent_at)
            share = self._borrowed.get(name)
            if share is not None:
                loan = Loan(
                    answer.usable_after, answer.lifetime, tuple(answer.lent_to)
                )
                share.renew(loan, sent_at, now)

    def _apply_membership(self, now: float) -> None:
        """Start or end the exchange with the other members of the panels."""
        is_coordinator = self._node in self._coordinators
        if not is_coordinator:
            self._own = None
        elif self._own is None:
            self._own = OwnShare(now)
        others = {
            name
            for panel in self._panels
            for name in panel
            if self._node in panel and name != self._node
        }
        for name in self._contacts.keys() - others:
            del self._contacts[name]
            del self._borrowed[name]
            self._lost.discard(name)
        for name in others - self._contacts.keys():
            self._contacts[name] = PeerContact(now)
            self._borrowed[name] = BorrowedShare()

    def _add_unknown(
        self, preceding: Sequence[str], lent_to: Collection[str]
    ) -> list[str]:
        """Add the nodes that are no coordinators according to this node.

        They may rank first in the panel that they know.
        """
        return [*preceding, *(set(lent_to) - self._coordinators)]

    def _update_figures(self, now: float) -> None:
        if self._own is None:
            self.held_fraction = 0
            self.lent_count = 0
            return
        held = 0 if is_cut_off(list(self._contacts.values()), now) else 1
        for name, share in self._borrowed.items():
            is_held = share.expires_at > now
            held += is_held
            self._log_change(name, share, is_held=is_held)
        self.held_fraction = held / (len(self._borrowed) + 1)
        self.lent_count = len(self._own.list_borrowers(now))

    def _log_change(
        self, lender: str, share: BorrowedShare, *, is_held: bool
    ) -> None:
        has_been_held = share.expires_at > 0
        if has_been_held and not is_held and lender not in self._lost:
            self._lost.add(lender)
            self._journal.record('limit.share_lost', lender=lender)
        elif is_held and lender in self._lost:
            self._lost.discard(lender)
            self._journal.record('limit.share_regained', lender=lender)
