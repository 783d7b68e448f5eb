"""Which other nodes do not answer."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from deckdrum.control import Member
from deckdrum.fleet.base import Message
from deckdrum.fleet.messages import Heartbeat
from deckdrum.utils import Address, Journal

#: Longest wait for a node's sign of life, in seconds: over fifty round trips
#: within a data centre, and two between regions.
LIFE_LIMIT: Final = 0.2
#: Pause before a node that did not answer is asked for a sign of life again,
#: and before one is whose process does not run, in seconds.  Statements are
#: handed to others meanwhile: with one every few seconds from each node, each
#: would otherwise be the one that finds out.
SILENT_PAUSE: Final = 0.4
REFUSING_PAUSE: Final = 0.1
#: Signs of life that are asked for, until statements have to find out.
MOST_QUESTIONS: Final = 40

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

    def is_silent(self, name: str) -> bool:
        """Tell whether a node has not answered since it failed."""
        return name in self._silent

    def is_refusing(self, name: str) -> bool:
        """Tell whether the process of a node did not run."""
        return isinstance(self._silent.get(name), ConnectionRefusedError)

    def is_cut_off(self, name: str) -> bool:
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
        pause = REFUSING_PAUSE if is_refusing else SILENT_PAUSE
        await curio.spawn(self._await_return, peer, pause, daemon=True)

    async def _await_return(self, peer: Member, pause: float) -> None:
        try:
            for _ in range(MOST_QUESTIONS):
                await curio.sleep(pause)
                if await self._is_alive(peer):
                    return
        finally:
            self._silent.pop(peer.name, None)

    async def _is_alive(self, peer: Member) -> bool:
        answer = await self._ask(peer.endpoint, Heartbeat(), LIFE_LIMIT)
        return isinstance(answer, Heartbeat)
