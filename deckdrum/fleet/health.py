"""Which other nodes do not answer."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import curio

from deckdrum.control import Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import Heartbeat
from deckdrum.utils import Address, Journal

#: Longest wait for a node's sign of life, in seconds: over fifty round trips
#: within a data centre, and two between regions.
HEARTBEAT_TIMEOUT_S: Final = 0.2
#: Pause before a node that did not answer is asked for a sign of life again,
#: and before one is whose process does not run, in seconds.  Statements are
#: handed to others meanwhile: with one every few seconds from each node, each
#: would otherwise be the one that finds out.
UNRESPONSIVE_RETRY_DELAY_S: Final = 0.4
REFUSING_RETRY_DELAY_S: Final = 0.1
#: Signs of life that are asked for, until statements have to find out.
MAX_HEARTBEAT_RETRIES: Final = 40
#: Pause between two looks at all nodes, in seconds.
CHECK_PAUSE: Final = 1.0

_Ask = Callable[[Address, Message, float], Awaitable[object]]


class PeerHealth:
    """Knows which nodes do not answer, until they do.

    Parameters
    ----------
    ask : callable
        Asks the node at an address within some seconds.
    journal : Journal
        For those that are silent.
    """

    def __init__(self, ask: _Ask, journal: Journal) -> None:
        self._ask = ask
        self._journal = journal
        #: Nodes that have not answered since they failed, and how they failed.
        self._silent: dict[str, Exception] = {}
        #: Nodes that this one relies on, by what for.
        self._relied: dict[str, Sequence[Member]] = {}
        self._checked_at = float('-inf')

    def set_required_peers(self, purpose: str, peers: Sequence[Member]) -> None:
        """Take over which nodes serve a purpose."""
        self._relied[purpose] = peers

    async def check_all(self) -> None:
        """Ask all nodes that this one relies on, if not done just now.

        A node that is cut off would find one after the other silent, each by a
        statement that waits in vain.
        """
        now = await curio.clock()
        if now - self._checked_at < CHECK_PAUSE:
            return
        self._checked_at = now
        relied = {
            peer.name: peer for peers in self._relied.values() for peer in peers
        }
        for name, peer in relied.items():
            if name not in self._silent:
                await curio.spawn(self.check, peer, daemon=True)

    def is_silent(self, name: str) -> bool:
        """Tell whether a node has not answered since it failed."""
        return name in self._silent

    def is_refusing(self, name: str) -> bool:
        """Tell whether the process of a node did not run."""
        return isinstance(self._silent.get(name), ConnectionRefusedError)

    def may_be_partitioned(self, name: str) -> bool:
        """Tell whether a node is silent, though it may run."""
        return name in self._silent and not self.is_refusing(name)

    async def check(self, peer: Member) -> bool:
        """Tell whether a node answers anything at all."""
        if await self._is_alive(peer):
            return True
        await self.note_failure(peer, TimeoutError('no sign of life'))
        return False

    async def note_failure(self, peer: Member, error: Exception) -> None:
        """Note that a node did not answer, and look for its return."""
        if peer.name in self._silent:
            return
        self._silent[peer.name] = error
        self._journal.record_often(
            'peer.silent',
            peer=peer.name,
            reason=repr(error),
        )
        is_refusing = isinstance(error, ConnectionRefusedError)
        pause = (
            REFUSING_RETRY_DELAY_S
            if is_refusing
            else UNRESPONSIVE_RETRY_DELAY_S
        )
        await curio.spawn(self._await_return, peer, pause, daemon=True)

    async def _await_return(self, peer: Member, pause: float) -> None:
        try:
            for _ in range(MAX_HEARTBEAT_RETRIES):
                await curio.sleep(pause)
                if await self._is_alive(peer):
                    return
        finally:
            self._silent.pop(peer.name, None)

    async def _is_alive(self, peer: Member) -> bool:
        answer = await self._ask(
            peer.endpoint, Heartbeat(), HEARTBEAT_TIMEOUT_S
        )
        return isinstance(answer, Heartbeat)
