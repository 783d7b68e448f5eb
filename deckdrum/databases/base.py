"""Interface to a backend database.

Failover relies on these guarantees:

* A database that was fenced at a term permanently rejects the log and the
  writes of every lower term, including after a restart.
* ``promote`` succeeds only on a database fenced at exactly that term.
* The log of a replica that follows a term is a prefix of the log of that
  term's primary.
* ``received`` includes only durable log entries.
* ``log_term`` is the term in which the last of them was written, and a primary
  writes an entry of its own when it is promoted.
"""

from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from deckdrum.backends.pool import Connectable, Pool, PooledLink
from deckdrum.configuration.models import DatabaseEntry
from deckdrum.wire import Frame


class Role(StrEnum):
    """Replication role of a database."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


@dataclass(frozen=True, slots=True)
class DatabaseState:
    """Replication state as reported by a database.

    Attributes
    ----------
    role : Role
        Its role.
    term : int
        Term that it leads or follows.
    received : int
        Log offset up to which changes are durable.
    applied : int
        Log offset up to which changes are visible to reads.
    fenced : int
        Lowest term that it still accepts.
    leaving : bool
        Whether its server is about to be removed.
    log_term : int
        Term of the last durable log entry, 0 if there is none.  It is lower
        than `term` until a replica has received the log of that term's primary.
    """

    role: Role
    term: int
    received: int
    applied: int
    fenced: int
    leaving: bool
    log_term: int

    def is_in_term(self, term: int) -> bool:
        """Whether it leads or follows `term`, not fenced at a later one."""
        return self.term == term and self.fenced == term


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Result of a query issued by the proxy itself.

    `sqlstate` is empty if the query succeeded.
    """

    rows: Sequence[Sequence[str | None]] = ()
    sqlstate: str = ''
    text: str = ''
    detail: str = ''


class DatabaseLink(PooledLink):
    """Authenticated connection to a database.

    Every method raises `ConnectionError` once the connection is broken.
    """

    #: Server names of the statements prepared on this connection.
    prepared: set[bytes]
    #: Session settings in effect on this connection.
    settings: tuple[tuple[str, str], ...]

    @abstractmethod
    async def send(self, payload: bytes) -> None:
        """Send encoded protocol messages."""

    @abstractmethod
    async def read_frame(self) -> Frame:
        """Return the next message."""

    @abstractmethod
    def pop_frame(self) -> Frame | None:
        """Return the next buffered message, or None."""

    @abstractmethod
    async def query(self, text: str) -> QueryResult:
        """Run a simple query and return its complete result."""

    @abstractmethod
    async def read_result(self) -> QueryResult:
        """Read the complete result of a query that was already sent."""

    @abstractmethod
    async def cancel(self) -> None:
        """Request cancellation of the statement running on the connection."""


class Database(Connectable[DatabaseLink]):
    """One backend database.

    Parameters
    ----------
    entry : DatabaseEntry
        Its configuration entry.
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
        """Encoded query for the state, to be pipelined after a batch."""

    @abstractmethod
    def decode_state(self, answer: QueryResult) -> DatabaseState | None:
        """Decode the state from a result; None if it has no state."""

    @abstractmethod
    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Query the database for its state."""

    @abstractmethod
    async def fence(
        self, link: DatabaseLink, term: int
    ) -> DatabaseState | None:
        """Fence the database at `term`; return its state, None if refused."""

    @abstractmethod
    async def promote(
        self,
        link: DatabaseLink,
        term: int,
    ) -> DatabaseState | None:
        """Promote it to primary of `term`; return None if refused."""

    @abstractmethod
    async def follow(
        self,
        link: DatabaseLink,
        primary: str,
        term: int,
    ) -> DatabaseState | None:
        """Make it replicate from `primary` in `term`; None if refused."""


DatabasePool = Pool[Database, DatabaseLink]
