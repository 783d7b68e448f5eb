"""The proxy process and its components."""

from random import Random, SystemRandom
from typing import Any, Final

import curio

from deckdrum.callers import CallerConnection, CallerHost
from deckdrum.callers.host import CallerLimits, CancelKey, OpenedChannel
from deckdrum.configuration import DatabaseEntry, Document
from deckdrum.databases import Credentials, Database, PostgresDatabase
from deckdrum.fleet.membership import Membership
from deckdrum.fleet.peers import ProxyPeers
from deckdrum.keepers.core import KeeperContext
from deckdrum.outcomes import Refusal
from deckdrum.proxy.admin import AdminPort
from deckdrum.proxy.cancelling import Canceller
from deckdrum.proxy.configuration_fetching import PeerConfigurationFetcher
from deckdrum.proxy.keeper_manager import KeeperManager
from deckdrum.proxy.opening import ChannelOpener
from deckdrum.proxy.peer_server import PeerServer
from deckdrum.proxy.registry import CallerRegistry
from deckdrum.sessions import KeyRing
from deckdrum.settings import ProxySettings
from deckdrum.statements import Classifier
from deckdrum.store import Instance, ObjectStore
from deckdrum.store.view import StoreView
from deckdrum.utils import Address, Journal, Listener, Stream
from deckdrum.utils.metrics import Metrics

#: Interval of updates to the membership and the keepers.
_MAINTENANCE_INTERVAL_S: Final = 0.25
_DRAIN_POLL_INTERVAL_S: Final = 0.05


