"""Network links that tests can cut."""

import socket
from enum import StrEnum
from typing import Final

import curio

from deckdrum.utils import Address, Stream, dial
from deckdrum.utils.streams import TCP_USER_TIMEOUT_MS

_MS_PER_S: Final = 1000
#: Time after which both ends drop the connections of a cut link.
DROP_TIMEOUT_S: Final = TCP_USER_TIMEOUT_MS / _MS_PER_S


class CutKind(StrEnum):
    """How a cut link treats connections."""

    #: Open connections hang, and new ones time out.
    SILENT = 'silent'
    #: Open connections are reset, and new ones refused.
    RESET = 'reset'
    #: Open connections work, and new ones are refused.
    REFUSE = 'refuse'


class CuttableLink:
    """Relays one node's connections to one address.

    While the link is cut silently, open connections hang: what either end
    sends, or that it closes, reaches the other end once the link is healed.
    Connections of a link that stays cut for `DROP_TIMEOUT_S` are closed.  New
    ones time out.  Other cuts refuse them, as a dead port does.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._is_refusing = False
        self._cut_count = 0
        self._healed = curio.Event()
        self._streams: set[Stream] = set()

    async def cut(self, kind: CutKind = CutKind.SILENT) -> None:
        """Cut the link."""
        if kind is not CutKind.SILENT:
            self._is_refusing = True
            if kind is CutKind.RESET:
                await self._reset()
            return
        if self.is_cut:
            return
        self.is_cut = True
        self._cut_count += 1
        self._healed.clear()
        await curio.spawn(self._drop_later, self._cut_count, daemon=True)

    async def heal(self) -> None:
        """Heal the link."""
        self.is_cut = False
        self._is_refusing = False
        await self._healed.set()

    async def dial(self, address: Address, timeout: float) -> Stream:
        """Open a connection through the link.

        Raises
        ------
        ConnectionError
            If the address or a cut refuses it, or after `timeout` seconds.
        """
        if self._is_refusing:
            raise ConnectionRefusedError(f'a cut refuses {address}')
        if self.is_cut:
            await curio.sleep(timeout)
            raise ConnectionAbortedError(f'the link to {address} is cut')
        far = await dial(address, timeout)
        near, relay_end = _open_pair()
        self._streams |= {relay_end, far}
        await curio.spawn(self._relay, relay_end, far, daemon=True)
        return near

    async def _relay(self, near: Stream, far: Stream) -> None:
        ends = {near, far}
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
            await self._reset()

    async def _reset(self) -> None:
        for stream in list(self._streams):
            await stream.abort()


def _open_pair() -> tuple[Stream, Stream]:
    """Return the two ends of a local connection."""
    ends = socket.socketpair()
    near, far = (Stream(curio.io.Socket(raw), raw) for raw in ends)
    return near, far
