"""Typed records of the store.  Times are in seconds."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from deckdrum.utils import Address
from deckdrum.workspaces import WorkspaceDirectory


class ConsistencyGuarantee(StrEnum):
    """What a route promises of the data that its reads show."""

    #: Every change acknowledged before the read.
    CURRENT = 'current'
    #: Every change acknowledged longer ago than the accepted age.
    BOUNDED = 'bounded'
    #: As bounded, and every change of the same session.
    READ_YOUR_WRITES = 'own changes'


@dataclass(frozen=True, slots=True)
class Route:
    """How the callers of one database name are served.

    Attributes
    ----------
    database : str
        The name that callers connect to.
    service : str
        The database group that serves it.
    guarantee : Guarantee
        What its reads show.
    max_age : float
        Accepted age of read data; infinite if none is declared.
    statement_limit : float
        Longest time of one statement.
    objective : float
        Time in which an operation should be answered.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether it asks callers for no key.
    """

    database: str
    service: str
    guarantee: ConsistencyGuarantee
    max_age: float
    statement_timeout: float
    objective: float
    priority: int
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A database group.

    Attributes
    ----------
    name : str
        Its name.
    max_connections : int
        Connections that each of its servers accepts, from all nodes.
    synchronous_replicas : int
        Replicas that have received a change before it is acknowledged.
    """

    name: str
    max_connections: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Rises with each version.
    routes : mapping of str to Route
        By the name of the callers' database.
    services : mapping of str to ServiceDeclaration
        By name.
    idle_transaction_limit : float
        Longest pause inside a transaction.
    encoded : bytes
        To pass on to peers: as the store holds it, with fingerprints in place
        of keys.
    workspaces : WorkspaceBook or None
        Who may use the routes; None where no route asks for a key.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServiceDeclaration]
    idle_transaction_limit: float
    encoded: bytes
    workspaces: WorkspaceDirectory | None = None


class Member(msgspec.Struct, frozen=True):
    """One node of the product, as it registers itself.

    `peer_address` is where other nodes connect; `run` tells two lives of
    the same node apart; a node that is leaving serves on for a while.  One
    that is gone has not answered the others for long; it may still run, cut
    off, so nothing may rest on its silence.
    """

    name: str
    peer_address: str
    data_centre: str
    run: str
    is_leaving: bool = False
    is_gone: bool = False

    @property
    def endpoint(self) -> Address:
        """The peer address, parsed."""
        return Address.parse(self.peer_address)
