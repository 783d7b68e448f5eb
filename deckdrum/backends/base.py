"""The border to backend servers that take typed operations.

The contract on which the replacement of a primary rests:

* A replica that holds at a term receives no log until it is released, is
  promoted or restarts.
* A primary that was told to step down takes no more changes.
* A server that is promoted leads the term after the one that it followed,
  with what it had received and nothing beyond it.
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
    """The server has as many connections as it allows."""


class NoFreeConnectionError(ConnectionLimitError):
    """No connection is free, as this node or its peers know.

    The server itself was not asked: this tells nothing of its state.
    """


class WrongServerError(ConnectionError):
    """Another server than the expected one answers at the address.

    That may be a later life of it, which lacks what it had.
    """


class ServerRole(StrEnum):
    """What a server does in its database group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server, as the directory lists it.

    Attributes
    ----------
    id : str
        Unique for ever; a server that starts again may keep it.
    service : str
        The database group that it belongs to.
    address : Address
        Where it listens.  Another server may use it later.
    data_centre : str
        Where it runs.
    is_draining : bool
        Whether its end is planned: it gets no new work.
    role : ServerRole
        Its role as it sees itself.  A primary that was cut off says
        primary too, so this is a hint.
    started_at : int
        When it started, in Unix milliseconds; 0 if that is not known.  Another
        start under the same id is another life, which holds and knows nothing
        of the one before.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    is_draining: bool = False
    role: ServerRole = ServerRole.REPLICA
    started_at: int = 0

    def is_same_incarnation_as(self, other: 'BackendServer') -> bool:
        """Tell whether this is the same start of a server, as far as is known.

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
    """What a server says of itself when it is asked.

    Attributes
    ----------
    role : ServerRole
        Its role.
    term : int
        Term that it leads or follows.
    received : Position
        End of the log that it has received.
    held_term : int
        Term for which it holds its log, or 0.
    """

    role: ServerRole
    term: int
    received: Position
    held_term: int


@dataclass(frozen=True, slots=True)
class Call:
    """One operation on its way to a server.

    Attributes
    ----------
    operation : Operation
        What to run.  The name in an `Execute` is the connection's own.
    request_id : str
        The caller's id; empty for the product's own operations.
    floor : Position or None
        The server refuses if its log lacks this position.
    """

    operation: Operation
    request_id: str = ''
    floor: Position | None = None


@dataclass(slots=True)
class LinkState:
    """What a connection remembers on the server's side.

    `values` are session values; `prepared` maps the effect and shape of a
    statement to its name on this connection.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[tuple[str, str], str] = field(default_factory=dict)


class BackendLink(PooledLink):
    """One connection to a server.

    Every method raises `ConnectionError` once the connection is broken;
    what was sent before may have run.
    """

    #: The bytes below it.
    stream: ByteStream

    def __init__(self) -> None:
        self.state = LinkState()
        #: Returns the connection to the node that lent it, if one did.
        self.on_hand_back: Callable[[BackendLink], Awaitable[None]] | None
        self.on_hand_back = None
        #: Where the server's log stood when it was opened, if it said so.
        self.opened_at: Position | None = None

    async def hand_back(self) -> None:
        """Return a clean connection to its lender, or close it."""
        if self.on_hand_back is None:
            await self.close()
        else:
            await self.on_hand_back(self)

    @abstractmethod
    async def run(self, call: Call) -> Answer | Rejection:
        """Run one operation and return the whole answer."""

    @abstractmethod
    async def read_status(self) -> ServerStatus | Rejection:
        """Ask the server about itself."""

    @abstractmethod
    async def hold(self, term: int) -> ServerStatus | Rejection:
        """Stop a replica from receiving, for a change to `term`."""

    @abstractmethod
    async def release_hold(self) -> ServerStatus | Rejection:
        """Let a replica receive again."""

    @abstractmethod
    async def step_down(self, term: int) -> ServerStatus | Rejection:
        """Turn a primary of a term below `term` into a replica."""

    @abstractmethod
    async def reset(self) -> bool:
        """Drop session values and prepared statements; tell whether done."""


class Backend(Connectable[BackendLink], ABC):
    """One backend server that can be connected to.

    Parameters
    ----------
    server : BackendServer
        The server's entry in the directory.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server

    @property
    def name(self) -> str:
        """Id of the server."""
        return self.server.id

    @abstractmethod
    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return the link over a connection that has been started."""
