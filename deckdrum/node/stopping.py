"""The planned stop of a node: nothing under way is cut."""

from abc import ABC, abstractmethod
from typing import Final

import curio

from deckdrum.node.core import Node

#: How long after a request to stop new connections still come, in seconds:
#: the platform asks each second and believes the second refusal.
READINESS_PROPAGATION_S: Final = 2.3
#: Time before the kill from which on no new connection is taken, in seconds:
#: longer than a statement may take (0.8 to 2 s).
ACCEPT_CUTOFF_S: Final = 2.7
#: Time kept before the kill, in seconds.
KILL_MARGIN_S: Final = 0.5
#: Pause between two looks at the connections that are left, in seconds.
DRAIN_POLL_INTERVAL_S: Final = 0.1
#: Share of the resting connections closed at each look, so that callers do
#: not all come back at once.
IDLE_CLOSE_FRACTION: Final = 0.3
#: Part of the time in which open transactions may end.
TRANSACTION_DRAIN_FRACTION: Final = 0.5


class ClientListener(ABC):
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


class GracefulShutdown:
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

    def __init__(self, node: Node, entrance: ClientListener) -> None:
        self._node = node
        self._entrance = entrance

    async def run(self, grace: float) -> None:
        """Stop the node within `grace` seconds."""
        await self._node.begin_shutdown()
        began = await curio.clock()
        elapsed: float = 0
        while elapsed < grace - KILL_MARGIN_S:
            await self._run_due_steps(elapsed, grace)
            if elapsed >= READINESS_PROPAGATION_S and self._is_drained():
                break
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
            elapsed = await curio.clock() - began
        await self._node.close()
        await self._entrance.close()

    async def _run_due_steps(self, elapsed: float, grace: float) -> None:
        """Take the steps that are due after `elapsed` seconds."""
        half = grace * TRANSACTION_DRAIN_FRACTION
        if elapsed >= min(READINESS_PROPAGATION_S, half):
            await self._entrance.close_quiet(IDLE_CLOSE_FRACTION)
        if elapsed >= half:
            self._node.is_closing_sessions = True
            await self._node.abandon_transactions('the node stops')
        if elapsed >= grace - ACCEPT_CUTOFF_S:
            # New connections come as long as there are few other nodes;
            # what comes later could not be answered in time.
            await self._entrance.stop_accepting()

    def _is_drained(self) -> bool:
        is_used_by_others = self._node.lent or self._node.forwarded
        return not self._entrance.connections and not is_used_by_others
