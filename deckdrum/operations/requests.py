"""Operations that a caller may request."""

from dataclasses import dataclass
from enum import StrEnum


class Effect(StrEnum):
    """Whether a statement may change data."""

    READ = 'read'
    WRITE = 'write'


@dataclass(frozen=True, slots=True)
class Begin:
    """Start a transaction."""

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the open transaction."""


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement, which is forwarded unchanged.

    Attributes
    ----------
    effect : Effect
        Whether it may change data.
    text : str
        Complete statement in the language of the server.
    """

    effect: Effect
    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a named statement, kept until the session ends."""

    name: str
    effect: Effect
    template: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement.

    Attributes
    ----------
    name : str
        Name given by the caller.
    arguments : str
        Arguments, forwarded unchanged.
    """

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Deallocate a prepared statement."""

    name: str


Operation = (
    Begin | Commit | Rollback | Run | SetValue | Prepare | Execute | Deallocate
)


@dataclass(frozen=True, slots=True)
class Request:
    """An operation of a caller, with the request id given by the caller."""

    id: str
    operation: Operation
