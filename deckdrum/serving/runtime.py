"""Runtime state of one database group on a node."""

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
from deckdrum.backends.position_history import PositionHistory
from deckdrum.control import ControlStore, Member, Route, ServiceDeclaration
from deckdrum.control.draining import DrainStatus
from deckdrum.fleet.borrowing import BorrowingBackend, DirectBackend
from deckdrum.fleet.node_peers import NodePeers
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.leadership.state import LeadershipState
from deckdrum.load.allocation import MIN_LOCAL_CONNECTIONS
from deckdrum.serving.allocation import (
    AllocationInputs,
    ConnectionAllocator,
    has_uneven_machines,
    list_remaining_nodes,
)
from deckdrum.serving.proofs import ProofQuery, ProofSources, is_unproven
from deckdrum.serving.running_statements import RunningStatements
from deckdrum.serving.samples import SAMPLE_TIMEOUT_S, PrimarySampler
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.shares import RouteShares
from deckdrum.serving.slot_groups import GroupSlots
from deckdrum.sessions.position import LOG_START, Position
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: Minimum interval between two queries of all servers for the primary.
DISCOVERY_INTERVAL_S: Final = 0.05


class ServiceRuntime:
    """Servers, leadership state and log positions of a database group.

    Parameters
    ----------
    declaration : ServiceDeclaration
        Declaration of the group in the configuration.
    make_backend : callable
        Returns the backend of a server.
    store : ControlStore
        Queried for leadership proof if no replica provides it.
    peers : NodePeers
        The other nodes, queried for leadership proof.
    journal : Journal
        Log of decisions and leadership changes.
    counters : Counters
        Metrics.
    policies : frozenset of Policy
        Enabled policies.
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
        self.history = PositionHistory()
        self.journal = journal
        self.counters = counters
        #: Callback for a server that has just failed.
        self.on_server_failure: Callable[[ServerHandle], None] | None = None
        #: Whether this node is changing the primary.
        self.is_changing_primary = False
        #: Allocation of the group's connections to nodes.
        self.allocator = ConnectionAllocator(declaration.name, peers, policies)
        #: Whether the machines of the fleet are so uneven that load counts.
        self.is_uneven = False
        #: Number of statements that run on the primary.
        self.statements = RunningStatements()
        #: Bounds of the statements in flight at each server.
        self.slots = GroupSlots(peers, journal, counters)
        self._make_backend = make_backend
        self._peers = peers
        self._proofs = ProofSources(
            self.leadership_state,
            self._list_proof_queries,
            store,
            peers,
            journal,
            counters,
        )
        self._shares = RouteShares()
        #: Pool statistics of servers that were removed.
        self.removed_server_stats: Counter[str] = Counter()
        self._discovered_at = float('-inf')
        #: Samples of the primary's log position, shared by concurrent callers.
        self.samples = PrimarySampler(
            self.leadership_state,
            self.history,
            peers,
            counters,
            self._pick_collector,
            self._sample_primary,
        )

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.declaration.name

    @property
    def primary(self) -> ServerHandle | None:
        """The known primary, unless its term has ended."""
        if not self.leadership_state.has_primary:
            return None
        return self.servers.get(self.leadership_state.primary)

    @property
    def replicas(self) -> list[ServerHandle]:
        """All servers except the known primary."""
        return [
            handle
            for name, handle in self.servers.items()
            if name != self.leadership_state.primary
        ]

    def is_promotable(self, name: str, end: Position) -> bool:
        """Return whether a server whose log ends at `end` can be promoted.

        A restarted server may have lost its log.  It qualifies only once its
        log includes the latest position known to this node; otherwise
        acknowledged changes would be lost.
        """
        if not self.leadership_state.has_restarted(name):
            return True
        known = Position(self.history.term, self.history.latest[0])
        return known > LOG_START and end >= known

    async def apply_servers(
        self,
        listed: Mapping[str, BackendServer],
        get_drain_status: Callable[[str], DrainStatus],
    ) -> None:
        """Apply the directory's list of this group's servers.

        `get_drain_status` returns the planned shutdown of a server.
        """
        for name, server in listed.items():
            handle = self.servers.get(name)
            if handle is not None and not server.is_same_incarnation_as(
                handle.server
            ):
                # The connections, positions and times belong to a previous
                # incarnation of the server.
                await self._remove_server(handle)
                handle = None
            if handle is None:
                own = DirectBackend(self._make_backend(server))
                own.is_log_known_nonempty = partial(
                    self._is_log_known_nonempty, name
                )
                handle = ServerHandle(
                    own,
                    BorrowingBackend(
                        own, self._peers.loan_streams, self._peers.health
                    ),
                    MIN_LOCAL_CONNECTIONS,
                    self._shares,
                    self.policies,
                )
                for pool in (handle.pool, handle.loans):
                    pool.queue.turned_away = self.counters.turned_away
                self.servers[name] = handle
            handle.update(server, get_drain_status(name))
        for removed in self.servers.keys() - listed.keys():
            await self._remove_server(self.servers[removed])
        starts = {
            handle.id: handle.server.started_at
            for handle in self.servers.values()
        }
        await self.leadership_state.apply_servers(self.servers, starts)

    async def allocate_connections(
        self,
        declaration: ServiceDeclaration,
        own: Member,
        members: Mapping[str, Member],
        workspace_count: int,
    ) -> None:
        """Allocate the servers' connections to the nodes that are not leaving.

        `workspace_count` is 0 if connections belong to no workspace.
        """
        had_urgent_routes = self.declaration.has_urgent_routes
        self.declaration = declaration
        self.is_uneven = has_uneven_machines(own, members)
        if had_urgent_routes and not declaration.has_urgent_routes:
            # Statements that wait already are ordered anew.
            self._shares.drop_priorities()
            await _apply_shares(self.servers, self._shares)
        inputs = AllocationInputs(
            declaration.max_connections,
            workspace_count,
            dict(members),
            frozenset(
                (handle.id, handle.server.started_at)
                for handle in self.servers.values()
            ),
            declaration.has_urgent_routes,
        )
        if not self.allocator.is_allocated_for(inputs):
            if Policy.SHARED_PROOF in self.policies:
                remaining = list_remaining_nodes(own, members)
                self._proofs.pick_collector(own, members, remaining)
            await self.allocator.allocate(
                inputs, own, self.servers, self._shares
            )
        holders = _list_holders(self.allocator, own, members)
        await self.slots.apply(declaration, own.name, holders, self.servers)

    async def set_route_share(self, route: Route) -> None:
        """Set the connection share of a route's callers."""
        if self._shares.set_route(
            route, is_urgency_ordered=self.declaration.has_urgent_routes
        ):
            await _apply_shares(self.servers, self._shares)

    def record_position(self, position: Position, started_at: float) -> None:
        """Record a position of the primary's log sampled after `started_at`."""
        if position.term == self.leadership_state.term:
            self.history.record(position.term, position.offset, started_at)

    async def find_min_position(self, max_age: float) -> Position | None:
        """Return the position that a read no older than `max_age` must include.

        Samples are taken while the term is proven valid, so they include all
        changes acknowledged before.  They remain usable after the term has
        ended: replicas serve bounded reads during a primary change.

        Returns
        -------
        Position or None
            None if this node has no sample that is recent enough.
        """
        now = await curio.clock()
        offset = self.history.find_min_offset(max_age, now)
        return None if offset is None else Position(self.history.term, offset)

    async def query_server(self, handle: ServerHandle) -> ServerStatus | None:
        """Query a server's status and apply it to the leadership state."""
        asked_at = await curio.clock()
        self.counters.count('status_questions')
        status = await handle.query_status()
        if status is None:
            self.journal.record_rate_limited(
                'server.unanswered',
                service=self.name,
                server=handle.id,
                reason=handle.last_error,
            )
            self.report_server_failure(handle)
            return None
        await self.leadership_state.record_status(handle.id, status, asked_at)
        return status

    def report_server_failure(self, handle: ServerHandle) -> None:
        """Report a failed server to the callback."""
        if self.on_server_failure is not None:
            self.on_server_failure(handle)

    async def discover_primary(self) -> None:
        """Query servers for the primary, once per `DISCOVERY_INTERVAL_S`.

        The server listed as primary in the directory is queried first, and the
        others only if it is not the primary.  This limits the queries when many
        nodes start at once.
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
        await self._query_each(listed)
        if self.primary is None:
            await self._query_each(others)

    async def ensure_primary(
        self,
        timeout: float,
        *,
        for_statements: bool = True,
    ) -> ServerHandle | None:
        """Return the primary once its proof is valid.

        If `for_statements` is set, a draining primary that accepts no new
        statements is not returned.

        Returns
        -------
        ServerHandle or None
            None if there is none within `timeout` seconds, or at once for
            statements if `is_rejecting_unproven`.
        """
        deadline = await curio.clock() + timeout
        while True:
            now = await curio.clock()
            primary = self.primary
            is_past_cutoff = for_statements and _has_left(primary, now)
            is_proven = self.leadership_state.is_primary_usable(now)
            if primary and is_proven and not is_past_cutoff:
                self.leadership_state.log_use(now)
                await self._proofs.renew_if_expiring(now)
                return primary
            if is_rejecting_unproven(self, now):
                await self._proofs.renew_if_expiring(now)
            if _is_wait_useless(self, now, deadline, for_statements):
                return None
            if is_past_cutoff:
                await self.leadership_state.wait_for_change(
                    DISCOVERY_INTERVAL_S
                )
            elif primary is None:
                await self._find_primary(deadline - now)
            elif not await self.renew_proof():
                await self.leadership_state.wait_for_change(
                    min(DISCOVERY_INTERVAL_S, deadline - now),
                )

    async def fetch_proof_age(self, term: int) -> float:
        """Return the age of this node's proof in seconds; -1 without proof."""
        return await self._proofs.fetch_age(term)

    async def renew_proof(self) -> bool:
        """Renew the leadership proof; return whether it is valid."""
        return await self._proofs.renew()

    async def close_term(
        self,
        term: int,
        may_finish: bool,
        fencing_token: int,
    ) -> None:
        """End a term; changes of it that are answered later are not confirmed.

        `fencing_token` is the revision of the claim that ends the term.

        If `may_finish` is set, running statements get up to
        `TERM_DRAIN_TIMEOUT_S` to finish.  Changes answered after that have an
        unknown outcome.
        """
        await self.leadership_state.end_term(
            term, 'primary change in progress', fencing_token
        )
        if may_finish:
            await self.statements.wait_until_done()
        self.leadership_state.close_term(term)

    async def close(self) -> None:
        """Close idle connections."""
        for handle in self.servers.values():
            await handle.pool.close_idle()

    async def _remove_server(self, handle: ServerHandle) -> None:
        """Remove a server or a previous incarnation of it."""
        self.servers.pop(handle.id)
        self.removed_server_stats.update(asdict(handle.pool.stats))
        handle.is_holder = False
        await handle.pool.close_idle()

    def _is_log_known_nonempty(self, name: str) -> bool:
        """Return whether a server is a primary with a non-empty log."""
        is_sampled = self.history.term == self.leadership_state.term
        is_primary = name == self.leadership_state.primary
        return is_primary and is_sampled and self.history.latest[0] > 0

    def _pick_collector(self) -> Member | None:
        """Return the node that samples for this data centre, if any."""
        is_shared = Policy.SHARED_SAMPLES in self.policies
        return self._proofs.collector if is_shared else None

    async def _sample_primary(self) -> bool:
        """Sample the primary's log position; return whether that succeeded."""
        primary = await self.ensure_primary(
            SAMPLE_TIMEOUT_S, for_statements=False
        )
        if primary is None:
            return False
        started_at = await curio.clock()
        self.counters.count('primary_samples')
        status = await self.query_server(primary)
        position = None if status is None else status.received
        reported = primary.reported_position
        if position is None and reported and reported.asked_at >= started_at:
            # The query was rejected, but the rejection has the log position.
            position = reported.position
        if position is None or position.term != self.leadership_state.term:
            return False
        self.record_position(position, started_at)
        return True

    async def _query_each(self, handles: Iterable[ServerHandle]) -> None:
        async with curio.TaskGroup() as queries:
            for handle in handles:
                await queries.spawn(self.query_server, handle)

    def _list_proof_queries(self) -> list[ProofQuery]:
        """Return one status query per replica, the most promising first."""
        ranked = sorted(
            self.replicas,
            key=lambda handle: (handle.timed_out_at, handle.load),
        )
        return [partial(self.query_server, handle) for handle in ranked]

    async def _find_primary(self, timeout: float) -> None:
        if self.leadership_state.term and not self.leadership_state.has_primary:
            # The node that changes the primary announces the new one.
            await self.leadership_state.wait_for_change(
                min(DISCOVERY_INTERVAL_S, timeout)
            )
        await self.discover_primary()


