"""Environment of a soak test: nodes, databases, links and the store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Final

from deckdrum.soak.links import FaultLink, LinkState
from deckdrum.soak.partitions import Partitions
from deckdrum.soak.processes import NodeProcess, choose_database_host
from deckdrum.standins.users import DatabaseGroup, DatabaseServer, StandinStore
from deckdrum.standins.users.servers import PRIMARY
from deckdrum.testing.nodes import SERVICE, ZONES, build_config

#: Cores of the first node's machine if machines are uneven; others have one.
_LARGE_MACHINE_CORES: Final = 4


@dataclass(slots=True)
class SoakEnvironment:
    """The processes and stand-ins of one soak test.

    Attributes
    ----------
    folder : Path
        Directory for settings and logs of the nodes.
    randomness : random.Random
        Selects the targets of faults.
    store : StandinStore
        The platform's store.
    group : DatabaseGroup
        The database group.
    nodes : list of NodeProcess
        The nodes.
    links : dict of str to FaultLink
        Link in front of each database, by database id.
    partitions : Partitions
        Blocked links of single nodes.
    version : int
        Version of the latest configuration.
    faulty_servers : set of str
        Ids of the databases on which a fault is active.
    added_nodes : int
        Number of nodes that joined after the start.
    has_urgent_routes : bool
        Whether the routes have the priorities 0, 1 and 2, and the first node a
        larger machine than the others.
    synchronous_replicas : int
        Number of replicas that must receive a change before it is
        acknowledged.
    """

    folder: Path
    randomness: Random
    store: StandinStore = field(default_factory=StandinStore)
    group: DatabaseGroup = field(init=False)
    nodes: list[NodeProcess] = field(default_factory=list)
    links: dict[str, FaultLink] = field(default_factory=dict)
    partitions: Partitions = field(default_factory=Partitions)
    version: int = 1
    faulty_servers: set[str] = field(default_factory=set)
    added_nodes: int = 0
    has_urgent_routes: bool = False
    synchronous_replicas: int = 1

    def __post_init__(self) -> None:
        self.group = DatabaseGroup(
            SERVICE,
            self.store,
            synchronous_replicas=self.synchronous_replicas,
            host=choose_database_host(),
        )

    async def start(self, nodes: int) -> None:
        """Start databases, links, store and node processes."""
        await self.store.write('config', 'main', self.build_config())
        await self.group.start(ZONES)
        for server in self.group.servers.values():
            await self._publish_through_link(server)
        for number in range(nodes):
            await self.start_node(number)

    async def start_node(self, number: int) -> NodeProcess:
        """Start the process of a node that has none yet."""
        node = NodeProcess(
            number,
            ZONES[number % len(ZONES)],
            await self.store.open_endpoint(f'n{number}'),
            self.group.promotion_address,
            self.folder,
            self._choose_limits(number),
        )
        self.nodes.append(node)
        self.partitions.add_node(node)
        node.start()
        return node

    def build_config(self) -> dict[str, Any]:
        """Return the configuration of the latest version."""
        config = build_config(self.version)
        for service in config['services']:
            service['syncReplicas'] = self.synchronous_replicas
        if self.has_urgent_routes:
            for priority, route in enumerate(config['routes']):
                route['priority'] = priority
        return config

    async def close(self) -> None:
        """Stop the nodes and close links, databases and store."""
        for node in self.nodes:
            node.kill()
        for link in self.links.values():
            await link.close()
        await self.group.close()
        await self.store.close()

    def pick_node(self) -> NodeProcess:
        """Return a randomly selected node."""
        return self.randomness.choice(self.nodes)

    def reserve_server(
        self,
        is_suitable: Callable[[DatabaseServer], bool],
    ) -> DatabaseServer | None:
        """Return a random suitable database and mark it as faulty.

        Returns None if no database is suitable or if one is faulty already: a
        majority of the three databases must keep working.
        """
        candidates = [
            server
            for _, server in sorted(self.group.servers.items())
            if is_suitable(server)
        ]
        if self.faulty_servers or not candidates:
            return None
        server = self.randomness.choice(candidates)
        self.faulty_servers.add(server.name)
        return server

    def is_primary(self, server: DatabaseServer) -> bool:
        """Return whether a database runs and leads the latest term."""
        has_latest_term = not self.group.is_replaced(server)
        return server.is_running and server.role == PRIMARY and has_latest_term

    async def restore_server(self, server: DatabaseServer) -> None:
        """Clear the faults of a database and let it rejoin its group."""
        server.is_unresponsive = False
        server.is_replication_blocked = False
        server.load.is_full = False
        if server.state != 'ready':
            server.state = 'ready'
            await server.publish()
        link = self.links[server.name]
        link.state = LinkState.OPEN
        if not server.is_running:
            await server.start()
            link.target = server.address
        if server.role != PRIMARY:
            # A replaced primary steps down by itself.
            await self.group.rejoin(server)
        self.faulty_servers.discard(server.name)

    async def _publish_through_link(self, server: DatabaseServer) -> None:
        """Put a link in front of a database and publish its address."""
        link = FaultLink(server.address)
        await link.start()
        self.links[server.name] = link
        server.advertised_address = link.address
        await server.publish()

    def _choose_limits(self, number: int) -> dict[str, float]:
        """Return the limits of a node's machine; empty if it publishes none."""
        if not self.has_urgent_routes:
            return {}
        return {'cpuQuota': 0.5, 'cores': 1 if number else _LARGE_MACHINE_CORES}
