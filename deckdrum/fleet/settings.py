"""The settings of one node."""

from dataclasses import dataclass

from deckdrum.control.departures import DEFAULT_DRAIN_TIME_S
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.load.limits import DEFAULT_TOLERANCE, Tolerance
from deckdrum.utils import Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a node must know before it can ask anybody.

    Attributes
    ----------
    name : str
        Unique among the nodes.
    data_centre : str
        Where it runs.
    peer_address : Address
        Where it listens for other nodes.
    seeds : tuple of Address
        Nodes that may be asked first.
    seed : int
        Of its randomness; 0 takes a fresh one.
    policies : frozenset of Policy
        Mechanisms in force.
    limit_tolerance : Tolerance
        What workspaces may begin beyond their limits.
    drain_time : float
        For how long a server that leaves serves on at least, in seconds.
    """

    name: str
    data_centre: str
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    seed: int = 0
    policies: frozenset[Policy] = ALL_POLICIES
    limit_tolerance: Tolerance = DEFAULT_TOLERANCE
    drain_time: float = DEFAULT_DRAIN_TIME_S
