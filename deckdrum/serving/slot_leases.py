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
from deckdrum.fleet.messages import Heartbeat
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
#: How long after a refused connection its process is known not to run.
REFUSAL_VALIDITY_S: Final = 0.1
#: Shortest interval between two probes of a process that does not run.
_PROBE_INTERVAL_S: Final = 0.02
#: A new slot coordinator lends nothing for this time.  Leases of the former one
#: may last for `LEASE_LIFETIME_S`, and one that lends in its place does so for
#: up to `REFUSAL_VALIDITY_S` after this node runs again.
QUIET_TIME_S: Final = LEASE_LIFETIME_S + REFUSAL_VALIDITY_S
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


class ProcessWatch:
    """Whether the process of another node is known not to run.

    Parameters
    ----------
    probe : callable
        Returns whether the node refuses a connection.
    """

    def __init__(self, probe: Callable[[], Awaitable[bool]]) -> None:
        self._probe = probe
        self._is_probing = False
        self._asked_at = float('-inf')
        #: Start of the latest refused probe, and of the first of its series.
        self._refused_at = float('-inf')
        self._refused_since = float('inf')

    def has_stopped(self, now: float) -> bool:
        """Return whether leases that it granted have ended, and it runs not."""
        is_known = now < self._refused_at + REFUSAL_VALIDITY_S
        return is_known and now >= self._refused_since + LEASE_LIFETIME_S

    async def check(self, now: float) -> None:
        """Start a probe unless there was one a moment ago."""
        if self._is_probing or now < self._asked_at + _PROBE_INTERVAL_S:
            return
        self._asked_at = now
        self._is_probing = True
        await curio.spawn(self._run_probe, now, daemon=True)

    async def _run_probe(self, started_at: float) -> None:
        try:
            is_refused = await self._probe()
        finally:
            self._is_probing = False
        if not is_refused:
            self._refused_at = float('-inf')
            self._refused_since = float('inf')
            return
        answered_at = await curio.clock()
        if started_at >= self._refused_at + REFUSAL_VALIDITY_S:
            # It may have run since the previous refusal, and have lent slots
            # until the moment at which this connection was refused.
            self._refused_since = answered_at
        self._refused_at = started_at


class SlotLender:
    """Lends the spare slots of one server to its holders.

    Parameters
    ----------
    is_refusing : callable
        Returns whether a node, given by its name, refuses connections.
    """

    def __init__(self, is_refusing: Callable[[str], Awaitable[bool]]) -> None:
        self._is_refusing = is_refusing
        self._terms = SlotTerms()
        self._ledger: SpareLedger | None = None
        #: The holders that precede this node in the ranking.
        self._watches: list[ProcessWatch] = []

    async def apply(self, terms: SlotTerms) -> None:
        """Apply new terms: every lease starts over."""
        self._terms = terms
        self._ledger = None
        self._watches = []
        if terms.spare:
            now = await curio.clock()
            self._ledger = SpareLedger(
                terms.slots, len(terms.ranked), now + QUIET_TIME_S
            )
            self._watches = [
                ProcessWatch(_bind(self._is_refusing, name))
                for name in terms.ranked[: terms.ranked.index(terms.own)]
            ]

    async def answer(self, request: AskSlots) -> SlotsAnswer:
        """Return the lease for a holder's request."""
        ledger = self._ledger
        if ledger is None or request.holder not in self._terms.ranked:
            return _NOTHING_LENT
        now = await curio.clock()
        may_lend = all(watch.has_stopped(now) for watch in self._watches)
        for watch in self._watches:
            await watch.check(now)
        if not may_lend:
            return _NOTHING_LENT
        demand = SlotDemand(request.wanted, request.urgent, request.in_flight)
        lease = ledger.lend(request.holder, demand, now)
        return SlotsAnswer(lease.amount, max(0, lease.end - now))


def _bind(
    is_refusing: Callable[[str], Awaitable[bool]], name: str
) -> Callable[[], Awaitable[bool]]:
    return lambda: is_refusing(name)


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
        self._refused_until: dict[str, float] = {}
        self._lost: set[str] = set()

    async def ask(
        self, request: AskSlots, terms: SlotTerms, lender: SlotLender
    ) -> SlotsAnswer | None:
        """Ask the first holder in the ranking that is not known to be down."""
        now = await curio.clock()
        for name in terms.ranked:
            if name == terms.own:
                return await lender.answer(request)
            if now >= self._refused_until.get(name, now):
                return await self._ask_holder(name, request)
        return None

    async def is_refusing(self, name: str) -> bool:
        """Return whether a holder refuses a connection."""
        holder = self.holders.get(name)
        if holder is None:
            return False
        answer = await self._peers.ask(
            holder.endpoint, Heartbeat(), ASK_TIMEOUT_S
        )
        return isinstance(answer, ConnectionRefusedError)

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
        if isinstance(answer, ConnectionRefusedError):
            now = await curio.clock()
            self._refused_until[name] = now + REFUSAL_VALIDITY_S
        if name not in self._lost:
            self._lost.add(name)
            self._log(
                'slots.coordinator_lost',
                name,
                request,
                reason='no answer' if answer is None else repr(answer),
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
