"""Borrowing connections to backend servers from the nodes that hold them."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractAsyncContextManager, nullcontext
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
    LinkLent,
    LinkReturned,
    RelayedBytes,
    ReturnLink,
)
from deckdrum.fleet.peers import StreamPool
from deckdrum.outcomes.errors import BrokenInvariantError
from deckdrum.utils import ByteStream
from deckdrum.utils.ranks import compute_rendezvous_rank

#: Time allowed for a lender's answer in addition to the wait in its queue.
LENDER_REPLY_MARGIN_S: Final = 0.15
#: Longest wait in the last lender's queue before another server is tried.
LENDER_QUEUE_TIMEOUT_S: Final = 0.25
#: Delay before a server that reached its connection limit is tried again.
#: Connections of a node that lost power count against the limit for 3 s.
SERVER_FULL_BACKOFF_S: Final = 0.25
#: Lenders asked for a connection.
MAX_LENDERS_ASKED: Final = 3

#: Weight of the latest sample in the moving average of the connect time.
_LATEST_SAMPLE_FRACTION: Final = 0.2

Prepared = dict[tuple[str, str], str]


def rank_lender(own: Member, lender: Member) -> tuple[bool, bytes]:
    """Return the sort key of a lender for a node.

    Lenders in the same data centre come first.  Within a data centre, each
    node has a pseudorandom order of its own, which spreads the load.
    """
    is_remote = lender.data_centre != own.data_centre
    return is_remote, compute_rendezvous_rank(own.name, lender.name)


class BorrowedStream(ByteStream):
    """Byte stream of a borrowed connection, relayed by its lender.

    Parameters
    ----------
    channel : StreamChannel
        Channel to the lender.
    """

    def __init__(self, channel: StreamChannel) -> None:
        self.channel = channel
        self._is_closed = False

    def is_idle(self) -> bool:
        """Return whether the stream is open and nothing unread has arrived."""
        return not self._is_closed and self.channel.is_usable

    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the lender has closed."""
        if self._is_closed:
            return b''
        try:
            message = await self.channel.receive()
        except ConnectionError:
            return b''
        return message.payload if isinstance(message, RelayedBytes) else b''

    async def send(self, payload: bytes) -> None:
        """Send all of `payload`."""
        if self._is_closed:
            raise ConnectionResetError('the connection was given back')
        await self.channel.send(RelayedBytes(payload))

    async def close(self) -> None:
        """Close the stream, so that the lender closes the connection."""
        if not self._is_closed:
            self._is_closed = True
            await self.channel.close()

    def detach(self) -> None:
        """Stop using the channel without closing it."""
        self._is_closed = True


def _hold_nothing(group: str) -> AbstractAsyncContextManager[None]:
    return nullcontext()


class DirectBackend(Backend):
    """A server that this node connects to directly.

    Parameters
    ----------
    direct : Backend
        Opens connections to the server.
    """

    def __init__(self, direct: Backend) -> None:
        super().__init__(direct.server)
        self._direct = direct
        #: Until when no connections are requested because the server is full.
        self.full_until = float('-inf')
        #: Moving average of the time to open a connection, in seconds.
        self.mean_connect_time: float = 0
        #: Whether the log of this incarnation is known not to be empty.
        self.is_log_known_nonempty: Callable[[], bool] = bool
        #: Held while a connection is opened for a group of callers.
        self.hold_slot: Callable[[str], AbstractAsyncContextManager[None]]
        self.hold_slot = _hold_nothing

    async def connect(self, timeout: float) -> BackendLink:
        """Open a connection, unless the server was full a moment ago."""
        return await self.connect_for('', timeout)

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Open a connection for an owner, unless the server was just full."""
        if await curio.clock() < self.full_until:
            raise NoFreeConnectionError(f'{self.name} was full a moment ago')
        async with self.hold_slot(group):
            return await self._open(group, timeout, workspace)

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return a link over a connection that is already established."""
        return self._direct.wrap(stream)

    async def _open(
        self,
        group: str,
        timeout: float,
        workspace: str | None,
    ) -> BackendLink:
        now = await curio.clock()
        self._direct.server = self.server
        has_log = self.is_log_known_nonempty()
        try:
            link = await self._direct.connect_for(group, timeout, workspace)
        except ConnectionLimitError:
            self.full_until = now + SERVER_FULL_BACKOFF_S
            raise
        if (
            has_log
            and link.position_at_open
            and not link.position_at_open.offset
        ):
            # The server has restarted with an empty log, and the directory
            # does not list the new incarnation yet.  A server that is only
            # behind in applying its log reports an offset above 0.
            await link.close()
            raise WrongServerError(f'the log of {self.name} is empty')
        elapsed = await curio.clock() - now
        self.mean_connect_time += (
            elapsed - self.mean_connect_time
        ) * _LATEST_SAMPLE_FRACTION
        return link


