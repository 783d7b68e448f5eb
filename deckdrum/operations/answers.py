"""Answers of a server to an operation."""

from dataclasses import dataclass
from enum import StrEnum

from deckdrum.sessions import Position


class TransactionState(StrEnum):
    """State of the transaction on a connection."""

    IDLE = 'idle'
    OPEN = 'open'
    #: The open transaction can only be rolled back.
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer.

    Attributes
    ----------
    rows : tuple of str
        Rows as encoded by the server.
    completion : str
        Signature by which the server proves that it ran the statement; empty
        if the proxy itself has answered.
    transaction_state : TransactionState
        State of the transaction after the operation.
    position : Position or None
        Log position of the server, if it reported one.
    """

    rows: tuple[str, ...] = ()
    completion: str = ''
    transaction_state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class RejectionCause(StrEnum):
    """Reason why a server rejected an operation."""

    OVERLOADED = 'overloaded'
    TOO_MANY_CONNECTIONS = 'too many connections'
    BEHIND = 'log lacks the position'
    NOT_PRIMARY = 'not the primary'
    UNKNOWN_STATEMENT = 'unknown prepared statement'
    WRONG_SERVER = 'another server answers at the address'
    FAILED = 'ran and failed'
    TIMED_OUT = 'ran out of time'
    ABORTED = 'rolled back'
    OTHER = 'other'

    @property
    def is_not_run(self) -> bool:
        """Whether the server guarantees that the statement did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    (
        RejectionCause.OVERLOADED,
        RejectionCause.TOO_MANY_CONNECTIONS,
        RejectionCause.BEHIND,
        RejectionCause.NOT_PRIMARY,
        RejectionCause.UNKNOWN_STATEMENT,
        RejectionCause.WRONG_SERVER,
    ),
)


@dataclass(frozen=True, slots=True)
class Rejection:
    """An error answer of a server."""

    cause: RejectionCause
    text: str = ''
    transaction_state: TransactionState = TransactionState.IDLE
    position: Position | None = None

    @property
    def reports_position(self) -> bool:
        """Whether this reports the log position of an overloaded primary.

        While a primary is overloaded, no other answer reports its position.
        """
        is_overloaded = self.cause is RejectionCause.OVERLOADED
        return is_overloaded and self.position is not None
