"""The keeper of one service: connections, watching and failover.

Any proxy may be the keeper of any service.  Two keepers at a time are safe:
each answer is confirmed by a majority of the databases, and the databases
bound their connections.  Having one makes the shares hold for the fleet.
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
from deckdrum.databases.watch import (
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
#: Silence of a database after which its requests are given up, in seconds.
ROUTE_LOST_AFTER_S: Final = 3.0
#: Silence of most databases after which another keeper is better, in seconds.
MAJORITY_LOST_AFTER_S: Final = 1.0
#: Databases up to which a replica and its primary make a majority.
_MAX_DATABASES_FOR_PAIR_MAJORITY: Final = 3
#: Pause between two looks at the pools, in seconds.
_WARM_UP_INTERVAL_S: Final = 0.05
_DEFAULT_IDLE_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Why a request went where it went, or was refused."""

    at: float
    group: str
    outcome: str
    database: str
    reason: str


@dataclass(frozen=True, slots=True)
class KeeperContext:
    """What a keeper needs of its proxy.

    `ask_peers` asks proxies of other data centres whether they reach a
    database; it returns None if no peer answered.
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
    """Keeps one service.

    Parameters
    ----------
    service : Service
        The declared service.
    document : Document
        The configuration, for the groups' shares.
    around : Surroundings
        What the proxy provides.
    """

    def __init__(
        self,
        service: Service,
        document: Document,
        around: KeeperContext,
    ) -> None:
        self.service = service
        self.around = around
        self.databases = {
            entry.name: around.make_database(entry)
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
            around.data_centre,
        )
        self.decisions: deque[Decision] = deque(maxlen=_MAX_DECISIONS)
        self.is_draining = False
        #: Until when this proxy leaves the service to others.
        self.unavailable_until: float = 0
        #: Whether a caller has ever used the service here.
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
        """Number of channels that hold a connection."""
        return sum(each.is_pinned for each in self._sessions.values())

    async def start(self) -> None:
        """Begin to watch the databases."""
        self.adopt_record()
        await self.watch.start()
        for run in (self.supervisor.run, self._run_warm_up):
            self._tasks.append(await curio.spawn(run, daemon=True))

    async def close(self) -> None:
        """Stop, and close every connection."""
        for task in self._tasks:
            await task.cancel()
        await self.watch.close()
        for pool in self.pools.values():
            await pool.close_idle()

    async def reconfigure(self, service: Service, document: Document) -> bool:
        """Take over a new configuration.

        Returns
        -------
        bool
            False if the databases changed: a new keeper is needed.
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
        """Probe seldom while another proxy keeps the service."""
        is_quiet = is_standby and not self._sessions
        interval = (
            STANDBY_PROBE_INTERVAL_S if is_quiet else IDLE_PROBE_INTERVAL_S
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
        """Cancel what runs on a channel; tell whether it is known."""
        session = self._sessions.get(channel)
        if session is None:
            return False
        await session.cancel()
        return True

    def adopt_record(self) -> None:
        """Take over the agreed term and primary."""
        held = self.around.view.records.get(self.service.name)
        if held is None:
            return
        record = held.record
        is_settled = record.phase is Phase.SETTLED
        self.watch.adopt(record.term, record.primary if is_settled else '')

    async def has_lost(self, route: Route, *, is_heard: bool) -> bool:
        """Tell whether a batch on `route` waits in vain for its answer.

        The group has moved to another term, or the database has been silent
        so long that its link must be gone.  One that `is_heard`, since its
        answer goes on to arrive, is alive although it answers no probe.
        """
        self.adopt_record()
        if self.watch.term != route.term:
            return True
        if is_heard:
            return False
        watcher = self.watch.watchers[route.pool.database.name]
        return watcher.is_silent(await curio.clock(), ROUTE_LOST_AFTER_S)

    async def can_accept_batches(self) -> bool:
        """Tell whether this proxy should take work for the service.

        A proxy with a bad link to the primary, or cut off from most of the
        databases, leaves the service to the next keeper.
        """
        now = await curio.clock()
        if self.is_draining or now < self.unavailable_until:
            return False
        return self.watch.can_reach_majority(now, MAJORITY_LOST_AFTER_S)

    def get_idle_timeout(self, group: str) -> float:
        """Return how long a transaction of `group` may pause, in seconds."""
        declared = self._document.find_group(group)
        if declared is None:
            return _DEFAULT_IDLE_TIMEOUT_S
        return declared.idle_transaction_limit

    async def confirm_read(
        self,
        route: Route,
        trailer: QueryResult | None,
    ) -> Position | None:
        """Return a position that covers what a replica has just shown.

        `trailer` is the replica's state as sent behind the read, if it was.

        With up to three databases a replica and its primary are a majority;
        in larger groups a majority must confirm what the replica showed.
        """
        limit = self.service.confirm_limit
        database = route.pool.database
        state = database.decode_state(trailer) if trailer else None
        if state is None:
            seen = await self.watch.fetch_applied(database.name, limit)
        else:
            seen = Position(state.term, state.applied)
        if (
            seen is None
            or len(self.databases) <= _MAX_DATABASES_FOR_PAIR_MAJORITY
        ):
            return seen
        confirmed = await self.watch.confirm(limit)
        return None if confirmed is None else max(seen, confirmed)

    def record_answered_batch(self, group: str, route: Route) -> None:
        """Count and remember an answered batch."""
        target = 'primary' if route.is_primary else 'replica'
        self.around.metrics.count_batch(
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
        """Count and remember a refused batch."""
        self.around.metrics.count_batch(
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
        """Count an event."""
        self.around.metrics.count(event)

    async def _run_warm_up(self) -> None:
        """Keep a few connections open while callers use the service."""
        while True:
            if self.has_served_callers:
                await self._warm_pools()
            await curio.sleep(_WARM_UP_INTERVAL_S)

    async def _warm_pools(self) -> None:
        for name, pool in self.pools.items():
            if self.watch.read_state(name) is not None:
                await pool.warm()

    def _get_pool_size(self, database: Database) -> int:
        reserved = self.service.reserved_connections
        return database.entry.max_connections - reserved


def _get_group_shares(document: Document) -> Mapping[str, GroupShare]:
    return {
        group.name: GroupShare(group.weight, group.max_waiting)
        for group in document.groups
    }
