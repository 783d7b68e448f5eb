"""What the callers of a soak asked, and what they were told."""

from dataclasses import dataclass, field
from enum import StrEnum


class Fate(StrEnum):
    """What a caller knows of its attempt."""

    DONE = 'done'
    #: It was promised that nothing is kept.
    NOT_KEPT = 'not kept'
    #: The caller itself rolled back, or never asked to commit.
    NOT_ASKED = 'not asked'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class Attempt:
    """One operation of a caller: a statement or a whole transaction.

    Attributes
    ----------
    session : str
        The caller's session.
    database : str
        The route's name.
    began_at, ended_at : float
        When the first byte was sent and the last answer came, in seconds.
    texts : dict of str to str
        Statements by id, as they were sent.
    writes : list of str
        Ids of those that change data.
    reads : list of tuple
        Thing and row of each answered read.
    fate : Fate
        What the caller knows.
    """

    session: str
    database: str
    began_at: float = 0
    ended_at: float = 0
    texts: dict[str, str] = field(default_factory=dict)
    writes: list[str] = field(default_factory=list)
    reads: list[tuple[str, str]] = field(default_factory=list)
    fate: Fate = Fate.UNKNOWN
