"""Deployments of nodes on the simulated platform, in virtual time."""

import itertools
import os
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from types import TracebackType
from typing import Any, Final, Self, TextIO

import curio

from deckdrum.fleet.detours import DetourDialer
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.node import Node, NodeSettings
from deckdrum.platform.backends import PlatformBackend
from deckdrum.platform.frontend import Frontend
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.platform.store import PlatformStore
from deckdrum.standins.users import DatabaseGroup, StandinStore
from deckdrum.testing.line_client import LineClient
from deckdrum.utils import Address, Stream, dial, open_journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.virtualtime import run_virtual

#: Below the ephemeral ports of the kernel.
_FIRST_PORT: Final = 10_000
#: Number of values used for one octet of an address.
_OCTET_RANGE: Final = 250
ZONES: Final = ('ba-hall', 'tt-hall', 'nr-hall')
SERVICE: Final = 'stalls'
#: Database names of the three kinds of routes.
CURRENT: Final = 'db-current'
BOUNDED: Final = 'db-bounded'
OWN_WRITES: Final = 'db-own'
BOUNDED_AGE_MS: Final = 1500
OWN_WRITES_AGE_MS: Final = 2500
#: Each process uses a loopback address of its own, because other processes such
#: as parallel tests may bind any port of 127.0.0.1.
_HOST_OCTETS: Final = divmod(os.getpid() % _OCTET_RANGE**2, _OCTET_RANGE)
_HOST: Final = f'127.1.{_HOST_OCTETS[0]}.{_HOST_OCTETS[1] + 1}'
_PORTS: Final = itertools.count(_FIRST_PORT)
_POLL_INTERVAL_S: Final = 0.02
#: Time after which the nodes of a new deployment know each other.
DISCOVERY_TIME_S: Final = 1.5
_CONDITION_TIMEOUT_S: Final = 5.0


