"""Construction and lifecycle of a node."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from random import Random
from typing import Any, Final

import curio

from deckdrum.backends import Backend
from deckdrum.control import ControlStore, ControlView, Kind, StoreFeed
from deckdrum.fleet.detours import DetourDialer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.fleet.update_following import UpdateFollower
from deckdrum.forwarding import ForwardedStatementHandler
from deckdrum.leadership.context import LeadershipContext
from deckdrum.leadership.promotion_client import PromotionClient
from deckdrum.node.failure_detection import FailureDetector
from deckdrum.node.lending import ConnectionLender
from deckdrum.node.peer_requests import PeerRequestHandler
from deckdrum.node.registration import NodeRegistration
from deckdrum.node.services import ServiceManager
from deckdrum.node.session_host import NodeHost
from deckdrum.node.sessions import SessionManager
from deckdrum.serving import CallerSession, ServiceRuntime
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import keep_running

BackendFactory = Callable[..., Backend]
MAINTENANCE_INTERVAL_S: Final = 0.25
#: Delay after a change of the view, so that related changes are applied
#: together.
CHANGE_DEBOUNCE_DELAY_S: Final = 0.01
CONFIGURATION_POLL_INTERVAL_S: Final = 0.02


class Node:
    """A node of the product, independent of the client protocol.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    store : ControlStore
        Holds the configuration, the registrations and the leadership records.
    promotion_client : PromotionClient
        Promotes servers.
    make_backend : callable
        Creates the backend of a server from the server and, as `dial`, the
        function that opens connections to it.
    journal : Journal
        Log of the node.
    counters : Counters
        Metrics of the node.
    dialer : DetourDialer, optional
        Opens connections to servers and nodes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: ControlStore,
        promotion_client: PromotionClient,
        make_backend: BackendFactory,
        journal: Journal,
        counters: Counters,
        dialer: DetourDialer | None = None,
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.counters = counters
        self.is_stopping = False
        #: Whether sessions are closed as soon as they are idle.
        self.is_closing_sessions = False
        self._has_left = False
        self._store = store
        self._dialer = dialer or DetourDialer()
        self._randomness = Random(settings.seed or None)
        self.view = ControlView(
            store,
            journal,
            settings.drain_time,
            is_urgency_enabled=settings.is_urgency_enabled,
        )
        self.view.on_change.append(self._handle_view_change)
        self.feed = StoreFeed(self.view, store, journal, self._randomness)
        self.peers = NodePeers(
            settings,
            self.view,
            self.feed,
            store,
            self._dialer,
            journal,
            self._randomness,
        )
        self._registration = NodeRegistration(
            settings, self.view, store, journal
        )
        #: Dependencies of supervisors and primary changes.
        self.tools = LeadershipContext(
            settings.name,
            self.view,
            store,
            promotion_client,
            self.peers,
            self._dialer,
            self._randomness,
            settings.policies,
        )
        self._service_manager = ServiceManager(
            self.tools,
            partial(make_backend, dial=self._dialer.dial),
            journal,
            counters,
            settings.capacity,
        )
        #: Reads the load of this node.
        self.load_monitor = self._service_manager.load_monitor
        self.lender = ConnectionLender(self.services, counters)
        self.peers.lend_connection = self.lender.lend
        self._failure_detector = FailureDetector(
            settings.name,
            self.view,
            self.peers,
            journal,
        )
        self._follower = UpdateFollower(
            settings,
            self.feed,
            self.peers,
            journal,
        )
        self._session_manager = SessionManager(
            journal,
            counters,
            lambda: self.view.version,
        )
        #: Opens callers' sessions.
        self.host = NodeHost(
            settings,
            self.view,
            self.peers,
            self._service_manager,
            self._session_manager,
            journal,
            counters,
        )
        request_handler = PeerRequestHandler(self.services, self.host.counter)
        self.peers.answer_request = request_handler.handle
        self._forwarded = ForwardedStatementHandler(
            self._service_manager.find_executor,
            lambda: self.view.configuration,
            self._session_manager,
            settings.policies,
            counters,
        )
        self.peers.run_forwarded_statement = self._forwarded.serve
        self._view_changed = curio.Event()
        self._tasks: list[Any] = []

    @property
    def services(self) -> Mapping[str, ServiceRuntime]:
        """Database groups by name."""
        return self._service_manager.services

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve new callers."""
        if self.is_stopping or self.view.configuration is None:
            return False
        return any(runtime.servers for runtime in self.services.values())

    @property
    def sessions(self) -> int:
        """Number of open sessions."""
        return self._session_manager.count

    @property
    def lent_connections(self) -> int:
        """Number of connections lent to other nodes."""
        return self.lender.lent

    @property
    def forwarded(self) -> int:
        """Number of forwarded statements and transactions in progress."""
        return self._forwarded.running

    @property
    def open_transactions(self) -> int:
        """Number of sessions inside a request or a transaction."""
        return self._session_manager.open_transactions

    async def start(self) -> None:
        """Start the node's background tasks and listen for other nodes."""
        self.journal.record(
            'node.started',
            node=self.settings.name,
            data_centre=self.settings.data_centre,
            peer_address=str(self.settings.peer_address),
        )
        self._registration.start(await curio.clock())
        await self.peers.start()
        for kind in Kind:
            await self._keep_running(self.feed.run, kind)
        for run in (
            self._apply_changes,
            self._run_maintenance,
            self.feed.run_watch_checks,
            self._service_manager.statistics_logger.run,
            self.peers.run,
            self._registration.run,
            self._failure_detector.run,
            self._follower.run,
            self.host.limit_shares.run,
        ):
            await self._keep_running(run)
        statistics = self._service_manager.statistics_logger
        self.counters.count_waiting = statistics.count_waiting
        self.counters.gauges.update(
            sessions=lambda: self.sessions,
            open_transactions=lambda: self.open_transactions,
            configuration_version=lambda: self.view.version,
            members=lambda: len(self.view.members),
            limit_share=lambda: self.host.limit_shares.held_fraction,
            limit_shares_lent=lambda: self.host.limit_shares.lent_count,
        )

    async def begin_shutdown(self) -> None:
        """Report not ready to new callers; existing sessions continue."""
        if not self.is_stopping:
            self.is_stopping = True
            self.host.counter.is_stopping = True
            self.host.limit_shares.is_stopping = True
            await self._registration.announce_leaving()
            self.journal.record(
                'node.stopping',
                sessions=self.sessions,
                open_transactions=self.open_transactions,
            )

    async def leave(self) -> None:
        """Stop using primaries, then remove the registration.

        In this order, since a change of a primary waits for members only.
        """
        if self._has_left:
            return
        self._has_left = True
        await self._service_manager.retire()
        await self._registration.deregister()

    async def close(self) -> None:
        """Leave the members and stop the node's tasks."""
        await self.leave()
        for task in self._tasks:
            await task.cancel(blocking=False)
        await self._service_manager.close()
        await self.peers.close()
        self.journal.record('node.stopped', sessions=self.sessions)

    async def wait_for_configuration(self, timeout: float) -> bool:
        """Wait for the first configuration; return whether there is one."""
        async with curio.ignore_after(timeout):
            while self.view.configuration is None:
                await curio.sleep(CONFIGURATION_POLL_INTERVAL_S)
        return self.view.configuration is not None

    async def close_session(self, session: CallerSession) -> None:
        """End a session."""
        await self._session_manager.close(session)

    async def rollback_transactions(self, reason: str) -> None:
        """Roll back every transaction, between two of its statements."""
        await self._session_manager.rollback_transactions(reason)

    async def finish_operation(self, session: CallerSession) -> None:
        """Roll back a session's transaction if the node ends transactions."""
        await self._session_manager.finish_operation(session)

    async def _keep_running(
        self,
        work: Callable[..., Awaitable[None]],
        *arguments: Any,
    ) -> None:
        task = await curio.spawn(
            keep_running,
            self.journal,
            work,
            *arguments,
            daemon=True,
        )
        self._tasks.append(task)

    async def _handle_view_change(self, _: Kind) -> None:
        """Schedule the application of a change of the view."""
        await self._apply_membership()
        await self._view_changed.set()

    async def _apply_membership(self) -> None:
        """Record since when this node is a member, and whether it is one."""
        now = await curio.clock()
        self._registration.record_membership(now)
        self._service_manager.apply_membership(
            self._registration.member_since, now
        )

    async def _apply_changes(self) -> None:
        while True:
            await self._view_changed.wait()
            await curio.sleep(CHANGE_DEBOUNCE_DELAY_S)
            self._view_changed.clear()
            await self.host.counter.apply_members()
            await self._service_manager.apply_view(self._registration.member)

    async def _run_maintenance(self) -> None:
        """Do what depends on time: idle transactions, removed servers."""
        while True:
            await curio.sleep(MAINTENANCE_INTERVAL_S)
            await self.view.expire_removed_servers()
            await self._apply_membership()
            configuration = self.view.configuration
            if configuration is not None:
                limit = configuration.idle_transaction_limit
                await self._session_manager.rollback_idle_transactions(limit)
