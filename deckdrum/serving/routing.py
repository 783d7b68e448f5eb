"""Choosing the server for a statement."""

import math
from collections.abc import Container
from dataclasses import dataclass
from typing import Final

import curio

from deckdrum.control import ConsistencyGuarantee, Route
from deckdrum.fleet.policies import Policy
from deckdrum.load.placement import rank_replicas
from deckdrum.serving.servers import ServerHandle
from deckdrum.serving.service import ServiceRuntime
from deckdrum.serving.state import SessionState
from deckdrum.sessions import Position
from deckdrum.sessions.position import NOWHERE

#: Safety margin under the accepted age, in seconds: time that a read may
#: wait in the server's queue does not count, the way there does.
AGE_MARGIN_S: Final = 0.1
#: Part of the accepted age after which a new sample of the primary is taken.
SAMPLE_AGE_FRACTION: Final = 0.4
#: Longest wait of a read for a sample of the primary, in seconds.
SAMPLE_WAIT: Final = 0.15
#: What another data centre costs beside a server's time, as a part of the
#: route's objective: a read waits as long for a near server if that leaves it
#: well within its time, since the bytes of its answer are paid for.  Saves a
#: tenth of the bytes between data centres on a calm day (one run each).
REMOTE_COST_FRACTION: Final = 0.1
#: The most that it counts, in seconds: about three times a usual statement, so
#: that reads with much time do not queue where others have little.
MAX_REMOTE_COST_S: Final = 0.05
#: What a borrowed connection costs beside, in seconds: the messages of a loan,
#: there and back, and the work of two nodes.  An estimate, not measured.
BORROWING_COST_S: Final = 0.005
#: What the primary costs beside its time, in seconds; it alone can change
#: data, so reads leave it alone while replicas have room.
PRIMARY_COST_S: Final = 0.05
#: Time of a statement that is expected of a server without samples, in s.
_DEFAULT_STATEMENT_TIME_S: Final = 0.01
#: Time in which what was learnt of a server fades by half, in seconds.
_STATEMENT_TIME_HALF_LIFE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """Where a statement goes.

    `floor` is what the server's log must include; None at the primary,
    whose log has everything.
    """

    handle: ServerHandle
    floor: Position | None
    is_primary: bool
    term: int


class Router:
    """Chooses servers of one group.

    Parameters
    ----------
    runtime : ServiceRuntime
        The group.
    data_centre : str
        Where this node runs.
    """

    def __init__(self, runtime: ServiceRuntime, data_centre: str) -> None:
        self._runtime = runtime
        self._data_centre = data_centre

    async def choose_primary(self, limit: float) -> Target | None:
        """Return the primary with valid proof, or None after `limit` s."""
        handle = await self._runtime.ensure_primary(limit)
        if handle is None:
            return None
        return Target(handle, None, True, self._runtime.leadership_state.term)

    async def choose_reader(
        self,
        route: Route,
        state: SessionState,
        excluded_servers: Container[str],
        limit: float,
    ) -> Target | None:
        """Return a server that may run a read, or None after `limit` s.

        Parameters
        ----------
        route : Route
            Whose guarantee binds.
        state : SessionState
            The session, for its own changes.
        passed_over : container of str
            Servers that were tried in vain.
        limit : float
            Longest wait for the primary in seconds.
        """
        if route.guarantee is ConsistencyGuarantee.CURRENT:
            return await self.choose_primary(limit)
        floor = await self._find_floor(route, state)
        if floor is None and Policy.SAMPLE_WAIT in self._runtime.policies:
            # A sample costs the primary less than the read would.
            async with curio.ignore_after(min(limit, SAMPLE_WAIT)):
                await self._runtime.samples.take()
            floor = await self._find_floor(route, state)
        if floor is not None:
            replica = await self._pick_replica(
                floor,
                excluded_servers,
                route.objective,
                state.workspace,
            )
            if replica is not None:
                return Target(replica, floor, False, floor.term)
        return await self.choose_primary(limit)

    async def refresh_sample(self, route: Route) -> None:
        """Sample the primary if bounded reads will need it soon."""
        wanted = route.max_age * SAMPLE_AGE_FRACTION
        if await self._runtime.find_floor(wanted) is None:
            await self._runtime.samples.take()

    async def _find_floor(
        self,
        route: Route,
        state: SessionState,
    ) -> Position | None:
        floor = await self._runtime.find_floor(route.max_age - AGE_MARGIN_S)
        if floor is None:
            return None
        if route.guarantee is ConsistencyGuarantee.READ_YOUR_WRITES:
            return max(floor, state.floor)
        return max(floor, NOWHERE)

    async def _pick_replica(
        self,
        floor: Position,
        excluded_servers: Container[str],
        objective: float,
        workspace: str,
    ) -> ServerHandle | None:
        now = await curio.clock()
        distance = min(REMOTE_COST_FRACTION * objective, MAX_REMOTE_COST_S)
        if Policy.NEAR_READS not in self._runtime.policies:
            distance = 0
        fitting = [
            handle
            for handle in self._runtime.replicas
            if handle.id not in excluded_servers
            and not handle.server.is_draining
            and not handle.is_avoided(now)
            and not handle.lag.is_behind(floor, now)
        ]
        primary = self._runtime.primary
        if not fitting:
            return None
        best = min(
            fitting,
            key=lambda handle: self._rank(handle, now, distance, workspace),
        )
        if primary is None or primary.server.is_draining:
            return best
        # A busy replica leaves the read to an idle primary.
        # Distance does not count here: bytes are no reason to load a primary.
        cost = self._rank(primary, now, 0, workspace) + PRIMARY_COST_S
        return None if cost < self._rank(best, now, 0, workspace) else best

    def _is_preferred(self, handle: ServerHandle, workspace: str) -> bool:
        """Tell whether a server is the first choice while all are idle.

        A workspace keeps to one replica, so that its connections there stay in
        use; reads of nobody's go to the nearest.
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
        distance: float,
        workspace: str,
    ) -> float:
        """Return the expected cost of a read in seconds.

        `distance` is what another data centre costs.  Without an open
        connection of the workspace it costs the time to open one.
        """
        idle = max(0, now - handle.answered_at)
        fade = math.exp2(-idle / _STATEMENT_TIME_HALF_LIFE_S)
        usual = max(_DEFAULT_STATEMENT_TIME_S, handle.usual_time * fade)
        way = 0 if self._is_preferred(handle, workspace) else distance
        hop = 0 if handle.is_holder else BORROWING_COST_S
        opening = _find_opening(handle, workspace)
        return (handle.load + 1) * usual + way + hop + opening


def _find_opening(handle: ServerHandle, workspace: str) -> float:
    """Return how long a connection of a workspace takes to open, in seconds.

    That is nothing if one is open, and where there are no workspaces.
    """
    if not workspace or handle.pool.has_idle(workspace):
        return 0
    return handle.own.mean_connect_time
