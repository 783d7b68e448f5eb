"""Simulated nodes that enforce workspace limits, in virtual time."""

import curio

from deckdrum.control import (
    Configuration,
    ControlView,
    Entry,
    Kind,
    Member,
    ServiceDeclaration,
)
from deckdrum.fleet.base import Message
from deckdrum.fleet.health import PeerHealth
from deckdrum.fleet.limit_messages import AskLimit
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_peers import NodePeers, PeerAnswer
from deckdrum.limits import LimitClient, LimitCounter
from deckdrum.load.rate_limits import DEFAULT_TOLERANCE
from deckdrum.outcomes import Refusal
from deckdrum.utils import Address
from deckdrum.utils.counters import Counters
from deckdrum.utils.journal import open_null_journal
from deckdrum.workspaces import Workspace, WorkspaceDirectory

#: Network delay between two nodes.
ONE_WAY_DELAY_S = 0.0005
CENTRES = ('ba-hall', 'tt-hall', 'nr-hall')


def find_worst_window(times: list[float], window: float) -> int:
    """Return the maximum number of operations in any time window.

    Examples
    --------
    >>> find_worst_window([0.0, 1.0, 4.9, 5.1, 5.2], window=5)
    4
    """
    ordered = sorted(times)
    maximum = 0
    first = 0
    for last, time in enumerate(ordered):
        while time - ordered[first] >= window:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


class FleetPeers(NodePeers):
    """Carries requests of one node to the others of a `LimitFleet`."""

    def __init__(self, fleet: 'LimitFleet', node: int) -> None:
        self._fleet = fleet
        self._node = node
        self.health = PeerHealth(self.ask, open_null_journal('test'))

    async def ask(
        self,
        address: Address,
        question: Message,
        timeout: float = 1,
    ) -> PeerAnswer:
        """Call a node of the fleet; time out if it is unreachable."""
        other = address.port
        await curio.sleep(2 * ONE_WAY_DELAY_S)
        if other in self._fleet.dead:
            return ConnectionRefusedError('no process')
        if self._fleet.are_partitioned(self._node, other):
            await curio.sleep(timeout)
            return None
        if isinstance(question, Heartbeat):
            return question
        if isinstance(question, AskLimit):
            counter = self._fleet.nodes[other].counter
            return await counter.answer(question)
        return None


class FleetNode:
    """One node of a `LimitFleet`."""

    def __init__(self, fleet: 'LimitFleet', number: int) -> None:
        journal = open_null_journal('test')
        # The store is not used.
        self.view = ControlView(None, journal)  # type: ignore[arg-type]
        peers = FleetPeers(fleet, number)
        name = f'n{number}'
        self.counter = LimitCounter(name, self.view, peers, DEFAULT_TOLERANCE)
        self.limit_client = LimitClient(
            name,
            self.view,
            peers,
            self.counter,
            journal,
            Counters(),
        )


class LimitFleet:
    """Simulated nodes that share the limit of one workspace.

    Parameters
    ----------
    count : int
        Number of nodes.
    workspace : Workspace
        The workspace.
    has_urgent_routes : bool
        Whether the configuration has a route of priority 0.
    """

    def __init__(
        self,
        count: int,
        workspace: Workspace,
        *,
        has_urgent_routes: bool = False,
    ) -> None:
        #: Nodes whose processes are stopped.
        self.dead: set[int] = set()
        #: Sets of nodes that reach only each other.
        self.parts: list[set[int]] = []
        #: Start times of operations, in seconds of the kernel's clock.
        self.begun: list[float] = []
        #: Number of refused operations.
        self.refused = 0
        self.workspace = workspace
        self._services = {
            'stalls': ServiceDeclaration('stalls', 9, 0, has_urgent_routes),
        }
        self.nodes = [FleetNode(self, number) for number in range(count)]
        self._version = 0

    async def start(self) -> None:
        """Register the limit and all members on every node."""
        await self.limit(self.workspace)
        for node in self.nodes:
            await self.register_members(node)

    async def register_members(self, node: FleetNode) -> None:
        """Register all members on a node."""
        for number, _ in enumerate(self.nodes):
            centre = CENTRES[number % len(CENTRES)]
            member = Member(f'n{number}', f'127.0.0.1:{number}', centre, 'run')
            entry = Entry(member.name, number + 1, member)
            await node.view.apply_entry(Kind.MEMBERS, entry)
        await node.counter.apply_members()

    async def limit(self, workspace: Workspace) -> None:
        """Apply a limit on every node."""
        self.workspace = workspace
        self._version += 1
        directory = WorkspaceDirectory({workspace.name: workspace}, {})
        for node in self.nodes:
            node.view.configuration = Configuration(
                self._version, {}, self._services, 3, b'', directory
            )

    async def restart(self, number: int) -> None:
        """Replace a node by a new incarnation."""
        node = FleetNode(self, number)
        node.view.configuration = self.nodes[number].view.configuration
        self.nodes[number] = node
        self.dead.discard(number)
        await self.register_members(node)

    def are_partitioned(self, one: int, other: int) -> bool:
        """Return whether two nodes cannot reach each other."""
        return any((one in part) != (other in part) for part in self.parts)

    async def send(self, number: int, priority: int = 0) -> Refusal | None:
        """Try to begin an operation on a node."""
        refusal = await self.nodes[number].limit_client.try_begin(
            self.workspace, priority
        )
        if refusal is None:
            self.begun.append(await curio.clock())
        else:
            self.refused += 1
        return refusal
