"""Feed of store changes into a node's view: listings, watches and retries.

One task per kind lists its records and then watches them.  Every call has a
cost, even a refused one.  Therefore only one kind probes the store during an
outage, and a node may receive updates from a peer instead of watching.
"""

from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.control.store import ControlStore, HistoryGoneError, Kind
from deckdrum.control.view import ControlView
from deckdrum.control.watches import WATCH_CHECK_INTERVAL_S, WatchMonitor
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal

#: How long one watch waits for a change, in seconds.  Longer watches need
#: fewer calls; the store allows up to 30 s.
WATCH_TIMEOUT_S: Final = 25.0
#: Bounds of the exponential backoff after a failed call, in seconds.  The upper
#: bound is well below the limit for applying a configuration (3 s).  It is
#: scaled with the number of nodes in a data centre, so that the total rate of
#: probes during an outage stays constant.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.8
#: Kinds that a node may receive from a peer instead of watching the store: all,
#: since each answer to a watch is a paid call, and each version of the
#: configuration would cost one per node.
FOLLOWABLE_KINDS: Final = frozenset(Kind)
#: The kind whose calls probe the store during an outage; its changes are the
#: most urgent.
PROBING_KIND: Final = Kind.CONFIGURATION
#: Longest time for which the other kinds wait for a successful probe, in
#: seconds; scaled with the number of nodes.
PROBE_TIMEOUT_S: Final = 5.0
#: Delay after each change of a less urgent kind, in seconds.  It coalesces the
#: registrations of nodes or servers that start together into one call.
COALESCING_DELAYS_S: Final = MappingProxyType(
    {Kind.MEMBERS: 0.5, Kind.SERVERS: 0.4},
)


