"""Typed records of the control plane.  Times are in seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

import msgspec

from deckdrum.utils import Address
from deckdrum.workspaces import WorkspaceDirectory

#: Priority of the most urgent routes.
HIGHEST_PRIORITY: Final = 0


class ConsistencyGuarantee(StrEnum):
    """Consistency of the reads of a route."""

    #: Reads see every change acknowledged before them.
    CURRENT = 'current'
    #: Bounded staleness: reads see every change older than the route's maximum.
    BOUNDED = 'bounded'
    #: Bounded staleness, and reads see every change of their own session.
    READ_YOUR_WRITES = 'own changes'


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one database name are served.

    Attributes
    ----------
    database : str
        The name that callers connect to.
    service : str
        The database group that serves it.
    guarantee : ConsistencyGuarantee
        Consistency of its reads.
    max_age : float
        Maximum staleness of read data; infinite if none is declared.
    statement_timeout : float
        Maximum duration of one statement.
    latency_objective : float
        Latency objective of an operation.
    priority : int
        0 is the highest priority.
    is_public : bool
        Whether callers need no key.
    """

    database: str
    service: str
    guarantee: ConsistencyGuarantee
    max_age: float
    statement_timeout: float
    latency_objective: float
    priority: int
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A database group.

    Attributes
    ----------
    name : str
        Unique name.
    max_connections : int
        Connections that each of its servers accepts, from all nodes together.
    synchronous_replicas : int
        Replicas that must receive a change before it is acknowledged.
    has_urgent_routes : bool
        Whether a route of the group has priority 0.  Only then do urgent
        statements go before others, instead of getting a larger share.
    """

    name: str
    max_connections: int
    synchronous_replicas: int
    has_urgent_routes: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : mapping of str to Route
        By database name.
    services : mapping of str to ServiceDeclaration
        By name.
    idle_transaction_limit : float
        Maximum idle time inside a transaction.
    encoded : bytes
        Encoded form for peers: the stored document, with fingerprints in place
        of keys.
    workspaces : WorkspaceDirectory or None
        Workspaces that may use the routes; None if no route requires a key.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServiceDeclaration]
    idle_transaction_limit: float
    encoded: bytes
    workspaces: WorkspaceDirectory | None = None

    @property
    def has_urgent_routes(self) -> bool:
        """Whether a route has priority 0."""
        return any(each.has_urgent_routes for each in self.services.values())

    def without_urgency(self) -> 'Configuration':
        """Return the configuration with priorities as weights only."""
        services = {
            name: replace(each, has_urgent_routes=False)
            for name, each in self.services.items()
        }
        return replace(self, services=services)


class Member(msgspec.Struct, frozen=True):
    """The registration of one node.

    `peer_address` is where other nodes connect.  `run` identifies the process,
    and so tells restarts of a node apart.  A node with `is_leaving` is shutting
    down but still serves.  A node with `is_gone` has not answered its peers for
    long; it may still be running behind a network partition, so this does not
    prove that it has stopped.  `capacity` is the processing capacity of its
    machine in cores, 0 if the node has not published it.
    """

    name: str
    peer_address: str
    data_centre: str
    run: str
    is_leaving: bool = False
    is_gone: bool = False
    capacity: float = 0

    @property
    def endpoint(self) -> Address:
        """The peer address, parsed."""
        return Address.parse(self.peer_address)
