"""Allocating a server's connections to the nodes.

Only part of a server's connections is allocated (`ALLOCATED_FRACTION`).  The
nodes that get some are its *holders*:

* If there are enough connections, every node is a holder, so that no request
  needs a second hop.  Nodes near the server get what remains after division.
* Otherwise a few nodes in each data centre are holders for all servers of a
  group, and the other nodes forward their statements to them.  A few holders
  see enough statements to keep track of replicas and of the primary; many nodes
  with one connection each would have to query others before most statements.
* A group with urgent routes has one holder in each data centre, so that few
  queues order its statements.
* If connections belong to workspaces and a node's share is smaller than the
  number of workspaces, there are also only a few holders.  The statements of a
  workspace go to one of them and prefer one replica, because opening a
  connection costs more than a statement.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Final

from deckdrum.utils.ranks import compute_rendezvous_rank, rank_by_weight

#: Fraction of a server's connections that is allocated.  Connections of nodes
#: that lost power linger for up to 3 s, so the rest is needed when these nodes
#: restart.  In the second and third second after 71 nodes restarted, 97 % of
#: the operations were in time with 26 of 53 connections allocated, and 80 %
#: with 49 (one run each).
ALLOCATED_FRACTION: Final = 0.5
#: Connections that stay unallocated, for new nodes and status requests, if each
#: node gets one although `ALLOCATED_FRACTION` does not suffice for that.
RESERVED_CONNECTIONS: Final = 4
#: Connections with which a node need not borrow: one may be idle in a
#: transaction while another executes.
MIN_LOCAL_CONNECTIONS: Final = 2
#: Limit per node where every node is a holder; a server runs few statements at
#: a time.
MAX_CONNECTIONS_PER_NODE: Final = 4
#: Connections to one server that a node borrows at a time.
MAX_BORROWED_CONNECTIONS: Final = 6
#: Applies where not every node is a holder; several, since one may be frozen
#: while another is stopped.
MAX_HOLDERS_PER_DATA_CENTRE: Final = 3
#: Applies to groups with urgent routes.  Only statements at the same holder are
#: ordered by urgency before they wait for a slot of a server.
MAX_URGENT_HOLDERS_PER_DATA_CENTRE: Final = 1
#: Holders of a group with urgent routes in a single data centre.  Without a
#: second one, a frozen holder would stop the group until others replace it.
MIN_URGENT_HOLDERS: Final = 2
#: Limit per node where only some are holders; more than a server executes at
#: once, since some connections are idle in transactions.
MAX_CONNECTIONS_PER_HOLDER: Final = 8
_NO_WEIGHTS: Final[Mapping[str, float]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class ConnectionAllocation:
    """The number of a server's connections that each holder gets.

    Attributes
    ----------
    holders : mapping of str to int
        Numbers of connections by node name.
    """

    holders: Mapping[str, int]

    def to_uniform(self) -> 'ConnectionAllocation':
        """Return an allocation of the smallest number to every holder."""
        smallest = min(self.holders.values())
        return ConnectionAllocation(dict.fromkeys(self.holders, smallest))


def select_holders(
    service: str,
    nodes: Mapping[str, str],
    max_connections: int,
    workspaces: int = 0,
    weights: Mapping[str, float] = _NO_WEIGHTS,
    *,
    has_urgent_routes: bool = False,
) -> tuple[str, ...]:
    """Return the holders of a group's connections; empty if all nodes are.

    Parameters
    ----------
    service : str
        The group.
    nodes : mapping of str to str
        Data centres by node name.
    max_connections : int
        Connections that each of its servers accepts.
    workspaces : int
        Number of workspaces to which connections belong; 0 if connections
        do not belong to workspaces.
    weights : mapping of str to float
        Weights of the nodes, within their data centres; 1 where a node is
        missing.
    has_urgent_routes : bool
        Whether the group has a route of priority 0.

    Examples
    --------
    >>> nodes = {f'n{number}': 'ab'[number % 2] for number in range(20)}
    >>> len(select_holders('stalls', nodes, max_connections=16))
    4
    >>> select_holders('stalls', nodes, 16, has_urgent_routes=True)
    ('n14', 'n15')
    >>> select_holders('stalls', nodes, max_connections=40)
    ()
    >>> len(select_holders('stalls', nodes, max_connections=40, workspaces=50))
    6
    """
    allocated = _count_allocated(len(nodes), max_connections, workspaces)
    by_data_centre = _rank_by_data_centre(service, nodes, weights)
    each = allocated // len(by_data_centre)
    urgent_holders = MAX_URGENT_HOLDERS_PER_DATA_CENTRE
    if len(by_data_centre) < MIN_URGENT_HOLDERS:
        urgent_holders = MIN_URGENT_HOLDERS
    can_reduce = has_urgent_routes and any(
        len(ranked) > urgent_holders for ranked in by_data_centre.values()
    )
    if not can_reduce and allocated // len(nodes) >= max(1, workspaces):
        return ()
    if not each:
        # Fewer connections than data centres: one holder in some of them.
        centres = sorted(
            by_data_centre, key=partial(compute_rendezvous_rank, service)
        )
        return tuple(
            by_data_centre[centre][0] for centre in centres[:allocated]
        )
    count = min(
        urgent_holders if has_urgent_routes else MAX_HOLDERS_PER_DATA_CENTRE,
        max(1, each // MIN_LOCAL_CONNECTIONS),
    )
    return tuple(
        name for ranked in by_data_centre.values() for name in ranked[:count]
    )


def rank_holders(
    service: str,
    workspace: str,
    holders: Iterable[str],
) -> list[str]:
    """Return the holders of a group's connections, the preferred one first.

    Statements of one workspace prefer the same holder, so that they find its
    connections open.

    Examples
    --------
    >>> rank_holders('stalls', 'growers', ['n1', 'n2', 'n3'])
    ['n1', 'n2', 'n3']
    """
    return sorted(
        holders, key=partial(compute_rendezvous_rank, service, workspace)
    )


def rank_replicas(workspace: str, replicas: Iterable[str]) -> list[str]:
    """Return replicas, a workspace's preferred one first.

    Spreading its reads over all replicas would require connections for every
    workspace to each of them.

    Examples
    --------
    >>> rank_replicas('growers', ['i-1', 'i-2'])
    ['i-1', 'i-2']
    """
    return sorted(replicas, key=partial(compute_rendezvous_rank, workspace))


def allocate_connections(
    server: str,
    nodes: Mapping[str, str],
    max_connections: int,
    data_centre: str = '',
    holders: Sequence[str] = (),
    workspaces: int = 0,
) -> ConnectionAllocation:
    """Allocate a server's connections to nodes.

    Parameters
    ----------
    server : str
        The server's id.
    nodes : mapping of str to str
        Data centres by node name.
    max_connections : int
        Connections that the server accepts.
    data_centre : str
        Data centre of the server.
    holders : sequence of str
        The holders, if not every node is one.  By default, as many nodes as
        possible, spread over the data centres.
    workspaces : int
        Number of workspaces to which connections belong; 0 if connections
        do not belong to workspaces.

    Examples
    --------
    >>> nodes = {'n1': 'a', 'n2': 'b', 'n3': 'a'}
    >>> allocate_connections('i-1', nodes, max_connections=15, data_centre='b')
    ConnectionAllocation(holders={'n2': 3, 'n3': 2, 'n1': 2})
    >>> allocate_connections(
    ...     'i-1', nodes, 6, data_centre='b', holders=['n1', 'n2']
    ... )
    ConnectionAllocation(holders={'n2': 2, 'n1': 1})
    """
    allocated = _count_allocated(len(nodes), max_connections, workspaces)
    if holders:
        max_per_node = MAX_CONNECTIONS_PER_HOLDER
        selected = holders
    elif allocated < len(nodes):
        return ConnectionAllocation(
            dict.fromkeys(
                _interleave_data_centres(server, nodes)[:allocated], 1
            )
        )
    else:
        max_per_node = MAX_CONNECTIONS_PER_NODE
        selected = _interleave_data_centres(server, nodes)
    nearest = sorted(selected, key=lambda name: nodes[name] != data_centre)
    each, remainder = divmod(allocated, len(nearest))
    return ConnectionAllocation(
        {
            name: min(max_per_node, each + (index < remainder))
            for index, name in enumerate(nearest)
        },
    )


def _count_allocated(nodes: int, max_connections: int, workspaces: int) -> int:
    """Return how many of a server's connections are allocated."""
    allocated = max(1, int(max_connections * ALLOCATED_FRACTION))
    if workspaces:
        return allocated
    if allocated < nodes <= max_connections - RESERVED_CONNECTIONS:
        return nodes
    return allocated


def _rank_by_data_centre(
    service: str,
    nodes: Mapping[str, str],
    weights: Mapping[str, float],
) -> dict[str, list[str]]:
    """Return the nodes of each data centre, ranked for a group."""
    by_data_centre: defaultdict[str, list[str]] = defaultdict(list)
    for name in rank_by_weight(nodes, weights, service):
        by_data_centre[nodes[name]].append(name)
    return dict(by_data_centre)


def _interleave_data_centres(
    server: str, nodes: Mapping[str, str]
) -> list[str]:
    """Return the nodes by rank, alternating between data centres."""
    by_data_centre: defaultdict[str, list[str]] = defaultdict(list)
    ranks: dict[str, tuple[int, bytes]] = {}
    for name in sorted(nodes, key=partial(compute_rendezvous_rank, server)):
        centre = nodes[name]
        ranks[name] = (
            len(by_data_centre[centre]),
            compute_rendezvous_rank(server, centre),
        )
        by_data_centre[centre].append(name)
    return sorted(nodes, key=lambda each: (ranks[each], each))
