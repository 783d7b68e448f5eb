"""Requests of a node to its peers, and the server that answers theirs.

Updates of the store spread by gossip: each node regularly asks a few random
peers for them.  So a node receives updates even if the store refuses its
requests, and the cost per node does not grow with the size of the fleet.  Only
rare messages, such as the end of a term, are sent to every node.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

import curio
from msgspec import DecodeError

from deckdrum.control import (
    ControlStore,
    ControlView,
    Kind,
    Member,
    StoreFeed,
)
from deckdrum.control.update_encoding import (
    REPLICATED_KINDS,
    compress_configuration,
    decode_update,
    decompress_configuration,
    encode_update,
)
from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.detours import DetourDialer, DetourRelay
from deckdrum.fleet.health import PeerHealth
from deckdrum.fleet.node_messages import (
    BorrowLink,
    FetchUpdates,
    FollowAnswer,
    FollowUpdates,
    Forward,
    OpenDetour,
    StateUpdates,
)
from deckdrum.fleet.peers import StreamPool
from deckdrum.fleet.settings import NodeSettings
from deckdrum.outcomes.errors import DocumentError
from deckdrum.utils import Address, Journal, Listener, Stream

#: Mean time between gossip rounds while the store answers.
GOSSIP_INTERVAL_S: Final = 1.0
#: The same while it does not.  Several rounds must fit into the 3 s within
#: which a new configuration has to reach every node.
OUTAGE_GOSSIP_INTERVAL_S: Final = 0.25
#: Peers asked in one gossip round.
GOSSIP_FANOUT: Final = 2
#: Longest wait for a peer's answer.
ASK_TIMEOUT_S: Final = 0.6

AnswerHandler = Callable[[Message], Awaitable[Message | None]]
LendHandler = Callable[[StreamChannel, BorrowLink], Awaitable[None]]
ForwardHandler = Callable[[StreamChannel, Forward], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A peer did not answer a request.

    It does not tell whether the peer runs: a dead port and a cut may refuse or
    reset connections alike, and a peer behind a cut goes on with what it holds.

    Attributes
    ----------
    error : Exception
        How the request failed, for logs and for the pace of retries.
    """

    error: Exception


PeerAnswer = Message | NoAnswer


