"""Watching the databases of one service by probes.

Each database has one task with one connection of its own.  A probe serves
every request that waits for a fresh state: many waiters, one query.
"""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, TypeVar

import curio

from deckdrum.backends.position_history import History
from deckdrum.databases.base import (
    Database,
    DatabaseLink,
    DatabaseState,
    Role,
)
from deckdrum.sessions import Position

#: Time between probes while nobody waits, in seconds.
IDLE_PROBE_INTERVAL_S: Final = 0.1
#: The same for a standby, which only has to notice a loss.
STANDBY_PROBE_INTERVAL_S: Final = 0.3
#: Longest wait for the answer to a probe, in seconds.
STATE_PROBE_TIMEOUT_S: Final = 0.4
#: Time between probes of a database that does not answer, in seconds.
PROBE_RETRY_INTERVAL_S: Final = 0.1
#: First and longest pause between probes that tell nothing new while a
#: request waits, in seconds; doubled between.
_MIN_PROBE_DELAY_S: Final = 0.0005
_LONGEST_PAUSE: Final = 0.004
_MAX_DOUBLINGS: Final = 10
_Found = TypeVar('_Found')


@dataclass(frozen=True, slots=True)
class Sample:
    """A state and when its probe was sent, in kernel seconds."""

    state: DatabaseState
    started_at: float


class Watcher:
    """Probes one database.

    Parameters
    ----------
    database : Database
        What to probe.
    """

    def __init__(self, database: Database) -> None:
        self.database = database
        self.sample: Sample | None = None
        self.failures = 0
        self.probes = 0
        #: Probes in a row that told nothing new.
        self.unchanged_probes = 0
        #: Requests that wait for a fresh state.
        self.waiting_requests = 0
        #: Set when a request begins to wait for a fresh state.
        self.wanted = curio.Event()
        self._first_probe_at: float = 0
        self._link: DatabaseLink | None = None

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.sample is not None and self.failures == 0

    def is_silent(self, now: float, limit: float) -> bool:
        """Tell whether the last `limit` seconds brought no answer."""
        last = self.sample.started_at if self.sample else self._first_probe_at
        return self.failures > 0 and now - last >= limit

    async def probe(self) -> bool:
        """Ask once; return whether an answer came."""
        started_at = await curio.clock()
        self._first_probe_at = self._first_probe_at or started_at
        self.probes += 1
        try:
            async with curio.timeout_after(STATE_PROBE_TIMEOUT_S):
                state = await self._ask()
        except (ConnectionError, curio.TaskTimeout):
            self.failures += 1
            await self.close()
            return False
        self.failures = 0
        is_new = self.sample is None or self.sample.state != state
        self.unchanged_probes = 0 if is_new else self.unchanged_probes + 1
        self.sample = Sample(state, started_at)
        return True

    def compute_probe_delay(self, idle_interval: float) -> float:
        """Return how long to rest before the next probe, in seconds."""
        if not self.waiting_requests:
            return idle_interval
        if self.unchanged_probes == 0:
            return 0
        exponent = min(self.unchanged_probes, _MAX_DOUBLINGS)
        return min(_MIN_PROBE_DELAY_S * float(2**exponent), _LONGEST_PAUSE)

    async def close(self) -> None:
        """Close the probe's connection."""
        if self._link is not None:
            await self._link.close()
            self._link = None

    async def _ask(self) -> DatabaseState:
        if self._link is None:
            self._link = await self.database.connect(STATE_PROBE_TIMEOUT_S)
        return await self.database.read_state(self._link)


