"""Assembling a node, and its life from start to stop."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from random import Random
from typing import Any, Final

import curio

from deckdrum.backends import Backend
from deckdrum.control import ControlStore, ControlView, Kind, StoreFeed
from deckdrum.fleet.detours import DetourDialer, Dial
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
from deckdrum.utils import Journal, dial
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import keep_running

BackendMaker = Callable[..., Backend]
#: Pause between two rounds of upkeep, in seconds.
MAINTENANCE_INTERVAL_S: Final = 0.25
#: Wait after a change of the view for others that come with it, in seconds.
CHANGE_DEBOUNCE_DELAY_S: Final = 0.01
#: Pause between two looks for the first configuration, in seconds.
CONFIGURATION_POLL_INTERVAL_S: Final = 0.02


class Node:
    """One node of the product, whatever protocols it speaks.

    Parameters
    ----------
    settings : NodeSettings
        The node.
    store : ControlStore
        What is agreed and listed.
    duty : PromotionDuty
        Promotes servers.
    make_backend : callable
        Makes the border object of a server; takes the server and, as `dial`,
        what opens connections to it.
    journal : Journal
        For logs.
    counters : Counters
        For metrics.
    dial_straight : callable
        Connects to servers' addresses; tests cut links there.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: ControlStore,
        duty: PromotionClient,
        make_backend: BackendMaker,
        journal: Journal,
        counters: Counters,
        dial_direct: Dial = dial,
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.counters = counters
        self.is_stopping = False
        #: Whether sessions end as soon as they are at rest.
        self.is_closing_sessions = False
        self._store = store
        self._dialer = DetourDialer(dial_direct)
        self._randomness = Random(settings.seed or None)
        self.view = ControlView(store, journal, settings.drain_time)
        self.view.on_change.append(self._note_change)
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
        #: For those who watch and change primaries.
        self.tools = LeadershipContext(
            settings.name,
            self.view,
            store,
            duty,
            self.peers,
            self._dialer,
            self._randomness,
            settings.policies,
        )
        self._book = ServiceManager(
            self.tools,
            partial(make_backend, dial=self._dialer.dial),
            journal,
            counters,
        )
        self.lender = ConnectionLender(self.services, counters)
        self.peers.lend = self.lender.lend
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
        self._sessions = SessionManager(
            journal,
            counters,
            lambda: self.view.version,
        )
        #: Opens sessions of callers.
        self.host = NodeHost(
            settings,
            self.view,
            self.peers,
            self._book,
            self._sessions,
            journal,
            counters,
        )
        answerer = PeerRequestHandler(self.services, self.host.counter)
        self.peers.answer = answerer.answer
        self._forwarded = ForwardedStatementHandler(
            self._book.find_execution,
            lambda: self.view.configuration,
            self._sessions,
            settings.policies,
            counters,
        )
        self.peers.run_forwarded = self._forwarded.serve
        self._changed = curio.Event()
        self._tasks: list[Any] = []

    @property
    def services(self) -> Mapping[str, ServiceRuntime]:
        """Database groups by name."""
        return self._book.services

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        if self.is_stopping or self.view.configuration is None:
            return False
        return any(runtime.servers for runtime in self.services.values())

    @property
    def sessions(self) -> int:
        """Number of open sessions."""
        return self._sessions.count

    @property
    def lent(self) -> int:
        """Connections that other nodes use now."""
        return self.lender.lent

    @property
    def forwarded(self) -> int:
        """Statements and transactions that other nodes have handed over."""
        return self._forwarded.running

    @property
    def open_transactions(self) -> int:
        """Number of sessions inside a request or a transaction."""
        return self._sessions.open_transactions

    async def start(self) -> None:
        """Begin to work."""
        self.journal.record(
            'node.started',
            node=self.settings.name,
            data_centre=self.settings.data_centre,
            peer_address=str(self.settings.peer_address),
        )
        await self.peers.start()
        for kind in Kind:
            await self._keep_running(self.feed.run, kind)
        for run in (
            self._apply_changes,
            self._run_maintenance,
            self.feed.run_watch_checks,
            self._book.figures.run,
            self.peers.run,
            self._registration.run,
            self._failure_detector.run,
            self._follower.run,
        ):
            await self._keep_running(run)
        self.counters.gauges.update(
            sessions=lambda: self.sessions,
            open_transactions=lambda: self.open_transactions,
            configuration_version=lambda: self.view.version,
            members=lambda: len(self.view.members),
        )

    async def begin_shutdown(self) -> None:
        """Call for no more callers; what is under way goes on."""
        if not self.is_stopping:
            self.is_stopping = True
            self.host.counter.is_stopping = True
            await self._registration.announce_leaving()
            self.journal.record(
                'node.stopping',
                sessions=self.sessions,
                open_transactions=self.open_transactions,
            )

    async def close(self) -> None:
        """Leave the other nodes and stop."""
        await self._registration.deregister()
        for task in self._tasks:
            await task.cancel(blocking=False)
        await self._book.close()
        await self.peers.close()
        self.journal.record('node.stopped', sessions=self.sessions)

    async def wait_for_configuration(self, limit: float) -> bool:
        """Wait for the first configuration; tell whether there is one."""
        async with curio.ignore_after(limit):
            while self.view.configuration is None:
                await curio.sleep(CONFIGURATION_POLL_INTERVAL_S)
        return self.view.configuration is not None

    async def close_session(self, session: CallerSession) -> None:
        """End a session."""
        await self._sessions.close(session)

    async def abandon_transactions(self, reason: str) -> None:
        """Roll back every transaction that rests between statements."""
        await self._sessions.abandon_transactions(reason)

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

    async def _note_change(self, _: Kind) -> None:
        """Have a change of the view taken over."""
        self._registration.note_change()
        await self._changed.set()

    async def _apply_changes(self) -> None:
        while True:
            await self._changed.wait()
            await curio.sleep(CHANGE_DEBOUNCE_DELAY_S)
            self._changed.clear()
            await self.host.counter.apply_members()
            await self._book.adopt(
                self._registration.member,
                was_registered=self._registration.was_registered,
            )

    async def _run_maintenance(self) -> None:
        """End transactions that rest too long; forget removed servers."""
        while True:
            await curio.sleep(MAINTENANCE_INTERVAL_S)
            await self.view.expire_removed_servers()
            configuration = self.view.configuration
            if configuration is not None:
                limit = configuration.idle_transaction_limit
                await self._sessions.rollback_idle_transactions(limit)
