"""What a database answers to an operation."""

from dataclasses import dataclass
from enum import StrEnum

from deckdrum.sessions import Position


class TransactionState(StrEnum):
    """Whether a connection is inside a transaction."""

    IDLE = 'idle'
    OPEN = 'open'
    #: Inside a transaction that can only be rolled back.
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer.

    Attributes
    ----------
    rows : tuple of str
        Rows in the database's own form.
    completion : str
        The database's proof that it ran the statement; empty if the
        product itself has answered.
    standing : Standing
        The connection's standing afterwards.
    position : Position or None
        Where the database's log stood, if it said so.
    """

    rows: tuple[str, ...] = ()
    completion: str = ''
    standing: TransactionState = TransactionState.IDLE
    position: Position | None = None


class RejectionCause(StrEnum):
    """Why a database did not answer with success."""

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
        """Whether the database promises that the statement did not run."""
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
    """A database's error answer."""

    cause: RejectionCause
    text: str = ''
    standing: TransactionState = TransactionState.IDLE
    position: Position | None = None

    @property
    def reports_position(self) -> bool:
        """Whether it tells where the log of a primary stands.

        An overloaded one tells so too, and then nothing else does.
        """
        is_loaded = self.cause is RejectionCause.OVERLOADED
        return is_loaded and self.position is not None