def build_route(host: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operators' configuration."""
    defaults: dict[str, Any] = {
        'name': f'r-{host}',
        'host': host,
        'pathPrefix': '/',
        'kind': kind,
        'timeoutMs': 2000,
        'objectiveMs': 250,
        'priority': 2,
        'service': SERVICE,
        'maxAttempts': 2,
    }
    return defaults | fields


def build_config(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return the operators' configuration."""
    defaults: dict[str, Any] = {
        'version': version,
        'routes': [
            build_route(CURRENT, 'primary'),
            build_route(BOUNDED, 'bounded', maxStalenessMs=BOUNDED_AGE_MS),
            build_route(
                OWN_WRITES, 'own_writes', maxStalenessMs=OWN_WRITES_AGE_MS
            ),
        ],
        'services': [
            {'name': SERVICE, 'maxConns': 23, 'syncReplicas': 0},
        ],
        'limits': {'txIdleMs': 3000},
    }
    return defaults | fields


def build_workspace(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a workspace without a limit, as in the configuration."""
    return {'name': name, 'apiKeys': list(keys), 'priority': 1} | fields


@dataclass(slots=True)
class RunningNode:
    """A node with its frontend and its connection to the store."""

    node: Node
    frontend: Frontend
    store: PlatformStore


class Deployment:
    """Nodes, a simulated store and one service with three databases.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    settle : float
        Time between the start of the nodes and the scenario, in seconds.
    centres : int
        Number of data centres in which the nodes run.
    logs : sequence of TextIO
        Log outputs of the first nodes; the logs of others are discarded.
    policies : frozenset of Policy
        Mechanisms that are enabled.
    capacities : sequence of float
        Capacities of the machines of the first nodes; others publish none.
    **group : object
        Fields of the `DatabaseGroup`.
    """

    def __init__(
        self,
        nodes: int = 3,
        settle: float = DISCOVERY_TIME_S,
        centres: int = 3,
        logs: Sequence[TextIO] = (),
        policies: frozenset[Policy] = ALL_POLICIES,
        capacities: Sequence[float] = (),
        **group: Any,
    ) -> None:
        self.store = StandinStore()
        self.group = DatabaseGroup(
            SERVICE, self.store, **{'host': _HOST, **group}
        )
        self.nodes: list[RunningNode] = []
        #: Numbers of the nodes by their addresses for peers.
        self.peer_numbers: dict[Address, int] = {}
        self._count = nodes
        self._settle = settle
        self._centres = centres
        self._logs = dict(enumerate(logs))
        self._policies = policies
        self._capacities = dict(enumerate(capacities))
        #: Databases that a node cannot reach, by the number of the node.
        self._partitions: dict[int, set[str]] = {}

    async def __aenter__(self) -> Self:
        config = build_config()
        self._declare_group(config)
        await self.store.write('config', 'main', config)
        await self.group.start(ZONES)
        for number in range(self._count):
            lines = self._logs.get(number)
            self.nodes.append(await self.start_node(number, lines=lines))
        await self.wait_for(self._is_ready)
        await curio.sleep(self._settle)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_nodes()
        await self.group.close()
        await self.store.close()

    async def start_node(
        self,
        number: int,
        seeds: tuple[Address, ...] = (),
        lines: TextIO | None = None,
    ) -> RunningNode:
        """Start a node that logs to `lines`, if given."""
        name = f'n{number}'
        endpoint = await self.store.open_endpoint(name)
        counters = Counters()
        journal = (
            open_journal(name, lines) if lines else open_null_journal(name)
        )
        store = PlatformStore(endpoint, journal, counters)
        peer_address = allocate_address()
        self.peer_numbers[peer_address] = number
        settings = NodeSettings(
            name=name,
            data_centre=ZONES[number % self._centres],
            peer_address=peer_address,
            seeds=seeds,
            seed=number + 1,
            policies=self._policies,
            capacity=self._capacities.get(number, 0),
        )
        node = Node(
            settings,
            store,
            PlatformPromotionClient(self.group.promotion_address),
            partial(PlatformBackend, node=name),
            journal,
            counters,
            DetourDialer(
                partial(self._dial, number),
                partial(self._dial_peer, number),
            ),
        )
        frontend = Frontend(node, allocate_address())
        await node.start()
        await frontend.start()
        return RunningNode(node, frontend, store)

    async def stop_node(self, running: RunningNode) -> None:
        """Stop a node."""
        await running.node.close()
        await running.frontend.close()
        await running.store.close()

    async def stop_nodes(self) -> None:
        """Stop every node."""
        for running in self.nodes:
            await self.stop_node(running)
        self.nodes.clear()

    async def start_nodes(self) -> None:
        """Start the initial number of nodes and wait until they are ready."""
        for number in range(self._count):
            self.nodes.append(await self.start_node(number))
        await self.wait_for(
            lambda: all(running.node.is_ready for running in self.nodes),
        )

    async def configure(self, version: int, **fields: Any) -> None:
        """Store a configuration and wait until every node has applied it."""
        config = build_config(version, **fields)
        self._declare_group(config)
        await self.store.write('config', 'main', config)
        await self.wait_for(
            lambda: all(
                running.node.view.version == version for running in self.nodes
            ),
        )

    async def cut_off(self, number: int, server: str) -> None:
        """Partition a node from a database and close its idle connections."""
        node = self.nodes[number].node
        self._partitions.setdefault(number, set()).add(server)
        handle = node.services[SERVICE].servers[server]
        await handle.pool.close_idle()

    async def heal_partition(self, number: int) -> None:
        """Restore the connectivity of a node."""
        self._partitions.pop(number, None)

    async def connect(
        self,
        database: str,
        node: int = 0,
        key: str = 'test',
    ) -> LineClient:
        """Open a session at a node with an API key."""
        address = self.nodes[node].frontend.address
        return await LineClient.connect(address, database, key)

    async def wait_for(
        self,
        check: Callable[[], bool],
        timeout: float = _CONDITION_TIMEOUT_S,
    ) -> float:
        """Wait until `check` returns true; return the elapsed seconds."""
        start: float = await curio.clock()
        async with curio.timeout_after(timeout):
            while not check():
                await curio.sleep(_POLL_INTERVAL_S)
        end: float = await curio.clock()
        return end - start

    async def _dial(
        self,
        number: int,
        address: Address,
        timeout: float,
    ) -> Stream:
        """Connect to a database; time out if it is unreachable."""
        servers = [
            self.group.servers[name]
            for name in self._partitions.get(number, ())
        ]
        if any(server.address == address for server in servers):
            await curio.sleep(timeout)
            raise ConnectionAbortedError(
                f'node {number} is partitioned from the server'
            )
        return await dial(address, timeout)

    async def _dial_peer(
        self,
        number: int,
        address: Address,
        timeout: float,
    ) -> Stream:
        """Connect node `number` to another node."""
        return await dial(address, timeout)

    def _declare_group(self, config: dict[str, Any]) -> None:
        """Write the limits of the group into a configuration."""
        declaration = config['services'][0]
        declaration['maxConns'] = self.group.max_connections
        declaration['syncReplicas'] = self.group.synchronous_replicas

    def _is_ready(self) -> bool:
        return all(
            running.node.is_ready and _has_primary(running.node)
            for running in self.nodes
        )


def _has_primary(node: Node) -> bool:
    runtime = node.services.get(SERVICE)
    return runtime is not None and runtime.leadership_state.has_primary


def allocate_address() -> Address:
    """Return an unused address.

    The host is unique to this process, each port is returned once, and all
    ports are below the ephemeral ports of the kernel.
    """
    return Address(_HOST, next(_PORTS))


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[Any]],
    nodes: int = 3,
    **group: Any,
) -> Any:
    """Run a scenario on a new deployment in virtual time."""
    return run_virtual(_run_scenario, scenario, Deployment(nodes, **group))


async def _run_scenario(
    scenario: Callable[[Deployment], Awaitable[Any]],
    deployment: Deployment,
) -> Any:
    async with deployment:
        return await scenario(deployment)
