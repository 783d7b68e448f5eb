"""Assembling a node, and its life from start to stop."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from random import Random
from typing import Any, Final

import curio

from deckdrum.backends import Backend
from deckdrum.control import ControlStore, ControlView, Kind, StoreFeed
from deckdrum.fleet.detours import DetourDialer, Dial
from deckdrum.fleet.following import NewsFollower
from deckdrum.fleet.nodes import NodePeers
from deckdrum.fleet.settings import NodeSettings
from deckdrum.forwarding import ForwardedWork
from deckdrum.leadership.changes import ChangeTools
from deckdrum.leadership.duty import PromotionDuty
from deckdrum.node.answering import Answerer
from deckdrum.node.care import MemberCare
from deckdrum.node.host import NodeHost
from deckdrum.node.lending import Lender
from deckdrum.node.registration import Registration
from deckdrum.node.services import ServiceBook
from deckdrum.node.sessions import SessionBook
from deckdrum.serving import CallerSession, ServiceRuntime
from deckdrum.utils import Journal, dial
from deckdrum.utils.counters import Counters
from deckdrum.utils.tasks import keep_running

BackendMaker = Callable[..., Backend]
#: Pause between two rounds of upkeep, in seconds.
UPKEEP_PAUSE: Final = 0.25
#: Wait after a change of the view for others that come with it, in seconds.
FOLLOW_PAUSE: Final = 0.01
#: Pause between two looks for the first configuration, in seconds.
CONFIGURED_POLL: Final = 0.02


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
        duty: PromotionDuty,
        make_backend: BackendMaker,
        journal: Journal,
        counters: Counters,
        dial_straight: Dial = dial,
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.counters = counters
        self.is_stopping = False
        #: Whether sessions end as soon as they are at rest.
        self.is_parting = False
        self._store = store
        self._dialer = DetourDialer(dial_straight)
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
        self._registration = Registration(settings, self.view, store, journal)
        #: For those who watch and change primaries.
        self.tools = ChangeTools(
            settings.name,
            self.view,
            store,
            duty,
            self.peers,
            self._dialer,
            self._randomness,
            settings.policies,
        )
        self._book = ServiceBook(
            self.tools,
            partial(make_backend, dial=self._dialer.dial),
            journal,
            counters,
        )
        self.lender = Lender(self.services, counters)
        self.peers.lend = self.lender.lend
        self._care = MemberCare(
            settings.name,
            self.view,
            self.peers,
            journal,
        )
        self._follower = NewsFollower(
            settings,
            self.feed,
            self.peers,
            journal,
        )
        self._sessions = SessionBook(
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
        answerer = Answerer(self.services, self.host.counter)
        self.peers.answer = answerer.answer
        self._forwarded = ForwardedWork(
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
            self._follow_changes,
            self._run_upkeep,
            self.feed.run_checks,
            self._book.figures.run,
            self.peers.run,
            self._registration.run,
            self._care.run,
            self._follower.run,
        ):
            await self._keep_running(run)
        self.counters.gauges.update(
            sessions=lambda: self.sessions,
            open_transactions=lambda: self.open_transactions,
            configuration_version=lambda: self.view.version,
            members=lambda: len(self.view.members),
        )

    async def begin_stop(self) -> None:
        """Call for no more callers; what is under way goes on."""
        if not self.is_stopping:
            self.is_stopping = True
            self.host.counter.is_stopping = True
            await self._registration.announce_leave()
            self.journal.record(
                'node.stopping',
                sessions=self.sessions,
                open_transactions=self.open_transactions,
            )

    async def close(self) -> None:
        """Leave the other nodes and stop."""
        await self._registration.withdraw()
        for task in self._tasks:
            await task.cancel(blocking=False)
        await self._book.close()
        await self.peers.close()
        self.journal.record('node.stopped', sessions=self.sessions)

    async def wait_configured(self, limit: float) -> bool:
        """Wait for the first configuration; tell whether there is one."""
        async with curio.ignore_after(limit):
            while self.view.configuration is None:
                await curio.sleep(CONFIGURED_POLL)
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

    async def _follow_changes(self) -> None:
        while True:
            await self._changed.wait()
            await curio.sleep(FOLLOW_PAUSE)
            self._changed.clear()
            await self.host.counter.adopt_members()
            await self._book.adopt(
                self._registration.member,
                is_returning=self._registration.is_returning,
            )

    async def _run_upkeep(self) -> None:
        """End transactions that rest too long; forget removed servers."""
        while True:
            await curio.sleep(UPKEEP_PAUSE)
            await self.view.age_removed()
            configuration = self.view.configuration
            if configuration is not None:
                limit = configuration.idle_transaction_limit
                await self._sessions.end_idle(limit)
