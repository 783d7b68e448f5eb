"""Pending watches of the store, and checks that none has stalled.

A watch is a long poll.  If its request or response is lost without a connection
reset, it looks like a watch that has no changes to report.  Therefore a node
that watches polls the store's revision at short intervals, and checks the
watches of all kinds that are behind it.
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

#: Interval between two checks, in seconds.  With the call timeout (1 s) and a
#: new watch, a stalled watch is replaced within the 4 s allowed for recovery.
#: Without checks a lost watch was noticed after 25 s.
WATCH_CHECK_INTERVAL_S: Final = 2.0
#: The kind polled in each check; its changes are the most urgent.
REVISION_CHECK_KIND: Final = Kind.CONFIGURATION


class WatchMonitor:
    """Runs the watches of one node and cancels those that have stalled.

    Parameters
    ----------
    view : ControlView
        The node's view of the store.
    store : ControlStore
        The store.
    journal : Journal
        Logs cancelled watches.
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
        self._pending: dict[Kind, Any] = {}
        #: Why watches were cancelled.
        self._cancel_reasons: dict[Kind, str] = {}

    @property
    def kinds(self) -> AbstractSet[Kind]:
        """Kinds with a pending watch."""
        return self._pending.keys()

    async def wait(self, kind: Kind, seconds: float) -> Changes:
        """Wait up to `seconds` for changes of a kind that the view lacks.

        Raises
        ------
        StoreError
            If the store did not respond, or the watch was cancelled by a check.
        """
        since = self._view.get_revision(kind)
        watch = await curio.spawn(
            self._call_watch,
            kind,
            since,
            seconds,
            daemon=True,
        )
        self._pending[kind] = watch
        try:
            await watch.wait()
        finally:
            self._pending.pop(kind, None)
            if not watch.terminated:
                await watch.cancel()
        if watch.cancelled:
            raise StoreError(self._cancel_reasons.pop(kind, 'watch cancelled'))
        outcome: Changes | StoreError = watch.result
        if isinstance(outcome, StoreError):
            raise outcome
        return outcome

    async def check(self) -> None:
        """Compare the view with the store; cancel stalled watches."""
        if not self._pending:
            return
        try:
            newest = await self._poll_missed_changes(REVISION_CHECK_KIND)
            for kind in tuple(self._pending):
                if newest.revision > self._view.get_revision(kind):
                    await self._poll_missed_changes(kind)
        except StoreError as error:
            for kind in tuple(self._pending):
                await self._cancel_watch(kind, f'check failed: {error}')

    async def _call_watch(
        self,
        kind: Kind,
        since: int,
        seconds: float,
    ) -> Changes | StoreError:
        """Return the changes, or the error, of one watch call."""
        try:
            return await self._store.watch(kind, since, seconds)
        except StoreError as error:
            return error

    async def _poll_missed_changes(self, kind: Kind) -> Changes:
        """Apply the changes a watch has missed; cancel it if there are any."""
        watch = self._pending.get(kind)
        since = self._view.get_revision(kind)
        try:
            changes = await self._store.peek(kind, since)
        except HistoryGoneError:
            # A working watch would get the same error.
            changes = Changes(since, ())
            await self._cancel_watch(kind, f'no history since {since}')
        await self._view.apply_update(kind, changes)
        is_pending = watch is not None and self._pending.get(kind) is watch
        if changes.entries and is_pending:
            await self._cancel_watch(kind, f'missed a change after {since}')
        return changes

    async def _cancel_watch(self, kind: Kind, reason: str) -> None:
        """Cancel a watch, so that it is started again."""
        watch = self._pending.get(kind)
        if watch is None:
            return
        self._cancel_reasons[kind] = reason
        self._journal.record('store.watch_doubted', kind=kind, reason=reason)
        await watch.cancel()