class NodePeers:
    """A node's connections to other nodes.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node; its seeds are asked while no member is known.
    view : ControlView
        State of the control store as known to this node.
    feed : StoreFeed
        Whether the store answers.
    store : ControlStore
        Decodes configurations received from peers.
    dialer : DetourDialer
        Opens connections to peers, and to servers on behalf of peers.
    journal : Journal
        Logs updates that cannot be decoded, and unresponsive nodes.
    randomness : random.Random
        Selects the peers of a gossip round.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: ControlView,
        feed: StoreFeed,
        store: ControlStore,
        dialer: DetourDialer,
        journal: Journal,
        randomness: Random,
    ) -> None:
        #: Answers a message of a peer; set by the node.
        self.answer_request: AnswerHandler | None = None
        #: Lends connections to peers; set by the node.
        self.lend_connection: LendHandler | None = None
        #: Runs statements forwarded by peers; set by the node.
        self.run_forwarded_statement: ForwardHandler | None = None
        self._settings = settings
        self._view = view
        self._feed = feed
        self._store = store
        self._journal = journal
        self._randomness = randomness
        #: Streams over which connections are borrowed.
        self.loan_streams = StreamPool(dialer.dial_peer)
        #: Streams over which statements are forwarded.
        self.forward_streams = StreamPool(dialer.dial_peer)
        self._streams = StreamPool(dialer.dial_peer)
        #: Version of the current configuration, and its compressed encoding.
        self._compressed_configuration = (0, b'')
        self._detours = DetourRelay(view, dialer, journal)
        #: Tracks unresponsive nodes.
        self.health = PeerHealth(self.ask, journal)
        self._listener = Listener(settings.peer_address, self._serve)

    @property
    def others(self) -> list[Member]:
        """Registered nodes, except this one and those marked as gone."""
        return [
            member
            for member in self._view.members.values()
            if member.name != self._settings.name and not member.is_gone
        ]

    @property
    def version(self) -> int:
        """Version of the current configuration of this node."""
        return self._view.version

    @property
    def has_gone_members(self) -> bool:
        """Whether a registered node is marked as gone."""
        return any(member.is_gone for member in self._view.members.values())

    async def start(self) -> None:
        """Start to listen for peers."""
        await self._listener.start()

    async def close(self) -> None:
        """Close all connections to peers."""
        await self._listener.close()
        await self._streams.close()
        await self.loan_streams.close()
        await self.forward_streams.close()

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        while True:
            is_store_available = self._feed.is_synchronized
            pause = (
                GOSSIP_INTERVAL_S
                if is_store_available
                else OUTAGE_GOSSIP_INTERVAL_S
            )
            await curio.sleep(pause * (0.5 + self._randomness.random()))
            await self.run_gossip_round()

    async def run_gossip_round(self) -> None:
        """Ask a few random peers for the updates that this node lacks."""
        addresses = [member.endpoint for member in self.others]
        addresses = addresses or [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.peer_address
        ]
        count = min(GOSSIP_FANOUT, len(addresses))
        async with curio.TaskGroup() as fetching:
            for address in self._randomness.sample(addresses, count):
                await fetching.spawn(self._fetch_updates_from, address)

    async def ask(
        self,
        address: Address,
        request: Message,
        timeout: float = ASK_TIMEOUT_S,
    ) -> PeerAnswer:
        """Send a request to a peer; return its answer within `timeout` s."""
        try:
            async with curio.timeout_after(timeout):
                return await self._streams.exchange(address, request)
        except (ConnectionError, curio.TaskTimeout) as error:
            # Nodes can stay registered after they have stopped.
            return NoAnswer(error)

    async def ask_all(
        self,
        request: Message,
        timeout: float = ASK_TIMEOUT_S,
    ) -> dict[str, PeerAnswer]:
        """Ask all other nodes concurrently; return the answers by name."""
        return await self.ask_each(self.others, request, timeout)

    def count_registered(self) -> int:
        """Return the number of registered nodes, including this one.

        Nodes marked as gone are included, since they may still be running on
        the other side of a network partition.
        """
        names = set(self._view.members)
        names.add(self._settings.name)
        return len(names)

    def build_follow_request(self, timeout: float) -> FollowUpdates:
        """Return a request to follow a peer from the current revisions."""
        return FollowUpdates(self._get_revisions(), timeout, self._view.version)

    def collect_updates(self, request: FetchUpdates) -> StateUpdates:
        """Return the updates that a requesting peer lacks."""
        return self._build_updates(request.version, request.revisions)

    async def apply_updates(
        self, received: StateUpdates, address: Address
    ) -> None:
        """Apply a peer's updates; log those that cannot be decoded."""
        try:
            await self._apply(received, str(address))
        except (DecodeError, DocumentError, ValueError) as error:
            self._journal.record(
                'peer.bad_news', peer=str(address), reason=str(error)
            )

    async def ask_each(
        self,
        members: Iterable[Member],
        request: Message,
        timeout: float = ASK_TIMEOUT_S,
    ) -> dict[str, PeerAnswer]:
        """Ask nodes concurrently; return the answers by name."""
        tasks = {
            member.name: await curio.spawn(
                self.ask,
                member.endpoint,
                request,
                timeout,
            )
            for member in members
        }
        return {name: await task.join() for name, task in tasks.items()}

    async def _fetch_updates_from(self, address: Address) -> None:
        request = FetchUpdates(self._view.version, self._get_revisions())
        answer = await self.ask(address, request)
        if isinstance(answer, StateUpdates):
            await self.apply_updates(answer, address)

    async def _apply(self, received: StateUpdates, source: str) -> None:
        # Records come first, so that a corrupt configuration does not prevent
        # their update.
        for name, body in received.updates.items():
            kind = Kind(name)
            update = decode_update(kind, body)
            await self._view.apply_update(kind, update, source)
        if received.configuration:
            encoded = decompress_configuration(received.configuration)
            configuration = self._store.decode_configuration(encoded)
            await self._view.apply_configuration(configuration)

    def _get_revisions(self) -> dict[str, int]:
        """Return the latest known revision of each shared kind of record."""
        return {
            kind.value: self._view.get_revision(kind)
            for kind in REPLICATED_KINDS
        }

    def _build_updates(
        self, version: int, known: Mapping[str, int]
    ) -> StateUpdates:
        """Return the updates beyond a peer's version and revisions."""
        is_newer = self._view.version > version
        configuration = self._compress_configuration() if is_newer else b''
        updates = {
            kind.value: encode_update(
                self._view.get_update(kind, known.get(kind.value, 0)),
            )
            for kind in REPLICATED_KINDS
            if self._view.get_revision(kind) > known.get(kind.value, 0)
        }
        return StateUpdates(configuration, updates)

    def _compress_configuration(self) -> bytes:
        """Return the current configuration, compressed for peers."""
        configuration = self._view.configuration
        if configuration is None:
            return b''
        if self._compressed_configuration[0] != configuration.version:
            body = compress_configuration(configuration.encoded)
            self._compressed_configuration = (configuration.version, body)
        return self._compressed_configuration[1]

    async def _answer_follower(self, request: FollowUpdates) -> FollowAnswer:
        """Answer a follower once there are updates or its wait ends."""
        revisions = {
            kind: request.revisions.get(kind.value, 0)
            for kind in REPLICATED_KINDS
        }
        await self._feed.wait_for_changes(
            revisions,
            request.version,
            request.limit,
        )
        if not self._feed.can_serve_followers:
            return FollowAnswer(b'', {}, is_feeding=False)
        missing = self._build_updates(request.version, request.revisions)
        return FollowAnswer(
            missing.configuration, missing.updates, is_feeding=True
        )

    async def _serve(self, stream: Stream) -> None:
        channel = StreamChannel(stream)
        while True:
            request = await channel.receive()
            if isinstance(request, OpenDetour):
                await self._detours.handle_request(stream, request)
                return
            if (
                isinstance(request, BorrowLink)
                and self.lend_connection is not None
            ):
                await self.lend_connection(channel, request)
                continue
            if (
                isinstance(request, Forward)
                and self.run_forwarded_statement is not None
            ):
                await self.run_forwarded_statement(channel, request)
                continue
            answer = await self._get_answer(request)
            if answer is None:
                return
            await channel.send(answer)

    async def _get_answer(self, request: Message) -> Message | None:
        if isinstance(request, FetchUpdates):
            return self.collect_updates(request)
        if isinstance(request, FollowUpdates):
            return await self._answer_follower(request)
        if self.answer_request is None:
            return None
        return await self.answer_request(request)
