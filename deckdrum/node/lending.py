"""Lending connections to nodes that hold none."""

from collections.abc import Mapping

import curio

from deckdrum.fleet.borrowing import (
    LOAN_PREFIX,
    decode_state,
    encode_prepared,
)
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import (
    BorrowLink,
    Carried,
    LinkLent,
    LinkReturned,
    ReturnLink,
)
from deckdrum.outcomes import Refusal
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.serving.service import ServiceRuntime
from deckdrum.utils import ByteStream
from deckdrum.utils.counters import Counters

_NOT_LENT = LinkLent(is_lent=False, is_full=False, values={}, prepared=())
_FULL = LinkLent(is_lent=False, is_full=True, values={}, prepared=())


class ConnectionLender:
    """Lends this node's connections.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        The groups whose connections this node holds.
    counters : Counters
        For metrics.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        counters: Counters,
    ) -> None:
        #: Connections that are lent now.
        self.lent = 0
        self._services = services
        self._counters = counters

    async def lend(
        self,
        channel: StreamChannel,
        question: BorrowLink,
    ) -> None:
        """Lend a connection and carry its bytes until it is returned.

        Raises
        ------
        ConnectionError
            If the borrower is gone; the connection is closed then.
        """
        handle = self._find(question)
        if handle is None or not await _is_lendable(handle, question):
            await channel.send(_NOT_LENT)
            return
        if not await self._has_capacity(handle):
            await channel.send(_FULL)
            return
        try:
            lease = await handle.acquire_own(
                f'{LOAN_PREFIX}{question.group}',
                question.limit,
                question.values,
                workspace=question.workspace,
            )
        except ConnectionError:
            await channel.send(_NOT_LENT)
            return
        if isinstance(lease, Refusal):
            self._counters.count('loans_refused')
            await channel.send(_FULL)
            return
        self._counters.count('loans')
        self.lent += 1
        try:
            await self._carry(channel, handle, lease)
        finally:
            self.lent -= 1

    async def _has_capacity(self, handle: ServerHandle) -> bool:
        """Tell whether this node has, or may open, a connection of its own."""
        is_full = await curio.clock() < handle.own.full_until
        return handle.pool.idle > 0 or not is_full

    def _find(self, question: BorrowLink) -> ServerHandle | None:
        runtime = self._services.get(question.service)
        return runtime.servers.get(question.server) if runtime else None

    async def _carry(
        self,
        channel: StreamChannel,
        handle: ServerHandle,
        lease: ServerLease,
    ) -> None:
        state = lease.link.state
        stream = lease.link.stream
        is_clean = False
        try:
            await channel.send(
                LinkLent(
                    is_lent=True,
                    is_full=False,
                    values=state.values,
                    prepared=encode_prepared(state),
                ),
            )
            returned = await _relay_until_returned(channel, stream)
            lease.link.state = decode_state(returned.values, returned.prepared)
            is_clean = True
        finally:
            await handle.release(lease, is_clean)
        await channel.send(LinkReturned())


async def _is_lendable(handle: ServerHandle, question: BorrowLink) -> bool:
    """Tell whether a connection of this node's own may be lent.

    One to a server that has left serves questions, which are of no group: the
    borrower may not know yet that it leaves.
    """
    is_barred = bool(question.group) and handle.departure.is_past_cutoff(
        await curio.clock()
    )
    return handle.is_holder and not is_barred


async def _relay_until_returned(
    channel: StreamChannel,
    stream: ByteStream,
) -> ReturnLink:
    """Carry bytes both ways until the borrower returns the connection."""
    answering = await curio.spawn(_relay_responses, channel, stream)
    try:
        while True:
            message = await channel.receive()
            if isinstance(message, ReturnLink):
                return message
            if not isinstance(message, Carried):
                name = type(message).__name__
                raise ConnectionAbortedError(f'{name} on a lent connection')
            await stream.send(message.payload)
    finally:
        await answering.cancel()


async def _relay_responses(channel: StreamChannel, stream: ByteStream) -> None:
    while chunk := await stream.receive():
        try:
            await channel.send(Carried(chunk))
        except ConnectionError:
            # The borrower is gone; the other direction sees it too.
            return
    # The server has closed: so must the borrower's end.
    await channel.close()
