"""Health of the other nodes, as seen by this one."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.control import Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import Heartbeat
from deckdrum.utils import Address, Journal

#: Longest wait for the answer to a heartbeat; allows for two round trips
#: between regions.
HEARTBEAT_TIMEOUT_S: Final = 0.2
#: Delay between heartbeats to an unresponsive node.  Other nodes get its
#: statements meanwhile; otherwise, with a statement every few seconds from each
#: node, each would have to notice the failure itself.
UNRESPONSIVE_RETRY_DELAY_S: Final = 0.4
#: The same for a node that refuses connections, which costs no time.
REFUSING_RETRY_DELAY_S: Final = 0.1
#: How long heartbeats are sent to an unresponsive node before it gets
#: statements again.
RECOVERY_TIMEOUT_S: Final = 16.0
#: How long a node that refuses connections may be about to start.  Nodes that
#: lost power together return within half a second.
START_TIMEOUT_S: Final = 1.0
#: Shortest time between two checks of all required nodes.
CHECK_INTERVAL_S: Final = 1.0

_AskPeer = Callable[[Address, Message, float], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """What made a node count as unresponsive.

    Attributes
    ----------
    error : Exception
        How the request failed.  It does not tell whether the node runs: a dead
        port and a cut may refuse connections alike.
    failed_at : float
        When it failed, in kernel seconds.
    """

    error: Exception
    failed_at: float


class PeerHealth:
    """Tracks which nodes are unresponsive, until they answer again.

    Parameters
    ----------
    ask : callable
        Sends a message to an address and returns the answer; the third
        argument is the timeout in seconds.
    journal : Journal
        Logs the nodes that become unresponsive.
    """

    def __init__(self, ask: _AskPeer, journal: Journal) -> None:
        self._ask = ask
        self._journal = journal
        #: Unresponsive nodes, with the failure by which each was noticed.
        self._unresponsive: dict[str, PeerFailure] = {}
        #: Nodes that this one depends on, by purpose.
        self._required: dict[str, Sequence[Member]] = {}
        self._checked_at = float('-inf')

    def set_required_peers(self, purpose: str, peers: Sequence[Member]) -> None:
        """Set the nodes on which this node depends for a purpose."""
        self._required[purpose] = peers

    async def check_all(self) -> None:
        """Send heartbeats to all required nodes, unless just done.

        Otherwise a node in a network partition would notice each unresponsive
        peer separately, at the cost of a statement that times out.
        """
        now = await curio.clock()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        required = {
            peer.name: peer
            for peers in self._required.values()
            for peer in peers
        }
        for name, peer in required.items():
            if name not in self._unresponsive:
                await curio.spawn(self.check, peer, daemon=True)

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a node has not answered since a request failed."""
        return name in self._unresponsive

    def may_be_starting(self, name: str, now: float) -> bool:
        """Return whether a node has begun to refuse connections lately.

        Waiting a moment for it may help, but it may also be cut off.
        """
        failure = self._unresponsive.get(name)
        if failure is None or now - failure.failed_at > START_TIMEOUT_S:
            return False
        return isinstance(failure.error, ConnectionRefusedError)

    async def check(self, peer: Member) -> bool:
        """Return whether a node answers a heartbeat."""
        if await self._answers_heartbeat(peer):
            return True
        await self.record_failure(
            peer, TimeoutError('no answer to a heartbeat')
        )
        return False

    async def record_failure(self, peer: Member, error: Exception) -> None:
        """Record that a node did not answer, and wait for it to recover."""
        if peer.name in self._unresponsive:
            return
        now = await curio.clock()
        self._unresponsive[peer.name] = PeerFailure(error, now)
        self._journal.record_rate_limited(
            'peer.silent',
            peer=peer.name,
            reason=repr(error),
        )
        is_refusing = isinstance(error, ConnectionRefusedError)
        delay = (
            REFUSING_RETRY_DELAY_S
            if is_refusing
            else UNRESPONSIVE_RETRY_DELAY_S
        )
        await curio.spawn(self._wait_for_recovery, peer, delay, daemon=True)

    async def _wait_for_recovery(self, peer: Member, delay: float) -> None:
        try:
            async with curio.ignore_after(RECOVERY_TIMEOUT_S):
                await curio.sleep(delay)
                while not await self._answers_heartbeat(peer):
                    await curio.sleep(delay)
        finally:
            self._unresponsive.pop(peer.name, None)

    async def _answers_heartbeat(self, peer: Member) -> bool:
        answer = await self._ask(
            peer.endpoint, Heartbeat(), HEARTBEAT_TIMEOUT_S
        )
        return isinstance(answer, Heartbeat)
