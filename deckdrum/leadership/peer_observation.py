"""Asking other nodes which server they see leading a group.

A node that has lost its path to a server cannot tell a server that does not
lead from one that it does not see.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.backends import ServerRole
from deckdrum.control import Member
from deckdrum.fleet.node_messages import AskServer, ServerAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle

#: Longest wait for peers; a peer may have to query the server first.
OBSERVATION_TIMEOUT_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class Leader:
    """A server that leads a term.

    Attributes
    ----------
    server : str
        Id of the server.
    term : int
        The term, as the server counts them.
    """

    server: str
    term: int


class PeerObserver:
    """Asks the nodes that connect to a group's servers what they see.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    peers : NodePeers
        The other nodes.
    """

    def __init__(self, runtime: ServiceRuntime, peers: NodePeers) -> None:
        self._runtime = runtime
        self._peers = peers

    def list_observers(self) -> list[Member]:
        """Return the other nodes that connect to the group's servers."""
        return self._runtime.allocator.others or self._peers.others

    async def find_led_term(self, handle: ServerHandle) -> int:
        """Return the term that a server leads, or 0.

        Peers are asked if it does not answer this node.
        """
        status = await self._runtime.query_server(handle)
        if status is None:
            return await self.ask_led_term(handle.id)
        return status.term if status.role is ServerRole.PRIMARY else 0

    async def find_leader(
        self, servers: Iterable[str], min_term: int
    ) -> Leader | None:
        """Return the server that peers see lead `min_term` or a later term."""
        tasks = {
            server: await curio.spawn(self.ask_led_term, server)
            for server in servers
        }
        leaders = [
            Leader(server, await task.join()) for server, task in tasks.items()
        ]
        latest = max(leaders, key=_get_term, default=None)
        if latest is None or latest.term < min_term:
            return None
        return latest

    async def ask_led_term(self, server: str) -> int:
        """Return the latest term that peers see a server lead, or 0."""
        answers = await self._peers.ask_each(
            self.list_observers(),
            AskServer(self._runtime.name, server),
            OBSERVATION_TIMEOUT_S,
        )
        return max(
            (
                answer.leads_term
                for answer in answers.values()
                if isinstance(answer, ServerAnswer) and answer.reached
            ),
            default=0,
        )


def _get_term(leader: Leader) -> int:
    return leader.term
