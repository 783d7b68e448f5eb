"""Positions in a database group's log."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the primary under which the place was seen.
    offset : int
        Log position, in the database's own unit (bytes or entries).

    Notes
    -----
    Ordering compares terms first.  Only confirmed positions may be compared
    across terms: a confirmed position is part of the log of every later term.

    Examples
    --------
    >>> Position(1, 900) < Position(2, 10)
    True
    """

    term: int
    offset: int


#: The place before every log; each database has reached it.
LOG_START: Final = Position(0, 0)
