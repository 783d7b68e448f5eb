"""Placing a server's few connections among the nodes.

Half of them are dealt, or one for each node if half does not go round.

*Where there are enough*, every node holds some: no request takes a second hop,
and a frozen or cut neighbour costs nothing.  What does not go round goes to the
nodes that are nearest to the server.

*Where there are too few*, a few nodes of each data centre hold several of every
server of a group, and the others hand their statements to these.  The load that
this answers: hundreds of nodes, each with a statement for a group every few
seconds.  With one connection each, such a node would ask others for proof, for
positions and for a connection before nearly every statement, and would learn of
a replica behind or a primary lost by its own failures.  A few holders see
enough statements to know, and their few queues show who waits.

*Where connections belong to workspaces*, and a node's share is fewer than
these, holders hold all as well, and each workspace's statements go to one of
them in the fleet and keep to one replica.  The load that this answers:
78 workspaces in turn at 29 connections a server, each new connection longer at
work than a statement.  The part that is dealt is the same: with 0.8 in place of
0.5 a calm day opens 2,746 connections in place of 3,854, and after all nodes
have lost power the two worst windows keep 0.15 of their worth in place of 0.56,
since what lingers leaves too few for the next lives (one run each, with one
holder a data centre).
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from deckdrum.utils.ranks import weigh

#: Part of a server's connections that is dealt.  Those of nodes that lost power
#: linger for up to 3 s, and all may lose it at once: the other half is for
#: their next lives.  Of the operations in the second and third second after
#: power came back to 71 nodes, 97 % were in time with 26 of 53 dealt, 80 % with
#: 49 (one run each).
ALLOCATED_FRACTION: Final = 0.5
#: Connections kept back at least, for newcomers and questions of the product's
#: own, where half of them does not go round once.
RESERVED_CONNECTIONS: Final = 4
#: Connections of a node with which it needs no other's: one may rest in a
#: transaction while another works.
MIN_LOCAL_CONNECTIONS: Final = 2
#: Most connections of one node where every node holds some.  A server works
#: on few requests at a time.
MAX_CONNECTIONS_PER_NODE: Final = 4
#: Connections that a node borrows of one server at a time.
MAX_BORROWED_CONNECTIONS: Final = 6
#: Nodes of one data centre that hold a group's connections where not every node
#: can: one may be frozen while another is stopped.
MAX_HOLDERS_PER_DATA_CENTRE: Final = 3
#: Most connections of one of them: more than a server has places to work, since
#: some rest in transactions.
MAX_CONNECTIONS_PER_HOLDER: Final = 8


@dataclass(frozen=True, slots=True)
class ConnectionAllocation:
    """How a server's connections are dealt.

    Attributes
    ----------
    holders : mapping of str to int
        Connections by the names of the nodes that hold some.
    """

    holders: Mapping[str, int]

    def level(self) -> 'ConnectionAllocation':
        """Return the deal in which every holder has as many as the last."""
        least = min(self.holders.values())
        return ConnectionAllocation(dict.fromkeys(self.holders, least))


def select_holders(
    service: str,
    nodes: Mapping[str, str],
    max_connections: int,
    workspaces: int = 0,
) -> tuple[str, ...]:
    """Return who holds a group's connections; nothing if every node does.

    Parameters
    ----------
    service : str
        The group.
    nodes : mapping of str to str
        Data centres by the names of the nodes.
    max_connections : int
        Connections that each of its servers accepts.
    workspaces : int
        Workspaces to which connections belong; 0 where they are nobody's.

    Examples
    --------
    >>> nodes = {f'n{number}': 'ab'[number % 2] for number in range(20)}
    >>> len(select_holders('stalls', nodes, max_connections=16))
    4
    >>> select_holders('stalls', nodes, max_connections=40)
    ()
    >>> len(select_holders('stalls', nodes, max_connections=40, workspaces=50))
    6
    """
    shared = _count_shared(len(nodes), max_connections, workspaces)
    if shared // len(nodes) >= max(1, workspaces):
        return ()
    by_centre = _rank_by_centre(service, nodes)
    each = shared // len(by_centre)
    if not each:
        # Fewer connections than data centres: one for each of some.
        centres = sorted(by_centre, key=partial(weigh, service))
        return tuple(by_centre[centre][0] for centre in centres[:shared])
    count = min(
        MAX_HOLDERS_PER_DATA_CENTRE, max(1, each // MIN_LOCAL_CONNECTIONS)
    )
    return tuple(
        name for ranked in by_centre.values() for name in ranked[:count]
    )


def rank_holders(
    service: str,
    workspace: str,
    holders: Iterable[str],
) -> list[str]:
    """Return the holders of a group's connections, a workspace's own first.

    Its statements meet there, so that they find its connections open: a server
    works longer on a new connection than on a usual statement.

    Examples
    --------
    >>> rank_holders('stalls', 'growers', ['n1', 'n2', 'n3'])
    ['n1', 'n2', 'n3']
    """
    return sorted(holders, key=partial(weigh, service, workspace))


def rank_replicas(workspace: str, replicas: Iterable[str]) -> list[str]:
    """Return replicas, the one first that a workspace keeps to.

    Without a preference its reads would be spread over all, and each would
    have to keep connections of every workspace.

    Examples
    --------
    >>> rank_replicas('growers', ['i-1', 'i-2'])
    ['i-1', 'i-2']
    """
    return sorted(replicas, key=partial(weigh, workspace))


def allocate_connections(
    server: str,
    nodes: Mapping[str, str],
    max_connections: int,
    data_centre: str = '',
    holders: Sequence[str] = (),
    workspaces: int = 0,
) -> ConnectionAllocation:
    """Return who holds how many of a server's connections.

    Parameters
    ----------
    server : str
        The server's id.
    nodes : mapping of str to str
        Data centres by the names of the nodes.
    max_connections : int
        Connections that the server accepts.
    data_centre : str
        Where the server runs.
    holders : sequence of str
        Who holds some, if not every node can; without these as many as can,
        spread over the data centres.
    workspaces : int
        Workspaces to which connections belong; 0 where they are nobody's.

    Examples
    --------
    >>> nodes = {'n1': 'a', 'n2': 'b', 'n3': 'a'}
    >>> allocate_connections('i-1', nodes, max_connections=15, data_centre='b')
    Deal(holders={'n2': 3, 'n3': 2, 'n1': 2})
    >>> allocate_connections(
    ...     'i-1', nodes, 6, data_centre='b', holders=['n1', 'n2']
    ... )
    Deal(holders={'n2': 2, 'n1': 1})
    """
    shared = _count_shared(len(nodes), max_connections, workspaces)
    if holders:
        most = MAX_CONNECTIONS_PER_HOLDER
        named = holders
    elif shared < len(nodes):
        return ConnectionAllocation(
            dict.fromkeys(_spread(server, nodes)[:shared], 1)
        )
    else:
        most = MAX_CONNECTIONS_PER_NODE
        named = _spread(server, nodes)
    nearest = sorted(named, key=lambda name: nodes[name] != data_centre)
    each, left = divmod(shared, len(nearest))
    return ConnectionAllocation(
        {
            name: min(most, each + (place < left))
            for place, name in enumerate(nearest)
        },
    )


def _count_shared(nodes: int, max_connections: int, workspaces: int) -> int:
    """Return how many of a server's connections are dealt."""
    shared = max(1, int(max_connections * ALLOCATED_FRACTION))
    if workspaces:
        return shared
    if shared < nodes <= max_connections - RESERVED_CONNECTIONS:
        return nodes
    return shared


def _rank_by_centre(
    service: str,
    nodes: Mapping[str, str],
) -> dict[str, list[str]]:
    """Return the nodes of each data centre by their rank for a group."""
    by_centre: defaultdict[str, list[str]] = defaultdict(list)
    for name in sorted(nodes, key=partial(weigh, service)):
        by_centre[nodes[name]].append(name)
    return dict(by_centre)


def _spread(server: str, nodes: Mapping[str, str]) -> list[str]:
    """Return the nodes by rank, each data centre in its turn."""
    by_centre: defaultdict[str, list[str]] = defaultdict(list)
    ranks: dict[str, tuple[int, bytes]] = {}
    for name in sorted(nodes, key=partial(weigh, server)):
        centre = nodes[name]
        ranks[name] = (len(by_centre[centre]), weigh(server, centre))
        by_centre[centre].append(name)
    return sorted(nodes, key=lambda each: (ranks[each], each))
