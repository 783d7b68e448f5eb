"""Selection of the server for a statement."""

import math
from collections.abc import Container
from dataclasses import dataclass
from operator import itemgetter
from typing import Final

import curio

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.policies import Policy
from deckdrum.load.allocation import rank_replicas
from deckdrum.load.replica_reads import plan_replica_wait
from deckdrum.outcomes import Refusal
from deckdrum.serving.load_reports import LoadReports
from deckdrum.serving.primary_reads import PrimaryReads
from deckdrum.serving.replica_lag import find_creation
from deckdrum.serving.runtime import ServiceRuntime
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.state import Statement
from deckdrum.sessions import Position
from deckdrum.sessions.position import LOG_START

#: Margin below the accepted age for the time until the read reaches the server.
AGE_MARGIN_S: Final = 0.1
#: Fraction of the accepted age after which the primary is sampled again.
SAMPLE_AGE_FRACTION: Final = 0.4
#: Timeout of a read waiting for a sample of the primary, in seconds.
READ_SAMPLE_TIMEOUT_S: Final = 0.15
#: Cost of reading from another data centre as a fraction of the route's
#: objective.  It saves a tenth of the paid traffic between data centres on a
#: calm day (one run each).
REMOTE_COST_FRACTION: Final = 0.1
#: Upper bound for that cost, about three usual statements, so that reads with a
#: long objective do not queue for the local servers ahead of reads with a short
#: one.
MAX_REMOTE_COST_S: Final = 0.05
#: Cost of a borrowed connection: a round trip to the lender and its work.
BORROWING_COST_S: Final = 0.005
#: Cost of reading from the primary, which reserves its capacity for changes.
PRIMARY_COST_S: Final = 0.05
#: Cost of a server that other holders avoid after failures; more than any other
#: cost, so that it is the last choice.
AVOIDED_COST_S: Final = 10.0
#: Expected time of a statement on a server without recent samples.
_DEFAULT_STATEMENT_TIME_S: Final = 0.01
#: Half-life of the mean statement time of a server that is not in use.
_STATEMENT_TIME_HALF_LIFE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """The server chosen for a statement.

    `min_position` is the position that its log must include; None for the
    primary.
    """

    handle: ServerHandle
    min_position: Position | None
    is_primary: bool
    term: int