class StoreFeed:
    """Keeps a node's view up to date with the store.

    Parameters
    ----------
    view : ControlView
        The view to update.
    store : ControlStore
        The store.
    journal : Journal
        Logs the loss and recovery of the store.
    randomness : random.Random
        Adds jitter to the calls of many nodes.
    """

    def __init__(
        self,
        view: ControlView,
        store: ControlStore,
        journal: Journal,
        randomness: Random,
    ) -> None:
        self._view = view
        self._store = store
        self._journal = journal
        self._randomness = randomness
        self._listed: set[Kind] = set()
        self._reachable: dict[Kind, bool] = dict.fromkeys(Kind, False)
        self._watches = WatchMonitor(view, store, journal)
        #: Set while the last probe of the store was successful.
        self._store_available = curio.Event()
        #: Set while this node watches the store for all kinds itself.
        self._watching_directly = curio.Event()
        #: Whether it is decided if this node follows a peer.  Until then it
        #: only watches the members, and a configuration that it lacks.
        self._is_role_decided = False
        #: Whether the followed peer is connected to the store.
        self._is_peer_connected = True
        #: Factor for the maximum backoff and the maximum wait for a probe.
        self.backoff_factor: float = 1
        #: Events of the calls of `wait_for_changes` in progress.
        self._waiters: set[Any] = set()
        view.on_change.append(self._notify_waiters)

    @property
    def is_synchronized(self) -> bool:
        """Whether updates of every kind arrive.

        They come from the store, or from the peer that this node follows.
        """
        is_peer_connected = self.is_following_peer and self._is_peer_connected
        return all(
            is_reachable or (is_peer_connected and kind in FOLLOWABLE_KINDS)
            for kind, is_reachable in self._reachable.items()
        )

    @property
    def is_following_peer(self) -> bool:
        """Whether this node receives updates from a peer's watches."""
        return not self._watching_directly.is_set()

    @property
    def can_serve_followers(self) -> bool:
        """Whether peers may follow this node: its own watches are working."""
        return self.is_synchronized and not self.is_following_peer

    def has_listed(self, kind: Kind) -> bool:
        """Return whether the store has listed a kind since the node's start."""
        return kind in self._listed

    async def run(self, kind: Kind) -> None:
        """List one kind, then watch it forever."""
        pause = INITIAL_BACKOFF_S
        has_listing = False
        while True:
            try:
                await self._fetch_next(kind, has_listing)
            except HistoryGoneError as error:
                has_listing = False
                await self._prepare_relisting(kind, str(error))
            except StoreError as error:
                await self._set_reachable(kind, False, str(error))
                await self._back_off(kind, pause)
                pause = min(pause * 2, MAX_BACKOFF_S * self.backoff_factor)
            else:
                has_listing = True
                pause = INITIAL_BACKOFF_S
                await self._set_reachable(kind, True)
                await curio.sleep(COALESCING_DELAYS_S.get(kind, 0))
                await self._wait_until_direct(kind)

    async def run_watch_checks(self) -> None:
        """Check the pending watches for lost responses, forever.

        A node that follows a peer relies on that peer's checks.
        """
        while True:
            await curio.sleep(WATCH_CHECK_INTERVAL_S)
            if not self.is_following_peer:
                await self._watches.check()

    async def follow(self, *, is_peer_connected: bool = True) -> None:
        """Rely on the watches of a peer.

        `is_peer_connected` tells whether that peer is connected to the store.
        """
        self._is_role_decided = True
        self._is_peer_connected = is_peer_connected
        self._watching_directly.clear()

    async def probe(self) -> bool:
        """Probe the store once; return whether it responds to this node."""
        since = self._view.get_revision(PROBING_KIND)
        try:
            changes = await self._store.watch(PROBING_KIND, since, 0)
        except HistoryGoneError:
            return True
        except StoreError:
            return False
        await self._view.apply_update(PROBING_KIND, changes)
        return True

    async def watch_directly(self) -> None:
        """Watch the store for every kind."""
        self._is_role_decided = True
        if not self.is_following_peer:
            return
        for kind in FOLLOWABLE_KINDS - self._watches.kinds:
            # The first watch must return at once to show that the store is
            # reachable from here.  Watches that are already pending continue.
            self._reachable[kind] = False
        self._store_available.clear()
        await self._watching_directly.set()

    async def wait_for_changes(
        self,
        revisions: Mapping[Kind, int],
        version: int,
        timeout: float,
    ) -> None:
        """Wait until this node can serve a follower newer records than it has.

        Parameters
        ----------
        revisions : mapping of Kind to int
            The follower's revision of each kind.
        version : int
            The follower's configuration version.
        timeout : float
            Maximum wait in seconds.
        """
        wakeup = curio.Event()
        self._waiters.add(wakeup)
        try:
            async with curio.ignore_after(timeout):
                while not (
                    self.can_serve_followers
                    and self._has_newer(revisions, version)
                ):
                    await wakeup.wait()
                    wakeup.clear()
        finally:
            self._waiters.discard(wakeup)

    async def _prepare_relisting(self, kind: Kind, reason: str) -> None:
        """Log that the kind must be listed again, and pause with jitter."""
        self._journal.record('store.history_gone', kind=kind, reason=reason)
        await curio.sleep(INITIAL_BACKOFF_S * self._randomness.random())

    async def _back_off(self, kind: Kind, pause: float) -> None:
        """Pause after a failed call.

        During an outage, one kind probes the store and the others wait for a
        successful probe.
        """
        if kind is PROBING_KIND or self._reachable[PROBING_KIND]:
            await curio.sleep(pause * (0.5 + self._randomness.random()))
            return
        async with curio.ignore_after(PROBE_TIMEOUT_S * self.backoff_factor):
            await self._store_available.wait()

    async def _fetch_next(self, kind: Kind, has_listing: bool) -> None:
        if not has_listing:
            started_at = await curio.clock()
            listing = await self._store.list_records(kind)
            if all(entry.record is not None for entry in listing.entries):
                # With undecodable records the listing is incomplete.
                self._view.listed_at[kind] = started_at
            await self._view.apply_update(kind, listing)
            self._listed.add(kind)
            return
        # After a failure, poll without waiting to learn whether the store has
        # recovered.
        wait = WATCH_TIMEOUT_S if self._reachable[kind] else 0
        changes = await self._watches.wait(kind, wait)
        await self._view.apply_update(kind, changes)

    def _has_newer(self, revisions: Mapping[Kind, int], version: int) -> bool:
        return self._view.version > version or any(
            self._view.get_revision(kind) > revision
            for kind, revision in revisions.items()
        )

    async def _wait_until_direct(self, kind: Kind) -> None:
        """Wait while a peer watches the kind for this node."""
        must_watch = not self._is_role_decided and (
            kind is Kind.MEMBERS
            or (kind is Kind.CONFIGURATION and not self._view.version)
        )
        if kind in FOLLOWABLE_KINDS and not must_watch:
            await self._watching_directly.wait()

    async def _set_reachable(
        self,
        kind: Kind,
        is_reachable: bool,
        reason: str = '',
    ) -> None:
        if is_reachable != self._reachable[kind]:
            event = 'store.regained' if is_reachable else 'store.lost'
            self._journal.record(event, kind=kind, reason=reason)
        self._reachable[kind] = is_reachable
        if kind is PROBING_KIND and is_reachable:
            await self._store_available.set()
        elif kind is PROBING_KIND:
            self._store_available.clear()
        await self._notify_waiters(kind)

    async def _notify_waiters(self, _: Kind) -> None:
        """Wake the calls of `wait_for_changes`."""
        for wakeup in tuple(self._waiters):
            await wakeup.set()
