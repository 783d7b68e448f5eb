"""Borrowing connections to servers from the nodes that hold them."""

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Final

import curio

from deckdrum.backends.base import (
    Backend,
    BackendLink,
    ConnectionLimitError,
    LinkState,
    NoFreeConnectionError,
    WrongServerError,
)
from deckdrum.control import Member
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.health import PeerHealth
from deckdrum.fleet.node_messages import (
    BorrowLink,
    Carried,
    LinkLent,
    LinkReturned,
    ReturnLink,
)
from deckdrum.fleet.peers import StreamPool
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.utils import ByteStream
from deckdrum.utils.ranks import weigh

#: Longest wait for a lender's answer beyond the wait that it is asked to
#: bear, in seconds.
LENDER_REPLY_MARGIN_S: Final = 0.15
#: Longest wait of a request for the free connection of the last lender that is
#: asked, in seconds; then another server is tried.
LENDER_QUEUE_TIMEOUT_S: Final = 0.25
#: Pause after the server has refused a connection for want of room, in s.
#: Connections of a node that lost power linger for 3 s.
SERVER_FULL_BACKOFF_S: Final = 0.25
#: Begins the name of a group that borrows, in the lender's queue.
LOAN_PREFIX: Final = 'loan:'
#: Lenders asked for one connection.
MAX_LENDERS_ASKED: Final = 3

#: Weight of the latest connection in the usual time of one.
_LEARN_RATE: Final = 0.2

Prepared = dict[tuple[str, str], str]


def rank_lender(own: Member, lender: Member) -> tuple[bool, bytes]:
    """Return a lender's place for a node: the nearest first, then spread."""
    is_far = lender.data_centre != own.data_centre
    return is_far, weigh(own.name, lender.name)


