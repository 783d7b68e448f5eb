"""The planned stop of a node: nothing under way is cut."""

from abc import ABC, abstractmethod
from typing import Final

import curio

from deckdrum.node.core import Node

#: How long after a request to stop new connections still come, in seconds:
#: the platform asks each second and believes the second refusal.
STILL_SENT: Final = 2.3
#: Time before the kill from which on no new connection is taken, in seconds:
#: longer than a statement may take (0.8 to 2 s).
LAST_REQUESTS: Final = 2.7
#: Time kept before the kill, in seconds.
KILL_MARGIN: Final = 0.5
#: Pause between two looks at the connections that are left, in seconds.
STOP_POLL: Final = 0.1
#: Share of the resting connections closed at each look, so that callers do
#: not all come back at once.
CLOSED_SHARE: Final = 0.3
#: Part of the time in which open transactions may end.
TRANSACTION_PART: Final = 0.5


class Entrance(ABC):
    """Where callers connect."""

    @property
    @abstractmethod
    def connections(self) -> int:
        """Number of open connections."""

    @abstractmethod
    async def close_quiet(self, share: float) -> None:
        """Close a share (0 to 1) of the connections at rest."""

    @abstractmethod
    async def stop_accepting(self) -> None:
        """Refuse new connections; open ones go on."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class PlannedStop:
    """Stops a node within the time before its kill.

    1. At once the node is not ready; whoever still comes is served.
    2. When nobody is sent here any more, connections at rest are closed.
    3. After half of the time open transactions are rolled back, and sessions
       end as soon as they are at rest.
    4. In time for the last statement no new connection is taken.

    Parameters
    ----------
    node : Node
        The node.
    entrance : Entrance
        Where its callers connect.
    """

    def __init__(self, node: Node, entrance: Entrance) -> None:
        self._node = node
        self._entrance = entrance

    async def run(self, grace: float) -> None:
        """Stop the node within `grace` seconds."""
        await self._node.begin_stop()
        began = await curio.clock()
        elapsed: float = 0
        while elapsed < grace - KILL_MARGIN:
            await self._part(elapsed, grace)
            if elapsed >= STILL_SENT and self._is_unused():
                break
            await curio.sleep(STOP_POLL)
            elapsed = await curio.clock() - began
        await self._node.close()
        await self._entrance.close()

    async def _part(self, elapsed: float, grace: float) -> None:
        """Take the steps that are due after `elapsed` seconds."""
        half = grace * TRANSACTION_PART
        if elapsed >= min(STILL_SENT, half):
            await self._entrance.close_quiet(CLOSED_SHARE)
        if elapsed >= half:
            self._node.is_parting = True
            await self._node.abandon_transactions('the node stops')
        if elapsed >= grace - LAST_REQUESTS:
            # New connections come as long as there are few other nodes;
            # what comes later could not be answered in time.
            await self._entrance.stop_accepting()

    def _is_unused(self) -> bool:
        is_used_by_others = self._node.lent or self._node.forwarded
        return not self._entrance.connections and not is_used_by_others
