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
from deckdrum.fleet.limit_messages import (
    AskLimit,
    AskLimitShare,
    LimitAnswer,
    ReturnToken,
)
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_peers import NoAnswer, NodePeers, PeerAnswer
from deckdrum.limits import LimitClient, LimitCounter, LimitShares
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
        if self._fleet.nodes[self._node].peers is not self:
            # This process has been replaced.
            await curio.sleep(timeout)
            return NoAnswer(TimeoutError())
        await curio.sleep(ONE_WAY_DELAY_S)
        if other in self._fleet.dead:
            return NoAnswer(ConnectionRefusedError('no process'))
        if self._fleet.refuses_connection(self._node, other):
            return NoAnswer(ConnectionRefusedError('cut off'))
        if self._fleet.is_unreachable(self._node, other):
            await curio.sleep(timeout)
            return NoAnswer(TimeoutError())
        answer = await self._fleet.nodes[other].answer(question)
        await curio.sleep(ONE_WAY_DELAY_S)
        if self._fleet.loses_answer(question):
            await curio.sleep(timeout)
            return NoAnswer(TimeoutError())
        return answer or NoAnswer(ConnectionResetError())


class FleetNode:
    """One node of a `LimitFleet`."""

    def __init__(self, fleet: 'LimitFleet', number: int) -> None:
        journal = open_null_journal('test')
        # The store is not used.
        self.view = ControlView(None, journal)  # type: ignore[arg-type]
        peers = FleetPeers(fleet, number)
        self.peers = peers
        name = f'n{number}'
        self.shares = LimitShares(name, self.view, peers, journal)
        self.counter = LimitCounter(
            name, self.view, peers, DEFAULT_TOLERANCE, self.shares
        )
        self.limit_client = LimitClient(
            name,
            self.view,
            peers,
            self.counter,
            journal,
            Counters(),
        )

    async def answer(self, question: Message) -> Message | None:
        """Answer a message of another node."""
        if isinstance(question, Heartbeat):
            return question
        if isinstance(question, AskLimit):
            return await self.counter.answer(question)
        if isinstance(question, AskLimitShare):
            return await self.shares.answer(question)
        if isinstance(question, ReturnToken):
            self.counter.return_token(question.workspace)
            return LimitAnswer(is_kept=True, wait=0)
        return None


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
    capacity : float
        Capacity that the nodes publish; 0 for nodes of an earlier version.
    """

    def __init__(
        self,
        count: int,
        workspace: Workspace,
        *,
        has_urgent_routes: bool = False,
        capacity: float = 1,
    ) -> None:
        #: Nodes whose processes are stopped.
        self.dead: set[int] = set()
        #: Sets of nodes that reach only each other.
        self.parts: list[set[int]] = []
        #: Whether connections between them are refused instead of silent.
        self.is_refusing = False
        #: Pairs of nodes of which the first does not reach the second.
        self.broken_links: set[tuple[int, int]] = set()
        #: Nodes whose processes are suspended.
        self.frozen: set[int] = set()
        #: Number of answers about shares that will be lost.
        self.answers_to_lose = 0
        #: Nodes that are no members.
        self.absent: set[int] = set()
        #: Start times of operations, in seconds of the kernel's clock.
        self.begun: list[float] = []
        #: Times of refused operations.
        self.refused_at: list[float] = []
        self.capacities = [capacity for _ in range(count)]
        self.workspace = workspace
        self._services = {
            'stalls': ServiceDeclaration('stalls', 9, 0, has_urgent_routes),
        }
        self.nodes = [FleetNode(self, number) for number in range(count)]
        self._version = 0
        self._revision = 0

    @property
    def refused(self) -> int:
        """Number of refused operations."""
        return len(self.refused_at)

    async def start(self) -> None:
        """Register the limit and all members on every node."""
        await self.limit(self.workspace)
        for node in self.nodes:
            await self.register_members(node)
            await curio.spawn(node.shares.run, daemon=True)

    async def register_members(self, node: FleetNode) -> None:
        """Register all members on a node."""
        self._revision += 1
        for number, _ in enumerate(self.nodes):
            member = Member(
                f'n{number}',
                f'127.0.0.1:{number}',
                CENTRES[number % len(CENTRES)],
                'run',
                is_gone=number in self.absent,
                capacity=self.capacities[number],
            )
            entry = Entry(member.name, self._revision, member)
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
        await curio.spawn(node.shares.run, daemon=True)

    def is_unreachable(self, one: int, other: int) -> bool:
        """Return whether messages of a node do not reach another one."""
        return (
            self.are_partitioned(one, other)
            or (one, other) in self.broken_links
            or not self.frozen.isdisjoint((one, other))
            or one in self.dead
        )

    def refuses_connection(self, one: int, other: int) -> bool:
        """Return whether a cut refuses connections between running nodes."""
        is_stopped = not {one, other}.isdisjoint(self.dead | self.frozen)
        is_cut = self.are_partitioned(one, other)
        return self.is_refusing and is_cut and not is_stopped

    def loses_answer(self, question: Message) -> bool:
        """Return whether the answer to a message is lost."""
        is_lost = (
            isinstance(question, AskLimitShare) and self.answers_to_lose > 0
        )
        self.answers_to_lose -= is_lost
        return is_lost

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
            self.refused_at.append(await curio.clock())
        return refusal
