"""Interface to backend servers that run typed operations.

Primary changes rely on the following guarantees of the servers:

* A replica that is fenced for a term receives no log until the fence is
  released, or the replica is promoted or restarted.
* A primary that was told to step down accepts no more changes.
* A promoted server leads the term after the one that it followed, starting from
  exactly the log that it had received.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from deckdrum.backends.pool import Connectable, PooledLink
from deckdrum.operations import Answer, Operation, Rejection
from deckdrum.sessions import Position
from deckdrum.utils import Address, ByteStream


class ConnectionLimitError(ConnectionError):
    """The server has reached its connection limit."""


class NoFreeConnectionError(ConnectionLimitError):
    """No connection is free according to this node or its peers.

    The server was not contacted, so the error says nothing about its state.
    """


class WrongServerError(ConnectionError):
    """The server at the address is another one or a later incarnation."""


class ServerRole(StrEnum):
    """Role of a server in its database group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server, as listed in the directory.

    Attributes
    ----------
    id : str
        Unique id, never reused for another server.  A server may keep it when
        it restarts.
    service : str
        Database group of the server.
    address : Address
        Address on which it listens; another server may use it later.
    data_centre : str
        Data centre in which it runs.
    is_draining : bool
        Whether it is about to be removed and gets no new work.
    role : ServerRole
        Role that the server reports.  Only a hint: a former primary that was
        cut off also reports to be a primary.
    started_at : int
        Start time in Unix milliseconds; 0 if unknown.  Each start under the
        same id is a new incarnation, without data or state of the earlier ones.
    slots : int
        Statements that it runs at once; others wait in its own queue, in order
        of arrival.  0 if unknown.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    is_draining: bool = False
    role: ServerRole = ServerRole.REPLICA
    started_at: int = 0
    slots: int = 0

    def is_same_incarnation_as(self, other: 'BackendServer') -> bool:
        """Return whether this may be the same incarnation of a server.

        Examples
        --------
        >>> address = Address('10.1.0.8', 8080)
        >>> first = BackendServer('i-1', 's', address, 'a', started_at=5)
        >>> again = BackendServer('i-1', 's', address, 'a', started_at=9)
        >>> (
        ...     first.is_same_incarnation_as(first),
        ...     again.is_same_incarnation_as(first),
        ... )
        (True, False)
        """
        starts = {self.started_at, other.started_at}
        return len(starts) == 1 or 0 in starts


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status that a server reports.

    Attributes
    ----------
    role : ServerRole
        Role of the server.
    term : int
        Term that it leads or follows.
    received : Position
        End of the log that it has received.
    fenced_term : int
        Term for which it is fenced; 0 if it is not.
    """

    role: ServerRole
    term: int
    received: Position
    fenced_term: int


@dataclass(frozen=True, slots=True)
class Call:
    """An operation to be run by a server.

    Attributes
    ----------
    operation : Operation
        Operation to run.  `Execute` contains the name that the prepared
        statement has on the connection.
    request_id : str
        Id given by the caller; empty for internal operations.
    min_position : Position or None
        Log position that the server must have, else it refuses.
    """

    operation: Operation
    request_id: str = ''
    min_position: Position | None = None


@dataclass(slots=True)
class LinkState:
    """Session values, and names of prepared statements by effect and shape."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[tuple[str, str], str] = field(default_factory=dict)


class BackendLink(PooledLink):
    """A connection to a server.

    All methods raise `ConnectionError` once the connection is broken.  An
    operation that was sent before may have run.
    """

    #: Byte stream of the connection.
    stream: ByteStream

    def __init__(self) -> None:
        self.state = LinkState()
        #: Returns a borrowed connection to its lender.
        self.on_hand_back: Callable[[BackendLink], Awaitable[None]] | None
        self.on_hand_back = None
        #: Position of the server's log at the time of opening, if known.
        self.position_at_open: Position | None = None

    async def hand_back(self) -> None:
        """Return a borrowed connection to its lender, or close an own one."""
        if self.on_hand_back is None:
            await self.close()
        else:
            await self.on_hand_back(self)

    @abstractmethod
    async def run(self, call: Call) -> Answer | Rejection:
        """Run an operation and return its complete answer."""

    @abstractmethod
    async def read_status(self) -> ServerStatus | Rejection:
        """Request the status of the server."""

    @abstractmethod
    async def hold(self, term: int) -> ServerStatus | Rejection:
        """Fence a replica for `term`, so that it receives no log."""

    @abstractmethod
    async def release_hold(self) -> ServerStatus | Rejection:
        """Release the fence of a replica, so that it receives the log again."""

    @abstractmethod
    async def step_down(self, term: int) -> ServerStatus | Rejection:
        """Demote a primary of a term below `term` to a replica."""

    @abstractmethod
    async def reset(self) -> bool:
        """Discard values and prepared statements; return whether done."""


class Backend(Connectable[BackendLink], ABC):
    """A backend server to which connections can be opened.

    Parameters
    ----------
    server : BackendServer
        Entry of the server in the directory.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server

    @property
    def name(self) -> str:
        """Id of the server."""
        return self.server.id

    @abstractmethod
    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return a link over a connection that is already established."""
