"""Records of the operations that callers sent, and of their outcomes."""

from dataclasses import dataclass, field
from enum import StrEnum


class AttemptOutcome(StrEnum):
    """Outcome of an attempt as far as the caller knows."""

    DONE = 'done'
    #: An error code guaranteed that no change was committed.
    NOT_COMMITTED = 'not kept'
    #: The caller rolled back or never sent COMMIT.
    NOT_REQUESTED = 'not asked'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class Attempt:
    """One operation of a caller: a statement or a whole transaction.

    Attributes
    ----------
    session : str
        Id of the caller's session.
    database : str
        Name of the route.
    began_at, ended_at : float
        Times of the first request and of the last answer, in seconds.
    statements : dict of str to str
        Statement texts as sent, by request id.
    writes : list of str
        Request ids of the statements that change data.
    reads : list of tuple
        Key and row of each answered read.
    outcome : AttemptOutcome
        Outcome as far as the caller knows.
    """

    session: str
    database: str
    began_at: float = 0
    ended_at: float = 0
    statements: dict[str, str] = field(default_factory=dict)
    writes: list[str] = field(default_factory=list)
    reads: list[tuple[str, str]] = field(default_factory=list)
    outcome: AttemptOutcome = AttemptOutcome.UNKNOWN
