"""Keeper of one service: connection pools, health probes and failover.

A keeper is the proxy that runs a service's batches for the whole fleet.  Any
proxy can be the keeper of any service.  Two keepers at the same time are safe
because a majority of the databases confirms each answer and each database
limits its connections; with a single one, shares are enforced fleet-wide.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Final

import curio

from deckdrum.backends.pool import Pool
from deckdrum.configuration import Document, Service
from deckdrum.databases import Database, QueryResult
from deckdrum.databases.base import DatabasePool
from deckdrum.databases.monitor import (
    IDLE_PROBE_INTERVAL_S,
    STANDBY_PROBE_INTERVAL_S,
    ServiceWatch,
)
from deckdrum.fleet.base import Message
from deckdrum.fleet.channels import Channel
from deckdrum.fleet.messages import OpenChannel
from deckdrum.keepers.routing import Route, Router
from deckdrum.keepers.sessions import KeeperSession
from deckdrum.keepers.supervision import Supervisor
from deckdrum.members import GroupShare
from deckdrum.outcomes import Refusal
from deckdrum.sessions import Position
from deckdrum.store.records import Phase
from deckdrum.store.view import StoreView
from deckdrum.utils import Journal
from deckdrum.utils.metrics import Metrics

#: Decisions kept for ``deckdrumctl explain``.
_MAX_DECISIONS: Final = 500
#: A running batch is abandoned if its database is unresponsive for this long.
ROUTE_LOST_AFTER_S: Final = 3.0
#: A keeper rejects batches without contact to a majority for this long.
MAJORITY_LOST_AFTER_S: Final = 1.0
#: Largest group in which a replica and the primary form a majority.
_MAX_DATABASES_FOR_PAIR_MAJORITY: Final = 3
_WARM_UP_INTERVAL_S: Final = 0.05
_DEFAULT_IDLE_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Routing decision or refusal of one batch."""

    at: float
    group: str
    outcome: str
    database: str
    reason: str


@dataclass(frozen=True, slots=True)
class KeeperContext:
    """Dependencies of a keeper, provided by its proxy.

    `ask_peers` takes a service and a database, and asks proxies in other data
    centres whether they can reach it; it returns None if no peer answered.
    """

    proxy: str
    data_centre: str
    view: StoreView
    journal: Journal
    metrics: Metrics
    randomness: Random
    make_database: Callable[[Any], Database]
    ask_peers: Callable[[str, str], Awaitable[bool | None]]


