"""One statement's way from server to server, and the ends of its tries."""

from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.operations import Answer, Begin, Rejection, Request
from deckdrum.outcomes import Refusal
from deckdrum.serving.attempts import (
    Attempt,
    AttemptEnd,
    NoAnswer,
    release_link,
)
from deckdrum.serving.routing import Target
from deckdrum.serving.state import SessionState

#: First pause after every server has refused, in seconds; doubled with each.
FIRST_PAUSE: Final = 0.01


@dataclass(slots=True)
class Dispatch:
    """One statement's way from server to server.

    Attributes
    ----------
    request : Request
        The statement, as the caller sent it.
    state : SessionState
        The caller's session.
    begin : Begin or None
        Opens a transaction before the statement.
    is_read : bool
        Whether the statement changes nothing.
    may_spread : bool
        Whether several servers may work on it at a time.
    began, deadline : float
        When the search began and must end, in kernel seconds.
    tries : int
        Servers that were asked to run the statement.
    pause : float
        Next pause before the primary is tried again, in seconds.
    passed_over : set of str
        Servers that are not tried next.
    last : Rejection, Lost, Refusal or None
        The latest end of a try without success.
    ends : curio.Queue of EndedTry
        Ends of tries, in the order in which they came.
    running : list of Attempt
        Tries that have not ended.
    is_over : bool
        Whether nobody waits for further ends.
    may_have_run : bool
        Whether a server may have run it, though nothing of that is kept.
    """

    request: Request
    state: SessionState
    begin: Begin | None
    is_read: bool
    may_hedge: bool
    began: float
    deadline: float
    tries: int = 0
    pause: float = FIRST_PAUSE
    excluded_servers: set[str] = field(default_factory=set)
    last: Rejection | NoAnswer | Refusal | None = None
    ends: Any = field(default_factory=curio.Queue)
    running: list[Attempt] = field(default_factory=list)
    is_over: bool = False
    may_have_run: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a try whose answer is lost leaves nothing behind.

        A read changes nothing, and a transaction that has just begun is
        rolled back with its connection.
        """
        return self.is_read or self.begin is not None

    def find_pause(self, longest: float) -> float:
        """Return how long to wait before the tries are looked at again, in s.

        That is as long as nearly every answer takes, and at most `longest`.
        """
        patience = (each.handle.times.patience for each in self.running)
        return min(longest, *patience) if self.running else longest

    def describe(self) -> str:
        """Return what was done, for the log."""
        return f'{self.tries} tries, last: {self.last}'


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """A try and its end."""

    attempt: Attempt
    target: Target
    end: AttemptEnd


async def release_late_attempt(ended: FinishedAttempt) -> None:
    """Give back the connection of a try whose answer nobody waits for."""
    lease = ended.attempt.lease
    if lease is not None and isinstance(ended.end, Answer):
        await release_link(ended.target.handle, lease, ended.end.standing)
