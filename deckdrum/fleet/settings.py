"""Settings of a node."""

from dataclasses import dataclass

from deckdrum.control.draining import DEFAULT_DRAIN_TIME_S
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.load.rate_limits import DEFAULT_TOLERANCE, Tolerance
from deckdrum.utils import Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that a node needs before it can contact the store or a peer.

    Attributes
    ----------
    name : str
        Name of the node, unique in the fleet.
    data_centre : str
        Data centre in which the node runs.
    peer_address : Address
        Address on which the node listens for its peers.
    seeds : tuple of Address
        Addresses of peers to contact while no member is known.
    seed : int
        Seed of the random number generator; 0 for a random seed.
    policies : frozenset of Policy
        Enabled mechanisms.
    limit_tolerance : Tolerance
        How far workspaces may exceed their operation limits.
    drain_time : float
        Shortest time for which a server that leaves keeps serving, in
        seconds.
    capacity : float
        Processing capacity of the machine in cores; 0 if unknown.
    is_urgency_enabled : bool
        Whether routes of priority 0 go before others.  Otherwise priorities are
        weights of shares only.
    """

    name: str
    data_centre: str
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    seed: int = 0
    policies: frozenset[Policy] = ALL_POLICIES
    limit_tolerance: Tolerance = DEFAULT_TOLERANCE
    drain_time: float = DEFAULT_DRAIN_TIME_S
    capacity: float = 0
    is_urgency_enabled: bool = True
