"""The open sessions of a node."""

import curio

from deckdrum.serving import CallerSession
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters


class SessionBook:
    """Knows the open sessions, and ends transactions that rest.

    Parameters
    ----------
    journal : Journal
        For transactions that are given up.
    counters : Counters
        For metrics.
    """

    def __init__(self, journal: Journal, counters: Counters) -> None:
        self._journal = journal
        self._counters = counters
        self._sessions: set[CallerSession] = set()

    @property
    def count(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    @property
    def open_transactions(self) -> int:
        """Number of sessions inside a request or a transaction."""
        return sum(not session.is_at_rest for session in self._sessions)

    def add(self, session: CallerSession) -> None:
        """Enter a session that has just been opened."""
        self._sessions.add(session)

    async def close(self, session: CallerSession) -> None:
        """End a session."""
        self._sessions.discard(session)
        await session.close()

    async def abandon_transactions(self, reason: str) -> None:
        """Roll back every transaction that rests between statements."""
        for session in list(self._sessions):
            if session.has_resting_transaction:
                self._journal.record(
                    'transaction.abandoned',
                    database=session.state.database,
                    reason=reason,
                )
                await session.abandon_transaction(reason)

    async def end_idle(self, limit: float) -> None:
        """Roll back transactions that have rested for over `limit` seconds."""
        oldest = await curio.clock() - limit
        for session in list(self._sessions):
            is_idle = session.rested_at < oldest
            if is_idle and session.has_resting_transaction:
                self._counters.count('idle_transactions')
                await session.abandon_transaction('it rested too long')