class Proxy(CallerHost):
    """A proxy process.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the proxy.
    store : ObjectStore
        The platform's object store.
    journal : Journal
        Log of state changes.
    """

    def __init__(
        self,
        settings: ProxySettings,
        store: ObjectStore,
        journal: Journal,
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.metrics = Metrics()
        self.ring = KeyRing(settings.list_session_keys())
        self.limits = CallerLimits(
            settings.login_limit,
            settings.max_message_bytes,
        )
        self.classifier = Classifier()
        seed = settings.seed
        self.randomness: Random = Random(seed) if seed else SystemRandom()
        self.view = StoreView(store, journal, self.randomness)
        self.membership = Membership(self._describe_self())
        self.peers = ProxyPeers(self.membership, self.randomness)
        self.registry = CallerRegistry(settings.name, self.randomness)
        self.keeper_manager = KeeperManager(
            self._build_keeper_context(), self.membership
        )
        self.configuration_fetcher = PeerConfigurationFetcher(
            self.view, self.membership, self.peers
        )
        self.configuration_fetcher.use_seed_peers(
            tuple(Address.parse(peer) for peer in settings.peers),
        )
        self.canceller = Canceller(
            self.membership,
            self.keeper_manager,
            self.peers,
            self.registry,
            self.metrics,
        )
        self._channel_opener = ChannelOpener(
            self.membership,
            self.keeper_manager,
            self.peers,
            self.metrics,
        )
        self._peer_server = PeerServer(self)
        self.admin = AdminPort(self)
        self._stop_requested = curio.Event()
        self._caller_listener = Listener(
            Address.parse(settings.listen),
            self._serve_caller,
        )
        self._tasks: list[Any] = []

    @property
    def name(self) -> str:
        """Name of this proxy."""
        return self.settings.name

    @property
    def document(self) -> Document | None:
        """The active configuration, or None if none was received yet."""
        return self.view.document

    @property
    def is_draining(self) -> bool:
        """Whether a planned shutdown is in progress."""
        return self.membership.is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether the proxy accepts callers."""
        return self.document is not None and not self.is_draining

    @property
    def address(self) -> Address:
        """Address on which the proxy accepts callers."""
        return self._caller_listener.address

    async def start(self) -> None:
        """Start all components and accept callers."""
        await self._peer_server.start()
        await self.admin.start()
        self.membership.own = self._describe_self(self._peer_server.address)
        for run in (
            self.view.run,
            self.configuration_fetcher.run,
            self._run_maintenance,
        ):
            self._tasks.append(await curio.spawn(run, daemon=True))
        await self._caller_listener.start()
        self.journal.record('proxy.started', proxy=self.name)

    async def request_stop(self) -> None:
        """Request a planned shutdown, which `run` performs."""
        await self._stop_requested.set()

    async def run(self) -> bool:
        """Serve until a shutdown is requested, then drain and close.

        Returns
        -------
        bool
            Whether draining finished within ``drain_limit`` seconds.
        """
        await self.start()
        await self._stop_requested.wait()
        is_done = await self.drain()
        await self.close()
        return is_done

    async def drain(self) -> bool:
        """Finish the work in progress and refuse new work.

        Returns
        -------
        bool
            Whether draining finished within ``drain_limit`` seconds.
        """
        self.membership.is_leaving = True
        self.keeper_manager.start_draining()
        self.journal.record('proxy.draining', proxy=self.name)
        await self._caller_listener.stop_accepting()
        is_done = False
        async with curio.ignore_after(self.settings.drain_limit):
            while not is_done:
                for caller in self.registry.callers:
                    await caller.close_if_idle()
                is_done = (
                    not self.registry.callers and not self.keeper_manager.pinned
                )
                await curio.sleep(_DRAIN_POLL_INTERVAL_S)
        self.journal.record('proxy.drained', proxy=self.name, complete=is_done)
        return is_done

    async def close(self) -> None:
        """Close all components without draining."""
        for task in self._tasks:
            await task.cancel()
        await self._caller_listener.close()
        await self._peer_server.close()
        await self.admin.close()
        await self.keeper_manager.close()
        await self.peers.close()
        self.journal.record('proxy.stopped', proxy=self.name)

    async def open_channel(
        self,
        service: str,
        group: str,
    ) -> OpenedChannel | Refusal:
        """Open a channel to the keeper of a service."""
        return await self._channel_opener.open(service, group)

    async def release_channel(self, opened: OpenedChannel) -> None:
        """Return an idle channel for reuse."""
        await self._channel_opener.release(opened)

    async def suspect(self, keeper: str) -> None:
        """Mark a keeper as suspected, so that it is tried last for a while."""
        await self._channel_opener.suspect(keeper)

    async def is_running(self, keeper: str) -> bool:
        """Return whether a keeper's process answers a heartbeat."""
        return await self._channel_opener.is_running(keeper)

    async def cancel_channel(self, opened: OpenedChannel) -> None:
        """Cancel the batch that runs on a channel."""
        await self.canceller.cancel_channel(opened)

    async def cancel(self, key: CancelKey) -> None:
        """Cancel the request of the caller with `key`."""
        await self.canceller.cancel(key)

    def find_database(self, service: str, name: str) -> Database | None:
        """Return a client for a configured database, or None if unknown."""
        document = self.document
        declared = document.find_service(service) if document else None
        for entry in declared.databases if declared else ():
            if entry.name == name:
                return self._make_database(entry)
        return None

    def make_key(self) -> CancelKey:
        """Return a new cancel key."""
        return self.registry.make_key()

    async def _serve_caller(self, stream: Stream) -> None:
        if len(self.registry.callers) >= self.settings.max_callers:
            self.metrics.count('caller.too_many')
            return
        caller = CallerConnection(self, stream)
        self.registry.add(caller)
        try:
            await caller.run()
        finally:
            self.registry.remove(caller)

    async def _run_maintenance(self) -> None:
        while True:
            self.membership.apply(self.view.instances)
            document = self.document
            if document is not None:
                self.classifier = self._find_classifier(document)
                await self.keeper_manager.update_keepers(document)
            await curio.sleep(_MAINTENANCE_INTERVAL_S)

    def _find_classifier(self, document: Document) -> Classifier:
        names = frozenset(
            name
            for service in document.services
            for name in service.read_functions
        )
        if names == frozenset(self.classifier.read_functions):
            return self.classifier
        return Classifier(names)

    def _make_database(self, entry: DatabaseEntry) -> Database:
        settings = self.settings
        credentials = Credentials(
            settings.database_user,
            settings.database_password.get_secret_value(),
            f'{settings.name}@{settings.data_centre}',
        )
        return PostgresDatabase(entry, credentials)

    def _describe_self(self, peer: Address | None = None) -> Instance:
        settings = self.settings
        return Instance(
            name=settings.name,
            kind='proxy',
            data_centre=settings.data_centre,
            address=str(peer or settings.peer_listen),
            admin=settings.admin_listen,
        )

    def _build_keeper_context(self) -> KeeperContext:
        return KeeperContext(
            self.settings.name,
            self.settings.data_centre,
            self.view,
            self.journal,
            self.metrics,
            self.randomness,
            self._make_database,
            self.peers.ask_reachability,
        )
