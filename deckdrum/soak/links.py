"""Loopback TCP relays that delay, block or reset connections."""

from enum import StrEnum
from typing import Final

import curio

from deckdrum.utils import Address, Listener, Stream, dial

_DIAL_TIMEOUT_S: Final = 1.0
_POLL_INTERVAL_S: Final = 0.02


class LinkState(StrEnum):
    """How a link treats the traffic that it relays."""

    OPEN = 'open'
    SLOW = 'slow'
    #: Traffic from the target is blocked.
    ONE_WAY = 'one way'
    #: Traffic in both directions is blocked.
    SILENT = 'silent'


class FaultLink:
    """TCP relay to one address, with faults that a test can set.

    Parameters
    ----------
    target : Address
        Address to which connections are relayed.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.state = LinkState.OPEN
        #: Delay of each chunk while the link is slow, in seconds.
        self.delay: float = 0
        self._listener = Listener(Address(target.host, 0), self._serve)
        self._open_streams: set[Stream] = set()

    @property
    def address(self) -> Address:
        """Address on which the link listens."""
        return self._listener.address

    async def start(self) -> None:
        """Start accepting connections."""
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._listener.close()

    async def reset(self) -> None:
        """Reset every open connection."""
        for stream in list(self._open_streams):
            await stream.abort()

    async def _serve(self, near: Stream) -> None:
        try:
            far = await dial(self.target, _DIAL_TIMEOUT_S)
        except ConnectionError:
            # The target is not running; returning closes the connection.
            return
        ends = {near, far}
        self._open_streams |= ends
        try:
            async with curio.TaskGroup(wait=any) as relays:
                await relays.spawn(self._relay, near, far, False)
                await relays.spawn(self._relay, far, near, True)
        finally:
            self._open_streams -= ends
            await far.close()

    async def _relay(
        self,
        source: Stream,
        sink: Stream,
        is_answer: bool,
    ) -> None:
        while chunk := await source.receive():
            await self._wait_while_blocked(is_answer)
            try:
                await sink.send(chunk)
            except ConnectionError:
                # The task group then cancels the other direction.
                return

    async def _wait_while_blocked(self, is_answer: bool) -> None:
        """Apply the delay, and wait while this direction is blocked."""
        if self.state is LinkState.SLOW:
            await curio.sleep(self.delay)
        while self.state is LinkState.SILENT or (
            is_answer and self.state is LinkState.ONE_WAY
        ):
            await curio.sleep(_POLL_INTERVAL_S)
