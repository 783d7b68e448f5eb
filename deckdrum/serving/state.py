"""What a caller's session remembers between its operations."""

from dataclasses import dataclass, field

from deckdrum.control import Route
from deckdrum.operations import Effect, Standing
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that the caller has prepared."""

    effect: Effect
    shape: str


@dataclass(slots=True)
class Pin:
    """A server's connection that an open transaction holds."""

    handle: ServerHandle
    lease: ServerLease
    term: int
    is_primary: bool


@dataclass(slots=True)
class Transaction:
    """A transaction of the caller.

    It begins on a server only with its first statement, so that a caller
    who rests after BEGIN holds no connection.

    Attributes
    ----------
    read_only : bool
        Whether the caller has opened it for reading only.
    route : Route
        How it is served; a later configuration binds the next one.
    pin : Pin or None
        Its connection, once it has begun on a server.
    has_written : bool
        Whether a statement that may change data was sent.
    is_failed : bool
        Whether it can only be rolled back.
    untold : str
        Why the product has rolled it back, until the caller is told.
    """

    read_only: bool
    route: Route
    pin: Pin | None = None
    has_written: bool = False
    is_failed: bool = False
    untold: str = ''


@dataclass(slots=True)
class SessionState:
    """State of one session.

    `floor` is the position of the session's latest change.
    """

    database: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    floor: Position = NOWHERE
    transaction: Transaction | None = None

    @property
    def standing(self) -> Standing:
        """Whether the session is inside a transaction."""
        if self.transaction is None:
            return Standing.IDLE
        return Standing.FAILED if self.transaction.is_failed else Standing.OPEN
