"""Routing of batches to databases."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import partial
from typing import Final

import curio

from deckdrum.configuration.models import Service
from deckdrum.databases.base import DatabasePool, DatabaseState, Role
from deckdrum.databases.monitor import ServiceWatch
from deckdrum.fleet.messages import RunBatch
from deckdrum.keepers.access import Access
from deckdrum.outcomes import Code, Refusal, refuse
from deckdrum.sessions import Position

#: Delay before a position is requested again after a change of term.
_TERM_POLL_INTERVAL_S: Final = 0.01


class Reason(StrEnum):
    """Reason for a routing decision; shown by ``deckdrumctl explain``."""

    WRITE = 'change'
    REPLICA = 'replica fresh enough'
    REPLICA_AFTER_WAIT = 'replica after a wait'
    NO_REPLICA = 'no replica fresh enough in time'

    @property
    def is_change(self) -> bool:
        """Whether the batch may write."""
        return self is Reason.WRITE


@dataclass(frozen=True, slots=True)
class Route:
    """Routing decision for a batch."""

    pool: DatabasePool
    is_primary: bool
    term: int
    reason: Reason
    access: Access = Access.WRITE


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """Data that a replica must have to serve a read."""

    min_position: Position
    max_age: float | None


class Router:
    """Chooses a database of one service for each batch.

    Parameters
    ----------
    service : Service
        The service's configuration.
    watch : ServiceWatch
        States of its databases.
    pools : mapping of str to DatabasePool
        Connection pool of each database.
    data_centre : str
        Data centre of the keeper, whose databases are preferred.
    """

    def __init__(
        self,
        service: Service,
        watch: ServiceWatch,
        pools: Mapping[str, DatabasePool],
        data_centre: str,
    ) -> None:
        self._service = service
        self.watch = watch
        self.pools = pools
        self._data_centre = data_centre
        #: Databases that the platform is about to remove.
        self.leaving: frozenset[str] = frozenset()

    def reconfigure(self, service: Service) -> None:
        """Apply a new configuration of the service."""
        self._service = service

    async def choose(
        self,
        batch: RunBatch,
        access: Access,
        timeout: float,
    ) -> Route | Refusal:
        """Return the route of a batch.

        Parameters
        ----------
        batch : RunBatch
            The batch.
        access : Access
            Consistency that the batch requires.
        timeout : float
            Longest wait in seconds.
        """
        if access is Access.WRITE:
            return await self.choose_primary(Reason.WRITE, timeout)
        route = await self._choose_read_route(batch, access, timeout)
        if isinstance(route, Refusal):
            return route
        return replace(route, access=access)

    async def choose_primary(
        self,
        reason: Reason,
        timeout: float,
    ) -> Route | Refusal:
        """Return the route to the primary; wait until there is one."""
        find = partial(self._find_primary_route, reason)
        route = await self.watch.probe_until(find, timeout)
        if route is None:
            return refuse(Code.NO_PRIMARY, f'service {self._service.name}')
        return route

    async def _choose_read_route(
        self,
        batch: RunBatch,
        access: Access,
        timeout: float,
    ) -> Route | Refusal:
        min_position = Position(*batch.floor)
        max_age: float | None = batch.max_age
        if access is Access.CURRENT:
            confirmed = await self._confirm(timeout)
            if confirmed is None:
                return refuse(Code.READ_NOT_POSSIBLE, 'no majority answers')
            min_position = max(min_position, confirmed)
            max_age = None
        return await self._choose_reader(
            ReadRequirement(min_position, max_age), timeout
        )

    async def _confirm(self, timeout: float) -> Position | None:
        """Return a confirmed position; retry if the term changes."""
        async with curio.ignore_after(timeout):
            while True:
                confirmed = await self.watch.confirm(self.watch.term, timeout)
                if confirmed is not None:
                    return confirmed
                # The read has not run yet, so it can be confirmed in the next
                # term.
                await curio.sleep(_TERM_POLL_INTERVAL_S)
        return None

    async def _choose_reader(
        self, requirement: ReadRequirement, timeout: float
    ) -> Route | Refusal:
        find = partial(self._find_replica, requirement, await curio.clock())
        pool = find()
        reason = Reason.REPLICA
        if pool is None:
            wait = min(timeout, self._service.catch_up_limit)
            # `find` bounds the age relative to the start of the wait, so the
            # wait itself does not count as age.
            pool = await self.watch.probe_until(find, wait)
            reason = Reason.REPLICA_AFTER_WAIT
        if pool is not None:
            return Route(pool, False, self.watch.term, reason)
        if requirement.min_position.term > self.watch.term:
            return refuse(Code.READ_NOT_POSSIBLE, 'the keeper lags behind')
        return await self.choose_primary(Reason.NO_REPLICA, timeout)

    def _find_primary_route(self, reason: Reason) -> Route | None:
        state = self.watch.get_state(self.watch.primary)
        if state is None or state.role is not Role.PRIMARY:
            return None
        if not state.is_in_term(self.watch.term):
            return None
        pool = self.pools.get(self.watch.primary)
        if pool is None:
            return None
        return Route(pool, True, self.watch.term, reason)

    def _find_replica(
        self, requirement: ReadRequirement, now: float
    ) -> DatabasePool | None:
        eligible = [
            pool
            for name, pool in self.pools.items()
            if self._meets_requirement(name, requirement, now)
        ]
        if not eligible:
            return None
        return min(eligible, key=self._rank)

    def _meets_requirement(
        self, name: str, requirement: ReadRequirement, now: float
    ) -> bool:
        state = self.watch.get_state(name)
        if state is None or not self._can_serve_reads(name, state):
            return False
        if (
            requirement.min_position.term > state.term
            or requirement.min_position.offset > state.applied
        ):
            return False
        if requirement.max_age is None:
            return True
        age = self.watch.history.bound_age(state.applied, now)
        return age <= requirement.max_age

    def _can_serve_reads(self, name: str, state: DatabaseState) -> bool:
        if state.leaving or name in self.leaving:
            return False
        is_replica = state.role is Role.REPLICA
        return is_replica and state.is_in_term(self.watch.term)

    def _rank(self, pool: DatabasePool) -> tuple[bool, int, bool, str]:
        entry = pool.database.entry
        is_busy = pool.queue.is_busy
        is_far = entry.data_centre != self._data_centre
        load = pool.queue.held + pool.queue.waiting
        return (is_busy, load if is_busy else 0, is_far, entry.name)
