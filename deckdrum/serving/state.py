"""What a caller's session remembers between its operations."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from deckdrum.control import Route
from deckdrum.operations import (
    Answer,
    Effect,
    Execute,
    Operation,
    Request,
    Standing,
)
from deckdrum.outcomes import Refusal
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that the caller has prepared."""

    effect: Effect
    shape: str


@dataclass(slots=True)
class PinnedConnection:
    """A server's connection that an open transaction holds."""

    handle: ServerHandle
    lease: ServerLease
    term: int
    is_primary: bool


class ForwardedTransaction(ABC):
    """A transaction that another node runs for this one."""

    @abstractmethod
    async def run(
        self,
        request: Request,
        prepared: PreparedStatement | None,
        *,
        may_last: bool,
    ) -> Answer | Refusal:
        """Run a statement of it; after a refusal it has ended.

        `may_last` tells that the statement may make changes last: without an
        answer it is in doubt.
        """

    @abstractmethod
    async def release(self) -> None:
        """Roll it back if it is open."""


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
    forwarded : ForwardedTransaction or None
        In place of it, the node that runs the transaction.
    has_written : bool
        Whether a statement that may change data was sent.
    is_failed : bool
        Whether it can only be rolled back.
    untold : str
        Why the product has rolled it back, until the caller is told.
    """

    read_only: bool
    route: Route
    pin: PinnedConnection | None = None
    forwarded: ForwardedTransaction | None = None
    has_written: bool = False
    is_failed: bool = False
    unreported_failure: str = ''


@dataclass(slots=True)
class SessionState:
    """State of one session.

    Attributes
    ----------
    database : str
        Name that the caller has connected to.
    fingerprint : str
        Of the caller's key.
    workspace : str
        Which workspace held the key when the latest transaction, or statement
        outside one, began.
    values : dict of str to str
        Session values.
    prepared : dict of str to PreparedStatement
        Prepared statements by the caller's names.
    floor : Position
        Position of the session's latest change.
    transaction : Transaction or None
        The open one.
    """

    database: str
    fingerprint: str = ''
    workspace: str = ''
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    floor: Position = NOWHERE
    transaction: Transaction | None = None

    def find_prepared(self, operation: Operation) -> PreparedStatement | None:
        """Return the prepared statement that an operation executes, if any."""
        if isinstance(operation, Execute):
            return self.prepared.get(operation.name)
        return None

    def note_change(self, answer: Answer) -> None:
        """Note the answer to a change, so that later reads show it."""
        if answer.position is not None:
            self.floor = max(self.floor, answer.position)

    @property
    def standing(self) -> Standing:
        """Whether the session is inside a transaction."""
        if self.transaction is None:
            return Standing.IDLE
        return Standing.FAILED if self.transaction.is_failed else Standing.OPEN
