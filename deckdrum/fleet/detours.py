"""Detours: connections to a backend server through another node.

A node that cannot reach a server connects through a peer that can.  The peer
relays bytes without interpreting them, so all decisions stay with the node that
serves the caller.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from deckdrum.backends.base import BackendServer
from deckdrum.control import ControlView
from deckdrum.fleet.channels import StreamChannel
from deckdrum.fleet.node_messages import DetourOpened, OpenDetour
from deckdrum.utils import Address, Journal, Stream, dial

Dial = Callable[[Address, float], Awaitable[Stream]]
#: Detours that a node relays at a time.  Each uses one connection out of the
#: allocation of the node that requested it.
MAX_DETOURS: Final = 64
#: Longest wait for a connection to the server on behalf of a peer.
DIAL_TIMEOUT_S: Final = 0.3


class DetourDialer:
    """Connects to servers, directly or through a detour.

    Parameters
    ----------
    dial_direct : callable
        Opens a direct connection to the address of a server within a timeout
        in seconds; tests replace it to simulate link failures.
    dial_peer : callable
        The same for the address of a node.
    """

    def __init__(
        self, dial_direct: Dial = dial, dial_peer: Dial = dial
    ) -> None:
        #: Addresses of the relaying peers by server id.
        self.detours: dict[str, Address] = {}
        self.dial_direct = dial_direct
        self.dial_peer = dial_peer

    async def dial(self, server: BackendServer, timeout: float) -> Stream:
        """Open a connection, or raise `ConnectionError` after `timeout` s."""
        peer = self.detours.get(server.id)
        if peer is None:
            return await self.dial_direct(server.address, timeout)
        return await self._open_detour(peer, server.id, timeout)

    async def _open_detour(
        self, peer: Address, server: str, timeout: float
    ) -> Stream:
        """Open a connection to a server through a peer.

        Raises
        ------
        ConnectionError
            If the peer or the server does not answer within `timeout` seconds.
        """
        stream = await self.dial_peer(peer, timeout)
        channel = StreamChannel(stream)
        try:
            async with curio.timeout_after(timeout):
                await channel.send(OpenDetour(server))
                answer = await channel.receive()
        except curio.TaskTimeout as error:
            await stream.close()
            raise ConnectionAbortedError(f'{peer} opens no detour') from error
        except (ConnectionError, curio.CancelledError):
            await stream.close()
            raise
        if not isinstance(answer, DetourOpened) or not answer.is_open:
            await stream.close()
            raise ConnectionAbortedError(f'{peer} does not reach {server}')
        return stream


class DetourRelay:
    """Relays bytes between other nodes and servers.

    Parameters
    ----------
    view : ControlView
        Directory of the servers that may be connected to.
    dialer : DetourDialer
        Connects to the servers.
    journal : Journal
        Logs each detour that is opened or refused.
    """

    def __init__(
        self,
        view: ControlView,
        dialer: DetourDialer,
        journal: Journal,
    ) -> None:
        #: Number of open detours.
        self.open = 0
        self._view = view
        self._dialer = dialer
        self._journal = journal

    async def handle_request(self, stream: Stream, request: OpenDetour) -> None:
        """Answer a detour request, and relay bytes until the detour closes."""
        channel = StreamChannel(stream)
        server = self._view.servers.get(request.server)
        if server is None or self.open >= MAX_DETOURS:
            await channel.send(DetourOpened(is_open=False))
            return
        try:
            upstream = await self._dialer.dial_direct(
                server.address,
                DIAL_TIMEOUT_S,
            )
        except ConnectionError as error:
            self._journal.record_rate_limited(
                'detour.refused', server=server.id, reason=str(error)
            )
            await channel.send(DetourOpened(is_open=False))
            return
        self._journal.record_rate_limited('detour.opened', server=server.id)
        self.open += 1
        try:
            await channel.send(DetourOpened(is_open=True))
            await _relay(stream, upstream)
        finally:
            self.open -= 1
            await upstream.close()


async def _relay(downstream: Stream, upstream: Stream) -> None:
    """Relay bytes in both directions until one end closes."""
    async with curio.TaskGroup(wait=any) as copying:
        await copying.spawn(_copy, downstream, upstream)
        await copying.spawn(_copy, upstream, downstream)


async def _copy(source: Stream, target: Stream) -> None:
    while chunk := await source.receive():
        try:
            await target.send(chunk)
        except ConnectionError:
            # The task that reads from this end notices that it has closed.
            return
