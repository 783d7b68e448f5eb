"""State probes of the databases of one service.

Each database is probed by its own task over a dedicated connection.  All
requests waiting for a fresh state share one probe.
"""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, TypeVar

import curio

from deckdrum.backends.position_history import PositionHistory
from deckdrum.databases.base import (
    Database,
    DatabaseLink,
    DatabaseState,
    Role,
)
from deckdrum.sessions import Position

#: Probe interval while no request waits for a fresh state.
IDLE_PROBE_INTERVAL_S: Final = 0.1
#: Probe interval on a standby, which only detects failures.
STANDBY_PROBE_INTERVAL_S: Final = 0.3
STATE_PROBE_TIMEOUT_S: Final = 0.4
#: A timeout that fires later than this beyond its time shows that this process
#: was late itself: the answer may be waiting to be read.
MAX_OWN_DELAY_S: Final = 0.05
#: Probe interval of an unresponsive database.
PROBE_RETRY_INTERVAL_S: Final = 0.1
#: Exponential backoff between probes that return an unchanged state while a
#: request is waiting.
_MIN_PROBE_DELAY_S: Final = 0.0005
_MAX_PROBE_DELAY_S: Final = 0.004
_MAX_DOUBLINGS: Final = 10
_Found = TypeVar('_Found')


@dataclass(frozen=True, slots=True)
class Sample:
    """A database state and the curio clock time when its probe was sent."""

    state: DatabaseState
    started_at: float


class Watcher:
    """Probes one database.

    Parameters
    ----------
    database : Database
        The database.
    """

    def __init__(self, database: Database) -> None:
        self.database = database
        self.sample: Sample | None = None
        self.failures = 0
        self.probes = 0
        #: Unanswered probes that this process was too late to judge.
        self.late_probes = 0
        #: Consecutive probes that returned the same state.
        self.unchanged_probes = 0
        #: Number of requests waiting for a fresh state.
        self.waiting_requests = 0
        #: Set when a request starts to wait for a fresh state.
        self.probe_requested = curio.Event()
        self._first_probe_at: float = 0
        self._link: DatabaseLink | None = None

    @property
    def is_answering(self) -> bool:
        """Whether the last probe succeeded."""
        return self.sample is not None and self.failures == 0

    def is_unresponsive(self, now: float, timeout: float) -> bool:
        """Whether probes have been failing for `timeout` seconds or more."""
        last = self.sample.started_at if self.sample else self._first_probe_at
        return self.failures > 0 and now - last >= timeout

    async def probe(self) -> bool:
        """Probe the database once; return whether it succeeded."""
        started_at = await curio.clock()
        self._first_probe_at = self._first_probe_at or started_at
        self.probes += 1
        try:
            async with curio.timeout_after(STATE_PROBE_TIMEOUT_S):
                state = await self._fetch_state()
        except ConnectionError:
            self.failures += 1
            await self.close()
            return False
        except curio.TaskTimeout:
            await self._record_timeout(started_at)
            await self.close()
            return False
        self.failures = 0
        is_new = self.sample is None or self.sample.state != state
        self.unchanged_probes = 0 if is_new else self.unchanged_probes + 1
        self.sample = Sample(state, started_at)
        return True

    def compute_probe_delay(self, idle_interval: float) -> float:
        """Return the delay before the next probe, in seconds."""
        if not self.waiting_requests:
            return idle_interval
        if self.unchanged_probes == 0:
            return 0
        exponent = min(self.unchanged_probes, _MAX_DOUBLINGS)
        return min(_MIN_PROBE_DELAY_S * float(2**exponent), _MAX_PROBE_DELAY_S)

    async def close(self) -> None:
        """Close the probe connection."""
        if self._link is not None:
            await self._link.close()
            self._link = None

    async def _record_timeout(self, started_at: float) -> None:
        """Count an unanswered probe, unless this process was late itself."""
        elapsed = await curio.clock() - started_at
        if elapsed - STATE_PROBE_TIMEOUT_S > MAX_OWN_DELAY_S:
            self.late_probes += 1
        else:
            self.failures += 1

    async def _fetch_state(self) -> DatabaseState:
        if self._link is None:
            self._link = await self.database.connect(STATE_PROBE_TIMEOUT_S)
        return await self.database.fetch_state(self._link)


