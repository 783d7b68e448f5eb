"""Interface of the durable store of control-plane records."""

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
    """The store has discarded the changes after the given revision."""

    code = 'E202'


@dataclass(frozen=True, slots=True)
class Entry:
    """A named record.

    `record` is None if it was removed or cannot be decoded; `revision` is the
    store revision of its last change.
    """

    name: str
    revision: int
    record: Record | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All records of a kind as of a revision."""

    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind up to a revision, in order."""

    revision: int
    entries: tuple[Entry, ...]


class ControlStore(ABC):
    """Durable store of control-plane records.

    Every method raises `StoreError` if the store did not respond or refused
    the call.  A write may take effect nevertheless, even later.
    """

    @abstractmethod
    async def list_records(self, kind: Kind) -> Listing:
        """Return all records of a kind."""

    @abstractmethod
    async def watch(self, kind: Kind, revision: int, wait: float) -> Changes:
        """Long-poll for changes after `revision`, for up to `wait` seconds.

        Raises
        ------
        HistoryGoneError
            If the records must be listed again.
        """

    @abstractmethod
    async def peek(self, kind: Kind, revision: int) -> Changes:
        """Return changes after `revision` from a possibly stale read.

        The answer may lag by some seconds; the call is cheaper than others.

        Raises
        ------
        HistoryGoneError
            If the records must be listed again.
        """

    @abstractmethod
    async def fetch(self, kind: Kind, name: str) -> Entry | None:
        """Return the current record, or None if there is none.

        The entry's `record` is None if the stored object cannot be decoded.
        """

    @abstractmethod
    async def put(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
        revision: int,
    ) -> Stored | Conflict:
        """Store a record if its revision is still `revision`; 0 creates it.

        The version of the result is the record's new revision, which is higher
        than all previous revisions in the store.
        """

    @abstractmethod
    def decode_configuration(self, encoded: bytes) -> Configuration:
        """Return a configuration received from a peer.

        Raises
        ------
        DocumentError
            If it is malformed; names the path and what was expected.
        """

    @abstractmethod
    async def remove(self, kind: Kind, name: str, revision: int) -> bool:
        """Remove a record if its revision is still `revision`.

        Returns whether it was removed.
        """
