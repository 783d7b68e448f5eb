"""The interface to a backend database, and what it promises.

The contract on which failover rests:

* A database that was fenced at a term refuses the log and the writes of
  every lower term, for ever, also after a restart.
* ``promote`` succeeds only on a database fenced at exactly that term.
* A replica that follows a term has a log that is the beginning of that
  term's primary's log.
* ``received`` counts only what is durable.
"""

from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from deckdrum.backends.pool import Connectable, Pool, PooledLink
from deckdrum.configuration.models import DatabaseEntry
from deckdrum.wire import Frame


class Role(StrEnum):
    """What a database does in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


@dataclass(frozen=True, slots=True)
class DatabaseState:
    """What a database says of itself.

    Attributes
    ----------
    role : Role
        Its role.
    term : int
        Term that it leads or follows.
    received : int
        Offset up to which its log is durable.
    applied : int
        Offset up to which readers see changes.
    fenced : int
        Lowest term that it still accepts.
    leaving : bool
        Whether its server is about to be taken away.
    """

    role: Role
    term: int
    received: int
    applied: int
    fenced: int
    leaving: bool

    def is_in_term(self, term: int) -> bool:
        """Tell whether it leads or follows `term` and no later one."""
        return self.term == term and self.fenced == term


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Answer to a query of the product's own.

    `sqlstate` is empty if the query succeeded.
    """

    rows: Sequence[Sequence[str | None]] = ()
    sqlstate: str = ''
    text: str = ''
    detail: str = ''


class DatabaseLink(PooledLink):
    """One authenticated connection to a database.

    Every method raises `ConnectionError` once the connection is broken.
    """

    #: Server names of the statements prepared on this connection.
    prepared: set[bytes]
    #: Settings that were replayed on this connection.
    settings: tuple[tuple[str, str], ...]

    @abstractmethod
    async def send(self, payload: bytes) -> None:
        """Send messages."""

    @abstractmethod
    async def read_frame(self) -> Frame:
        """Return the next message."""

    @abstractmethod
    def take_frame(self) -> Frame | None:
        """Return a message that has already arrived, or None."""

    @abstractmethod
    async def query(self, text: str) -> QueryResult:
        """Run a simple query and return its whole answer."""

    @abstractmethod
    async def read_answer(self) -> QueryResult:
        """Return the whole answer to a query that was sent."""

    @abstractmethod
    async def cancel(self) -> None:
        """Ask the database to cancel what runs on this connection."""


class Database(Connectable[DatabaseLink]):
    """One backend database.

    Parameters
    ----------
    entry : DatabaseEntry
        How the configuration declares it.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self.entry = entry

    @property
    def name(self) -> str:
        """Name of the database."""
        return self.entry.name

    @property
    @abstractmethod
    def state_request(self) -> bytes:
        """Messages that ask for the state, to send behind a batch."""

    @abstractmethod
    def decode_state(self, answer: QueryResult) -> DatabaseState | None:
        """Return the state in an answer, or None if it is none."""

    @abstractmethod
    async def read_state(self, link: DatabaseLink) -> DatabaseState:
        """Ask the database for its state."""

    @abstractmethod
    async def fence(
        self, link: DatabaseLink, term: int
    ) -> DatabaseState | None:
        """Fence at `term`; return the state, or None if refused."""

    @abstractmethod
    async def promote(
        self,
        link: DatabaseLink,
        term: int,
    ) -> DatabaseState | None:
        """Make it the primary of `term`; None if refused."""

    @abstractmethod
    async def follow(
        self,
        link: DatabaseLink,
        primary: str,
        term: int,
    ) -> DatabaseState | None:
        """Make it replicate from `primary` in `term`; None if refused."""


#: A pool of connections to one database.
DatabasePool = Pool[Database, DatabaseLink]
