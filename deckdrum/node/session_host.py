"""Opening callers' sessions and providing the services they depend on."""

from deckdrum.control import Access, ControlView, Route, authorize
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.limits import LimitClient, LimitCounter, LimitShares
from deckdrum.node.services import ServiceManager
from deckdrum.node.sessions import SessionManager
from deckdrum.operations import Request
from deckdrum.outcomes import Refusal
from deckdrum.serving import (
    CallerSession,
    Outcome,
    SessionHost,
    StatementExecutor,
    StatementRunner,
)
from deckdrum.serving.state import SessionState
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters


class NodeHost(SessionHost):
    """Opens sessions and connects them to the node's services.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    view : ControlView
        Provides the current configuration.
    peers : NodePeers
        Connections to the other nodes, some of which coordinate the limits of
        workspaces.
    service_manager : ServiceManager
        Provides what runs the statements of each group.
    session_manager : SessionManager
        Tracks the open sessions.
    journal : Journal
        Receives events for operations that a limit rejects.
    counters : Counters
        Metrics of the node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: ControlView,
        peers: NodePeers,
        service_manager: ServiceManager,
        session_manager: SessionManager,
        journal: Journal,
        counters: Counters,
    ) -> None:
        self.policies = settings.policies
        #: Shares of the limits that this node holds.
        self.limit_shares = LimitShares(settings.name, view, peers, journal)
        #: Counts the operations of workspaces that this node coordinates.
        self.counter = LimitCounter(
            settings.name,
            view,
            peers,
            settings.limit_tolerance,
            self.limit_shares,
        )
        self._view = view
        self._service_manager = service_manager
        self._session_manager = session_manager
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
        """Open a session for a caller with the key of this fingerprint."""
        session = CallerSession(self, database, fingerprint)
        access = self.authorize(session.state)
        if isinstance(access, Refusal):
            self._session_manager.log_refused_session(database, access)
            return access
        self._session_manager.add(session)
        return session

    def authorize(self, state: SessionState) -> Access | Refusal:
        """Return the access that the current configuration grants."""
        return authorize(
            self._view.configuration,
            state.database,
            state.fingerprint,
        )

    async def admit_operation(self, access: Access) -> Refusal | None:
        """Count an operation against its workspace's limit, or refuse it."""
        return await self._limits.try_begin(
            access.workspace, access.route.priority
        )

    async def withdraw_operation(self, access: Access) -> None:
        """Return the token of an admitted operation that has run nowhere."""
        await self._limits.return_token(access.workspace)

    def find_runner(
        self,
        service: str,
        workspace: str,
    ) -> StatementRunner | None:
        """Return the local or remote runner of a workspace's statements."""
        return self._service_manager.find_runner(service, workspace)

    def find_executor(self, service: str) -> StatementExecutor | None:
        """Return what runs a group's statements on this node."""
        return self._service_manager.find_executor(service)

    def record_outcome(
        self,
        session: CallerSession,
        request: Request,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count an operation, and log it if it was refused or late."""
        route = self._find_route(session.state.database)
        self._session_manager.record_outcome(
            session, request, outcome, seconds, route
        )

    def _find_route(self, database: str) -> Route | None:
        configuration = self._view.configuration
        return configuration.routes.get(database) if configuration else None
