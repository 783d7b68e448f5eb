"""The border to the store that keeps what must last."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from deckdrum.backends.base import BackendServer
from deckdrum.control.records import Configuration, Member
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.objects import Conflict, Stored
from deckdrum.store.records import GroupRecord


class Kind(StrEnum):
    """Kinds of record."""

    CONFIGURATION = 'configuration'
    SERVERS = 'servers'
    LEADERSHIP = 'leadership'
    MEMBERS = 'members'


Record = Configuration | BackendServer | GroupRecord | Member


class HistoryGoneError(StoreError):
    """The store no longer knows what changed since a revision."""

    code = 'E202'


@dataclass(frozen=True, slots=True)
class Entry:
    """A record under its name.

    `record` is None if it was removed or cannot be read; `revision` is the
    store's counter at its last change.
    """

    name: str
    revision: int
    record: Record | None


@dataclass(frozen=True, slots=True)
class Listing:
    """Every record of a kind as of a revision."""

    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a kind up to a revision, in order."""

    revision: int
    entries: tuple[Entry, ...]


class ControlStore(ABC):
    """The store.

    Every method raises `StoreError` if no answer came or the store turned
    the call away; a change may then have taken effect, at once or later.
    """

    @abstractmethod
    async def list_records(self, kind: Kind) -> Listing:
        """Return every record of a kind."""

    @abstractmethod
    async def watch(self, kind: Kind, revision: int, wait: float) -> Changes:
        """Return what changed after `revision`; wait for up to `wait` s.

        Raises
        ------
        HistoryGoneError
            If the records must be listed again.
        """

    @abstractmethod
    async def peek(self, kind: Kind, revision: int) -> Changes:
        """Return what changed after `revision`, as of some seconds ago or now.

        It costs a fraction of another call.

        Raises
        ------
        HistoryGoneError
            If the records must be listed again.
        """

    @abstractmethod
    async def fetch(self, kind: Kind, name: str) -> Entry | None:
        """Return a record as it is now, or None if there is none.

        The entry has no record if what lies there cannot be read.
        """

    @abstractmethod
    async def put(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
        revision: int,
    ) -> Stored | Conflict:
        """Store a record if it still has `revision`; 0 creates it.

        The version of the result is the record's new revision, higher than
        every earlier revision in the store.
        """

    @abstractmethod
    def decode_configuration(self, encoded: bytes) -> Configuration:
        """Return a configuration that a peer has handed over.

        Raises
        ------
        DocumentError
            With the place and what was expected there.
        """

    @abstractmethod
    async def remove(self, kind: Kind, name: str, revision: int) -> bool:
        """Remove a record if it still has `revision`; tell whether done."""
