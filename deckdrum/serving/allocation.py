"""Which nodes hold connections to the servers of one group."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from deckdrum.control import Member
from deckdrum.fleet.borrowing import rank_lender
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.policies import Policy
from deckdrum.load.placement import (
    ConnectionAllocation,
    allocate_connections,
    rank_holders,
    select_holders,
)
from deckdrum.members import GroupShare
from deckdrum.serving.servers import ServerHandle


@dataclass(frozen=True, slots=True)
class AllocationInputs:
    """What the deal of a group's connections follows from.

    Attributes
    ----------
    max_connections : int
        Connections that each server accepts, from all nodes.
    workspaces : int
        Workspaces to which connections belong; 0 where they are nobody's.
    members : mapping of str to Member
        Every registered node.
    servers : frozenset of tuple
        Ids of the group's servers, and when they started: a new life begins
        without connections, so they are dealt anew.
    """

    max_connections: int
    workspaces: int
    members: Mapping[str, Member]
    servers: frozenset[tuple[str, int]]


class ConnectionAllocator:
    """Deals the connections of one group among the nodes that stay.

    Parameters
    ----------
    service : str
        The group.
    peers : NodePeers
        The other nodes.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    def __init__(
        self,
        service: str,
        peers: NodePeers,
        policies: frozenset[Policy],
    ) -> None:
        #: The other nodes that hold connections to the group's servers, the
        #: nearest first, if not every node does.
        self.others: list[Member] = []
        #: Whether this node holds connections itself.
        self.is_holder = True
        self._service = service
        self._peers = peers
        self._policies = policies
        self._own = ''
        self._orders: dict[str, list[Member]] = {}
        #: What the connections were last dealt for.
        self._dealt: AllocationInputs | None = None

    async def deal(
        self,
        terms: 'AllocationInputs',
        own: Member,
        servers: Mapping[str, ServerHandle],
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Deal the servers' connections among the nodes that stay.

        Parameters
        ----------
        terms : Terms
            What the deal follows from.
        own : Member
            This node.
        servers : mapping of str to ServerHandle
            The group's servers.
        shares : mapping of str to GroupShare
            Shares of the groups of callers.
        """
        self._dealt = terms
        members = terms.members
        staying = list_remaining_nodes(own, members)
        holders: tuple[str, ...] = ()
        if Policy.FORWARDING in self._policies:
            holders = select_holders(
                self._service,
                staying,
                terms.max_connections,
                terms.workspaces,
            )
        self._adopt_holders(own, list(holders), members)
        for name, handle in servers.items():
            deal = allocate_connections(
                name,
                staying,
                terms.max_connections,
                handle.server.data_centre,
                holders,
                terms.workspaces,
            )
            if Policy.NEAREST_CONNECTIONS not in self._policies:
                deal = deal.level()
            lenders = self._list_lenders(deal, own, members)
            held = deal.holders.get(own.name, 0)
            await handle.apply_allocation(lenders, held, shares)

    def is_allocated_for(self, terms: 'AllocationInputs') -> bool:
        """Tell whether the connections were dealt on just these terms."""
        return self._dealt == terms

    def find_holders(self, workspace: str) -> list[Member]:
        """Return the nodes that a workspace's statements are handed to.

        The best comes first; none that is worse than this node itself.
        """
        order = self._orders.get(workspace)
        if order is None:
            order = self._order_holders(workspace)
            self._orders[workspace] = order
        return order

    def _list_lenders(
        self,
        deal: ConnectionAllocation,
        own: Member,
        members: Mapping[str, Member],
    ) -> list[Member]:
        """Return whom this node borrows from, the nearest first."""
        if Policy.BORROWING not in self._policies:
            return []
        lenders = [
            members[holder]
            for holder in deal.holders
            if holder != own.name and holder in members
        ]
        return sorted(lenders, key=partial(rank_lender, own))

    def _adopt_holders(
        self,
        own: Member,
        holders: list[str],
        members: Mapping[str, Member],
    ) -> None:
        self.others = [members[name] for name in holders if name != own.name]
        self.others.sort(key=partial(rank_lender, own))
        self._peers.health.set_required_peers(self._service, self.others)
        self.is_holder = not holders or own.name in holders
        self._own = own.name
        self._orders.clear()

    def _order_holders(self, workspace: str) -> list[Member]:
        if not workspace or Policy.WORKSPACE_HOLDERS not in self._policies:
            return [] if self.is_holder else self.others
        others = {holder.name: holder for holder in self.others}
        own = [self._own] if self.is_holder else []
        ranked = rank_holders(self._service, workspace, [*others, *own])
        if self.is_holder:
            ranked = ranked[: ranked.index(self._own)]
        return [others[name] for name in ranked]


def list_remaining_nodes(
    own: Member,
    members: Mapping[str, Member],
) -> dict[str, str]:
    """Return the data centres of the nodes that stay, by name."""
    staying = {
        name: member.data_centre
        for name, member in members.items()
        if not member.is_leaving and not member.is_gone
    }
    staying[own.name] = own.data_centre
    return staying