class ServiceWatch:
    """Watches every database of one service.

    Parameters
    ----------
    databases : iterable of Database
        The databases.
    """

    def __init__(self, databases: Iterable[Database]) -> None:
        self.watchers = {each.name: Watcher(each) for each in databases}
        self.history = History()
        self.term = 0
        self.primary = ''
        #: Time between probes while nobody waits, in seconds.
        self.idle_interval = IDLE_PROBE_INTERVAL_S
        self._changed = curio.Condition()
        self._unconfirmed_sample: Sample | None = None
        self._tasks: list[Any] = []

    @property
    def last_probe(self) -> float:
        """Start of the latest answered probe, in kernel seconds."""
        samples = [each.sample for each in self.watchers.values()]
        return max(
            (sample.started_at for sample in samples if sample is not None),
            default=0,
        )

    @property
    def majority(self) -> int:
        """How many databases make a majority."""
        return len(self.watchers) // 2 + 1

    def adopt(self, term: int, primary: str) -> None:
        """Take over the agreed term and primary."""
        if term != self.term:
            self._unconfirmed_sample = None
        self.term = term
        self.primary = primary

    async def start(self) -> None:
        """Begin to probe."""
        for watcher in self.watchers.values():
            task = await curio.spawn(self._run, watcher, daemon=True)
            self._tasks.append(task)

    async def close(self) -> None:
        """Stop to probe."""
        for task in self._tasks:
            await task.cancel()
        for watcher in self.watchers.values():
            await watcher.close()

    def read_state(self, name: str) -> DatabaseState | None:
        """Return the last state of a database that answers, or None."""
        watcher = self.watchers.get(name)
        if watcher is None or not watcher.is_answering:
            return None
        return watcher.sample.state if watcher.sample else None

    def can_reach_majority(self, now: float, limit: float) -> bool:
        """Tell whether a majority has answered within `limit` seconds."""
        silent = [
            watcher
            for watcher in self.watchers.values()
            if watcher.is_silent(now, limit)
        ]
        return len(self.watchers) - len(silent) >= self.majority

    async def wait_for(
        self,
        check: Callable[[], _Found | None],
        limit: float,
        names: Iterable[str] | None = None,
    ) -> _Found | None:
        """Probe without pause until `check` gives something.

        Parameters
        ----------
        check : callable
            Looks at the samples; called after each probe.
        limit : float
            Longest wait in seconds.
        names : iterable of str, optional
            Databases to probe; all by default.

        Returns
        -------
        object or None
            What `check` gave, or None after `limit`.
        """
        async with self._request_probes(names or self.watchers):
            async with curio.ignore_after(limit):
                return await self._wait_until_found(check)
        return None

    async def confirm(self, limit: float) -> Position | None:
        """Return a position that a majority holds, fetched from now on.

        The primary's position is read after the call, so it covers every
        change that the primary has answered before; then a majority must
        report, also after the call, that it holds this position in the
        agreed term.  A cut-off or replaced primary gets no majority.

        Returns
        -------
        Position or None
            None if no majority reported within `limit` seconds.
        """
        began = await curio.clock()
        confirmation = _MajorityCheck(self, began)
        verdict = await self.wait_for(confirmation.check, limit)
        return None if verdict is None else verdict.position

    async def fetch_applied(self, name: str, limit: float) -> Position | None:
        """Return how far a database has applied, fetched from now on."""
        began = await curio.clock()
        check = partial(_find_applied_position, self.watchers[name], began)
        return await self.wait_for(check, limit, (name,))

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
            await watcher.wanted.set()
        try:
            yield
        finally:
            for watcher in watchers:
                watcher.waiting_requests -= 1

    async def _run(self, watcher: Watcher) -> None:
        while True:
            watcher.wanted.clear()
            is_answered = await watcher.probe()
            self._note(watcher)
            async with self._changed:
                await self._changed.notify_all()
            if not is_answered:
                await curio.sleep(PROBE_RETRY_INTERVAL_S)
                continue
            async with curio.ignore_after(
                watcher.compute_probe_delay(self.idle_interval)
            ):
                await watcher.wanted.wait()

    def _note(self, watcher: Watcher) -> None:
        """Extend the history once a majority backs a probe of the primary."""
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
        backing = [
            each
            for each in self.watchers.values()
            if was_in_term_since(each.sample, self.term, candidate.started_at)
        ]
        if len(backing) >= self.majority:
            self._unconfirmed_sample = None
            offset = candidate.state.received
            self.history.note(self.term, offset, candidate.started_at)


def was_in_term_since(sample: Sample | None, term: int, since: float) -> bool:
    """Tell whether a database took part in `term` at `since` or later."""
    if sample is None or sample.started_at < since:
        return False
    return sample.state.is_in_term(term)


@dataclass(frozen=True, slots=True)
class _ConfirmationResult:
    """Outcome of a confirmation; no position if the term has ended."""

    position: Position | None


class _MajorityCheck:
    """One wait for a majority."""

    def __init__(self, watch: ServiceWatch, began: float) -> None:
        self._watch = watch
        self._began = began
        self._term = watch.term
        self._target: int | None = None

    def check(self) -> _ConfirmationResult | None:
        """Return the verdict once there is one."""
        if self._watch.term != self._term:
            return _ConfirmationResult(None)
        if self._target is None:
            self._target = self._find_target()
        if self._target is None:
            return None
        votes = [
            watcher
            for watcher in self._watch.watchers.values()
            if self._holds_target(watcher.sample, self._target)
        ]
        if len(votes) < self._watch.majority:
            return None
        return _ConfirmationResult(Position(self._term, self._target))

    def _find_target(self) -> int | None:
        watcher = self._watch.watchers.get(self._watch.primary)
        if watcher is None:
            return None
        leading = _find_primary_sample(watcher.sample, self._term)
        if leading is None or leading.started_at < self._began:
            return None
        return leading.state.received

    def _holds_target(self, sample: Sample | None, target: int) -> bool:
        if sample is None or not was_in_term_since(
            sample, self._term, self._began
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
