"""The operations that a caller may ask for."""

from dataclasses import dataclass
from enum import StrEnum


class Effect(StrEnum):
    """Whether a statement may change data."""

    READ = 'read'
    WRITE = 'write'


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction."""

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Make the open transaction last."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Drop the open transaction."""


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement, which is passed on as it came.

    Attributes
    ----------
    effect : Effect
        Whether it may change data.
    text : str
        The whole statement in the database's own language.
    """

    effect: Effect
    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Give a statement a name that lasts until the session ends."""

    name: str
    effect: Effect
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement.

    Attributes
    ----------
    name : str
        The name, as the caller gave it.
    arguments : str
        What follows the name, passed on as it came.
    """

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget a prepared statement."""

    name: str


Operation = (
    Begin | Commit | Rollback | Run | SetValue | Prepare | Execute | Deallocate
)


@dataclass(frozen=True, slots=True)
class Request:
    """One operation of a caller and the id that the caller gave it."""

    id: str
    operation: Operation
