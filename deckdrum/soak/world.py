"""What the faults of a soak strike: nodes, databases, links, the store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from deckdrum.soak.links import FaultLink, LinkState
from deckdrum.soak.processes import NodeProcess
from deckdrum.standins.users import DatabaseGroup, DatabaseServer, StandinStore
from deckdrum.testing.nodes import SERVICE, ZONES, build_config


@dataclass(slots=True)
class SoakEnvironment:
    """One deployment of a soak.

    Attributes
    ----------
    folder : Path
        For settings and logs of the nodes.
    randomness : random.Random
        Draws what is struck.
    store : StandinStore
        The platform's store.
    group : DatabaseGroup
        The databases.
    nodes : list of NodeProcess
        The nodes.
    links : dict of str to FaultLink
        The way to each database, by its id.
    version : int
        Of the latest configuration.
    struck : set of str
        Databases that a fault has in its hands.
    """

    folder: Path
    randomness: Random
    store: StandinStore = field(default_factory=StandinStore)
    group: DatabaseGroup = field(init=False)
    nodes: list[NodeProcess] = field(default_factory=list)
    links: dict[str, FaultLink] = field(default_factory=dict)
    version: int = 1
    struck: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.group = DatabaseGroup(SERVICE, self.store, synchronous=1)

    async def start(self, nodes: int) -> None:
        """Start databases, links, store and node processes."""
        await self.store.write('config', 'main', build_config())
        await self.group.start(ZONES)
        for server in self.group.servers.values():
            await self._put_link_before(server)
        for number in range(nodes):
            await self._start_node(number)

    async def close(self) -> None:
        """End everything."""
        for node in self.nodes:
            node.kill()
        for link in self.links.values():
            await link.close()
        await self.group.close()
        await self.store.close()

    def pick_node(self) -> NodeProcess:
        """Return any node."""
        return self.randomness.choice(self.nodes)

    def reserve_server(
        self,
        fits: Callable[[DatabaseServer], bool],
    ) -> DatabaseServer | None:
        """Return a database that fits, if any; none while a fault holds one.

        One database at a time: two of three must go on, or nothing can.
        """
        free = [
            server
            for _, server in sorted(self.group.servers.items())
            if fits(server)
        ]
        if self.struck or not free:
            return None
        server = self.randomness.choice(free)
        self.struck.add(server.name)
        return server

    async def restore_server(self, server: DatabaseServer) -> None:
        """Have a database that was struck take part again."""
        server.is_dark = False
        server.is_replication_blocked = False
        server.load.is_full = False
        link = self.links[server.name]
        link.state = LinkState.OPEN
        if not server.is_running:
            await server.start()
            link.target = server.address
        await self.group.rejoin(server)
        self.struck.discard(server.name)

    async def _put_link_before(self, server: DatabaseServer) -> None:
        """Have the nodes reach a database through a link."""
        link = FaultLink(server.address)
        await link.start()
        self.links[server.name] = link
        server.advertised_address = link.address
        await server.publish()

    async def _start_node(self, number: int) -> None:
        node = NodeProcess(
            number,
            ZONES[number % len(ZONES)],
            await self.store.open_endpoint(f'n{number}'),
            self.group.promotion_address,
            self.folder,
        )
        self.nodes.append(node)
        node.start()
