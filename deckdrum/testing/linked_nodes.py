"""Deployments whose nodes can lose single links, and can be killed."""

from collections.abc import Awaitable, Callable
from typing import Any

from deckdrum.standins.users import StoreFault
from deckdrum.testing.links import CutKind, CuttableLink
from deckdrum.testing.nodes import Deployment, RunningNode
from deckdrum.utils import Address, Stream
from deckdrum.utils.virtualtime import run_virtual


class LinkedDeployment(Deployment):
    """A deployment with a link of each node to each database and other node.

    All connections of the nodes are relayed, which is slower.
    """

    def __init__(self, nodes: int = 3, **fields: Any) -> None:
        super().__init__(nodes, **fields)
        #: Links by number of the node and by name of the server or number of
        #: the other node.
        self._links: dict[tuple[int, str | int], CuttableLink] = {}

    async def cut_link(
        self, number: int, server: str, kind: CutKind = CutKind.SILENT
    ) -> None:
        """Cut the link of a node to a database, in both directions."""
        await self._get_link(number, server).cut(kind)

    async def heal_link(self, number: int, server: str) -> None:
        """Heal the link of a node to a database."""
        await self._get_link(number, server).heal()

    async def cut_node_link(
        self, number: int, other: int, kind: CutKind = CutKind.SILENT
    ) -> None:
        """Cut the link between two nodes, in both directions."""
        await self._get_link(number, other).cut(kind)
        await self._get_link(other, number).cut(kind)

    async def isolate_node(
        self, number: int, kind: CutKind = CutKind.SILENT
    ) -> None:
        """Cut a node from all other nodes, but not from databases and store."""
        for other, _ in enumerate(self.nodes):
            if other != number:
                await self.cut_node_link(number, other, kind)

    async def heal_node_link(self, number: int, other: int) -> None:
        """Heal the link between two nodes."""
        await self._get_link(number, other).heal()
        await self._get_link(other, number).heal()

    async def heal_links(self) -> None:
        """Heal all links."""
        for link in list(self._links.values()):
            await link.heal()

    async def kill_node(self, number: int) -> RunningNode:
        """Stop a node that cannot remove its registration."""
        running = self.nodes[number]
        name = running.node.settings.name
        known_fault = self.store.turned_away.get(name)
        self.store.turned_away[name] = StoreFault.RESET
        await self.stop_node(running)
        self.store.turned_away.pop(name)
        if known_fault is not None:
            self.store.turned_away[name] = known_fault
        return running

    async def restart_node(self, number: int) -> None:
        """Start a node that was stopped again under its name.

        The other nodes are its seeds.
        """
        seeds = tuple(
            running.node.settings.peer_address
            for other, running in enumerate(self.nodes)
            if other != number
        )
        self.nodes[number] = await self.start_node(number, seeds)

    async def _dial(
        self, number: int, address: Address, timeout: float
    ) -> Stream:
        target = next(
            server.name
            for server in self.group.servers.values()
            if server.address == address
        )
        return await self._get_link(number, target).dial(address, timeout)

    async def _dial_peer(
        self, number: int, address: Address, timeout: float
    ) -> Stream:
        other = self.peer_numbers[address]
        return await self._get_link(number, other).dial(address, timeout)

    def _get_link(self, number: int, target: str | int) -> CuttableLink:
        return self._links.setdefault((number, target), CuttableLink())


def run_linked_scenario(
    scenario: Callable[[LinkedDeployment], Awaitable[Any]],
    nodes: int = 3,
    **fields: Any,
) -> Any:
    """Run a scenario on a new deployment with links in virtual time."""
    deployment = LinkedDeployment(nodes, **fields)
    return run_virtual(_run_linked_scenario, scenario, deployment)


async def _run_linked_scenario(
    scenario: Callable[[LinkedDeployment], Awaitable[Any]],
    deployment: LinkedDeployment,
) -> Any:
    async with deployment:
        return await scenario(deployment)
