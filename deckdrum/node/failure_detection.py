"""Detecting failed nodes and marking their registrations.

A node that crashes does not deregister.  Unless its entry is marked as gone,
it keeps its share of the connections and is probed for consent to every primary
change.  Detection is done by the highest-ranked node that responds.
"""

from typing import Final

import curio
from msgspec.structs import replace

from deckdrum.control import ControlView, Kind, Member
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal
from deckdrum.utils.ranks import compute_rendezvous_rank

PROBE_INTERVAL_S: Final = 2.0
#: Longer than a restart and than most network partitions and freezes.
NODE_FAILURE_TIMEOUT_S: Final = 10.0
#: Highest-ranked nodes that take part in detection, so that it survives the
#: loss of the first.
DETECTOR_COUNT: Final = 3
_RANK_DOMAIN: Final = 'members'


class FailureDetector:
    """Probes the other members and marks those that stop responding.

    Parameters
    ----------
    node : str
        Name of this node.
    view : ControlView
        Provides the members' entries and stores the mark.
    peers : NodePeers
        Connections to the other nodes.
    journal : Journal
        Receives an event for each node that is marked.
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
        #: Time of the first probe without a response, by node, in seconds of
        #: the curio clock.
        self._unresponsive_since: dict[str, float] = {}

    async def run(self) -> None:
        """Check the members periodically, without end."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            await self._check_members()

    async def _check_members(self) -> None:
        ranked = sorted(
            (member.name for member in self._peers.others),
            key=_rank,
        )
        higher_ranked = [
            name for name in ranked if _rank(name) < _rank(self._node)
        ]
        if len(higher_ranked) >= DETECTOR_COUNT:
            return
        await self._probe_all(higher_ranked)
        # The others are probed only if all higher-ranked ones have failed.
        if all([await self._has_failed(name) for name in higher_ranked]):
            await self._probe_all(ranked)
            for name in ranked:
                if await self._has_failed(name):
                    await self._mark_gone(name)

    async def _probe_all(self, names: list[str]) -> None:
        members = self._view.members
        probed = [members[name] for name in names if name in members]
        tasks = {
            member.name: await curio.spawn(self._probe, member)
            for member in probed
        }
        now = await curio.clock()
        for name, task in tasks.items():
            if await task.join():
                self._unresponsive_since.pop(name, None)
            else:
                self._unresponsive_since.setdefault(name, now)

    async def _probe(self, member: Member) -> bool:
        answer = await self._peers.ask(member.endpoint, Heartbeat())
        return isinstance(answer, Heartbeat)

    async def _has_failed(self, name: str) -> bool:
        since = self._unresponsive_since.get(name)
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
            stored = await self._view.put(
                Kind.MEMBERS,
                name,
                gone,
                entry.revision,
            )
        except StoreError as error:
            self._journal.record('member.not_noted', reason=str(error))
            return
        if stored is not None:
            self._unresponsive_since.pop(name, None)
            self._journal.record('member.gone', member=name)


def _rank(name: str) -> bytes:
    return compute_rendezvous_rank(_RANK_DOMAIN, name)
