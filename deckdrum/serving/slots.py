"""The gate of a server: statements wait here until it has a slot for them.

A statement acquires its connection first and its slot second.  Nothing that has
a slot waits for a connection, so the two cannot deadlock.
"""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from deckdrum.backends import BackendServer, NoFreeConnectionError
from deckdrum.fleet.borrowing import DirectBackend
from deckdrum.load.slots import (
    GateEntry,
    SlotDemand,
    count_preferred,
    select_admitted,
)
from deckdrum.members import LOAN_PREFIX

#: Longest wait of a new connection for a slot, in seconds.  An idle connection
#: may become free meanwhile, and the statement has to wait for a slot again.
OPENING_SLOT_TIMEOUT_S: Final = 0.15
#: A statement without an answer for this multiple of the time within which
#: nearly every answer arrives is presumed to have left its slot: its answer is
#: lost.  Otherwise one lost answer would stop a holder with a part of 1.
LOST_ANSWER_FACTOR: Final = 2
#: Interval at which a waiting statement looks for lost answers.
_RECHECK_INTERVAL_S: Final = 0.02
#: Priority of connections that are opened for callers without a known route.
_DEFAULT_PRIORITY: Final = 1


class NoSlotError(NoFreeConnectionError):
    """No connection is opened because the server had no slot in time."""


@dataclass(slots=True, eq=False)
class SlotPermit:
    """The right to have one statement in flight, until `SlotGate.release`.

    `granted_at` is a time of `curio.clock`.
    """

    priority: int
    granted_at: float
    is_released: bool = False


@dataclass(slots=True, eq=False)
class _Waiter:
    entry: GateEntry
    ready: Any = field(default_factory=curio.Event)
    permit: SlotPermit | None = None


def _allow_any(now: float) -> float:
    return float('inf')


def _expect_any_time() -> float:
    return float('inf')


async def _ignore_demand() -> None:
    """Do nothing while no slots can be borrowed."""


