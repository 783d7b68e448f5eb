"""Borrowing and lending spare slots of servers between the holders of a group.

`SlotBorrower` obtains leases for this node's gate to one server; `SlotLender`
grants them where this node is the server's slot coordinator.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import curio

from deckdrum.control import Member
from deckdrum.fleet.load_messages import AskSlots, SlotsAnswer
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.load.slots import (
    LEASE_LIFETIME_S,
    SlotDemand,
    SpareLedger,
    compute_part,
    compute_spare,
)
from deckdrum.serving.slots import SlotGate
from deckdrum.utils import Journal
from deckdrum.utils.tasks import keep_running

#: Interval between requests while statements wait.  It doubles up to the
#: maximum with each request that brings nothing: under lasting overload the
#: spare slots change hands only as leases are renewed.
MIN_ASK_INTERVAL_S: Final = 0.005
MAX_ASK_INTERVAL_S: Final = 0.04
#: A lease that is still needed is renewed this long before it ends, which
#: leaves time for a second request.
RENEWAL_MARGIN_S: Final = 0.125
#: Nothing is admitted under a lease this long before it ends, so that most
#: statements (6 to 40 ms) are answered by then if it is not renewed.
ADMISSION_MARGIN_S: Final = 0.05
#: Longest wait for a slot coordinator's answer.
ASK_TIMEOUT_S: Final = 0.1
#: A new slot coordinator lends nothing for this time, in which leases of the
#: former one, or of its own former process, may last.
QUIET_TIME_S: Final = LEASE_LIFETIME_S
_NOTHING_LENT: Final = SlotsAnswer(0, 0)


@dataclass(frozen=True, slots=True)
class SlotTerms:
    """What the slots of one server and their division depend on.

    Attributes
    ----------
    slots : int
        Slots of the server; 0 if its statements are not bounded.
    started_at : int
        Start time of the server, which identifies its incarnation.
    own : str
        This node.
    ranked : tuple of str
        The holders; the first one is the slot coordinator.
    """

    slots: int = 0
    started_at: int = 0
    own: str = ''
    ranked: tuple[str, ...] = ()

    @property
    def is_bounded(self) -> bool:
        """Whether the server's statements in flight are bounded."""
        return self.slots > 0 and bool(self.ranked)

    @property
    def coordinator(self) -> str:
        """The holder that lends the spare slots; empty without holders."""
        return self.ranked[0] if self.ranked else ''

    @property
    def part(self) -> float:
        """Statements in flight that this node may have without a lease.

        A node that is not a holder forwards its statements, and may run one at
        a time while it reaches no holder.
        """
        if not self.is_bounded:
            return float('inf')
        if self.own not in self.ranked:
            return 1
        return compute_part(self.slots, len(self.ranked))

    @property
    def spare(self) -> int:
        """Slots that this node may borrow."""
        if not self.is_bounded or self.own not in self.ranked:
            return 0
        return compute_spare(self.slots, len(self.ranked))


class SlotLender:
    """Lends the spare slots of one server to its holders.

    Only the slot coordinator lends.  One that cannot be reached may still lend
    on its side of a cut, so no other holder does in its place.
    """

    def __init__(self) -> None:
        self._terms = SlotTerms()
        self._ledger: SpareLedger | None = None

    async def apply(self, terms: SlotTerms) -> None:
        """Apply new terms: every lease starts over."""
        self._terms = terms
        self._ledger = None
        if terms.spare and terms.coordinator == terms.own:
            now = await curio.clock()
            self._ledger = SpareLedger(
                terms.slots, len(terms.ranked), now + QUIET_TIME_S
            )

    async def answer(self, request: AskSlots) -> SlotsAnswer:
        """Return the lease for a holder's request."""
        if self._ledger is None or request.holder not in self._terms.ranked:
            return _NOTHING_LENT
        now = await curio.clock()
        demand = SlotDemand(request.wanted, request.urgent, request.in_flight)
        lease = self._ledger.lend(request.holder, demand, now)
        return SlotsAnswer(lease.amount, max(0, lease.end - now))


