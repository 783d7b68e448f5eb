"""A node's questions to other nodes, and the streams on which they come.

For news of the store each node asks a few others, drawn at random.  So news
spreads also while the store turns a node away, and this work does not grow
with the number of nodes.  Only what is rare is told to every node: the end of
a term.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
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
    AskNews,
    BorrowLink,
    FollowAnswer,
    FollowNews,
    Forward,
    News,
    OpenDetour,
)
from deckdrum.fleet.peers import StreamPool
from deckdrum.fleet.settings import NodeSettings
from deckdrum.outcomes.errors import DocumentError
from deckdrum.utils import Address, Journal, Listener, Stream

#: Pause between two rounds of news while the store answers, in seconds.
GOSSIP_INTERVAL_S: Final = 1.0
#: The same while it does not; well below the bound for a configuration (3 s)
#: together with the rounds that news may need.
OUTAGE_GOSSIP_INTERVAL_S: Final = 0.25
#: Peers asked in one round.
GOSSIP_FANOUT: Final = 2
#: Longest wait for a peer's answer, in seconds.
ASK_LIMIT: Final = 0.6

Answering = Callable[[Message], Awaitable[Message | None]]
Lending = Callable[[StreamChannel, BorrowLink], Awaitable[None]]
Forwarding = Callable[[StreamChannel, Forward], Awaitable[None]]
PeerAnswer = Message | ConnectionRefusedError | None


class NodePeers:
    """A node's connections to other nodes.

    Parameters
    ----------
    settings : NodeSettings
        This node; its seeds are asked while no member is known.
    view : ControlView
        What this node knows.
    feed : StoreFeed
        Knows whether the store answers.
    store : ControlStore
        Decodes configurations that peers hand over.
    dialer : DetourDialer
        Connects to servers for peers that are cut off from them.
    journal : Journal
        For changes of what is known.
    randomness : random.Random
        Draws the peers of a round.
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
        #: Answers a message of another node; set by the node.
        self.answer: Answering | None = None
        #: Lends connections of this node; set by the node.
        self.lend: Lending | None = None
        #: Runs statements that others hand over; set by the node.
        self.run_forwarded: Forwarding | None = None
        self._settings = settings
        self._view = view
        self._feed = feed
        self._store = store
        self._journal = journal
        self._randomness = randomness
        #: Streams on which connections are borrowed.
        self.loans = StreamPool()
        #: Streams on which statements are handed over.
        self.forwards = StreamPool()
        self._streams = StreamPool()
        #: The configuration in force as peers get it, and its version.
        self._compressed = (0, b'')
        self._carrier = DetourRelay(view, dialer, journal)
        #: Which of them do not answer.
        self.health = PeerHealth(self.ask, journal)
        self._listener = Listener(settings.peer_address, self._serve)

    @property
    def others(self) -> list[Member]:
        """Registered nodes but this one and those that are gone."""
        return [
            member
            for member in self._view.members.values()
            if member.name != self._settings.name and not member.is_gone
        ]

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._view.version

    @property
    def has_gone_members(self) -> bool:
        """Whether a node is registered that does not answer the others."""
        return any(member.is_gone for member in self._view.members.values())

    async def start(self) -> None:
        """Listen for other nodes."""
        await self._listener.start()

    async def close(self) -> None:
        """Close every connection."""
        await self._listener.close()
        await self._streams.close()
        await self.loans.close()
        await self.forwards.close()

    async def run(self) -> None:
        """Ask for news for ever."""
        while True:
            is_calm = self._feed.is_synchronized
            pause = GOSSIP_INTERVAL_S if is_calm else OUTAGE_GOSSIP_INTERVAL_S
            await curio.sleep(pause * (0.5 + self._randomness.random()))
            await self.run_gossip_round()

    async def run_gossip_round(self) -> None:
        """Ask a few peers for what this node does not know."""
        addresses = [member.endpoint for member in self.others]
        addresses = addresses or [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.peer_address
        ]
        count = min(GOSSIP_FANOUT, len(addresses))
        async with curio.TaskGroup() as asking:
            for address in self._randomness.sample(addresses, count):
                await asking.spawn(self._fetch_from, address)

    async def ask(
        self,
        address: Address,
        question: Message,
        limit: float = ASK_LIMIT,
    ) -> PeerAnswer:
        """Ask one peer.

        Returns
        -------
        Message, ConnectionRefusedError or None
            The error if no process listens at the address; None if the
            peer does not answer in time.
        """
        try:
            async with curio.timeout_after(limit):
                return await self._streams.exchange(address, question)
        except ConnectionRefusedError as error:
            return error
        except (ConnectionError, curio.TaskTimeout):
            # The peer may be gone: its registration outlives it.
            return None

    async def ask_all(
        self,
        question: Message,
        limit: float = ASK_LIMIT,
    ) -> dict[str, PeerAnswer]:
        """Ask every other node at once; return the answers by name."""
        return await self.ask_each(self.others, question, limit)

    def count_registered(self) -> int:
        """Return the number of registered nodes, this one among them.

        Nodes that are noted as gone count: they may run on, cut off.
        """
        names = set(self._view.members)
        names.add(self._settings.name)
        return len(names)

    def build_follow_request(self, limit: float) -> FollowNews:
        """Return the question for news that this node lacks."""
        return FollowNews(self._read_revisions(), limit, self._view.version)

    def collect_updates(self, question: AskNews) -> News:
        """Return what this node knows beyond an asker's revisions."""
        return self._gather_news(question.version, question.revisions)

    async def apply_updates(self, news: News, address: Address) -> None:
        """Take over a peer's news; what cannot be read is told."""
        try:
            await self._adopt(news, str(address))
        except (DecodeError, DocumentError, ValueError) as error:
            self._journal.record(
                'peer.bad_news', peer=str(address), reason=str(error)
            )

    async def ask_each(
        self,
        members: Iterable[Member],
        question: Message,
        limit: float = ASK_LIMIT,
    ) -> dict[str, PeerAnswer]:
        """Ask some nodes at once; return the answers by name."""
        tasks = {
            member.name: await curio.spawn(
                self.ask,
                member.endpoint,
                question,
                limit,
            )
            for member in members
        }
        return {name: await task.join() for name, task in tasks.items()}

    async def _fetch_from(self, address: Address) -> None:
        question = AskNews(self._view.version, self._read_revisions())
        answer = await self.ask(address, question)
        if isinstance(answer, News):
            await self.apply_updates(answer, address)

    async def _adopt(self, news: News, source: str) -> None:
        # The records first: a damaged configuration must not hide them.
        for name, body in news.updates.items():
            kind = Kind(name)
            update = decode_update(kind, body)
            await self._view.apply_update(kind, update, source)
        if news.configuration:
            encoded = decompress_configuration(news.configuration)
            configuration = self._store.decode_configuration(encoded)
            await self._view.adopt_configuration(configuration)

    def _read_revisions(self) -> dict[str, int]:
        """Return up to where this node knows each kind that peers share."""
        return {
            kind.value: self._view.get_revision(kind)
            for kind in REPLICATED_KINDS
        }

    def _gather_news(self, version: int, known: Mapping[str, int]) -> News:
        """Return what a peer lacks that knows so much of each kind."""
        is_newer = self._view.version > version
        configuration = self._compress_configuration() if is_newer else b''
        updates = {
            kind.value: encode_update(
                self._view.read_update(kind, known.get(kind.value, 0)),
            )
            for kind in REPLICATED_KINDS
            if self._view.get_revision(kind) > known.get(kind.value, 0)
        }
        return News(configuration, updates)

    def _compress_configuration(self) -> bytes:
        """Return the configuration in force as peers get it."""
        configuration = self._view.configuration
        if configuration is None:
            return b''
        if self._compressed[0] != configuration.version:
            body = compress_configuration(configuration.encoded)
            self._compressed = (configuration.version, body)
        return self._compressed[1]

    async def _answer_follower(self, question: FollowNews) -> FollowAnswer:
        """Answer a peer that follows this node once there is news."""
        revisions = {
            kind: question.revisions.get(kind.value, 0)
            for kind in REPLICATED_KINDS
        }
        await self._feed.wait_for_changes(
            revisions,
            question.version,
            question.limit,
        )
        if not self._feed.is_feeding:
            return FollowAnswer(b'', {}, is_feeding=False)
        news = self._gather_news(question.version, question.revisions)
        return FollowAnswer(news.configuration, news.updates, is_feeding=True)

    async def _serve(self, stream: Stream) -> None:
        channel = StreamChannel(stream)
        while True:
            question = await channel.receive()
            if isinstance(question, OpenDetour):
                await self._carrier.carry(stream, question)
                return
            if isinstance(question, BorrowLink) and self.lend is not None:
                await self.lend(channel, question)
                continue
            if isinstance(question, Forward) and self.run_forwarded is not None:
                await self.run_forwarded(channel, question)
                continue
            answer = await self._find_answer(question)
            if answer is None:
                return
            await channel.send(answer)

    async def _find_answer(self, question: Message) -> Message | None:
        if isinstance(question, AskNews):
            return self.collect_updates(question)
        if isinstance(question, FollowNews):
            return await self._answer_follower(question)
        if self.answer is None:
            return None
        return await self.answer(question)
