"""Whole deployments of nodes on the users' platform, in virtual time."""

import itertools
import os
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from types import TracebackType
from typing import Any, Final, Self, TextIO

import curio

from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.node import Node, NodeSettings
from deckdrum.platform.backends import PlatformBackend
from deckdrum.platform.frontend import Frontend
from deckdrum.platform.promotion_client import PlatformPromotionClient
from deckdrum.platform.store import PlatformStore
from deckdrum.standins.users import DatabaseGroup, StandinStore, read_line
from deckdrum.utils import Address, Stream, dial, open_journal
from deckdrum.utils.counters import Counters
from deckdrum.utils.journal import open_null_journal
from deckdrum.utils.virtualtime import run_virtual

#: Below the ports that the kernel gives by itself.
_FIRST_PORT: Final = 10_000
#: Values of one part of an address, but the last, which is never a host.
_OCTET_RANGE: Final = 250
ZONES: Final = ('ba-hall', 'tt-hall', 'nr-hall')
SERVICE: Final = 'stalls'
#: Database names of the three kinds of route.
CURRENT: Final = 'db-current'
BOUNDED: Final = 'db-bounded'
OWN_WRITES: Final = 'db-own'
BOUNDED_AGE_MS: Final = 1500
OWN_WRITES_AGE_MS: Final = 2500
#: Addresses of one process's own: other processes on the machine, such as
#: tests beside this one, take ports of 127.0.0.1 at any moment.
_HOST_OCTETS: Final = divmod(os.getpid() % _OCTET_RANGE**2, _OCTET_RANGE)
_HOST: Final = f'127.1.{_HOST_OCTETS[0]}.{_HOST_OCTETS[1] + 1}'
_PORTS: Final = itertools.count(_FIRST_PORT)
#: Pause between two looks at a condition that is waited for, in seconds.
_POLL: Final = 0.02
#: Longer than a node needs to learn of the others, in seconds.
DISCOVERY_TIME_S: Final = 1.5
#: Longest wait for a condition and for a whole answer, in seconds.
#: Longest time of a caller that writes until it succeeds, in seconds.
WRITE_TIMEOUT_S: Final = 8.0
_WRITE_PAUSE: Final = 0.05
_START_TIMEOUT_S: Final = 5.0
_REPLY_TIMEOUT_S: Final = 6.0