class ServiceWatch:
    """Probes all databases of one service.

    Parameters
    ----------
    databases : iterable of Database
        The databases.
    """

    def __init__(self, databases: Iterable[Database]) -> None:
        self.watchers = {each.name: Watcher(each) for each in databases}
        self.history = PositionHistory()
        self.term = 0
        self.primary = ''
        #: Probe interval while no request is waiting, in seconds.
        self.idle_interval = IDLE_PROBE_INTERVAL_S
        self._changed = curio.Condition()
        self._unconfirmed_sample: Sample | None = None
        self._tasks: list[Any] = []

    @property
    def last_probe(self) -> float:
        """Start time of the latest successful probe, on the curio clock."""
        samples = [each.sample for each in self.watchers.values()]
        return max(
            (sample.started_at for sample in samples if sample is not None),
            default=0,
        )

    @property
    def majority(self) -> int:
        """Number of databases that form a majority."""
        return len(self.watchers) // 2 + 1

    def apply_leadership(self, term: int, primary: str) -> None:
        """Set the term and primary that the group record names."""
        if term != self.term:
            self._unconfirmed_sample = None
        self.term = term
        self.primary = primary

    async def start(self) -> None:
        """Start probing."""
        for watcher in self.watchers.values():
            task = await curio.spawn(self._run, watcher, daemon=True)
            self._tasks.append(task)

    async def close(self) -> None:
        """Stop probing and close the probe connections."""
        for task in self._tasks:
            await task.cancel()
        for watcher in self.watchers.values():
            await watcher.close()

    def get_state(self, name: str) -> DatabaseState | None:
        """Return the latest state; None if the last probe failed."""
        watcher = self.watchers.get(name)
        if watcher is None or not watcher.is_answering:
            return None
        return watcher.sample.state if watcher.sample else None

    def can_reach_majority(self, now: float, timeout: float) -> bool:
        """Whether a majority answered probes within `timeout` seconds."""
        unresponsive = [
            watcher
            for watcher in self.watchers.values()
            if watcher.is_unresponsive(now, timeout)
        ]
        return len(self.watchers) - len(unresponsive) >= self.majority

    async def probe_until(
        self,
        check: Callable[[], _Found | None],
        timeout: float,
        names: Iterable[str] | None = None,
    ) -> _Found | None:
        """Probe continuously until `check` returns a result.

        Parameters
        ----------
        check : callable
            Called after each probe; returns None to continue.
        timeout : float
            Longest wait in seconds.
        names : iterable of str, optional
            Databases to probe; all by default.

        Returns
        -------
        object or None
            The result of `check`, or None after `timeout`.
        """
        async with self._request_probes(names or self.watchers):
            async with curio.ignore_after(timeout):
                return await self._wait_until_found(check)
        return None

    async def confirm(self, term: int, timeout: float) -> Position | None:
        """Return a log position of `term` that a majority has made durable.

        Only probes sent after the call count.  The position is the primary's,
        so it includes every change that the primary of `term` answered before
        the call.  A majority must then report that it holds this position in
        `term`, which fails for a partitioned or replaced primary.

        Parameters
        ----------
        term : int
            Term in which the answer to confirm was given.  The log of a later
            term may lack the change.
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        Position or None
            None if `term` is not the current term, or no majority reported in
            time.
        """
        started_at = await curio.clock()
        majority_check = _MajorityCheck(self, term, started_at)
        outcome = await self.probe_until(majority_check.check, timeout)
        return None if outcome is None else outcome.position

    async def fetch_applied(self, name: str, timeout: float) -> Position | None:
        """Return the applied position from a probe sent after the call."""
        started_at = await curio.clock()
        check = partial(_find_applied_position, self.watchers[name], started_at)
        return await self.probe_until(check, timeout, (name,))

    async def _wait_until_found(
        self,
        check: Callable[[], _Found | None],
    ) -> _Found:
        async with self._changed:
            while True:
                found = check()
                if found is not None:
                    return found
                await self._changed.wait()

    @asynccontextmanager
    async def _request_probes(
        self, names: Iterable[str]
    ) -> AsyncIterator[None]:
        watchers = [self.watchers[name] for name in names]
        for watcher in watchers:
            watcher.waiting_requests += 1
            await watcher.probe_requested.set()
        try:
            yield
        finally:
            for watcher in watchers:
                watcher.waiting_requests -= 1

    async def _run(self, watcher: Watcher) -> None:
        while True:
            watcher.probe_requested.clear()
            is_answered = await watcher.probe()
            self._record_position(watcher)
            async with self._changed:
                await self._changed.notify_all()
            if not is_answered:
                await curio.sleep(PROBE_RETRY_INTERVAL_S)
                continue
            async with curio.ignore_after(
                watcher.compute_probe_delay(self.idle_interval)
            ):
                await watcher.probe_requested.wait()

    def _record_position(self, watcher: Watcher) -> None:
        """Record a position of the primary once a majority is in its term."""
        if (
            self._unconfirmed_sample is None
            and watcher.database.name == self.primary
        ):
            self._unconfirmed_sample = _find_primary_sample(
                watcher.sample, self.term
            )
        candidate = self._unconfirmed_sample
        if candidate is None:
            return
        in_term = [
            each
            for each in self.watchers.values()
            if was_in_term_since(each.sample, self.term, candidate.started_at)
        ]
        if len(in_term) >= self.majority:
            self._unconfirmed_sample = None
            offset = candidate.state.received
            self.history.record(self.term, offset, candidate.started_at)


