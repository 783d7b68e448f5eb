"""Ending forwarded statements whose senders have stopped waiting for them."""

from typing import Any, Final

import curio

from deckdrum.fleet.channels import StreamChannel
from deckdrum.utils.counters import Counters

#: Interval at which the streams of running statements are checked.  Most end
#: within it and are never checked.
CHECK_INTERVAL_S: Final = 0.05


class AbandonedForwards:
    """Cancels the task of a statement once its sender has closed the stream.

    The sender has answered its caller then, or forwards the statement to
    another node: one that still waits here must not be sent to a server.

    Parameters
    ----------
    counters : Counters
        Metrics of the node.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        #: Tasks that run a statement, by the stream to its sender.
        self._tasks: dict[StreamChannel, Any] = {}
        self._is_checking = False

    async def add(self, channel: StreamChannel) -> None:
        """Watch the stream while the current task runs a statement."""
        self._tasks[channel] = await curio.current_task()
        if not self._is_checking:
            self._is_checking = True
            await curio.spawn(self._check, daemon=True)

    def discard(self, channel: StreamChannel) -> None:
        """Stop to watch a stream."""
        self._tasks.pop(channel, None)

    async def _check(self) -> None:
        try:
            while self._tasks:
                await curio.sleep(CHECK_INTERVAL_S)
                await self._cancel_abandoned()
        finally:
            self._is_checking = False

    async def _cancel_abandoned(self) -> None:
        for channel, task in list(self._tasks.items()):
            if not channel.is_usable:
                self._tasks.pop(channel, None)
                self._counters.count('forwards_abandoned')
                await task.cancel(blocking=False)