def build_route(host: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
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
    """Return a configuration as the operator writes it."""
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
    """Return a workspace as the operator writes it, without a limit."""
    return {'name': name, 'apiKeys': list(keys), 'priority': 1} | fields


@dataclass(slots=True)
class Reply:
    """A whole answer: rows, the word and text of its end, and the state."""

    rows: list[str] = field(default_factory=list)
    end: str = ''
    text: str = ''
    state: str = ''

    @property
    def is_done(self) -> bool:
        """Whether it is a success."""
        return self.end == 'COMPLETE'


class LineClient:
    """A client of the platform's protocol."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._buffer = bytearray()
        self._asked = 0
        #: The answer to the first message.
        self.greeting = Reply()

    @classmethod
    async def connect(
        cls,
        address: Address,
        database: str,
        key: str = 'test',
    ) -> 'LineClient':
        """Open a session with a key."""
        client = cls(await dial(address, 1))
        await client.send(f'STARTUP {database} {key}')
        client.greeting = await client.read_reply()
        return client

    async def send(self, line: str) -> None:
        """Send one message."""
        await self.stream.send(f'{line}\r\n'.encode())

    async def ask(self, text: str) -> Reply:
        """Send a statement and return its whole answer."""
        self._asked += 1
        await self.send(f'QUERY {id(self):x}{self._asked:x} {text}')
        return await self.read_reply()

    async def read_reply(self) -> Reply:
        """Return the next whole answer; without a state at the end."""
        reply = Reply()
        async with curio.timeout_after(_REPLY_TIMEOUT_S):
            while True:
                line = await read_line(self.stream, self._buffer)
                if line is None:
                    return reply
                word, _, rest = line.partition(' ')
                if word == 'READY':
                    reply.state = rest.partition(' ')[0]
                    return reply
                if word == 'ROW':
                    reply.rows.append(rest)
                else:
                    reply.end = word
                    reply.text = rest

    async def write_until_done(self, timeout: float = WRITE_TIMEOUT_S) -> float:
        """Write until it succeeds; return how long that took in seconds."""
        began: float = await curio.clock()
        async with curio.timeout_after(timeout):
            while not (await self.ask('WRITE a 1')).is_done:
                await curio.sleep(_WRITE_PAUSE)
        ended: float = await curio.clock()
        return ended - began

    async def close(self) -> None:
        """Close the connection."""
        await self.stream.close()


@dataclass(slots=True)
class RunningNode:
    """A node and the address where clients reach it."""

    node: Node
    frontend: Frontend
    store: PlatformStore


class Deployment:
    """Nodes, a store and one service of three databases.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    settle : float
        Time that the nodes get before the scenario begins, in seconds.
    centres : int
        Data centres in which the nodes run.
    logs : sequence of TextIO
        Where the nodes log, in their order; the others log nowhere.
    policies : frozenset of Policy
        Mechanisms in force.
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
        **group: Any,
    ) -> None:
        self.store = StandinStore()
        self.group = DatabaseGroup(SERVICE, self.store, **group)
        self.nodes: list[RunningNode] = []
        self._count = nodes
        self._settle = settle
        self._centres = centres
        self._logs = dict(enumerate(logs))
        self._policies = policies
        #: Databases that a node does not reach, by the node's number.
        self._cuts: dict[int, set[str]] = {}

    async def __aenter__(self) -> Self:
        config = build_config()
        config['services'][0]['maxConns'] = self.group.max_connections
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
        """Start a node, which logs to `lines` if they are given."""
        name = f'n{number}'
        door = await self.store.open_endpoint(name)
        counters = Counters()
        journal = (
            open_journal(name, lines) if lines else open_null_journal(name)
        )
        store = PlatformStore(door, journal, counters)
        settings = NodeSettings(
            name=name,
            data_centre=ZONES[number % self._centres],
            peer_address=allocate_address(),
            seeds=seeds,
            seed=number + 1,
            policies=self._policies,
        )
        node = Node(
            settings,
            store,
            PlatformPromotionClient(self.group.promotion_address),
            partial(PlatformBackend, node=name),
            journal,
            counters,
            partial(self._dial, number),
        )
        frontend = Frontend(node, allocate_address())
        await node.start()
        await frontend.start()
        return RunningNode(node, frontend, store)

    async def stop_node(self, running: RunningNode) -> None:
        """Stop a node as its process ends."""
        await running.node.close()
        await running.frontend.close()
        await running.store.close()

    async def stop_nodes(self) -> None:
        """Stop every node."""
        for running in self.nodes:
            await self.stop_node(running)
        self.nodes.clear()

    async def start_nodes(self) -> None:
        """Start as many nodes as at first, and wait until they are ready."""
        for number in range(self._count):
            self.nodes.append(await self.start_node(number))
        await self.wait_for(
            lambda: all(running.node.is_ready for running in self.nodes),
        )

    async def configure(self, version: int, **fields: Any) -> None:
        """Have a configuration come into force on every node."""
        config = build_config(version, **fields)
        config['services'][0]['maxConns'] = self.group.max_connections
        await self.store.write('config', 'main', config)
        await self.wait_for(
            lambda: all(
                running.node.view.version == version for running in self.nodes
            ),
        )

    async def cut_off(self, number: int, server: str) -> None:
        """Cut a node off from a database; what is open hangs."""
        node = self.nodes[number].node
        self._cuts.setdefault(number, set()).add(server)
        handle = node.services[SERVICE].servers[server]
        await handle.pool.close_idle()

    async def heal_partition(self, number: int) -> None:
        """End the cuts of a node."""
        self._cuts.pop(number, None)

    async def connect(
        self,
        database: str,
        node: int = 0,
        key: str = 'test',
    ) -> LineClient:
        """Open a session at a node, with a key."""
        address = self.nodes[node].frontend.address
        return await LineClient.connect(address, database, key)

    async def wait_for(
        self,
        check: Callable[[], bool],
        timeout: float = _START_TIMEOUT_S,
    ) -> float:
        """Wait until a check holds; return the time it took in seconds."""
        began: float = await curio.clock()
        async with curio.timeout_after(timeout):
            while not check():
                await curio.sleep(_POLL)
        ended: float = await curio.clock()
        return ended - began

    async def _dial(
        self,
        number: int,
        address: Address,
        timeout: float,
    ) -> Stream:
        """Connect to a database, or wait in vain where the link is cut."""
        servers = [
            self.group.servers[name] for name in self._cuts.get(number, ())
        ]
        if any(server.address == address for server in servers):
            await curio.sleep(timeout)
            raise ConnectionAbortedError(f'node {number} is cut off')
        return await dial(address, timeout)

    def _is_ready(self) -> bool:
        return all(
            running.node.is_ready and _has_primary(running.node)
            for running in self.nodes
        )


def _has_primary(node: Node) -> bool:
    runtime = node.services.get(SERVICE)
    return runtime is not None and runtime.leadership_state.has_primary


def allocate_address() -> Address:
    """Return an address that nobody else uses.

    The host is this process's own, and a port is given only once; ports that
    the kernel gives to others lie above.
    """
    return Address(_HOST, next(_PORTS))


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[Any]],
    nodes: int = 3,
    **group: Any,
) -> Any:
    """Run a scenario on a fresh deployment in virtual time."""
    return run_virtual(_play, scenario, Deployment(nodes, **group))


async def _play(
    scenario: Callable[[Deployment], Awaitable[Any]],
    deployment: Deployment,
) -> Any:
    async with deployment:
        return await scenario(deployment)
