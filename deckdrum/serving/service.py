"""One database group as a node serves it."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from functools import partial
from typing import Final

import curio

from deckdrum.backends import (
    Backend,
    BackendServer,
    ServerRole,
    ServerStatus,
)
from deckdrum.backends.position_history import History
from deckdrum.control import ControlStore, Member, Route, ServiceDeclaration
from deckdrum.control.departures import DrainStatus
from deckdrum.fleet.borrowing import BorrowingBackend, DirectBackend
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.leadership.state import LeadershipState
from deckdrum.load.placement import MIN_LOCAL_CONNECTIONS
from deckdrum.members import GroupShare
from deckdrum.serving.allocation import (
    AllocationInputs,
    ConnectionAllocator,
    list_remaining_nodes,
)
from deckdrum.serving.proofs import ProofSources, Source
from deckdrum.serving.samples import SAMPLE_TIMEOUT_S, PrimarySampler
from deckdrum.serving.servers import ServerHandle
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: Weight of a group of callers by the priority of its route; 0 is the most
#: urgent.  Twice the weight gets twice the connections when all wait.
PRIORITY_WEIGHTS: Final = (4.0, 2.0, 1.0)
#: Requests of one group that may wait for one server.
MAX_QUEUED_REQUESTS: Final = 64
#: Pause between two rounds of questions to all servers, in seconds.
DISCOVERY_INTERVAL_S: Final = 0.05
#: Longest wait for statements under way when a term ends, in seconds; most
#: statements take 6 to 60 ms.
TERM_DRAIN_TIMEOUT_S: Final = 0.12
_DRAIN_POLL_INTERVAL_S: Final = 0.005


class ServiceRuntime:
    """A database group: its servers, its primary and its log's positions.

    Parameters
    ----------
    declaration : ServiceDeclaration
        The group as the configuration declares it.
    make_backend : callable
        Makes what connects to a server.
    store : ControlStore
        Asked for proof when the replicas give none.
    peers : NodePeers
        The other nodes, asked for proof.
    journal : Journal
        For decisions and changes of belief.
    counters : Counters
        For metrics.
    policies : frozenset of Policy
        Mechanisms in force.
    """

    def __init__(
        self,
        declaration: ServiceDeclaration,
        make_backend: Callable[[BackendServer], Backend],
        store: ControlStore,
        peers: NodePeers,
        journal: Journal,
        counters: Counters,
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> None:
        self.declaration = declaration
        self.policies = policies
        self.servers: dict[str, ServerHandle] = {}
        self.leadership_state = LeadershipState(declaration.name, journal)
        self.history = History()
        self.journal = journal
        self.counters = counters
        #: Called with a server that has just failed.
        self.on_server_failure: Callable[[ServerHandle], None] | None = None
        #: Whether this node is changing the primary.
        self.is_changing_primary = False
        #: Which nodes hold the group's connections.
        self.holding = ConnectionAllocator(declaration.name, peers, policies)
        #: Statements at the primary that have no answer yet.
        self.in_flight = 0
        self._make_backend = make_backend
        self._peers = peers
        self._proofs = ProofSources(
            self.leadership_state,
            self._list_questions,
            store,
            peers,
            journal,
            counters,
        )
        self._shares: dict[str, GroupShare] = {}
        #: What became of connections to servers that are gone.
        self.removed_server_stats: Counter[str] = Counter()
        self._discovered_at = float('-inf')
        #: Samples of the primary, taken once for many callers.
        self.samples = PrimarySampler(
            self.leadership_state,
            self.history,
            peers,
            counters,
            self._pick_collector,
            self._ask_primary,
        )

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.declaration.name

    @property
    def primary(self) -> ServerHandle | None:
        """The believed primary, if its term has not ended."""
        if not self.leadership_state.has_primary:
            return None
        return self.servers.get(self.leadership_state.primary)

    @property
    def replicas(self) -> list[ServerHandle]:
        """Every server but the believed primary."""
        return [
            handle
            for name, handle in self.servers.items()
            if name != self.leadership_state.primary
        ]

    def has_log(self, name: str, end: Position) -> bool:
        """Tell whether a server with a log up to `end` may lead.

        One that has started again, empty, may do so only once it has the log
        as far as it is known here: all that was acknowledged would be lost.
        """
        if not self.leadership_state.has_restarted(name):
            return True
        known = Position(self.history.term, self.history.latest[0])
        return known > NOWHERE and end >= known

    async def adopt_servers(
        self,
        listed: Mapping[str, BackendServer],
        find_departure: Callable[[str], DrainStatus],
    ) -> None:
        """Take over the servers of this group from the directory.

        `find_departure` tells of a server's planned end.
        """
        for name, server in listed.items():
            handle = self.servers.get(name)
            if handle is not None and not server.is_same_incarnation_as(
                handle.server
            ):
                # Its connections, positions and times are of a former life.
                await self._drop(handle)
                handle = None
            if handle is None:
                own = DirectBackend(self._make_backend(server))
                own.is_log_known_nonempty = partial(
                    self._is_known_to_hold, name
                )
                handle = ServerHandle(
                    own,
                    BorrowingBackend(
                        own, self._peers.loans, self._peers.health
                    ),
                    MIN_LOCAL_CONNECTIONS,
                    self._shares,
                    self.policies,
                )
                self.servers[name] = handle
            handle.update(server, find_departure(name))
        for gone in self.servers.keys() - listed.keys():
            await self._drop(self.servers[gone])
        starts = {
            handle.id: handle.server.started_at
            for handle in self.servers.values()
        }
        await self.leadership_state.adopt_servers(self.servers, starts)

    async def deal(
        self,
        declaration: ServiceDeclaration,
        own: Member,
        members: Mapping[str, Member],
        workspaces: int,
    ) -> None:
        """Deal the servers' connections among the nodes that stay.

        They belong to a number of `workspaces`, or to nobody.
        """
        self.declaration = declaration
        terms = AllocationInputs(
            declaration.max_connections,
            workspaces,
            dict(members),
            frozenset(
                (handle.id, handle.server.started_at)
                for handle in self.servers.values()
            ),
        )
        if self.holding.is_allocated_for(terms):
            return
        if Policy.SHARED_PROOF in self.policies:
            staying = list_remaining_nodes(own, members)
            self._proofs.pick_collector(own, members, staying)
        await self.holding.deal(terms, own, self.servers, self._shares)

    async def set_route_share(self, route: Route) -> None:
        """Give the callers of a route their share of the connections."""
        place = min(route.priority, len(PRIORITY_WEIGHTS) - 1)
        share = GroupShare(PRIORITY_WEIGHTS[max(0, place)], MAX_QUEUED_REQUESTS)
        if self._shares.get(route.database) == share:
            return
        self._shares[route.database] = share
        for handle in self.servers.values():
            await handle.apply_shares(self._shares)

    def record_position(self, position: Position, started_at: float) -> None:
        """Note where the primary's log stood after `started_at`."""
        if position.term == self.leadership_state.term:
            self.history.note(position.term, position.offset, started_at)

    async def find_floor(self, max_age: float) -> Position | None:
        """Return the position that a read of bounded age must include.

        A sample was taken with proof that its term went on; it covers what
        had been answered until then, whatever has become of the term since.
        So replicas serve such reads also while a primary is replaced.

        Returns
        -------
        Position or None
            None if this node has no sample of a primary young enough.
        """
        now = await curio.clock()
        offset = self.history.find_floor(max_age, now)
        return None if offset is None else Position(self.history.term, offset)

    async def ask(self, handle: ServerHandle) -> ServerStatus | None:
        """Ask a server about itself and take over what it says."""
        asked_at = await curio.clock()
        self.counters.count('status_questions')
        status = await handle.query_status()
        if status is None:
            self.journal.record_often(
                'server.unanswered',
                service=self.name,
                server=handle.id,
                reason=handle.fault,
            )
            self.report_server_failure(handle)
            return None
        await self.leadership_state.record_status(handle.id, status, asked_at)
        return status

    def report_server_failure(self, handle: ServerHandle) -> None:
        """Have a failed server looked at."""
        if self.on_server_failure is not None:
            self.on_server_failure(handle)

    async def discover_primary(self) -> None:
        """Look for a primary, unless that was done a moment ago.

        The server that says in the directory that it leads is asked first,
        and the others only if it does not: many nodes ask when all of them
        start.
        """
        now = await curio.clock()
        if now - self._discovered_at < DISCOVERY_INTERVAL_S:
            await curio.sleep(DISCOVERY_INTERVAL_S)
            return
        self._discovered_at = now
        listed = [
            handle
            for handle in self.servers.values()
            if handle.server.role is ServerRole.PRIMARY
        ]
        others = [
            handle for handle in self.servers.values() if handle not in listed
        ]
        await self._ask_each(listed)
        if self.primary is None:
            await self._ask_each(others)

    async def ensure_primary(
        self,
        limit: float,
        *,
        for_work: bool = True,
    ) -> ServerHandle | None:
        """Return a primary with valid proof, within `limit` seconds.

        One that has left gets no work, only questions.

        Returns
        -------
        ServerHandle or None
            None if there is none in time.
        """
        deadline = await curio.clock() + limit
        while True:
            now = await curio.clock()
            primary = self.primary
            is_barred = for_work and _has_left(primary, now)
            if (
                primary
                and not is_barred
                and self.leadership_state.is_primary_usable(now)
            ):
                await self._proofs.renew_if_expiring(now)
                return primary
            # Where all have left there is nothing to wait for.
            is_hopeless = for_work and _have_all_left(self.servers, now)
            if now >= deadline or is_hopeless:
                return None
            if is_barred:
                await self.leadership_state.wait_for_change(
                    DISCOVERY_INTERVAL_S
                )
            elif primary is None:
                await self._look_for_primary(deadline - now)
            elif not await self.renew_proof():
                await self.leadership_state.wait_for_change(
                    min(DISCOVERY_INTERVAL_S, deadline - now),
                )

    async def fetch_proof_age(self, term: int) -> float:
        """Return the age of this node's proof in seconds; -1 without any."""
        return await self._proofs.fetch_age(term)

    async def renew_proof(self) -> bool:
        """Get proof that the term has not ended; tell whether there is."""
        return await self._proofs.renew()

    async def close_term(
        self,
        term: int,
        may_finish: bool,
        fence: int,
    ) -> None:
        """End a term and release no change of it that is answered later.

        `fence` is the revision of the claim that ends it.

        Statements under way get a bounded wait if they `may_finish`; an
        answer that comes afterwards is a doubt.
        """
        await self.leadership_state.end_term(
            term, 'a node changes the primary', fence
        )
        async with curio.ignore_after(TERM_DRAIN_TIMEOUT_S):
            while may_finish and self.in_flight:
                await curio.sleep(_DRAIN_POLL_INTERVAL_S)
        self.leadership_state.close_term(term)

    async def close(self) -> None:
        """Close idle connections."""
        for handle in self.servers.values():
            await handle.pool.close_idle()

    async def _drop(self, handle: ServerHandle) -> None:
        """Use a server, or a former life of it, no more."""
        self.servers.pop(handle.id)
        self.removed_server_stats.update(asdict(handle.pool.figures))
        handle.is_holder = False
        await handle.pool.close_idle()

    def _is_known_to_hold(self, name: str) -> bool:
        """Tell whether a server leads with a log that is not empty."""
        is_sampled = self.history.term == self.leadership_state.term
        is_primary = name == self.leadership_state.primary
        return is_primary and is_sampled and self.history.latest[0] > 0

    def _pick_collector(self) -> Member | None:
        """Return the node of this data centre that samples for all, if any."""
        is_shared = Policy.SHARED_SAMPLES in self.policies
        return self._proofs.collector if is_shared else None

    async def _ask_primary(self) -> bool:
        """Ask the primary where its log stands; tell whether it said so."""
        primary = await self.ensure_primary(SAMPLE_TIMEOUT_S, for_work=False)
        if primary is None:
            return False
        started_at = await curio.clock()
        self.counters.count('primary_samples')
        status = await self.ask(primary)
        position = None if status is None else status.received
        told = primary.told
        if position is None and told and told.asked_at >= started_at:
            # It refused the question, and told where its log stands.
            position = told.position
        if position is None or position.term != self.leadership_state.term:
            return False
        self.record_position(position, started_at)
        return True

    async def _ask_each(self, handles: Iterable[ServerHandle]) -> None:
        async with curio.TaskGroup() as asking:
            for handle in handles:
                await asking.spawn(self.ask, handle)

    def _list_questions(self) -> list[Source]:
        """Return a question to each replica, the best first."""
        ranked = sorted(
            self.replicas,
            key=lambda handle: (handle.timed_out_at, handle.load),
        )
        return [partial(self.ask, handle) for handle in ranked]

    async def _look_for_primary(self, limit: float) -> None:
        if self.leadership_state.term and not self.leadership_state.has_primary:
            # Whoever changes the primary announces it.
            await self.leadership_state.wait_for_change(
                min(DISCOVERY_INTERVAL_S, limit)
            )
        await self.discover_primary()


def _has_left(handle: ServerHandle | None, now: float) -> bool:
    return handle is not None and handle.departure.is_past_cutoff(now)


def _have_all_left(servers: Mapping[str, ServerHandle], now: float) -> bool:
    """Tell whether a group has servers, and none that gets new work."""
    return bool(servers) and all(
        handle.departure.is_past_cutoff(now) for handle in servers.values()
    )
