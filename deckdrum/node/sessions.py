"""The open sessions of a node."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.control import Route
from deckdrum.forwarding.handler import SessionRegistry
from deckdrum.operations import Begin, Commit, Execute, Request, Run
from deckdrum.outcomes import Code, Fate, Refusal
from deckdrum.serving import CallerSession, Outcome
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: Labels of refused statements in the statistics, by refusal code.
REFUSAL_LABELS: Final = MappingProxyType(
    {
        Code.LIMIT_REACHED: 'limit',
        Code.LIMIT_UNKNOWN: 'limit unknown',
        Code.UNKNOWN_KEY: 'key',
        Code.QUEUE_FULL: 'load',
        Code.QUEUE_TIMEOUT: 'load',
        Code.READ_NOT_POSSIBLE: 'load',
        Code.PRIMARY_REFUSED: 'load',
        Code.NO_PRIMARY: 'no primary',
    },
)


class SessionManager(SessionRegistry):
    """Tracks the open sessions and rolls back idle transactions.

    Parameters
    ----------
    journal : Journal
        Receives events for refused sessions, refused or late statements, and
        transactions that are rolled back.
    counters : Counters
        Metrics of the node.
    get_version : callable
        Returns the version of the current configuration.
    """

    def __init__(
        self,
        journal: Journal,
        counters: Counters,
        get_version: Callable[[], int],
    ) -> None:
        self._journal = journal
        self._counters = counters
        self._get_version = get_version
        self._sessions: set[CallerSession] = set()
        #: Why transactions are rolled back at their next rest; empty if they
        #: are not.
        self._rollback_reason = ''

    @property
    def count(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    @property
    def open_transactions(self) -> int:
        """Number of sessions inside a request or a transaction."""
        return sum(not session.is_inactive for session in self._sessions)

    def add(self, session: CallerSession) -> None:
        """Add a session that has been opened."""
        self._sessions.add(session)

    def discard(self, session: CallerSession) -> None:
        """Remove a session that has ended."""
        self._sessions.discard(session)

    def log_refused_session(self, database: str, refusal: Refusal) -> None:
        """Count and log a session that was refused."""
        self._counters.count('refused_sessions')
        self._journal.record_rate_limited(
            'session.refused',
            database=database,
            reason=refusal.text,
            version=self._get_version(),
        )

    async def close(self, session: CallerSession) -> None:
        """End a session."""
        self.discard(session)
        await session.close()

    async def rollback_transactions(self, reason: str) -> None:
        """Roll back every transaction, between two of its statements."""
        self._rollback_reason = reason
        for session in list(self._sessions):
            await self.finish_operation(session)

    async def finish_operation(self, session: CallerSession) -> None:
        """Roll back an open transaction if the node ends transactions."""
        transaction = session.state.transaction
        is_ending = bool(self._rollback_reason) and session.has_idle_transaction
        if transaction is None or transaction.is_failed or not is_ending:
            return
        self._journal.record(
            'transaction.abandoned',
            database=session.state.database,
            reason=self._rollback_reason,
        )
        await session.abort_transaction(self._rollback_reason)

    async def rollback_idle_transactions(self, timeout: float) -> None:
        """Roll back transactions that were idle for over `timeout` seconds."""
        oldest = await curio.clock() - timeout
        for session in list(self._sessions):
            is_idle = session.idle_since < oldest
            if is_idle and session.has_idle_transaction:
                self._counters.count('idle_transactions')
                await session.abort_transaction('it rested too long')

    def record_outcome(
        self,
        session: CallerSession,
        request: Request,
        outcome: Outcome,
        seconds: float,
        route: Route | None,
    ) -> None:
        """Count an operation, and log it if it was refused or late."""
        guarantee = route.guarantee.value if route else 'none'
        is_refused = isinstance(outcome, Refusal)
        outcome_code = outcome.code if isinstance(outcome, Refusal) else 'done'
        self._counters.record_latency(guarantee, outcome_code, seconds)
        is_late = route is not None and seconds > route.latency_objective
        service = route.service if route else ''
        if _is_counted(request, outcome):
            label = get_outcome_label(outcome, is_late=is_late)
            self._counters.count_statement_outcome(
                service, session.state.workspace, label
            )
            if route is not None:
                self._counters.count_class_outcome(
                    service, route.priority, label
                )
        if not is_refused and not is_late:
            return
        self._journal.record_rate_limited(
            'request.unserved' if is_refused else 'request.late',
            request=request.id,
            operation=type(request.operation).__name__,
            database=session.state.database,
            workspace=session.state.workspace,
            service=service,
            standing=session.transaction_state,
            outcome=outcome.text if isinstance(outcome, Refusal) else 'done',
            seconds=round(seconds, 3),
            version=self._get_version(),
        )


def get_outcome_label(outcome: Outcome, *, is_late: bool) -> str:
    """Return the label of a statement's outcome in the statistics.

    Examples
    --------
    >>> from deckdrum.outcomes import refuse
    >>> get_outcome_label(refuse(Code.LIMIT_REACHED), is_late=False)
    'limit'
    >>> get_outcome_label(refuse(Code.CONNECTION_LOST), is_late=True)
    'doubt'
    """
    if not isinstance(outcome, Refusal):
        return 'late' if is_late else 'done'
    if outcome.fate is Fate.UNKNOWN:
        return 'doubt'
    return REFUSAL_LABELS.get(outcome.code, 'other')


def _is_counted(request: Request, outcome: Outcome) -> bool:
    """Return whether a request is counted in the statement statistics.

    Requests that the node answers without a server are not, except for a
    refused BEGIN.
    """
    if isinstance(request.operation, Run | Execute | Commit):
        return True
    return isinstance(request.operation, Begin) and isinstance(outcome, Refusal)
