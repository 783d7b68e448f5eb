"""Holders of a group that share the slots of one server, in virtual time."""

from collections.abc import Callable
from io import StringIO
from random import Random
from types import SimpleNamespace
from typing import Any, Final, cast

import curio

from deckdrum.backends import BackendServer
from deckdrum.control import Member, ServiceDeclaration
from deckdrum.fleet.base import Message
from deckdrum.fleet.borrowing import DirectBackend
from deckdrum.fleet.load_messages import AskSlots, SlotsAnswer
from deckdrum.fleet.messages import Heartbeat
from deckdrum.fleet.node_peers import NoAnswer
from deckdrum.load.allocation import rank_holders
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.slot_groups import GroupSlots
from deckdrum.serving.slots import GatedServer, SlotGate
from deckdrum.utils import Address, open_journal
from deckdrum.utils.counters import Counters

SERVICE: Final = 'stalls'
SERVER: Final = 'i-1'
ONE_WAY_LATENCY_S: Final = 0.001
#: Longest wait of a statement at the gate.
_WAIT_TIMEOUT_S: Final = 0.5
_ADDRESS: Final = Address('127.0.0.1', 1)


class SlotHolder:
    """A holder with its gate, and the messages that it has sent.

    Parameters
    ----------
    fleet : SlotFleet
        The holders.
    name : str
        Its name.
    """

    def __init__(self, fleet: 'SlotFleet', name: str) -> None:
        self.name = name
        self.sent: list[Message] = []
        self.is_killed = False
        self._fleet = fleet
        self.log = StringIO()
        self.group = GroupSlots(
            cast(Any, self), open_journal(name, self.log), Counters()
        )
        self._server = self._start_server(0, 0)

    @property
    def gate(self) -> SlotGate:
        """Its gate to the server."""
        return self._server.gate

    async def apply(
        self, slots: int = 4, started_at: int = 1, *, is_urgent: bool = True
    ) -> None:
        """Apply the group's declaration and the server's entry."""
        if self._server.server.started_at != started_at:
            self._server = self._start_server(slots, started_at)
        self._server.own.server = self._build_entry(slots, started_at)
        servers = {SERVER: cast(ServerHandle, self._server)}
        declaration = ServiceDeclaration(SERVICE, 1, 0, is_urgent)
        members = self._fleet.members
        await self.group.apply(declaration, self.name, members, servers)

    async def ask(
        self, address: Address, request: Message, timeout: float
    ) -> object:
        """Send a request to another holder, as `NodePeers` does."""
        self.sent.append(request)
        name = self._fleet.ranked[address.port]
        await curio.sleep(ONE_WAY_LATENCY_S)
        if name in self._fleet.stopped:
            return NoAnswer(ConnectionRefusedError())
        is_cut = bool({name, self.name} & self._fleet.unreachable)
        if is_cut and self._fleet.is_refusing:
            return NoAnswer(ConnectionRefusedError())
        if self.is_killed or is_cut:
            await curio.sleep(timeout)
            return NoAnswer(TimeoutError())
        if isinstance(request, Heartbeat):
            return request
        assert isinstance(request, AskSlots)
        answer = await self._fleet.answer(name, request)
        await curio.sleep(ONE_WAY_LATENCY_S)
        return answer

    async def run(self, seconds: float, priority: int = 1) -> bool:
        """Run a statement; return whether it was admitted in time."""
        gate = self.gate
        permit = await gate.acquire(priority, _WAIT_TIMEOUT_S)
        if permit is None:
            return False
        self._fleet.record()
        await curio.sleep(seconds)
        await gate.release(permit)
        return True

    async def occupy(self, seconds: float, count: int = 8) -> None:
        """Start statements that keep every slot of this holder in use."""
        for _ in range(count):
            await curio.spawn(self.run, seconds, daemon=True)

    def _start_server(self, slots: int, started_at: int) -> GatedServer:
        entry = self._build_entry(slots, started_at)
        return GatedServer(
            DirectBackend(cast(Any, SimpleNamespace(server=entry)))
        )

    def _build_entry(self, slots: int, started_at: int) -> BackendServer:
        return BackendServer(
            SERVER, SERVICE, _ADDRESS, 'a', slots=slots, started_at=started_at
        )


class SlotFleet:
    """The holders of one server, `ranked` by name; the first one coordinates.

    Parameters
    ----------
    count : int
        Number of holders.
    """

    def __init__(self, count: int = 3) -> None:
        self.ranked = rank_holders(
            SERVICE, SERVER, [f'n{number}' for number in range(count)]
        )
        self.members = {
            name: Member(name, f'127.0.0.1:{index}', 'a', '')
            for index, name in enumerate(self.ranked)
        }
        #: Holders whose process does not run, and those that are cut off.
        self.stopped: set[str] = set()
        self.unreachable: set[str] = set()
        #: Whether connections of those that are cut off are refused.
        self.is_refusing = False
        #: Largest number of statements in flight of all holders together.
        self.most_in_flight = 0
        self.holders = {name: SlotHolder(self, name) for name in self.ranked}
        self._former: list[SlotHolder] = []

    def __getitem__(self, index: int) -> SlotHolder:
        """Return a holder by its rank."""
        return self.holders[self.ranked[index]]

    async def start(self, **entry: Any) -> None:
        """Start the holders and wait until they lend."""
        for holder in self.holders.values():
            await holder.apply(**entry)
        await curio.sleep(1)

    async def stop(self) -> None:
        """End the requests of all holders."""
        for holder in self.holders.values():
            await holder.apply(is_urgent=False)

    def kill(self, index: int) -> None:
        """Kill a holder; its server still runs what was sent."""
        self.stopped.add(self.ranked[index])
        self[index].is_killed = True
        self[index].gate.compute_limit = lambda now: 0

    async def restart(self, index: int) -> None:
        """Replace a stopped holder by a new process."""
        name = self.ranked[index]
        self._former.append(self.holders[name])
        self.holders[name] = SlotHolder(self, name)
        await self.holders[name].apply()
        self.stopped.discard(name)

    async def answer(self, name: str, request: AskSlots) -> SlotsAnswer:
        """Return a holder's answer."""
        return await self.holders[name].group.answer(request)

    def record(self) -> None:
        """Record how many statements are in flight now."""
        everyone = [*self.holders.values(), *self._former]
        in_flight = sum(holder.gate.in_flight for holder in everyone)
        self.most_in_flight = max(self.most_in_flight, in_flight)

    async def load(
        self,
        index: int,
        until: float,
        draw: Callable[[Random], float],
        seed: int,
    ) -> None:
        """Send a holder statements with changing demand until a time."""
        randomness = Random(seed + index)
        while await curio.clock() < until:
            for _ in range(randomness.choice((0, 0, 2, 8))):
                await curio.spawn(
                    self[index].run,
                    draw(randomness),
                    randomness.choice((0, 1, 1, 2)),
                    daemon=True,
                )
            await curio.sleep(randomness.expovariate(10))
