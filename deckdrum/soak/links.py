"""Loopback links that delay, reset, cut one way or silence connections."""

from enum import StrEnum
from typing import Final

import curio

from deckdrum.utils import Address, Listener, Stream, dial

#: Longest wait for the far end of a link, in seconds.
_DIAL_TIMEOUT_S: Final = 1.0
#: Pause between two looks at a link that passes nothing on, in seconds.
_POLL: Final = 0.02


class LinkState(StrEnum):
    """What a link does with the bytes that it gets."""

    OPEN = 'open'
    SLOW = 'slow'
    #: What the far end sends is kept back.
    ONE_WAY = 'one way'
    SILENT = 'silent'


class FaultLink:
    """A link to one address.

    Parameters
    ----------
    target : Address
        The far end.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.state = LinkState.OPEN
        #: Delay of each chunk while the link is slow, in seconds.
        self.delay: float = 0
        self._listener = Listener(Address(target.host, 0), self._serve)
        self._open: set[Stream] = set()

    @property
    def address(self) -> Address:
        """Where the link takes connections."""
        return self._listener.address

    async def start(self) -> None:
        """Begin to take connections."""
        await self._listener.start()

    async def close(self) -> None:
        """Close the link and its connections."""
        await self._listener.close()

    async def reset(self) -> None:
        """Reset every open connection."""
        for stream in list(self._open):
            await stream.abort()

    async def _serve(self, near: Stream) -> None:
        try:
            far = await dial(self.target, _DIAL_TIMEOUT_S)
        except ConnectionError:
            # The database does not run: the caller sees a closed connection.
            return
        ends = {near, far}
        self._open |= ends
        try:
            async with curio.TaskGroup(wait=any) as carrying:
                await carrying.spawn(self._carry, near, far, False)
                await carrying.spawn(self._carry, far, near, True)
        finally:
            self._open -= ends
            await far.close()

    async def _carry(
        self,
        source: Stream,
        sink: Stream,
        is_answer: bool,
    ) -> None:
        while chunk := await source.receive():
            await self._hold_back(is_answer)
            try:
                await sink.send(chunk)
            except ConnectionError:
                # The other direction ends too.
                return

    async def _hold_back(self, is_answer: bool) -> None:
        """Wait as long as the link keeps bytes of this direction."""
        if self.state is LinkState.SLOW:
            await curio.sleep(self.delay)
        while self.state is LinkState.SILENT or (
            is_answer and self.state is LinkState.ONE_WAY
        ):
            await curio.sleep(_POLL)
