"""Validated models of the configuration document.

Times are in seconds; weights are relative to each other.
"""

from enum import StrEnum
from typing import Annotated, Final, TypeVar

from pydantic import BaseModel, ConfigDict, Field, field_validator

from deckdrum.utils import Address

_NAME_PATTERN: Final = r'^[a-z][a-z0-9_-]{0,62}$'
_DAY_S: Final = 86400
_MAX_COUNT: Final = 100_000
_MAX_USER_NAME_LENGTH: Final = 63
_Entry = TypeVar('_Entry', bound='Named')
Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Seconds = Annotated[float, Field(gt=0, le=_DAY_S)]
Count = Annotated[int, Field(ge=1, le=_MAX_COUNT)]
Ratio = Annotated[float, Field(gt=0, lt=1)]


class Strict(BaseModel):
    """Base of the models: immutable, and unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Named(Strict):
    """An entry of the document that is identified by its name."""

    name: str


class Group(Named):
    """A group of users that shares the databases with other groups."""

    name: Name
    #: Share of connections relative to the other groups' weights.
    weight: Annotated[float, Field(gt=0, le=1000)] = 1
    #: Maximum number of queued requests of the group per service.
    max_waiting: Count = 200
    #: Maximum idle time inside an open transaction.
    idle_transaction_limit: Seconds = 10


class User(Named):
    """A database user, who belongs to a group."""

    name: Annotated[str, Field(min_length=1, max_length=_MAX_USER_NAME_LENGTH)]
    group: Name
    #: SCRAM verifier as printed by ``deckdrumctl password``.
    verifier: str

    @field_validator('verifier')
    @classmethod
    def check_verifier(cls, text: str) -> str:
        """Check for PostgreSQL's format of SCRAM verifiers."""
        parts = text.split('$')
        has_parts = len(parts) == 3 and parts[0] == 'SCRAM-SHA-256'
        if not has_parts or any(':' not in part for part in parts[1:]):
            raise ValueError(
                'expected SCRAM-SHA-256$iterations:salt$stored:server',
            )
        return text


class DatabaseEntry(Named):
    """One backend database of a service."""

    name: Name
    data_centre: Name
    address: str
    #: Connections that the database accepts from all proxies together.
    max_connections: Count = 25

    @field_validator('address')
    @classmethod
    def check_address(cls, text: str) -> str:
        """Check for the format ``host:port``."""
        return str(Address.parse(text))

    @property
    def endpoint(self) -> Address:
        """The address, parsed."""
        return Address.parse(self.address)


class Acknowledgement(StrEnum):
    """Which databases must confirm a change before it is acknowledged."""

    MAJORITY = 'majority'
    PRIMARY = 'primary'


class Service(Named):
    """A replicated database group that callers connect to by its name."""

    name: Name
    databases: Annotated[list[DatabaseEntry], Field(min_length=1, max_length=9)]
    acknowledgement: Acknowledgement = Acknowledgement.MAJORITY
    #: Timeout of a request that waits for a connection or a primary.
    wait_limit: Seconds = 5
    #: Timeout for a majority to confirm a change.
    confirm_limit: Seconds = 3
    #: Maximum wait for a replica to catch up before a read uses the primary.
    catch_up_limit: Seconds = 0.2
    #: Connections to each database reserved for probes and failover.
    reserved_connections: Count = 4
    #: Tables whose changes must not be retried.
    not_repeatable_tables: list[str] = Field(default_factory=list)
    #: User-defined functions that are read-only.
    read_functions: list[str] = Field(default_factory=list)


class ReadKind(Named):
    """A kind of read and the maximum age of the data that it accepts."""

    name: Name
    max_age: Seconds


class ObjectiveMeasure(StrEnum):
    """Quantity that a service-level objective measures."""

    AVAILABILITY = 'availability'
    LATENCY = 'latency'
    REPLICA_SHARE = 'replica_share'
    FAILOVER_GAP = 'failover_gap'


class Objective(Named):
    """A service-level objective of a group, as a fraction of good events."""

    name: Name
    group: Name
    measure: ObjectiveMeasure
    target: Ratio
    #: Upper limit for a good event, for latency and failover gap.
    threshold: Seconds | None = None


class Document(Strict):
    """The complete configuration, which is accepted or rejected as a whole."""

    groups: Annotated[list[Group], Field(min_length=1)]
    users: list[User] = Field(default_factory=list)
    services: Annotated[list[Service], Field(min_length=1)]
    read_kinds: list[ReadKind] = Field(default_factory=list)
    objectives: list[Objective] = Field(default_factory=list)

    def find_group(self, name: str) -> Group | None:
        """Return the group called `name`, or None."""
        return _find(self.groups, name)

    def find_user(self, name: str) -> User | None:
        """Return the user called `name`, or None."""
        return _find(self.users, name)

    def find_service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        return _find(self.services, name)

    def find_read_kind(self, name: str) -> ReadKind | None:
        """Return the kind of read called `name`, or None."""
        return _find(self.read_kinds, name)


def _find(entries: list[_Entry], name: str) -> _Entry | None:
    for entry in entries:
        if entry.name == name:
            return entry
    return None
