"""Allocation of a group's connections to the nodes."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from deckdrum.control import Member
from deckdrum.fleet.borrowing import rank_lender
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.policies import Policy
from deckdrum.load.allocation import (
    ConnectionAllocation,
    allocate_connections,
    rank_holders,
    select_holders,
)
from deckdrum.load.capacity import compute_weights, is_uneven
from deckdrum.members import GroupShare
from deckdrum.serving.servers import ServerHandle


@dataclass(frozen=True, slots=True)
class AllocationInputs:
    """Inputs that determine the allocation of a group's connections.

    Attributes
    ----------
    max_connections : int
        Connection limit of each server.
    workspace_count : int
        Number of workspaces that own connections; 0 if they have no owner.
    members : mapping of str to Member
        Every registered node.
    servers : frozenset of tuple
        Ids and start times of the group's servers.  A new incarnation of a
        server needs a new allocation.
    has_urgent_routes : bool
        Whether the group has a route of priority 0.
    """

    max_connections: int
    workspace_count: int
    members: Mapping[str, Member]
    servers: frozenset[tuple[str, int]]
    has_urgent_routes: bool = False


class ConnectionAllocator:
    """Allocates the connections of one group to the nodes.

    Parameters
    ----------
    service : str
        The group.
    peers : NodePeers
        The other nodes.
    policies : frozenset of Policy
        Enabled policies.
    """

    def __init__(
        self,
        service: str,
        peers: NodePeers,
        policies: frozenset[Policy],
    ) -> None:
        #: The other holders of connections, nearest first; empty if every node
        #: is a holder.
        self.others: list[Member] = []
        #: Whether this node is a holder.
        self.is_holder = True
        #: The members to which this node forwards all statements while it is
        #: none itself, nearest first.
        self._forward_targets: list[Member] = []
        self._is_member = True
        self._service = service
        self._peers = peers
        self._policies = policies
        self._own = ''
        self._ranked_holders: dict[str, list[Member]] = {}
        #: Inputs of the current allocation.
        self._allocated_for: AllocationInputs | None = None

    async def allocate(
        self,
        inputs: 'AllocationInputs',
        own: Member,
        servers: Mapping[str, ServerHandle],
        shares: Mapping[str, GroupShare],
    ) -> None:
        """Allocate the servers' connections to the nodes that are not leaving.

        Parameters
        ----------
        inputs : AllocationInputs
            Inputs of the allocation.
        own : Member
            This node.
        servers : mapping of str to ServerHandle
            The group's servers.
        shares : mapping of str to GroupShare
            Shares of the connections by group of callers.
        """
        self._allocated_for = inputs
        members = inputs.members
        remaining = list_remaining_nodes(own, members)
        holders: tuple[str, ...] = ()
        if Policy.FORWARDING in self._policies:
            holders = select_holders(
                self._service,
                remaining,
                inputs.max_connections,
                inputs.workspace_count,
                compute_weights(list_capacities(own, members)),
                has_urgent_routes=inputs.has_urgent_routes,
            )
        self._apply_holders(own, list(holders), members)
        for name, handle in servers.items():
            allocation = allocate_connections(
                name,
                remaining,
                inputs.max_connections,
                handle.server.data_centre,
                holders,
                inputs.workspace_count,
            )
            if Policy.NEAREST_CONNECTIONS not in self._policies:
                allocation = allocation.to_uniform()
            lenders = self._list_lenders(allocation, own, members)
            slots = allocation.holders.get(own.name, 0)
            await handle.apply_allocation(lenders, slots, shares)

    def is_allocated_for(self, inputs: 'AllocationInputs') -> bool:
        """Return whether the current allocation was made for these inputs."""
        return self._allocated_for == inputs

    def set_membership(self, *, is_member: bool) -> None:
        """Set whether changes of primaries ask this node for its consent."""
        if is_member != self._is_member:
            self._is_member = is_member
            self._ranked_holders.clear()

    def find_holders(self, workspace: str) -> list[Member]:
        """Return the holders ranked above this node, the best first."""
        ranked = self._ranked_holders.get(workspace)
        if ranked is None:
            ranked = self._rank_holders(workspace)
            self._ranked_holders[workspace] = ranked
        return ranked

    def _list_lenders(
        self,
        allocation: ConnectionAllocation,
        own: Member,
        members: Mapping[str, Member],
    ) -> list[Member]:
        """Return the nodes that this node borrows from, nearest first."""
        if Policy.BORROWING not in self._policies:
            return []
        lenders = [
            members[holder]
            for holder in allocation.holders
            if holder != own.name and holder in members
        ]
        return sorted(lenders, key=partial(rank_lender, own))

    def _apply_holders(
        self,
        own: Member,
        holders: list[str],
        members: Mapping[str, Member],
    ) -> None:
        self.others = [members[name] for name in holders if name != own.name]
        self.others.sort(key=partial(rank_lender, own))
        self._forward_targets = self.others or _list_others(own, members)
        self._peers.health.set_required_peers(self._service, self.others)
        self.is_holder = not holders or own.name in holders
        self._own = own.name
        self._ranked_holders.clear()

    def _rank_holders(self, workspace: str) -> list[Member]:
        if self._forward_targets and not self._is_member:
            # It may use no primary; see `LeadershipState.member_since`.
            return self._forward_targets
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
    """Return the data centres of the nodes that are not leaving, by name."""
    remaining = {
        name: member.data_centre
        for name, member in members.items()
        if not member.is_leaving and not member.is_gone
    }
    remaining[own.name] = own.data_centre
    return remaining


def _list_others(own: Member, members: Mapping[str, Member]) -> list[Member]:
    """Return the other nodes that are not leaving, nearest first."""
    remaining = list_remaining_nodes(own, members)
    others = [members[name] for name in remaining if name != own.name]
    return sorted(others, key=partial(rank_lender, own))


def has_uneven_machines(own: Member, members: Mapping[str, Member]) -> bool:
    """Return whether the capacities of all registered nodes are uneven."""
    return is_uneven(list_capacities(own, members))


def list_capacities(
    own: Member,
    members: Mapping[str, Member],
) -> dict[str, float]:
    """Return the published capacities of all registered nodes, by name.

    Nodes that are leaving or gone are included, so that the weights of others
    do not change while a node restarts.
    """
    capacities = {name: member.capacity for name, member in members.items()}
    capacities[own.name] = own.capacity
    return capacities
