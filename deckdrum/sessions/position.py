"""Positions in the log of a database group."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the primary that reported the position.
    offset : int
        Offset in the log, in bytes or entries depending on the server.

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


#: Position before the first entry of any log.
LOG_START: Final = Position(0, 0)
