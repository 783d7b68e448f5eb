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
from deckdrum.backends.history import History
from deckdrum.control import ControlStore, Member, Route, ServiceDeclaration
from deckdrum.control.departures import Departure
from deckdrum.fleet.borrowing import LoanBackend, OwnBackend
from deckdrum.fleet.nodes import NodePeers
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.leadership.belief import LeadershipBelief
from deckdrum.load.placement import USEFUL_CONNECTIONS
from deckdrum.members import GroupShare
from deckdrum.serving.holding import Holding, Terms, list_staying
from deckdrum.serving.proofs import ProofSources, Source
from deckdrum.serving.samples import SAMPLE_LIMIT, PrimarySampler
from deckdrum.serving.servers import ServerHandle
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: Weight of a group of callers by the priority of its route; 0 is the most
#: urgent.  Twice the weight gets twice the connections when all wait.
PRIORITY_WEIGHTS: Final = (4.0, 2.0, 1.0)
#: Requests of one group that may wait for one server.
MAX_WAITING: Final = 64
#: Pause between two rounds of questions to all servers, in seconds.
DISCOVERY_PAUSE: Final = 0.05
#: Longest wait for statements under way when a term ends, in seconds; most
#: statements take 6 to 60 ms.
FINISH_LIMIT: Final = 0.12
_FINISH_POLL: Final = 0.005


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
        self.belief = LeadershipBelief(declaration.name, journal)
        self.history = History()
        self.journal = journal
        self.counters = counters
        #: Called with a server that has just failed.
        self.on_trouble: Callable[[ServerHandle], None] | None = None
        #: Whether this node is changing the primary.
        self.is_changing = False
        #: Which nodes hold the group's connections.
        self.holding = Holding(declaration.name, peers, policies)
        #: Statements at the primary that have no answer yet.
        self.in_flight = 0
        self._make_backend = make_backend
        self._peers = peers
        self._proofs = ProofSources(
            self.belief,
            self._list_questions,
            store,
            peers,
            journal,
            counters,
        )
        self._shares: dict[str, GroupShare] = {}
        #: What became of connections to servers that are gone.
        self.former_connections: Counter[str] = Counter()
        self._discovered_at = float('-inf')
        #: Samples of the primary, taken once for many callers.
        self.samples = PrimarySampler(
            self.belief,
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
        if not self.belief.has_primary:
            return None
        return self.servers.get(self.belief.primary)

    @property
    def replicas(self) -> list[ServerHandle]:
        """Every server but the believed primary."""
        return [
            handle
            for name, handle in self.servers.items()
            if name != self.belief.primary
        ]

    def has_log(self, name: str, end: Position) -> bool:
        """Tell whether a server with a log up to `end` may lead.

        One that has started again, empty, may do so only once it has the log
        as far as it is known here: all that was acknowledged would be lost.
        """
        if not self.belief.has_restarted(name):
            return True
        known = Position(self.history.term, self.history.latest[0])
        return known > NOWHERE and end >= known

    async def adopt_servers(
        self,
        listed: Mapping[str, BackendServer],
        find_departure: Callable[[str], Departure],
    ) -> None:
        """Take over the servers of this group from the directory.

        `find_departure` tells of a server's planned end.
        """
        for name, server in listed.items():
            handle = self.servers.get(name)
            if handle is not None and not server.is_life_of(handle.server):
                # Its connections, positions and times are of a former life.
                await self._drop(handle)
                handle = None
            if handle is None:
                own = OwnBackend(self._make_backend(server))
                own.is_known_to_hold = partial(self._is_known_to_hold, name)
                handle = ServerHandle(
                    own,
                    LoanBackend(own, self._peers.loans, self._peers.health),
                    USEFUL_CONNECTIONS,
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
        await self.belief.adopt_servers(self.servers, starts)

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
        terms = Terms(
            declaration.max_connections,
            workspaces,
            dict(members),
            frozenset(
                (handle.id, handle.server.started_at)
                for handle in self.servers.values()
            ),
        )
        if self.holding.is_dealt(terms):
            return
        if Policy.SHARED_PROOF in self.policies:
            staying = list_staying(own, members)
            self._proofs.pick_collector(own, members, staying)
        await self.holding.deal(terms, own, self.servers, self._shares)

    async def admit_group(self, route: Route) -> None:
        """Give the callers of a route their share of the connections."""
        place = min(route.priority, len(PRIORITY_WEIGHTS) - 1)
        share = GroupShare(PRIORITY_WEIGHTS[max(0, place)], MAX_WAITING)
        if self._shares.get(route.database) == share:
            return
        self._shares[route.database] = share
        for handle in self.servers.values():
            await handle.adopt_shares(self._shares)

    def note_position(self, position: Position, started_at: float) -> None:
        """Note where the primary's log stood after `started_at`."""
        if position.term == self.belief.term:
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
        status = await handle.ask_status()
        if status is None:
            self.journal.record_often(
                'server.unanswered',
                service=self.name,
                server=handle.id,
                reason=handle.fault,
            )
            self.report_trouble(handle)
            return None
        await self.belief.note_status(handle.id, status, asked_at)
        return status

    def report_trouble(self, handle: ServerHandle) -> None:
        """Have a failed server looked at."""
        if self.on_trouble is not None:
            self.on_trouble(handle)

    async def discover(self) -> None:
        """Look for a primary, unless that was done a moment ago.

        The server that says in the directory that it leads is asked first,
        and the others only if it does not: many nodes ask when all of them
        start.
        """
        now = await curio.clock()
        if now - self._discovered_at < DISCOVERY_PAUSE:
            await curio.sleep(DISCOVERY_PAUSE)
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
            if primary and not is_barred and self.belief.is_valid(now):
                await self._proofs.renew_early(now)
                return primary
            # Where all have left there is nothing to wait for.
            is_hopeless = for_work and _have_all_left(self.servers, now)
            if now >= deadline or is_hopeless:
                return None
            if is_barred:
                await self.belief.wait_changed(DISCOVERY_PAUSE)
            elif primary is None:
                await self._look_for_primary(deadline - now)
            elif not await self.prove():
                await self.belief.wait_changed(
                    min(DISCOVERY_PAUSE, deadline - now),
                )

    async def tell_proof(self, term: int) -> float:
        """Return the age of this node's proof in seconds; -1 without any."""
        return await self._proofs.tell_age(term)

    async def prove(self) -> bool:
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
        await self.belief.end_term(term, 'a node changes the primary', fence)
        async with curio.ignore_after(FINISH_LIMIT):
            while may_finish and self.in_flight:
                await curio.sleep(_FINISH_POLL)
        self.belief.close_term(term)

    async def close(self) -> None:
        """Close idle connections."""
        for handle in self.servers.values():
            await handle.pool.close_idle()

    async def _drop(self, handle: ServerHandle) -> None:
        """Use a server, or a former life of it, no more."""
        self.servers.pop(handle.id)
        self.former_connections.update(asdict(handle.pool.figures))
        handle.is_holder = False
        await handle.pool.close_idle()

    def _is_known_to_hold(self, name: str) -> bool:
        """Tell whether a server leads with a log that is not empty."""
        is_sampled = self.history.term == self.belief.term
        is_primary = name == self.belief.primary
        return is_primary and is_sampled and self.history.latest[0] > 0

    def _pick_collector(self) -> Member | None:
        """Return the node of this data centre that samples for all, if any."""
        is_shared = Policy.SHARED_SAMPLES in self.policies
        return self._proofs.collector if is_shared else None

    async def _ask_primary(self) -> bool:
        """Ask the primary where its log stands; tell whether it said so."""
        primary = await self.ensure_primary(SAMPLE_LIMIT, for_work=False)
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
        if position is None or position.term != self.belief.term:
            return False
        self.note_position(position, started_at)
        return True

    async def _ask_each(self, handles: Iterable[ServerHandle]) -> None:
        async with curio.TaskGroup() as asking:
            for handle in handles:
                await asking.spawn(self.ask, handle)

    def _list_questions(self) -> list[Source]:
        """Return a question to each replica, the best first."""
        ranked = sorted(
            self.replicas,
            key=lambda handle: (handle.silent_at, handle.load),
        )
        return [partial(self.ask, handle) for handle in ranked]

    async def _look_for_primary(self, limit: float) -> None:
        if self.belief.term and not self.belief.has_primary:
            # Whoever changes the primary announces it.
            await self.belief.wait_changed(min(DISCOVERY_PAUSE, limit))
        await self.discover()


def _has_left(handle: ServerHandle | None, now: float) -> bool:
    return handle is not None and handle.departure.has_left(now)


def _have_all_left(servers: Mapping[str, ServerHandle], now: float) -> bool:
    """Tell whether a group has servers, and none that gets new work."""
    return bool(servers) and all(
        handle.departure.has_left(now) for handle in servers.values()
    )
