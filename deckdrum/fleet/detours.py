"""Reaching a backend server through another node.

A node that is cut off from a server, while others are not, connects through
one of them.  That node passes bytes on and reads none of them: every decision
stays with the node that serves the caller.
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
#: Detours that a node carries for others at a time; each is one connection to
#: a server out of the share of the node that asked for it.
MAX_DETOURS: Final = 64
#: Longest wait for the server when a peer asks, in seconds.
DIAL_LIMIT: Final = 0.3


class DetourDialer:
    """Connects to servers, through peers where there is a detour.

    Parameters
    ----------
    dial_straight : callable
        Connects to an address within a limit in seconds.
    """

    def __init__(self, dial_direct: Dial = dial) -> None:
        #: Peers by the id of the server that is reached through them.
        self.detours: dict[str, Address] = {}
        self.dial_direct = dial_direct

    async def dial(self, server: BackendServer, limit: float) -> Stream:
        """Open a connection to a server.

        Raises
        ------
        ConnectionError
            If it cannot be had in time.
        """
        peer = self.detours.get(server.id)
        if peer is None:
            return await self.dial_direct(server.address, limit)
        return await open_detour(peer, server.id, limit)


async def open_detour(peer: Address, server: str, limit: float) -> Stream:
    """Open a connection to a server through a peer.

    Raises
    ------
    ConnectionError
        If the peer or the server does not answer in time.
    """
    stream = await dial(peer, limit)
    channel = StreamChannel(stream)
    try:
        async with curio.timeout_after(limit):
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
    """Passes other nodes' bytes on to servers.

    Parameters
    ----------
    view : ControlView
        Only servers in the directory are connected to.
    dialer : DetourDialer
        Connects to them.
    journal : Journal
        For each detour that is opened.
    """

    def __init__(
        self,
        view: ControlView,
        dialer: DetourDialer,
        journal: Journal,
    ) -> None:
        #: Detours that are open.
        self.open = 0
        self._view = view
        self._dialer = dialer
        self._journal = journal

    async def carry(self, stream: Stream, question: OpenDetour) -> None:
        """Answer a peer that asks for a detour, and carry it to its end."""
        channel = StreamChannel(stream)
        server = self._view.servers.get(question.server)
        if server is None or self.open >= MAX_DETOURS:
            await channel.send(DetourOpened(is_open=False))
            return
        try:
            far = await self._dialer.dial_direct(
                server.address,
                DIAL_LIMIT,
            )
        except ConnectionError as error:
            self._journal.record_often(
                'detour.refused', server=server.id, reason=str(error)
            )
            await channel.send(DetourOpened(is_open=False))
            return
        self._journal.record_often('detour.opened', server=server.id)
        self.open += 1
        try:
            await channel.send(DetourOpened(is_open=True))
            await _join(stream, far)
        finally:
            self.open -= 1
            await far.close()


async def _join(near: Stream, far: Stream) -> None:
    """Pass bytes both ways until one end closes."""
    async with curio.TaskGroup(wait=any) as carrying:
        await carrying.spawn(_pass_on, near, far)
        await carrying.spawn(_pass_on, far, near)


async def _pass_on(source: Stream, target: Stream) -> None:
    while chunk := await source.receive():
        try:
            await target.send(chunk)
        except ConnectionError:
            # The other direction sees the same end.
            return
