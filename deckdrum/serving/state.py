"""State of a caller's session."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from deckdrum.control import Route
from deckdrum.operations import (
    Answer,
    Begin,
    Effect,
    Execute,
    Operation,
    Request,
    TransactionState,
)
from deckdrum.outcomes import Refusal
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.sessions import Position
from deckdrum.sessions.position import LOG_START


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A prepared statement of a caller."""

    effect: Effect
    template: str


@dataclass(frozen=True, slots=True)
class Statement:
    """A caller's statement as it was read, with what its session had set.

    Every attempt to run it uses this value.  The session may go on once one
    attempt has been answered, so none may read the session's present state.

    Attributes
    ----------
    request : Request
        The statement as the caller sent it.
    prepared : PreparedStatement or None
        The prepared statement that it executes, if any.
    values : mapping of str to str
        Session variables.
    min_position : Position
        Position of the session's latest change.
    database : str
        Database name that the caller has connected to.
    workspace : str
        Workspace of the caller's key.
    fingerprint : str
        Fingerprint of the caller's key.
    begin : Begin or None
        Opens a transaction before the statement; the connection is kept.
    """

    request: Request
    prepared: PreparedStatement | None
    values: Mapping[str, str]
    min_position: Position
    database: str
    workspace: str
    fingerprint: str
    begin: Begin | None = None

    @property
    def operation(self) -> Operation:
        """Return the operation that the caller sent."""
        return self.request.operation


@dataclass(slots=True)
class PinnedConnection:
    """A connection to a server that is held by an open transaction."""

    handle: ServerHandle
    lease: ServerLease
    term: int
    is_primary: bool


class ForwardedTransaction(ABC):
    """A transaction that another node runs on behalf of this one."""

    @abstractmethod
    async def run(
        self,
        statement: Statement,
        *,
        may_have_committed: bool,
    ) -> Answer | Refusal:
        """Run a statement of the transaction.

        A refusal ends the transaction.  `may_have_committed` says that the
        statement may commit changes, so its outcome is unknown if no answer
        arrives.
        """

    @abstractmethod
    async def release(self) -> None:
        """Roll the transaction back if it is open."""


@dataclass(slots=True)
class Transaction:
    """A transaction of the caller.

    It is opened on a server with its first statement, so that a caller that
    is idle after BEGIN holds no connection.

    Attributes
    ----------
    read_only : bool
        Whether the caller has opened it as read-only.
    route : Route
        Its route; configuration changes apply to the next transaction.
    pin : PinnedConnection or None
        Its connection, once it has been opened on a server.
    forwarded : ForwardedTransaction or None
        Set instead of `pin` if another node runs the transaction.
    has_written : bool
        Whether a statement that may change data was sent.
    is_failed : bool
        Whether it can only be rolled back.
    unreported_failure : str
        Reason why the proxy has rolled it back, until reported to the caller.
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
    """State of one session, kept between its operations.

    Attributes
    ----------
    database : str
        Database name that the caller has connected to.
    fingerprint : str
        Fingerprint of the caller's key.
    workspace : str
        Workspace of the key when the latest transaction, or statement outside
        a transaction, began.
    values : dict of str to str
        Session variables set by the caller.
    prepared : dict of str to PreparedStatement
        Prepared statements by name.
    min_position : Position
        Position of the session's latest change.
    transaction : Transaction or None
        The open transaction.
    """

    database: str
    fingerprint: str = ''
    workspace: str = ''
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    min_position: Position = LOG_START
    transaction: Transaction | None = None

    def capture(
        self, request: Request, begin: Begin | None = None
    ) -> Statement:
        """Return a statement with the present state of the session."""
        operation = request.operation
        prepared = None
        if isinstance(operation, Execute):
            prepared = self.prepared.get(operation.name)
        return Statement(
            request,
            prepared,
            MappingProxyType(dict(self.values)),
            self.min_position,
            self.database,
            self.workspace,
            self.fingerprint,
            begin,
        )

    def record_change(self, answer: Answer) -> None:
        """Record the position of a change, so that later reads include it."""
        if answer.position is not None:
            self.min_position = max(self.min_position, answer.position)

    @property
    def transaction_state(self) -> TransactionState:
        """Transaction status of the session."""
        if self.transaction is None:
            return TransactionState.IDLE
        return (
            TransactionState.FAILED
            if self.transaction.is_failed
            else TransactionState.OPEN
        )
