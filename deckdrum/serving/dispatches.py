"""State of a statement that is tried on one or more servers."""

from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.operations import Answer, Begin, Rejection
from deckdrum.outcomes import Refusal
from deckdrum.serving.attempts import (
    Attempt,
    AttemptOutcome,
    NoAnswer,
    release_link,
)
from deckdrum.serving.routing import Target
from deckdrum.serving.state import Statement

#: Backoff after the primary has failed; doubled each time.
MIN_RETRY_BACKOFF_S: Final = 0.01


@dataclass(slots=True)
class Dispatch:
    """A statement and its attempts on the servers of a group.

    Points in time are those of `curio.clock`.

    Attributes
    ----------
    statement : Statement
        The statement as it was read.
    is_read : bool
        Whether the statement changes nothing.
    may_hedge : bool
        Whether several servers may run the statement concurrently.
    began, deadline : float
        Start of the dispatch and time by which it must end.
    attempt_count : int
        Number of attempts that have been started.
    backoff : float
        Next delay before the primary is tried again, in seconds.
    excluded_servers : set of str
        Servers that are not tried next.
    last_failure : Rejection, NoAnswer, Refusal or None
        Result of the latest attempt that failed.
    finished_attempts : curio.Queue of FinishedAttempt
        Finished attempts in order of completion.
    running : list of Attempt
        Attempts in progress.
    answered : FinishedAttempt or None
        The attempt whose answer the caller gets.
    final_refusal : Refusal or None
        What the caller gets unless an attempt that was sent is answered.
    is_finished : bool
        Whether results that arrive from now on are discarded.
    may_have_run : bool
        Whether a server may have run the statement without lasting effect.
    """

    statement: Statement
    is_read: bool
    may_hedge: bool
    began: float
    deadline: float
    attempt_count: int = 0
    backoff: float = MIN_RETRY_BACKOFF_S
    excluded_servers: set[str] = field(default_factory=set)
    last_failure: Rejection | NoAnswer | Refusal | None = None
    finished_attempts: Any = field(default_factory=curio.Queue)
    running: list[Attempt] = field(default_factory=list)
    answered: 'FinishedAttempt | None' = None
    final_refusal: Refusal | None = None
    is_finished: bool = False
    may_have_run: bool = False

    @property
    def begin(self) -> Begin | None:
        """Return the transaction that is opened before the statement."""
        return self.statement.begin

    @property
    def is_repeatable(self) -> bool:
        """Whether the statement can be repeated after a lost answer.

        A read changes nothing, and the first statement of a transaction is
        rolled back when its connection is closed.
        """
        return self.is_read or self.begin is not None

    @property
    def is_in_flight(self) -> bool:
        """Whether a server may be running the statement."""
        return any(attempt.was_sent for attempt in self.running)

    async def end(self, *, is_awaited: bool) -> None:
        """End what still waits, and release what finishes too late.

        Parameters
        ----------
        is_awaited : bool
            Whether to wait until nothing can be sent to a server any more.
        """
        self.is_finished = True
        for attempt in list(self.running):
            await attempt.end(is_awaited=is_awaited)
        while not self.finished_attempts.empty():
            await release_late_attempt(await self.finished_attempts.get())

    def compute_wait(self, longest: float) -> float:
        """Return the time until the running attempts are checked, in seconds.

        This is the shortest answer timeout of their servers, at most `longest`.
        """
        timeouts = (
            attempt.handle.response_times.timeout for attempt in self.running
        )
        return min(longest, *timeouts) if self.running else longest

    def describe(self) -> str:
        """Return a summary for the log."""
        return f'{self.attempt_count} tries, last: {self.last_failure}'


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """An attempt with its target and result."""

    attempt: Attempt
    target: Target
    outcome: AttemptOutcome


async def release_late_attempt(finished: FinishedAttempt) -> None:
    """Release the connection of an attempt that finished too late."""
    lease = finished.attempt.lease
    if lease is not None and isinstance(finished.outcome, Answer):
        await release_link(
            finished.target.handle, lease, finished.outcome.transaction_state
        )
