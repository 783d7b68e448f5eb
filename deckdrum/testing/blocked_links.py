"""Connections of a node whose links to single addresses can be blocked.

A blocked link behaves as a network that drops packets: new connections time
out, sent data is held until the link opens, and a connection whose data stays
unacknowledged is reset.  A link that refuses behaves as a network that rejects
packets: new connections are refused, and open ones reset.
"""

import errno
import socket
from collections import deque
from collections.abc import Collection, Mapping
from enum import StrEnum
from pathlib import Path
from types import MappingProxyType
from typing import Final

import curio
import msgspec

from deckdrum.utils import Address, Stream, dial
from deckdrum.utils.streams import TCP_USER_TIMEOUT_MS

#: Environment variable with the path of the file that lists blocked links.
BLOCKED_LINKS_VARIABLE: Final = 'DECKDRUM_BLOCKED_LINKS'
_POLL_INTERVAL_S: Final = 0.01
_MS_PER_S: Final = 1000


class Direction(StrEnum):
    """What is blocked of a link, as seen from the node that connects."""

    TO = 'to'
    FROM = 'from'
    #: Both directions, by refused and reset connections.
    REFUSED = 'refused'


BOTH_DIRECTIONS: Final = frozenset((Direction.TO, Direction.FROM))
BlockedLinks = Mapping[str, Collection[Direction]]
_NOTHING_BLOCKED: Final[BlockedLinks] = MappingProxyType({})


def encode_blocked_links(blocked: BlockedLinks) -> bytes:
    """Return the contents of the file that lists blocked links."""
    return msgspec.json.encode(
        {address: sorted(directions) for address, directions in blocked.items()}
    )


class BlockedLinkFile:
    """The blocked links of one node, read from a file whenever it changes.

    Parameters
    ----------
    path : Path
        File with the blocked directions by address; no link is blocked while
        it does not exist.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at_ns = 0
        self._blocked = _NOTHING_BLOCKED

    def is_blocked(self, address: Address, direction: Direction) -> bool:
        """Return whether traffic with an address is blocked."""
        self._read_changes()
        return direction in self._blocked.get(str(address), ())

    def is_cut(self, address: Address) -> bool:
        """Return whether traffic is blocked in any direction."""
        return any(self.is_blocked(address, each) for each in BOTH_DIRECTIONS)

    def is_refusing(self, address: Address) -> bool:
        """Return whether connections to an address are refused and reset."""
        return self.is_blocked(address, Direction.REFUSED)

    def _read_changes(self) -> None:
        try:
            changed_at_ns = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return
        if changed_at_ns != self._changed_at_ns:
            self._changed_at_ns = changed_at_ns
            self._blocked = msgspec.json.decode(
                self._path.read_bytes(), type=dict[str, frozenset[Direction]]
            )


class BlockableStream(Stream):
    """A connection to an address whose link can be blocked.

    Parameters
    ----------
    stream : Stream
        The open connection, which this one replaces.
    address : Address
        Address to which it was opened.
    links : BlockedLinkFile
        Tells whether the link to the address is blocked.
    """

    __slots__ = (
        '_address',
        '_is_aborted',
        '_is_delivering',
        '_links',
        '_received',
        '_unsent',
    )

    def __init__(
        self,
        stream: Stream,
        address: Address,
        links: BlockedLinkFile,
    ) -> None:
        super().__init__(stream._sock, stream._raw)
        self._address = address
        self._links = links
        #: Data that arrived before the link was blocked.
        self._received: bytes | None = None
        self._unsent: deque[bytes] = deque()
        self._is_delivering = False
        self._is_aborted = False

    def is_idle(self) -> bool:
        """Return whether the stream is open and has no data to receive."""
        if self.closed or self._received is not None:
            return False
        if self._links.is_refusing(self._address):
            return False
        if self._links.is_blocked(self._address, Direction.FROM):
            # Neither data nor the end of the connection arrives.
            return True
        return super().is_idle()

    async def receive(self) -> bytes:
        """Return the next bytes, or ``b''`` once the peer has closed."""
        if self._received is None:
            self._received = await super().receive()
        while not self.closed and self._links.is_blocked(
            self._address, Direction.FROM
        ):
            await curio.sleep(_POLL_INTERVAL_S)
        if self._links.is_refusing(self._address):
            await self.abort()
        chunk = b'' if self.closed else self._received
        self._received = None
        return chunk

    async def send(self, payload: bytes) -> None:
        """Send all of `payload`, or hold it while the link is blocked."""
        if not self.closed and self._links.is_refusing(self._address):
            await self.abort()
        if self.closed:
            raise ConnectionResetError('the stream is closed')
        if not self._is_delivering and not self._links.is_cut(self._address):
            await super().send(payload)
            return
        self._unsent.append(payload)
        if not self._is_delivering:
            await self._start_delivery()

    async def close(self) -> None:
        """Close the connection, later if data or its end is held."""
        if self.closed:
            return
        if not self._is_delivering and self._links.is_cut(self._address):
            await self._start_delivery()
        if not self._is_delivering:
            await super().close()
            return
        self.closed = True
        try:
            # Wakes tasks that wait for data, without sending a FIN.
            await self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            # Already disconnected, which wakes the waiting tasks.
            await curio.sleep(0)

    async def abort(self) -> None:
        """Reset the connection and discard data in flight."""
        self._is_aborted = True
        self._unsent.clear()
        # A stream that is closed but still delivers is reset too.
        self.closed = False
        await super().abort()

    async def _start_delivery(self) -> None:
        self._is_delivering = True
        await curio.spawn(self._deliver, daemon=True)

    async def _deliver(self) -> None:
        """Send what is held once the link opens, or reset the connection."""
        try:
            is_sent = await self._send_held_data()
        except OSError:
            # The peer has closed or reset the connection.
            is_sent = False
        if self._is_aborted:
            return
        self._is_delivering = False
        if not is_sent:
            await self.abort()
        elif self.closed:
            self.closed = False
            await super().close()

    async def _send_held_data(self) -> bool:
        """Return whether everything was acknowledged in time."""
        deadline = await curio.clock() + TCP_USER_TIMEOUT_MS / _MS_PER_S
        while self._unsent or self._links.is_cut(self._address):
            if self._is_aborted or await curio.clock() > deadline:
                return False
            if self._unsent and not self._links.is_blocked(
                self._address, Direction.TO
            ):
                await self._sock.sendall(self._unsent.popleft())
            else:
                await curio.sleep(_POLL_INTERVAL_S)
        return True


async def dial_unless_blocked(
    links: BlockedLinkFile,
    address: Address,
    timeout: float,
) -> Stream:
    """Open a connection, or time out if the link stays blocked.

    Raises
    ------
    ConnectionError
        As `dial` does.
    """
    if links.is_refusing(address):
        raise ConnectionRefusedError(f'the link to {address} refuses')
    deadline: float = await curio.clock() + timeout
    while links.is_cut(address):
        if await curio.clock() >= deadline:
            raise ConnectionAbortedError(
                errno.ECONNABORTED, f'the link to {address} is blocked'
            )
        await curio.sleep(_POLL_INTERVAL_S)
    remaining = max(deadline - await curio.clock(), _POLL_INTERVAL_S)
    return BlockableStream(await dial(address, remaining), address, links)
