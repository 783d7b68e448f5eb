"""Network links that tests can cut."""

import socket
from typing import Final

import curio

from deckdrum.utils import Address, Stream, dial
from deckdrum.utils.streams import TCP_USER_TIMEOUT_MS

_MS_PER_S: Final = 1000
#: Time after which both ends drop the connections of a cut link.
DROP_TIMEOUT_S: Final = TCP_USER_TIMEOUT_MS / _MS_PER_S


class CuttableLink:
    """Relays one node's connections to one address.

    While the link is cut, open connections hang: what either end sends, or that
    it closes, reaches the other end once the link is healed.  Connections of a
    link that stays cut for `DROP_TIMEOUT_S` are closed.  New ones time out.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._cut_count = 0
        self._healed = curio.Event()
        self._streams: set[Stream] = set()

    async def cut(self) -> None:
        """Cut the link."""
        if self.is_cut:
            return
        self.is_cut = True
        self._cut_count += 1
        self._healed.clear()
        await curio.spawn(self._drop_later, self._cut_count, daemon=True)

    async def heal(self) -> None:
        """Heal the link."""
        self.is_cut = False
        await self._healed.set()

    async def dial(self, address: Address, timeout: float) -> Stream:
        """Open a connection through the link.

        Raises
        ------
        ConnectionError
            If the address refuses it, or after `timeout` seconds.
        """
        if self.is_cut:
            await curio.sleep(timeout)
            raise ConnectionAbortedError(f'the link to {address} is cut')
        far = await dial(address, timeout)
        near, relay_end = _open_pair()
        await curio.spawn(self._relay, relay_end, far, daemon=True)
        return near

    async def _relay(self, near: Stream, far: Stream) -> None:
        ends = {near, far}
        self._streams |= ends
        try:
            async with curio.TaskGroup(wait=any) as copying:
                await copying.spawn(self._copy, near, far)
                await copying.spawn(self._copy, far, near)
        finally:
            await self._close(ends)

    async def _copy(self, source: Stream, sink: Stream) -> None:
        while True:
            chunk = await source.receive()
            await self._wait_until_healed()
            if not chunk:
                return
            try:
                await sink.send(chunk)
            except ConnectionError:
                # The task group then cancels the other direction.
                return

    async def _close(self, ends: set[Stream]) -> None:
        self._streams -= ends
        for stream in ends:
            await stream.close()

    async def _wait_until_healed(self) -> None:
        while self.is_cut:
            await self._healed.wait()

    async def _drop_later(self, cut_count: int) -> None:
        """Close the connections if the link stays cut."""
        await curio.sleep(DROP_TIMEOUT_S)
        if self.is_cut and self._cut_count == cut_count:
            for stream in list(self._streams):
                await stream.abort()


def _open_pair() -> tuple[Stream, Stream]:
    """Return the two ends of a local connection."""
    ends = socket.socketpair()
    near, far = (Stream(curio.io.Socket(raw), raw) for raw in ends)
    return near, far
