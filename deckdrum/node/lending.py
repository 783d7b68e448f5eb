"""Lending server connections to nodes that have none."""

from collections.abc import Mapping
from typing import Final

import curio

from deckdrum.fleet.base import Message
from deckdrum.fleet.borrowing import decode_state, encode_prepared
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import (
    BorrowLink,
    LinkLent,
    LinkReturned,
    RelayedBytes,
    ReturnLink,
)
from deckdrum.members import LOAN_PREFIX
from deckdrum.outcomes import Refusal
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle, ServerLease
from deckdrum.utils import ByteStream
from deckdrum.utils.counters import Counters

#: Longest silence of a borrower.  It ends idle transactions much earlier; this
#: returns the connection of one that is suspended.
LOAN_IDLE_TIMEOUT_S: Final = 60.0

_NOT_LENT = LinkLent(is_lent=False, is_full=False, values={}, prepared=())
_FULL = LinkLent(is_lent=False, is_full=True, values={}, prepared=())


class ConnectionLender:
    """Lends this node's server connections to other nodes.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        Database groups of this node, by name.
    counters : Counters
        Metrics of the node.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        counters: Counters,
    ) -> None:
        #: Number of connections lent now.
        self.lent = 0
        self._services = services
        self._counters = counters

    async def lend(
        self,
        channel: StreamChannel,
        request: BorrowLink,
    ) -> None:
        """Lend a connection and relay its bytes until it is returned.

        Raises
        ------
        ConnectionError
            If the borrower has disconnected; the connection is then closed.
        """
        handle = self._find_server(request)
        if handle is None or not await _is_lendable(handle, request):
            await channel.send(_NOT_LENT)
            return
        if not await self._has_capacity(handle):
            await channel.send(_FULL)
            return
        try:
            lease = await handle.acquire_own(
                f'{LOAN_PREFIX}{request.group}',
                request.limit,
                request.values,
                workspace=request.workspace,
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
            await self._relay(channel, handle, lease)
        finally:
            self.lent -= 1

    async def _has_capacity(self, handle: ServerHandle) -> bool:
        """Return whether this node has, or may open, a connection to lend."""
        is_full = await curio.clock() < handle.own.full_until
        return handle.pool.idle > 0 or not is_full

    def _find_server(self, request: BorrowLink) -> ServerHandle | None:
        runtime = self._services.get(request.service)
        return runtime.servers.get(request.server) if runtime else None

    async def _relay(
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


async def _is_lendable(handle: ServerHandle, request: BorrowLink) -> bool:
    """Return whether a connection of this node may be lent.

    Connections to a server that has left are lent only for status requests,
    which have no member group: the borrower may not know yet that it has left.
    """
    is_excluded = bool(request.group) and handle.drain_status.is_past_cutoff(
        await curio.clock()
    )
    return handle.is_holder and not is_excluded


async def _relay_until_returned(
    channel: StreamChannel,
    stream: ByteStream,
) -> ReturnLink:
    """Relay bytes both ways until the borrower returns the connection."""
    response_task = await curio.spawn(_relay_responses, channel, stream)
    try:
        while True:
            message = await _receive(channel)
            if isinstance(message, ReturnLink):
                return message
            if not isinstance(message, RelayedBytes):
                name = type(message).__name__
                raise ConnectionAbortedError(
                    f'unexpected {name} message on a lent connection',
                )
            await stream.send(message.payload)
    finally:
        await response_task.cancel()


async def _receive(channel: StreamChannel) -> Message:
    """Return the next message of the borrower.

    Raises
    ------
    ConnectionError
        If it has disconnected, or been silent for too long.
    """
    try:
        async with curio.timeout_after(LOAN_IDLE_TIMEOUT_S):
            return await channel.receive()
    except curio.TaskTimeout as error:
        raise ConnectionAbortedError(
            f'a borrower was silent for {LOAN_IDLE_TIMEOUT_S} s'
        ) from error


async def _relay_responses(channel: StreamChannel, stream: ByteStream) -> None:
    while chunk := await stream.receive():
        try:
            await channel.send(RelayedBytes(chunk))
        except ConnectionError:
            # The borrower has disconnected; the other direction fails as well.
            return
    # The server has closed the connection, so the borrower's end is closed.
    await channel.close()
