"""Promotion of one database, which lasts as long as it applies its log."""

from dataclasses import dataclass
from typing import Any, Final

import curio

from deckdrum.databases import Database, DatabaseState, Role
from deckdrum.failover.steps import (
    STEP_RETRY_DELAY_S,
    run_step,
    run_untimed_step,
)

#: Refused orders or unanswered probes in a row before a promotion is given up.
MAX_PROMOTION_ATTEMPTS: Final = 4
#: A candidate that answers but applies no log for this long is given up.
PROMOTION_STALLED_AFTER_S: Final = 8.0


@dataclass(slots=True)
class _Progress:
    """What the candidate has applied, and since when this is unchanged."""

    applied: int
    since: float

    def is_stalled(self, state: DatabaseState, now: float) -> bool:
        """Record a state; return whether the promotion has stalled."""
        if state.applied > self.applied:
            self.applied = state.applied
            self.since = now
        return now - self.since >= PROMOTION_STALLED_AFTER_S


class Promotion:
    """Promotion of one database in one term.

    The order waits on a connection of its own while the database is probed, so
    that a promotion in progress is not taken for one that was not begun.

    Parameters
    ----------
    database : Database
        The candidate.
    state : DatabaseState
        Its state when it was fenced.
    term : int
        The term.
    """

    def __init__(
        self, database: Database, state: DatabaseState, term: int
    ) -> None:
        self._database = database
        self._term = term
        self._progress = _Progress(state.applied, 0)
        self._failures = 0
        self._order: Any = None

    async def start(self) -> None:
        """Send the order."""
        self._progress.since = await curio.clock()
        await self._send_order()

    async def close(self) -> None:
        """Stop waiting for the answer to the order."""
        if self._order is not None:
            await self._order.cancel()

    async def check(self) -> bool | None:
        """Check the promotion once, after a short wait.

        Returns
        -------
        bool or None
            Whether the database leads the term, or None if it is undecided.
            False means that the promotion was given up; it may still take
            effect until a majority is fenced at a later term.
        """
        async with curio.ignore_after(STEP_RETRY_DELAY_S):
            await self._order.wait()
        is_refused = self._order.terminated
        if is_refused and self._order.result is not None:
            return True
        state = await run_step(self._database, self._database.fetch_state)
        if state is not None and self._is_decided(state):
            return self._is_leading(state)
        if await self._must_give_up(state, is_refused):
            return False
        if is_refused:
            await curio.sleep(STEP_RETRY_DELAY_S)
            await self._send_order()
        return None

    def _is_leading(self, state: DatabaseState) -> bool:
        return state.role is Role.PRIMARY and state.term == self._term

    def _is_decided(self, state: DatabaseState) -> bool:
        return self._is_leading(state) or state.fenced != self._term

    async def _must_give_up(
        self, state: DatabaseState | None, is_refused: bool
    ) -> bool:
        has_failed = is_refused or state is None
        self._failures = self._failures + 1 if has_failed else 0
        if self._failures >= MAX_PROMOTION_ATTEMPTS:
            return True
        now = await curio.clock()
        return state is not None and self._progress.is_stalled(state, now)

    async def _send_order(self) -> None:
        database = self._database
        term = self._term
        self._order = await curio.spawn(
            run_untimed_step,
            database,
            lambda link: database.promote(link, term),
            daemon=True,
        )