class SlotGate:
    """Admits a node's statements to one server.

    Attributes
    ----------
    part : float
        Number of statements in flight above which `on_demand` is called.
    compute_limit : callable
        Returns how many statements may be in flight at a time of `curio.clock`.
    compute_answer_timeout : callable
        Returns the time within which nearly every answer arrives, in seconds.
    on_demand : callable
        Called when a statement has to wait, or is admitted beyond `part`.
    priorities : dict of str to int
        Priority of the statements of each database.
    in_flight : int
        Statements that have been sent, connections being opened and commands
        of the proxy itself.
    rejected : Counter of int
        Statements that got no slot in time, by priority.
    """

    def __init__(self) -> None:
        self.part = float('inf')
        self.compute_limit: Callable[[float], float] = _allow_any
        self.compute_answer_timeout: Callable[[], float] = _expect_any_time
        self.on_demand: Callable[[], Awaitable[None]] = _ignore_demand
        self.priorities: dict[str, int] = {}
        self.in_flight = 0
        self.rejected: Counter[int] = Counter()
        self._urgent_in_flight = 0
        self._waiting: list[_Waiter] = []
        self._preferred = 0
        #: Permits in the order in which they were granted.
        self._permits: dict[int, SlotPermit] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting statements."""
        return len(self._waiting)

    @property
    def demand(self) -> SlotDemand:
        """Demand of this node for slots of the server."""
        urgent_waiting = sum(
            not waiter.entry.priority for waiter in self._waiting
        )
        return SlotDemand(
            self.in_flight + len(self._waiting),
            self._urgent_in_flight + urgent_waiting,
            self.in_flight,
        )

    @property
    def is_bounded(self) -> bool:
        """Whether statements may have to wait."""
        return self.part < float('inf')

    def is_full(self, now: float) -> bool:
        """Return whether a statement would have to wait."""
        self._discard_lost(now)
        return self.in_flight >= self.compute_limit(now)

    async def acquire(
        self,
        priority: int,
        timeout: float,
        *,
        is_open: bool = False,
    ) -> SlotPermit | None:
        """Wait for a slot.

        Parameters
        ----------
        priority : int
            Priority of the statement; 0 is the most urgent.
        timeout : float
            Longest wait, in seconds.
        is_open : bool
            Whether the statement belongs to an open transaction.

        Returns
        -------
        SlotPermit or None
            None if there is none within `timeout`.
        """
        now = await curio.clock()
        if not self._waiting and not self.is_full(now):
            permit = self._admit(priority, now)
            await self._report_demand(permit)
            return permit
        waiter = _Waiter(GateEntry(priority, is_open))
        self._waiting.append(waiter)
        try:
            await self._wait(waiter, timeout)
        except BaseException:
            if waiter.permit is None:
                self._waiting.remove(waiter)
            else:
                await self.release(waiter.permit)
            raise
        if waiter.permit is None:
            self._waiting.remove(waiter)
            self.rejected[priority] += 1
        return waiter.permit

    async def release(self, permit: SlotPermit) -> None:
        """Return a slot; a second call does nothing."""
        if permit.is_released:
            return
        self._remove(permit)
        await self.admit_waiting()

    async def admit_waiting(self) -> None:
        """Admit waiting statements as far as the limit allows."""
        now = await curio.clock()
        while self._waiting and not self.is_full(now):
            entries = [waiter.entry for waiter in self._waiting]
            index = select_admitted(entries, self._preferred)
            self._preferred = count_preferred(entries, index, self._preferred)
            waiter = self._waiting.pop(index)
            waiter.permit = self._admit(waiter.entry.priority, now)
            await waiter.ready.set()

    @asynccontextmanager
    async def count(self) -> AsyncIterator[None]:
        """Count a command of the proxy itself, which never waits."""
        permit = self._admit(_DEFAULT_PRIORITY, await curio.clock())
        try:
            yield
        finally:
            await self.release(permit)

    @asynccontextmanager
    async def count_opening(self, group: str) -> AsyncIterator[None]:
        """Hold a slot while a connection is opened for a group of callers.

        Commands of the proxy itself have no group and do not wait.

        Raises
        ------
        NoSlotError
            If there is no slot within `OPENING_SLOT_TIMEOUT_S`.
        """
        database = group.removeprefix(LOAN_PREFIX)
        if not database:
            async with self.count():
                yield
            return
        priority = self.priorities.get(database, _DEFAULT_PRIORITY)
        permit = await self.acquire(priority, OPENING_SLOT_TIMEOUT_S)
        if permit is None:
            raise NoSlotError('the server has no slot for a new connection')
        try:
            yield
        finally:
            await self.release(permit)

    def _admit(self, priority: int, now: float) -> SlotPermit:
        self.in_flight += 1
        self._urgent_in_flight += not priority
        permit = SlotPermit(priority, now)
        self._permits[id(permit)] = permit
        return permit

    def _remove(self, permit: SlotPermit) -> None:
        permit.is_released = True
        self._permits.pop(id(permit))
        self.in_flight -= 1
        self._urgent_in_flight -= not permit.priority

    def _discard_lost(self, now: float) -> None:
        """Return the slots of statements whose answers are presumed lost."""
        lost_after = self.compute_answer_timeout() * LOST_ANSWER_FACTOR
        while self._permits:
            oldest = next(iter(self._permits.values()))
            if now < oldest.granted_at + lost_after:
                return
            self._remove(oldest)

    async def _report_demand(self, permit: SlotPermit) -> None:
        """Report a statement that uses a borrowed slot."""
        if self.in_flight <= self.part:
            return
        try:
            await self.on_demand()
        except BaseException:
            await self.release(permit)
            raise

    async def _wait(self, waiter: _Waiter, timeout: float) -> None:
        await self.on_demand()
        async with curio.ignore_after(timeout):
            while waiter.permit is None:
                async with curio.ignore_after(_RECHECK_INTERVAL_S):
                    await waiter.ready.wait()
                await self.admit_waiting()


class GatedServer:
    """A server to which this node's statements pass through a gate.

    Attributes
    ----------
    own : DirectBackend
        Opens connections of this node; opening one takes a slot.
    gate : SlotGate
        Admits statements to the slots of the server.
    """

    def __init__(self, own: DirectBackend) -> None:
        self.own = own
        self.gate = SlotGate()
        own.hold_slot = self.gate.count_opening

    @property
    def id(self) -> str:
        """Id of the server."""
        return self.own.server.id

    @property
    def server(self) -> BackendServer:
        """Entry of the server in the directory."""
        return self.own.server
