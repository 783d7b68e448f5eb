"""What the sessions of a node's callers need of it."""

from deckdrum.control import Access, ControlView, Route, find_access
from deckdrum.fleet.policies import Policy
from deckdrum.node.services import ServiceBook
from deckdrum.node.sessions import SessionBook
from deckdrum.operations import Request
from deckdrum.outcomes import Refusal
from deckdrum.serving import (
    CallerSession,
    Execution,
    Outcome,
    SessionHost,
    StatementRunner,
)
from deckdrum.serving.state import SessionState


class NodeHost(SessionHost):
    """Opens sessions, and gives them what they need of the node.

    Parameters
    ----------
    view : ControlView
        Knows the configuration in force.
    book : ServiceBook
        Knows what runs statements.
    sessions : SessionBook
        Keeps the open sessions.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    def __init__(
        self,
        view: ControlView,
        book: ServiceBook,
        sessions: SessionBook,
        policies: frozenset[Policy],
    ) -> None:
        self.policies = policies
        self._view = view
        self._book = book
        self._sessions = sessions

    def open_session(
        self,
        database: str,
        fingerprint: str = '',
    ) -> CallerSession | Refusal:
        """Open a session of a caller, who has the key of a fingerprint."""
        session = CallerSession(self, database, fingerprint)
        access = self.find_access(session.state)
        if isinstance(access, Refusal):
            self._sessions.note_refused(database, access)
            return access
        self._sessions.add(session)
        return session

    def find_access(self, state: SessionState) -> Access | Refusal:
        """Return what a session may use now."""
        return find_access(
            self._view.configuration,
            state.database,
            state.fingerprint,
        )

    def find_runner(self, service: str) -> StatementRunner | None:
        """Return what runs statements of a group, here or elsewhere."""
        return self._book.find_runner(service)

    def find_execution(self, service: str) -> Execution | None:
        """Return what runs statements of a group at this node itself."""
        return self._book.find_execution(service)

    def note_outcome(
        self,
        session: CallerSession,
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count an operation, and log it if it was unserved or late."""
        route = self._find_route(session.state.database)
        self._sessions.note_outcome(session, request, outcome, seconds, route)

    def _find_route(self, database: str) -> Route | None:
        configuration = self._view.configuration
        return configuration.routes.get(database) if configuration else None