class Keeper:
    """Runs the batches of one service on its databases.

    Parameters
    ----------
    service : Service
        The service's configuration.
    document : Document
        The whole configuration, which defines the groups' shares.
    context : KeeperContext
        Dependencies provided by the proxy.
    """

    def __init__(
        self,
        service: Service,
        document: Document,
        context: KeeperContext,
    ) -> None:
        self.service = service
        self.context = context
        self.databases = {
            entry.name: context.make_database(entry)
            for entry in service.databases
        }
        self.watch = ServiceWatch(self.databases.values())
        self._shares = _get_group_shares(document)
        self._document = document
        self.pools: dict[str, DatabasePool] = {
            name: Pool(database, self._get_pool_size(database), self._shares)
            for name, database in self.databases.items()
        }
        self.router = Router(
            service,
            self.watch,
            self.pools,
            context.data_centre,
        )
        self.decisions: deque[Decision] = deque(maxlen=_MAX_DECISIONS)
        self.is_draining = False
        #: Time until which this proxy rejects the service's batches.
        self.unavailable_until: float = 0
        #: Whether any caller has opened a channel.
        self.has_served_callers = False
        self.supervisor = Supervisor(self)
        self._sessions: dict[str, KeeperSession] = {}
        self._tasks: list[Any] = []

    @property
    def sessions(self) -> int:
        """Number of open channels."""
        return len(self._sessions)

    @property
    def pinned(self) -> int:
        """Number of channels with an open transaction."""
        return sum(each.is_pinned for each in self._sessions.values())

    async def start(self) -> None:
        """Start the probes, the supervisor and the pool warm-up."""
        self.apply_group_record()
        await self.watch.start()
        for run in (self.supervisor.run, self._run_warm_up):
            self._tasks.append(await curio.spawn(run, daemon=True))

    async def close(self) -> None:
        """Stop all tasks and close idle connections."""
        for task in self._tasks:
            await task.cancel()
        await self.watch.close()
        for pool in self.pools.values():
            await pool.close_idle()

    async def reconfigure(self, service: Service, document: Document) -> bool:
        """Apply a new configuration.

        Returns False if the databases changed, which requires a new keeper.
        """
        if service.databases != self.service.databases:
            return False
        self.service = service
        self._document = document
        self._shares = _get_group_shares(document)
        self.router.reconfigure(service)
        for pool in self.pools.values():
            slots = self._get_pool_size(pool.database)
            await pool.queue.resize(slots, self._shares)
        return True

    def set_standby(self, is_standby: bool) -> None:
        """Reduce the probe rate while another proxy is the keeper."""
        is_inactive = is_standby and not self._sessions
        interval = (
            STANDBY_PROBE_INTERVAL_S if is_inactive else IDLE_PROBE_INTERVAL_S
        )
        self.watch.idle_interval = interval

    async def serve(
        self,
        channel: Channel,
        opened: OpenChannel,
    ) -> Message | None:
        """Run the batches of a channel; see `KeeperSession.run`."""
        session = KeeperSession(self, channel, opened)
        self._sessions[opened.channel] = session
        self.has_served_callers = True
        try:
            return await session.run()
        finally:
            self._sessions.pop(opened.channel, None)

    async def cancel(self, channel: str) -> bool:
        """Cancel the statement on a channel; return whether it is open."""
        session = self._sessions.get(channel)
        if session is None:
            return False
        await session.cancel()
        return True

    def apply_group_record(self) -> None:
        """Apply the term and, once settled, the primary of the record."""
        current = self.context.view.records.get(self.service.name)
        if current is None:
            return
        record = current.record
        is_settled = record.phase is Phase.SETTLED
        self.watch.apply_leadership(
            record.term, record.primary if is_settled else ''
        )

    async def is_route_lost(self, route: Route, *, is_receiving: bool) -> bool:
        """Whether a batch on `route` can no longer expect an answer.

        This is so if the group is in another term or the database has been
        unresponsive for `ROUTE_LOST_AFTER_S`.  If answer data is still
        arriving (`is_receiving`), unanswered probes are ignored.
        """
        self.apply_group_record()
        if self.watch.term != route.term:
            return True
        if is_receiving:
            return False
        watcher = self.watch.watchers[route.pool.database.name]
        return watcher.is_unresponsive(await curio.clock(), ROUTE_LOST_AFTER_S)

    def has_term_ended(self, route: Route) -> bool:
        """Whether a route leads to the primary of a term that has ended."""
        self.apply_group_record()
        return route.is_primary and route.term != self.watch.term

    async def can_accept_batches(self) -> bool:
        """Whether this proxy should run batches of the service.

        A proxy that is draining, or that cannot reach the primary or a
        majority of the databases, leaves the service to the next keeper.
        """
        now = await curio.clock()
        if self.is_draining or now < self.unavailable_until:
            return False
        return self.watch.can_reach_majority(now, MAJORITY_LOST_AFTER_S)

    def get_idle_timeout(self, group: str) -> float:
        """Return the idle transaction timeout of `group`, in seconds."""
        declared = self._document.find_group(group)
        if declared is None:
            return _DEFAULT_IDLE_TIMEOUT_S
        return declared.idle_transaction_limit

    async def confirm_read(
        self,
        route: Route,
        trailer: QueryResult | None,
    ) -> Position | None:
        """Return a position that includes everything a replica read returned.

        `trailer` is the result of the state query pipelined after the read,
        if there was one.

        With up to three databases, a replica and the primary form a majority.
        In larger groups a majority must confirm, in the term of the route, what
        the replica returned: a later term may have discarded it.
        """
        timeout = self.service.confirm_limit
        database = route.pool.database
        state = database.decode_state(trailer) if trailer else None
        if state is None:
            read_position = await self.watch.fetch_applied(
                database.name, timeout
            )
        else:
            read_position = Position(state.term, state.applied)
        if (
            read_position is None
            or len(self.databases) <= _MAX_DATABASES_FOR_PAIR_MAJORITY
        ):
            return read_position
        confirmed = await self.watch.confirm(route.term, timeout)
        return None if confirmed is None else max(read_position, confirmed)

    def record_answered_batch(self, group: str, route: Route) -> None:
        """Record the decision and metrics of an answered batch."""
        target = 'primary' if route.is_primary else 'replica'
        self.context.metrics.count_batch(
            self.service.name,
            group,
            route.access.value,
            target,
            'done',
        )
        self.decisions.append(
            Decision(
                self.watch.last_probe,
                group,
                'done',
                route.pool.database.name,
                route.reason.value,
            ),
        )

    def record_refused_batch(self, group: str, refusal: Refusal) -> None:
        """Record the decision and metrics of a refused batch."""
        self.context.metrics.count_batch(
            self.service.name,
            group,
            'any',
            'none',
            refusal.fate.value,
        )
        self.decisions.append(
            Decision(
                self.watch.last_probe,
                group,
                refusal.fate.value,
                '',
                f'{refusal.code}: {refusal.text}',
            ),
        )

    def count(self, event: str) -> None:
        """Increment the counter of `event`."""
        self.context.metrics.count(event)

    async def _run_warm_up(self) -> None:
        """Keep some connections open once callers use the service."""
        while True:
            if self.has_served_callers:
                await self._warm_pools()
            await curio.sleep(_WARM_UP_INTERVAL_S)

    async def _warm_pools(self) -> None:
        for name, pool in self.pools.items():
            if self.watch.get_state(name) is not None:
                await pool.warm()

    def _get_pool_size(self, database: Database) -> int:
        reserved = self.service.reserved_connections
        return database.entry.max_connections - reserved


def _get_group_shares(document: Document) -> Mapping[str, GroupShare]:
    return {
        group.name: GroupShare(group.weight, group.max_waiting)
        for group in document.groups
    }
