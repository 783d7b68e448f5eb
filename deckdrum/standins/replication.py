"""Replication of a stand-in database: role, term, fencing and log.

TEST STAND-IN: a log with terms and offsets that is replicated asynchronously
with a configurable lag.  A database can be paused, partitioned, fenced and
promoted.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import curio

from deckdrum.standins.engine import Change, Engine, LogEntry
from deckdrum.utils import Address

_FAULT_POLL_INTERVAL_S: Final = 0.02
#: Roles and faults are checked again after this wait without log growth.
_LOG_GROWTH_TIMEOUT_S: Final = 0.5


def _free_address() -> Address:
    return Address('127.0.0.1', 0)


class Role(StrEnum):
    """Replication role of a database."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


class FencedError(Exception):
    """The role or term of the database does not allow the operation."""


@dataclass(slots=True)
class Faults:
    """Faults that a test sets on a database.

    Attributes
    ----------
    paused : bool
        Whether requests stay unanswered on open connections.
    receives_no_log : bool
        Whether a replica receives nothing of the log that it follows.
    cut_from : set of str
        Names of proxies and databases whose traffic is dropped.
    answers_cut_to : set of str
        Names of proxies that can log in, and whose requests are executed, but
        that receive no answers.
    order_delay : float
        Delay in seconds before an order to fence, promote or follow is
        executed, also if its sender has left.
    promotion_time : float
        Time in seconds that a promotion takes; a later fence ends it.
    accepts_old_terms : bool
        Whether fencing is ignored, against the contract: logs of outdated
        primaries are accepted.
    """

    paused: bool = False
    receives_no_log: bool = False
    cut_from: set[str] = field(default_factory=set)
    answers_cut_to: set[str] = field(default_factory=set)
    order_delay: float = 0
    promotion_time: float = 0
    accepts_old_terms: bool = False


@dataclass(slots=True)
class DatabaseProfile:
    """Properties of a stand-in database; times in seconds."""

    name: str
    data_centre: str
    address: Address = field(default_factory=_free_address)
    max_connections: int = 25
    connect_time: float = 0.01
    hop_latency: float = 0.0015
    local_latency: float = 0.0001
    apply_lag: float = 0.02
    statement_time: float = 0.0002
    user: str = 'deckdrum'
    password: str = 'standin'