class BorrowingBackend(Backend):
    """A server that is reached over connections of other nodes.

    If no lender answers, this node connects directly, using the connections
    that the allocation keeps in reserve.

    Parameters
    ----------
    own : DirectBackend
        Connects to the server directly.
    streams : StreamPool
        Streams to the lenders.
    health : PeerHealth
        Tells which lenders are unresponsive.
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
        #: Nodes to borrow from, nearest first.
        self.lenders: list[Member] = []

    async def connect(self, timeout: float) -> BackendLink:
        """Borrow a connection within `timeout` seconds."""
        return await self.connect_for('', timeout)

    async def connect_for(
        self,
        group: str,
        timeout: float,
        workspace: str | None = None,
    ) -> BackendLink:
        """Borrow a connection with an owner on behalf of a member group."""
        has_answer = False
        asked = self._pick_lenders()
        for lender in asked:
            # Only the last lender may queue the request.
            wait = (
                min(timeout, LENDER_QUEUE_TIMEOUT_S)
                if lender is asked[-1]
                else 0
            )
            request = BorrowLink(
                self.server.service,
                self.server.id,
                group,
                wait,
                {},
                workspace,
            )
            answer = await self._borrow(lender, request)
            if isinstance(answer, BackendLink):
                return answer
            has_answer = has_answer or answer is not None
        if has_answer:
            # A connection beyond the allocation would overload the server.
            raise NoFreeConnectionError(f'{self.name}: the lenders have none')
        link = await self._own.connect_for(group, timeout, workspace)
        link.is_kept = False
        return link

    def wrap(self, stream: ByteStream) -> BackendLink:
        """Return a link over a connection that is already established."""
        return self._own.wrap(stream)

    def _pick_lenders(self) -> list[Member]:
        """Return the lenders to ask, in order of preference."""
        responsive = [
            lender
            for lender in self.lenders
            if not self._health.is_unresponsive(lender.name)
        ]
        return responsive[:MAX_LENDERS_ASKED]

    async def _borrow(
        self,
        lender: Member,
        request: BorrowLink,
    ) -> BackendLink | LinkLent | None:
        """Borrow from one node.

        Returns the lender's refusal if it has no free connection, and None if
        it does not answer or holds no connections.
        """
        try:
            async with curio.timeout_after(
                request.limit + LENDER_REPLY_MARGIN_S
            ):
                channel = await self._streams.open(lender.endpoint)
                answer = await _request_loan(channel, request)
        except (ConnectionError, curio.TaskTimeout) as error:
            # Not asked again until it answers heartbeats.
            await self._health.record_failure(lender, error)
            return None
        if not answer.is_lent:
            await self._streams.put_back(lender.endpoint, channel)
            return answer if answer.is_full else None
        link = self._own.wrap(BorrowedStream(channel))
        link.state = decode_state(answer.values, answer.prepared)
        link.workspace = request.workspace or ''
        link.is_kept = False
        link.on_hand_back = partial(_return_to_lender, self._streams, lender)
        return link


async def _request_loan(
    channel: StreamChannel, request: BorrowLink
) -> LinkLent:
    answer = await channel.ask(request)
    if isinstance(answer, LinkLent):
        return answer
    await channel.close()
    raise ConnectionAbortedError(f'{type(answer).__name__} to a borrower')


async def _return_to_lender(
    streams: StreamPool,
    lender: Member,
    link: BackendLink,
) -> None:
    """Return a connection to its lender."""
    stream = link.stream
    if not isinstance(stream, BorrowedStream):
        raise BrokenInvariantError(
            'a connection that was not borrowed cannot be returned'
        )
    stream.detach()
    returned = ReturnLink(link.state.values, encode_prepared(link.state))
    try:
        async with curio.timeout_after(LENDER_QUEUE_TIMEOUT_S):
            await stream.channel.send(returned)
    except (ConnectionError, curio.TaskTimeout):
        await stream.channel.close()
        return
    await curio.spawn(
        _wait_for_confirmation,
        streams,
        lender,
        stream.channel,
        daemon=True,
    )


async def _wait_for_confirmation(
    streams: StreamPool,
    lender: Member,
    channel: StreamChannel,
) -> None:
    """Put the stream back into the pool once the lender has confirmed."""
    try:
        async with curio.timeout_after(LENDER_QUEUE_TIMEOUT_S):
            answer = await channel.receive()
    except (ConnectionError, curio.TaskTimeout):
        await channel.close()
        return
    if isinstance(answer, LinkReturned):
        await streams.put_back(lender.endpoint, channel)
    else:
        await channel.close()


def encode_prepared(state: LinkState) -> list[list[str]]:
    """Encode prepared statements for a message."""
    return [[*key, name] for key, name in state.prepared.items()]


def decode_state(
    values: Mapping[str, str],
    prepared: Sequence[Sequence[str]],
) -> LinkState:
    """Decode the state of a connection from a message."""
    names: Prepared = {
        (effect, shape): name for effect, shape, name in prepared
    }
    return LinkState(dict(values), names)