def _list_holders(
    allocator: ConnectionAllocator,
    own: Member,
    members: Mapping[str, Member],
) -> dict[str, Member]:
    """Return the holders of a group's connections, by name."""
    others = allocator.others
    if not others and allocator.is_holder:
        remaining = list_remaining_nodes(own, members)
        others = [members[name] for name in remaining if name in members]
    holders = {member.name: member for member in others}
    if allocator.is_holder:
        holders[own.name] = own
    return holders


def is_rejecting_unproven(runtime: ServiceRuntime, now: float) -> bool:
    """Return whether statements do not wait for proof of the primary's term.

    In a group with urgent routes that has just failed to get proof, another
    renewal takes longer than their objectives, and callers may reach the
    primary through another node.
    """
    is_urgent = runtime.declaration.has_urgent_routes
    is_known = runtime.primary is not None
    return is_urgent and is_known and is_unproven(runtime.leadership_state, now)


def _is_wait_useless(
    runtime: ServiceRuntime,
    now: float,
    deadline: float,
    for_statements: bool,
) -> bool:
    """Return whether no primary can be had in time by waiting."""
    if not for_statements:
        return now >= deadline
    return (
        now >= deadline
        or _have_all_left(runtime.servers, now)
        or is_rejecting_unproven(runtime, now)
    )


def _has_left(handle: ServerHandle | None, now: float) -> bool:
    return handle is not None and handle.drain_status.is_past_cutoff(now)


def _have_all_left(servers: Mapping[str, ServerHandle], now: float) -> bool:
    """Return whether there are servers and none accepts new statements."""
    return bool(servers) and all(
        handle.drain_status.is_past_cutoff(now) for handle in servers.values()
    )


async def _apply_shares(
    servers: Mapping[str, ServerHandle], shares: RouteShares
) -> None:
    for handle in servers.values():
        await handle.apply_shares(shares)
