"""Connections over which what is sent leaves slowly."""

import curio

from deckdrum.utils import Stream


class SlowStream(Stream):
    """A connection whose `send` waits for a peer that reads slowly.

    Parameters
    ----------
    stream : Stream
        The open connection, which this one replaces.
    delay : float
        Time that each `send` takes, in seconds.
    """

    __slots__ = ('_delay',)

    def __init__(self, stream: Stream, delay: float) -> None:
        super().__init__(stream._sock, stream._raw)
        self._delay = delay

    async def send(self, payload: bytes) -> None:
        """Send the first half of `payload` at once, and the rest later."""
        half = len(payload) // 2
        await super().send(payload[:half])
        await curio.sleep(self._delay)
        await super().send(payload[half:])
