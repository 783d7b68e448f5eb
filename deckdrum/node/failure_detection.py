"""Noting which registered nodes are gone.

A machine that is lost for good withdraws nothing.  Its entry would count for
ever when connections are dealt and when a change of primary asks for consent.
One node, the first by rank that answers, looks after the others.
"""

from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlView, Kind, Member
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal
from deckdrum.utils.ranks import weigh

#: Pause between two rounds of questions, in seconds.
PROBE_INTERVAL_S: Final = 2.0
#: How long a node is silent before it counts as gone, in seconds: longer than
#: a restart takes, and than most cuts and freezes last.
NODE_FAILURE_TIMEOUT_S: Final = 10.0
#: Ranks that watch those before them, so that the first may be lost too.
DETECTOR_COUNT: Final = 3
_RANK_KEY: Final = 'members'


class FailureDetector:
    """One node's part in looking after the members.

    Parameters
    ----------
    node : str
        This node.
    view : ControlView
        Knows the members, and notes a node as gone.
    peers : NodePeers
        The other nodes.
    journal : Journal
        For each node that is noted.
    """

    def __init__(
        self,
        node: str,
        view: ControlView,
        peers: NodePeers,
        journal: Journal,
    ) -> None:
        self._node = node
        self._view = view
        self._peers = peers
        self._journal = journal
        #: Since when a node has not answered, in kernel seconds.
        self._silent_since: dict[str, float] = {}

    async def run(self) -> None:
        """Look after the members for ever."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            await self._look()

    async def _look(self) -> None:
        ranked = sorted(
            (member.name for member in self._peers.others),
            key=_rank,
        )
        before = [name for name in ranked if _rank(name) < _rank(self._node)]
        if len(before) >= DETECTOR_COUNT:
            return
        await self._ask(before)
        if all([await self._is_gone(name) for name in before]):
            await self._ask(ranked)
            for name in ranked:
                if await self._is_gone(name):
                    await self._mark_gone(name)

    async def _ask(self, names: list[str]) -> None:
        members = self._view.members
        asked = [members[name] for name in names if name in members]
        tasks = {
            member.name: await curio.spawn(self._hear, member)
            for member in asked
        }
        now = await curio.clock()
        for name, task in tasks.items():
            if await task.join():
                self._silent_since.pop(name, None)
            else:
                self._silent_since.setdefault(name, now)

    async def _hear(self, member: Member) -> bool:
        answer = await self._peers.ask(member.endpoint, Heartbeat())
        return isinstance(answer, Heartbeat)

    async def _is_gone(self, name: str) -> bool:
        since = self._silent_since.get(name)
        if since is None:
            return False
        now: float = await curio.clock()
        return now - since >= NODE_FAILURE_TIMEOUT_S

    async def _mark_gone(self, name: str) -> None:
        entry = self._view.get_member(name)
        if entry is None or not isinstance(entry.record, Member):
            return
        gone = replace(entry.record, is_gone=True)
        try:
            noted = await self._view.put(
                Kind.MEMBERS,
                name,
                gone,
                entry.revision,
            )
        except StoreError as error:
            self._journal.record('member.not_noted', reason=str(error))
            return
        if noted is not None:
            self._silent_since.pop(name, None)
            self._journal.record('member.gone', member=name)


def _rank(name: str) -> bytes:
    return weigh(_RANK_KEY, name)