def was_in_term_since(sample: Sample | None, term: int, since: float) -> bool:
    """Whether the sample is from `since` or later and in `term`."""
    if sample is None or sample.started_at < since:
        return False
    return sample.state.is_in_term(term)


@dataclass(frozen=True, slots=True)
class _ConfirmationResult:
    """Outcome of a confirmation; no position if the term has ended."""

    position: Position | None


class _MajorityCheck:
    """Checks for a majority that holds the primary's position."""

    def __init__(
        self, watch: ServiceWatch, term: int, started_at: float
    ) -> None:
        self._watch = watch
        self._started_at = started_at
        self._term = term
        self._target: int | None = None

    def check(self) -> _ConfirmationResult | None:
        """Return the result, or None while it is undecided."""
        if self._watch.term != self._term:
            return _ConfirmationResult(None)
        if self._target is None:
            self._target = self._find_target()
        if self._target is None:
            return None
        holders = [
            watcher
            for watcher in self._watch.watchers.values()
            if self._holds_target(watcher.sample, self._target)
        ]
        if len(holders) < self._watch.majority:
            return None
        return _ConfirmationResult(Position(self._term, self._target))

    def _find_target(self) -> int | None:
        watcher = self._watch.watchers.get(self._watch.primary)
        if watcher is None:
            return None
        sample = _find_primary_sample(watcher.sample, self._term)
        if sample is None or sample.started_at < self._started_at:
            return None
        return sample.state.received

    def _holds_target(self, sample: Sample | None, target: int) -> bool:
        if sample is None or not was_in_term_since(
            sample, self._term, self._started_at
        ):
            return False
        return sample.state.received >= target


def _find_primary_sample(sample: Sample | None, term: int) -> Sample | None:
    if sample is None or sample.state.role is not Role.PRIMARY:
        return None
    return sample if sample.state.is_in_term(term) else None


def _find_applied_position(watcher: Watcher, since: float) -> Position | None:
    sample = watcher.sample
    if sample is None or sample.started_at < since:
        return None
    return Position(sample.state.term, sample.state.applied)