class Router:
    """Chooses servers of one group for statements.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    data_centre : str
        Data centre of this node.
    """

    def __init__(self, runtime: ServiceRuntime, data_centre: str) -> None:
        self._runtime = runtime
        self._data_centre = data_centre
        #: Load of the servers as other holders see it.
        self.load_reports = LoadReports()
        #: Bounds the reads at the primary.
        self.primary_reads = PrimaryReads(runtime)

    async def choose_primary(self, timeout: float) -> Target | None:
        """Return the primary once its proof is valid; None on timeout."""
        handle = await self._runtime.ensure_primary(timeout)
        if handle is None:
            return None
        return Target(handle, None, True, self._runtime.leadership_state.term)

    async def choose_reader(
        self,
        route: Route,
        statement: Statement,
        excluded_servers: Container[str],
        timeout: float,
        deadline: float,
    ) -> Target | Refusal | None:
        """Return a server that can run a read; None on timeout.

        In a fleet of uneven machines the read waits for a replica that lags, if
        it can still be in time.  A refusal is returned at once if the read
        cannot be in time because of more urgent statements.

        Parameters
        ----------
        route : Route
            Route with the consistency guarantee of the read.
        statement : Statement
            The read; its session's own changes may have to be visible.
        excluded_servers : container of str
            Servers that are running the read or have failed to.
        timeout : float
            Longest wait for a server, in seconds.
        deadline : float
            Time by which the answer must arrive to be in time.
        """
        if route.guarantee is ConsistencyGuarantee.CURRENT:
            return await self.choose_primary(timeout)
        min_position = await self._find_min_position(route, statement)
        if (
            min_position is None
            and Policy.SAMPLE_WAIT in self._runtime.policies
        ):
            # Sampling loads the primary less than running the read there.
            async with curio.ignore_after(min(timeout, READ_SAMPLE_TIMEOUT_S)):
                await self._runtime.samples.sample()
            min_position = await self._find_min_position(route, statement)
        gives_up_at = await curio.clock() + timeout
        if min_position is not None:
            replica = await self._pick_replica(
                min_position,
                excluded_servers,
                route.latency_objective,
                statement.workspace,
            )
            if replica is not None:
                return Target(replica, min_position, False, min_position.term)
            if self._runtime.is_uneven:
                waited_for = await self._wait_for_replica(
                    route,
                    statement,
                    excluded_servers,
                    min(deadline, gives_up_at),
                )
                if waited_for is not None:
                    return waited_for
        return await self._choose_primary_for_read(route, gives_up_at, deadline)

    async def refresh_sample(self, route: Route) -> None:
        """Sample the primary if the latest sample is about to be too old."""
        max_age = route.max_age * SAMPLE_AGE_FRACTION
        if await self._runtime.find_min_position(max_age) is None:
            await self._runtime.samples.sample()

    async def _find_min_position(
        self,
        route: Route,
        statement: Statement,
    ) -> Position | None:
        min_position = await self._runtime.find_min_position(
            route.max_age - AGE_MARGIN_S
        )
        if min_position is None:
            return None
        if route.guarantee is ConsistencyGuarantee.READ_YOUR_WRITES:
            return max(min_position, statement.min_position)
        return max(min_position, LOG_START)

    async def _choose_primary_for_read(
        self, route: Route, gives_up_at: float, deadline: float
    ) -> Target | Refusal | None:
        """Return the primary for a read that no replica can run."""
        primary = self._runtime.primary
        if primary is not None:
            refusal = await self.primary_reads.wait_within_bound(
                primary, route, deadline, gives_up_at
            )
            if refusal is not None:
                return refusal
        return await self.choose_primary(gives_up_at - await curio.clock())

    async def _wait_for_replica(
        self,
        route: Route,
        statement: Statement,
        excluded_servers: Container[str],
        deadline: float,
    ) -> Target | None:
        """Wait until a replica has caught up; None if the read does not wait.

        It does not wait if the primary was preferred to a replica that does not
        lag.
        """
        has_waited = False
        while True:
            # The position that the read needs may have changed meanwhile.
            min_position = await self._find_min_position(route, statement)
            if min_position is None:
                return None
            now = await curio.clock()
            if not has_waited and self._list_current(
                min_position, excluded_servers, now
            ):
                return None
            planned = self._plan_replica_wait(
                min_position, excluded_servers, now, deadline
            )
            if planned is None:
                return None
            wait, replica = planned
            if not wait:
                return Target(replica, min_position, False, min_position.term)
            self._runtime.counters.count('replica_waits')
            await curio.sleep(wait)
            has_waited = True

    def _plan_replica_wait(
        self,
        min_position: Position,
        excluded_servers: Container[str],
        now: float,
        deadline: float,
    ) -> tuple[float, ServerHandle] | None:
        """Return the replica that is the first to catch up, and the wait."""
        created_at = find_creation(self._runtime.history, min_position)
        if created_at is None:
            return None
        planned: list[tuple[float, ServerHandle]] = []
        for handle in self._list_replicas(excluded_servers, now):
            wait = plan_replica_wait(
                created_at,
                handle.replica_lag.find_expected(now) or math.inf,
                handle.response_times.mean,
                now,
                deadline,
            )
            if wait is not None:
                planned.append((wait, handle))
        return min(planned, key=itemgetter(0), default=None)

    def _list_replicas(
        self, excluded_servers: Container[str], now: float
    ) -> list[ServerHandle]:
        """Return the replicas that can run reads if they do not lag."""
        return [
            handle
            for handle in self._runtime.replicas
            if handle.id not in excluded_servers
            and not handle.server.is_draining
            and not handle.is_backing_off(now)
        ]

    def _list_current(
        self,
        min_position: Position,
        excluded_servers: Container[str],
        now: float,
    ) -> list[ServerHandle]:
        """Return the replicas that were not found to lack a position."""
        return [
            handle
            for handle in self._list_replicas(excluded_servers, now)
            if not handle.replica_lag.is_behind(min_position, now)
        ]

    async def _pick_replica(
        self,
        min_position: Position,
        excluded_servers: Container[str],
        objective: float,
        workspace: str,
    ) -> ServerHandle | None:
        now = await curio.clock()
        remote_cost = min(REMOTE_COST_FRACTION * objective, MAX_REMOTE_COST_S)
        if Policy.NEAR_READS not in self._runtime.policies:
            remote_cost = 0
        candidates = self._list_current(min_position, excluded_servers, now)
        primary = self._runtime.primary
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda handle: self._rank(handle, now, remote_cost, workspace),
        )
        if primary is None or primary.server.is_draining:
            return best
        # An idle primary is preferred to a busy replica.  The cost of another
        # data centre is left out: it does not justify loading the primary.
        primary_cost = self._rank(primary, now, 0, workspace) + PRIMARY_COST_S
        return (
            None if primary_cost < self._rank(best, now, 0, workspace) else best
        )

    def _is_preferred(self, handle: ServerHandle, workspace: str) -> bool:
        """Return whether a server is the first choice while all are idle.

        Reads of a workspace prefer one replica, so that its connections there
        are reused; other reads prefer the local data centre.
        """
        policies = self._runtime.policies
        if not workspace or Policy.WORKSPACE_REPLICAS not in policies:
            return handle.server.data_centre == self._data_centre
        replicas = [replica.id for replica in self._runtime.replicas]
        return rank_replicas(workspace, replicas)[:1] == [handle.id]

    def _rank(
        self,
        handle: ServerHandle,
        now: float,
        remote_cost: float,
        workspace: str,
    ) -> float:
        """Return the expected cost of a read in seconds.

        `remote_cost` is added for a server that is not preferred, and the time
        to open a connection if the workspace has no idle one.  The load that
        other holders report counts like that of this node.
        """
        idle_time = max(0, now - handle.answered_at)
        decay = math.exp2(-idle_time / _STATEMENT_TIME_HALF_LIFE_S)
        expected = max(_DEFAULT_STATEMENT_TIME_S, handle.mean_time * decay)
        others = self.load_reports.summarize(handle.id, now)
        if idle_time > _STATEMENT_TIME_HALF_LIFE_S:
            expected = max(expected, others.mean_time)
        load = handle.load + others.load
        remote = 0 if self._is_preferred(handle, workspace) else remote_cost
        borrowing = 0 if handle.is_holder else BORROWING_COST_S
        connecting = _estimate_connect_time(handle, workspace)
        if not handle.has_answered(others.failed_at):
            remote += AVOIDED_COST_S
        return (load + 1) * expected + remote + borrowing + connecting


def _estimate_connect_time(handle: ServerHandle, workspace: str) -> float:
    """Return the time to open a connection for a workspace, in seconds.

    It is 0 if an idle connection exists or connections belong to no workspace.
    """
    if not workspace or handle.pool.has_idle(workspace):
        return 0
    return handle.own.mean_connect_time
