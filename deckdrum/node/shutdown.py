"""Graceful shutdown of a node, which lets statements in progress finish."""

from abc import ABC, abstractmethod
from typing import Final

import curio

from deckdrum.node.core import Node

#: Time until the platform stops sending new connections: it checks readiness
#: every second and acts on the second failure.
READINESS_PROPAGATION_S: Final = 2.3
#: Time before the kill at which the node stops accepting connections; longer
#: than the statement timeouts (0.8 to 2 s).
ACCEPT_CUTOFF_S: Final = 2.7
#: Time before the kill at which the node leaves the members.
KILL_MARGIN_S: Final = 0.5
#: Time before the kill up to which answers may still be sent.
EXIT_MARGIN_S: Final = 0.15
ANSWER_POLL_INTERVAL_S: Final = 0.02
DRAIN_POLL_INTERVAL_S: Final = 0.1
#: Fraction of the idle connections closed per poll, so that callers do not
#: all reconnect at once.
IDLE_CLOSE_FRACTION: Final = 0.3
#: Fraction of the grace period in which open transactions may finish.
TRANSACTION_DRAIN_FRACTION: Final = 0.5


class ClientListener(ABC):
    """Accepts callers' connections."""

    @property
    @abstractmethod
    def connections(self) -> int:
        """Number of open connections."""

    @abstractmethod
    async def close_idle_connections(self, share: float) -> None:
        """Close a fraction (0 to 1) of the idle connections."""

    @abstractmethod
    async def stop_accepting(self) -> None:
        """Refuse new connections and keep the open ones."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


class GracefulShutdown:
    """Shuts a node down before the platform kills it.

    1. The node reports not ready at once, but still serves new connections.
    2. Once the platform sends no more connections, idle ones are closed.
    3. After half of the grace period open transactions are rolled back, and
       sessions are closed as soon as they are idle.
    4. The node stops accepting connections early enough to finish the
       statements of the last ones.
    5. It leaves the members, and closes each connection once its answer has
       been sent.

    Parameters
    ----------
    node : Node
        The node.
    listener : ClientListener
        Accepts its callers' connections.
    """

    def __init__(self, node: Node, listener: ClientListener) -> None:
        self._node = node
        self._listener = listener

    async def run(self, grace_period: float) -> None:
        """Shut the node down within `grace_period` seconds."""
        await self._node.begin_shutdown()
        began = await curio.clock()
        elapsed: float = 0
        while elapsed < grace_period - KILL_MARGIN_S:
            await self._run_due_steps(elapsed, grace_period)
            if elapsed >= READINESS_PROPAGATION_S and self._is_drained():
                break
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
            elapsed = await curio.clock() - began
        leaving = await curio.spawn(self._node.leave)
        await self._finish_answers(began + grace_period - EXIT_MARGIN_S)
        await leaving.join()
        await self._listener.close()
        await self._node.close()

    async def _finish_answers(self, until: float) -> None:
        """Close connections as their answers are sent, until a time."""
        await self._listener.stop_accepting()
        while self._listener.connections and await curio.clock() < until:
            await self._listener.close_idle_connections(1)
            await curio.sleep(ANSWER_POLL_INTERVAL_S)

    async def _run_due_steps(self, elapsed: float, grace_period: float) -> None:
        """Run the shutdown steps due after `elapsed` seconds."""
        half = grace_period * TRANSACTION_DRAIN_FRACTION
        if elapsed >= min(READINESS_PROPAGATION_S, half):
            await self._listener.close_idle_connections(IDLE_CLOSE_FRACTION)
        if elapsed >= half:
            self._node.is_closing_sessions = True
            await self._node.rollback_transactions('the node stops')
        if elapsed >= grace_period - ACCEPT_CUTOFF_S:
            # The platform keeps sending connections while few other nodes are
            # ready; requests on them could not be answered before the kill.
            await self._listener.stop_accepting()

    def _is_drained(self) -> bool:
        is_used_by_others = self._node.lent_connections or self._node.forwarded
        return not self._listener.connections and not is_used_by_others