class BorrowedStream(ByteStream):
    """Bytes of a borrowed connection, carried by its lender.

    Parameters
    ----------
    channel : StreamChannel
        To the lender.
    """

    def __init__(self, channel: StreamChannel) -> None:
        self.channel = channel
        self._is_closed = False

    def is_quiet(self) -> bool:
        """Tell whether the stream is open and has nothing to receive."""
        return not self._is_closed and self.channel.is_usable

    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the lender has closed."""
        if self._is_closed:
            return b''
        try:
            message = await self.channel.receive()
        except ConnectionError:
            return b''
        return message.payload if isinstance(message, Carried) else b''

    async def send(self, payload: bytes) -> None:
        """Send all of `payload`."""
        if self._is_closed:
            raise ConnectionResetError('the connection was given back')
        await self.channel.send(Carried(payload))

    async def close(self) -> None:
        """Close the stream: the lender closes the connection."""
        if not self._is_closed:
            self._is_closed = True
            await self.channel.close()

    def detach(self) -> None:
        """End the use of the channel without closing it."""
        self._is_closed = True


class DirectBackend(Backend):
    """A server as this node connects to it by itself.

    Parameters
    ----------
    direct : Backend
        Connects to the server.
    """

    def __init__(self, direct: Backend) -> None:
        super().__init__(direct.server)
        self._direct = direct
        #: Until when the server is not asked for more connections.
        self.full_until = float('-inf')
        #: Usual time until a new connection can be used, in seconds.
        self.mean_connect_time: float = 0
        #: Tells whether the server's log holds something while it lives.
        self.is_log_known_nonempty: Callable[[], bool] = bool

    async def connect(self, limit: float) -> BackendLink:
        """Open a connection, unless the server has just been found full."""
        return await self.connect_for('', limit)

    async def connect_for(
        self,
        group: str,
        limit: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Open one of a workspace, unless the server was just found full."""
        now = await curio.clock()
        if now < self.full_until:
            raise NoFreeConnectionError(f'{self.name} was full a moment ago')
        self._direct.server = self.server
        has_log = self.is_log_known_nonempty()
        try:
            link = await self._direct.connect_for(group, limit, workspace)
        except ConnectionLimitError:
            self.full_until = now + SERVER_FULL_BACKOFF_S
            raise
        if has_log and link.opened_at and not link.opened_at.offset:
            # It has started again, and the directory does not say so yet:
            # what it answered would be of an empty log.  One that still
            # applies what it has received stands behind, not at nothing.
            await link.close()
            raise WrongServerError(f'the log of {self.name} is empty')
        taken = await curio.clock() - now
        self.mean_connect_time += (taken - self.mean_connect_time) * _LEARN_RATE
        return link

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return the link over a connection that has been started."""
        return self._direct.wrap(stream)


class BorrowingBackend(Backend):
    """A server as it is reached over connections of other nodes.

    Only if none of these answers, this node connects by itself, within the
    connections that the deal keeps in reserve.

    Parameters
    ----------
    own : OwnBackend
        Connects to the server.
    streams : StreamPool
        Streams to other nodes.
    health : PeerHealth
        Which of them do not answer.
    """

    def __init__(
        self,
        own: DirectBackend,
        streams: StreamPool,
        health: PeerHealth,
    ) -> None:
        super().__init__(own.server)
        self._own = own
        self._streams = streams
        self._health = health
        #: Nodes to borrow from, the nearest first.
        self.lenders: list[Member] = []

    async def connect(self, limit: float) -> BackendLink:
        """Borrow a connection within `limit` seconds."""
        return await self.connect_for('', limit)

    async def connect_for(
        self,
        group: str,
        limit: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Borrow a connection of a workspace for a member group."""
        is_answered = False
        asked = self._pick_lenders()
        for lender in asked:
            # The last one may let the request wait for its turn.
            wait = (
                min(limit, LENDER_QUEUE_TIMEOUT_S) if lender is asked[-1] else 0
            )
            question = BorrowLink(
                self.server.service,
                self.server.id,
                group,
                wait,
                {},
                workspace,
            )
            answer = await self._borrow(lender, question)
            if isinstance(answer, BackendLink):
                return answer
            is_answered = is_answered or answer is not None
        if is_answered:
            # A connection beyond the deal would only load the server more.
            raise NoFreeConnectionError(f'{self.name}: the lenders have none')
        link = await self._own.connect_for(group, limit, workspace)
        link.is_kept = False
        return link

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return the link over a connection that has been started."""
        return self._own.wrap(stream)

    def _pick_lenders(self) -> list[Member]:
        """Return the lenders to ask, the best first."""
        ready = [
            lender
            for lender in self.lenders
            if not self._health.is_silent(lender.name)
        ]
        return ready[:MAX_LENDERS_ASKED]

    async def _borrow(
        self,
        lender: Member,
        question: BorrowLink,
    ) -> BackendLink | LinkLent | None:
        """Borrow from one node.

        Returns
        -------
        BackendLink, LinkLent or None
            The lender's refusal if it lends nothing; None if it does not
            answer, or holds no connections.
        """
        try:
            async with curio.timeout_after(
                question.limit + LENDER_REPLY_MARGIN_S
            ):
                channel = await self._streams.open(lender.endpoint)
                answer = await _ask(channel, question)
        except (ConnectionError, curio.TaskTimeout) as error:
            # Another lender is asked; this one is left alone for a while.
            await self._health.note_failure(lender, error)
            return None
        if not answer.is_lent:
            await self._streams.keep(lender.endpoint, channel)
            return answer if answer.is_full else None
        link = self._own.wrap(BorrowedStream(channel))
        link.state = decode_state(answer.values, answer.prepared)
        link.workspace = question.workspace or ''
        link.is_kept = False
        link.on_hand_back = partial(_hand_back, self._streams, lender)
        return link


async def _ask(channel: StreamChannel, question: BorrowLink) -> LinkLent:
    answer = await channel.ask(question)
    if isinstance(answer, LinkLent):
        return answer
    await channel.close()
    raise ConnectionAbortedError(f'{type(answer).__name__} to a borrower')


async def _hand_back(
    streams: StreamPool,
    lender: Member,
    link: BackendLink,
) -> None:
    """Give a connection back to its lender."""
    stream = link.stream
    if not isinstance(stream, BorrowedStream):
        raise BrokenInvariantError('this connection was not borrowed')
    stream.detach()
    returned = ReturnLink(link.state.values, encode_prepared(link.state))
    try:
        await stream.channel.send(returned)
    except ConnectionError:
        await stream.channel.close()
        return
    await curio.spawn(
        _await_return,
        streams,
        lender,
        stream.channel,
        daemon=True,
    )


async def _await_return(
    streams: StreamPool,
    lender: Member,
    channel: StreamChannel,
) -> None:
    """Keep the stream for the next loan once the lender is done with it."""
    try:
        async with curio.timeout_after(LENDER_QUEUE_TIMEOUT_S):
            answer = await channel.receive()
    except (ConnectionError, curio.TaskTimeout):
        await channel.close()
        return
    if isinstance(answer, LinkReturned):
        await streams.keep(lender.endpoint, channel)
    else:
        await channel.close()


def encode_prepared(state: LinkState) -> list[list[str]]:
    """Return prepared statements as they stand in messages."""
    return [[*key, name] for key, name in state.prepared.items()]


def decode_state(
    values: Mapping[str, str],
    prepared: Sequence[Sequence[str]],
) -> LinkState:
    """Return the state of a connection from a message."""
    names: Prepared = {
        (effect, shape): name for effect, shape, name in prepared
    }
    return LinkState(dict(values), names)