class SlotCoordinators:
    """Requests of this node to the slot coordinators of one group's servers.

    Parameters
    ----------
    peers : NodePeers
        The other nodes.
    journal : Journal
        Logs coordinators that are lost and regained.
    """

    def __init__(self, peers: NodePeers, journal: Journal) -> None:
        #: The holders by name.
        self.holders: Mapping[str, Member] = {}
        self._peers = peers
        self._journal = journal
        self._lost: set[str] = set()

    async def ask(
        self, request: AskSlots, terms: SlotTerms, lender: SlotLender
    ) -> SlotsAnswer | None:
        """Ask the slot coordinator of a server."""
        if terms.coordinator == terms.own:
            return await lender.answer(request)
        return await self._ask_holder(terms.coordinator, request)

    async def _ask_holder(
        self, name: str, request: AskSlots
    ) -> SlotsAnswer | None:
        holder = self.holders.get(name)
        if holder is None:
            return None
        answer = await self._peers.ask(holder.endpoint, request, ASK_TIMEOUT_S)
        if isinstance(answer, SlotsAnswer):
            if name in self._lost:
                self._lost.remove(name)
                self._log('slots.coordinator_regained', name, request)
            return answer
        if name not in self._lost:
            self._lost.add(name)
            self._log(
                'slots.coordinator_lost',
                name,
                request,
                reason=repr(answer),
            )
        return None

    def _log(
        self, event: str, name: str, request: AskSlots, **fields: Any
    ) -> None:
        self._journal.record_rate_limited(
            event,
            service=request.service,
            server=request.server,
            coordinator=name,
            **fields,
        )


class SlotBorrower:
    """Borrows spare slots of one server for this node's gate.

    Parameters
    ----------
    service, server : str
        The group and the id of the server.
    gate : SlotGate
        Admits this node's statements to the server.
    ask : callable
        Asks the slot coordinator.
    journal : Journal
        Logs defects.
    """

    def __init__(
        self,
        service: str,
        server: str,
        gate: SlotGate,
        ask: Callable[[AskSlots], Awaitable[SlotsAnswer | None]],
        journal: Journal,
    ) -> None:
        #: Spare slots that this node has borrowed.
        self.granted = 0
        #: Settings in force.
        self.terms = SlotTerms()
        self.gate = gate
        self._names = (service, server)
        self._ask = ask
        self._journal = journal
        self._lease_end = float('-inf')
        self._asked_at = float('-inf')
        self._interval = MIN_ASK_INTERVAL_S
        self._is_running = False
        self._demand_changed = curio.Event()

    async def apply(self, terms: SlotTerms) -> None:
        """Apply new terms: leases end, and statements may be admitted."""
        self.terms = terms
        self._end_lease()
        self.gate.part = terms.part
        self.gate.compute_limit = self._compute_limit
        self.gate.on_demand = self.handle_demand
        await self.gate.admit_waiting()

    async def handle_demand(self) -> None:
        """Ask for slots as long as statements need more than the own part."""
        if not self.terms.spare:
            return
        if self._is_running:
            await self._demand_changed.set()
        else:
            self._is_running = True
            self._interval = MIN_ASK_INTERVAL_S
            await curio.spawn(
                keep_running, self._journal, self._run, daemon=True
            )

    def _compute_limit(self, now: float) -> float:
        """Return how many statements may be in flight."""
        if now < self._lease_end - ADMISSION_MARGIN_S:
            return self.terms.part + self.granted
        return self.terms.part

    async def _run(self) -> None:
        """Ask until there is neither demand for a lease nor a lease."""
        while True:
            now = await curio.clock()
            if now >= self._lease_end:
                self._end_lease()
            ask_at = self._find_ask_time()
            lease_end = self._lease_end if self.granted else float('inf')
            wake_at = min(ask_at, lease_end)
            if not self.terms.spare or wake_at == float('inf'):
                break
            if now >= ask_at:
                await self._request_lease(now)
                continue
            async with curio.ignore_after(wake_at - now):
                await self._demand_changed.wait()
            self._demand_changed.clear()
        self._is_running = False

    def _find_ask_time(self) -> float:
        """Return when the next request is due; infinite without demand."""
        earliest = self._asked_at + self._interval
        if self.gate.waiting:
            return earliest
        if self.gate.in_flight <= self.terms.part:
            return float('inf')
        return max(earliest, self._lease_end - RENEWAL_MARGIN_S)

    async def _request_lease(self, now: float) -> None:
        self._asked_at = now
        terms = self.terms
        demand = self.gate.demand
        answer = await self._ask(
            AskSlots(
                *self._names,
                terms.own,
                demand.wanted,
                demand.urgent,
                demand.in_flight,
            )
        )
        if terms is not self.terms:
            return
        former = self.granted
        if answer is not None:
            self.granted = max(0, min(answer.granted, terms.spare))
            lifetime = min(answer.lifetime, LEASE_LIFETIME_S)
            self._lease_end = now + lifetime
        if self.granted > former:
            self._interval = MIN_ASK_INTERVAL_S
        else:
            self._interval = min(self._interval * 2, MAX_ASK_INTERVAL_S)
        await self.gate.admit_waiting()

    def _end_lease(self) -> None:
        self.granted = 0
        self._lease_end = float('-inf')
