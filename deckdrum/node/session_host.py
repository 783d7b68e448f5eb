"""What the sessions of a node's callers need of it."""

from deckdrum.control import Access, ControlView, Route, find_access
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.limits import LimitClient, LimitCounter
from deckdrum.node.services import ServiceManager
from deckdrum.node.sessions import SessionManager
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
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters


class NodeHost(SessionHost):
    """Opens sessions, and gives them what they need of the node.

    Parameters
    ----------
    settings : NodeSettings
        The node.
    view : ControlView
        Knows the configuration in force.
    peers : NodePeers
        The other nodes, some of which count for workspaces.
    book : ServiceBook
        Knows what runs statements.
    sessions : SessionBook
        Keeps the open sessions.
    journal : Journal
        For operations that limits turn away.
    counters : Counters
        For metrics.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: ControlView,
        peers: NodePeers,
        book: ServiceManager,
        sessions: SessionManager,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self.policies = settings.policies
        #: Counts for the workspaces whose limits this node keeps.
        self.counter = LimitCounter(
            settings.name,
            view,
            peers,
            settings.limit_tolerance,
        )
        self._view = view
        self._book = book
        self._sessions = sessions
        self._limits = LimitClient(
            settings.name,
            view,
            peers,
            self.counter,
            journal,
            counters,
        )

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

    async def spend_limit(self, access: Access) -> Refusal | None:
        """Begin an operation within its workspace's limit, or refuse it."""
        return await self._limits.try_begin(access.workspace)

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return what runs a workspace's statements, here or elsewhere."""
        return self._book.find_runner(service, workspace)

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