class ReplicatedDatabase:
    """Replication state of a database server, without its listener."""

    def __init__(self, profile: DatabaseProfile) -> None:
        self.profile = profile
        self.engine = Engine(profile.name)
        self.faults = Faults()
        self.role = Role.REPLICA
        self.term = 0
        self.fenced_term = 0
        self.leaving = False
        self.write_lock = curio.Lock()
        self.peers: Mapping[str, ReplicatedDatabase] = {}
        self.sessions: dict[int, Any] = {}
        self._source: str | None = None
        self.running = False
        self._log_grown = curio.Condition()

    @property
    def name(self) -> str:
        """Name of the database."""
        return self.profile.name

    def become_primary(self, term: int) -> None:
        """Make this the first primary of a new group."""
        self.role = Role.PRIMARY
        self.term = term
        self.fenced_term = term
        self.engine.append(LogEntry(term, 0))
        self.engine.applied = self.engine.received

    def fence(self, term: int) -> None:
        """Reject logs and writes of terms before `term`.

        Raises
        ------
        FencedError
            If this database is fenced at a higher term.
        """
        if term < self.fenced_term:
            raise FencedError(f'fenced at term {self.fenced_term}')
        if term > self.fenced_term:
            self.fenced_term = term
            if not self.faults.accepts_old_terms:
                self._source = None
                self.role = Role.FENCED

    async def promote(self, term: int) -> None:
        """Become the primary of `term`; idempotent.

        Raises
        ------
        FencedError
            If the database is not fenced at exactly this term.
        """
        if self._needs_promotion(term) and self.faults.promotion_time:
            await curio.sleep(self.faults.promotion_time)
        if not self._needs_promotion(term):
            return
        while self.engine.applied < self.engine.received:
            self.engine.apply_next()
        self.role = Role.PRIMARY
        self.term = term
        await self._append(())

    def follow(self, source: str, term: int) -> None:
        """Replicate from `source`, the primary of `term`.

        Raises
        ------
        FencedError
            If this database is fenced at a higher term, or `source` is not the
            reachable primary of `term`.
        """
        if term < self.fenced_term:
            raise FencedError(f'fenced at term {self.fenced_term}')
        if self._source == source and self.term == term:
            return
        primary = self.peers[source]
        if not self._can_reach(primary) or primary.term != term:
            raise FencedError(f'{source} does not lead term {term}')
        if not self.engine.is_prefix_of(primary.engine):
            self.engine.copy_from(primary.engine)
        self.fenced_term = term
        self.term = term
        self.role = Role.REPLICA
        self._source = source

    def check_writable(self) -> None:
        """Raise `FencedError` unless this is an unfenced primary."""
        if self.role is not Role.PRIMARY:
            raise FencedError(f'a {self.role} cannot write')

    async def commit(self, changes: tuple[Change, ...]) -> None:
        """Append a committed transaction to the log."""
        await self._append(changes)

    async def wait_until_reachable(self, peer: str) -> None:
        """Wait until no fault blocks traffic from `peer`."""
        while self.faults.paused or peer in self.faults.cut_from:
            await curio.sleep(_FAULT_POLL_INTERVAL_S)

    async def wait_until_answerable(self, peer: str) -> None:
        """Wait until no fault blocks answers to `peer`."""
        while peer in self.faults.answers_cut_to:
            await curio.sleep(_FAULT_POLL_INTERVAL_S)

    async def wait_for_order(self) -> None:
        """Wait until an order that has arrived is executed."""
        if self.faults.order_delay:
            await curio.sleep(self.faults.order_delay)

    async def wait_for_log_growth(self) -> None:
        """Wait until the log has grown or a timeout has passed."""
        async with curio.ignore_after(_LOG_GROWTH_TIMEOUT_S):
            async with self._log_grown:
                await self._log_grown.wait()

    async def receive_log(self) -> None:
        """Copy new log entries from the source until cancelled."""
        while True:
            if not self._can_receive_log():
                await curio.sleep(_FAULT_POLL_INTERVAL_S)
                continue
            source = self.peers[self._source or '']
            if source.engine.received <= self.engine.received:
                await source.wait_for_log_growth()
                continue
            entry = source.engine.log[self.engine.received]
            due = entry.committed_at + self.profile.hop_latency
            now = await curio.clock()
            if due > now:
                await curio.sleep(due - now)
            if self._can_receive_log():
                self.engine.append(entry)
                async with self._log_grown:
                    await self._log_grown.notify_all()

    async def apply_log(self) -> None:
        """Apply received entries after the apply lag, until cancelled."""
        while True:
            is_behind = self.engine.applied < self.engine.received
            if self.role is Role.PRIMARY or self.faults.paused or not is_behind:
                await self.wait_for_log_growth()
                continue
            entry = self.engine.log[self.engine.applied]
            due = entry.committed_at + self.profile.apply_lag
            now = await curio.clock()
            if due > now:
                # Short sleeps: a test may change the lag meanwhile.
                await curio.sleep(min(due - now, _FAULT_POLL_INTERVAL_S))
            else:
                self.engine.apply_next()

    def _needs_promotion(self, term: int) -> bool:
        if self.role is Role.PRIMARY and self.term == term:
            return False
        if self.fenced_term != term or self.role is not Role.FENCED:
            raise FencedError(f'not fenced at term {term}')
        return True

    async def _append(self, changes: tuple[Change, ...]) -> None:
        now = await curio.clock()
        self.engine.append(LogEntry(self.term, now, changes))
        self.engine.applied = self.engine.received
        async with self._log_grown:
            await self._log_grown.notify_all()

    def _can_reach(self, other: 'ReplicatedDatabase') -> bool:
        is_paused = self.faults.paused or other.faults.paused
        are_partitioned = other.name in self.faults.cut_from
        are_partitioned = are_partitioned or self.name in other.faults.cut_from
        return other.running and not is_paused and not are_partitioned

    def _can_receive_log(self) -> bool:
        if self._source is None or self.faults.receives_no_log:
            return False
        source = self.peers[self._source]
        return self._can_reach(source) and source.term == self.term
