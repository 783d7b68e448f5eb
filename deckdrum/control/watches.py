"""Watches that wait at the store, and the check that they hear it.

A watch waits for long, since each answer is paid for.  One whose call or
answer is lost without a reset looks the same as one that has nothing to tell.
So each node that watches compares what it knows with the store at short
intervals: one cheap call tells how far the store's counter has come, and only
kinds that are not known as far are asked about.
"""

from collections.abc import Set as AbstractSet
from typing import Any, Final

import curio

from deckdrum.control.store import (
    Changes,
    ControlStore,
    HistoryGoneError,
    Kind,
)
from deckdrum.control.view import ControlView
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal

#: Pause between two checks, in seconds.  With the longest wait for an answer
#: (1 s) and a new watch it keeps deafness below the 4 s after a disruption that
#: users allow; without checks a lost watch was missed after 25 s.
CHECK_PAUSE: Final = 2.0
#: The kind that is asked about in each check; its news is urgent.
CHECKED_KIND: Final = Kind.CONFIGURATION


class WatchMonitor:
    """The watches of one node.

    Parameters
    ----------
    view : ControlView
        What the node knows.
    store : ControlStore
        The store.
    journal : Journal
        For watches that heard nothing.
    """

    def __init__(
        self,
        view: ControlView,
        store: ControlStore,
        journal: Journal,
    ) -> None:
        self._view = view
        self._store = store
        self._journal = journal
        self._waiting: dict[Kind, Any] = {}
        #: Why watches were ended.
        self._cancel_reasons: dict[Kind, str] = {}

    @property
    def kinds(self) -> AbstractSet[Kind]:
        """Kinds of which a watch waits."""
        return self._waiting.keys()

    async def wait(self, kind: Kind, seconds: float) -> Changes:
        """Wait for changes of a kind beyond what is known, for so long.

        Raises
        ------
        StoreError
            If no answer came, or the watch turned out to be deaf.
        """
        since = self._view.get_revision(kind)
        watch = await curio.spawn(
            self._watch,
            kind,
            since,
            seconds,
            daemon=True,
        )
        self._waiting[kind] = watch
        try:
            await watch.wait()
        finally:
            self._waiting.pop(kind, None)
            if not watch.terminated:
                await watch.cancel()
        if watch.cancelled:
            raise StoreError(
                self._cancel_reasons.pop(kind, 'the watch was ended')
            )
        outcome: Changes | StoreError = watch.result
        if isinstance(outcome, StoreError):
            raise outcome
        return outcome

    async def check(self) -> None:
        """Compare what is known with the store; end watches that are deaf."""
        if not self._waiting:
            return
        try:
            told = await self._compare(CHECKED_KIND)
            for kind in tuple(self._waiting):
                if told.revision > self._view.get_revision(kind):
                    await self._compare(kind)
        except StoreError as error:
            for kind in tuple(self._waiting):
                await self._doubt(kind, f'a check failed: {error}')

    async def _watch(
        self,
        kind: Kind,
        since: int,
        seconds: float,
    ) -> Changes | StoreError:
        """Return the end of one call, in a task of its own."""
        try:
            return await self._store.watch(kind, since, seconds)
        except StoreError as error:
            return error

    async def _compare(self, kind: Kind) -> Changes:
        """Take over what a watch may have missed; end it if it has."""
        watch = self._waiting.get(kind)
        since = self._view.get_revision(kind)
        try:
            changes = await self._store.peek(kind, since)
        except HistoryGoneError:
            # A watch that hears is told the same.
            changes = Changes(since, ())
            await self._doubt(kind, f'history since {since} is gone')
        await self._view.apply_update(kind, changes)
        is_waiting = watch is not None and self._waiting.get(kind) is watch
        if changes.entries and is_waiting:
            await self._doubt(kind, f'a change after {since} was not told')
        return changes

    async def _doubt(self, kind: Kind, reason: str) -> None:
        """End a watch, so that it is begun anew."""
        watch = self._waiting.get(kind)
        if watch is None:
            return
        self._cancel_reasons[kind] = reason
        self._journal.record('store.watch_doubted', kind=kind, reason=reason)
        await watch.cancel()
