"""Keeping a node's view of the store fed: lists, watches and their failures.

One task for each kind lists its records and then watches them.  Each call is
paid for, refused ones included: while the store is away one kind probes it for
all, and some kinds may be left to a peer that watches them.
"""

from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.control.store import ControlStore, HistoryGoneError, Kind
from deckdrum.control.view import ControlView
from deckdrum.control.watches import CHECK_PAUSE, WatchMonitor
from deckdrum.outcomes.errors import StoreError
from deckdrum.utils import Journal

#: How long one watch waits for a change, in seconds.  A longer watch saves
#: calls; the store allows up to 30 s.
WATCH_WAIT: Final = 25.0
#: First and longest pause after a failed call, in seconds; doubled between.
#: The longest stays well below the bound for a configuration (3 s).  Where a
#: data centre has many nodes it grows with them, so that all together probe an
#: absent store no more often; what one of them learns, peers spread.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 0.8
#: Kinds whose watches a node may leave to a peer: all, since each answer to a
#: watch is a call that is paid for, and each version would cost one a node.
FOLLOWABLE_KINDS: Final = frozenset(Kind)
#: The kind whose calls find out for all whether an absent store is back: the
#: one whose news is urgent.  Each call is priced, refused ones included.
PROBING_KIND: Final = Kind.CONFIGURATION
#: Longest wait of the other kinds for that, in seconds; grows with the nodes.
PROBE_LIMIT: Final = 5.0
#: Pause after each change of a kind whose news is not urgent, in seconds.  It
#: bundles the entries of nodes or servers that start together; otherwise each
#: of them would cost every node a call.
COALESCING_DELAYS_S: Final = MappingProxyType(
    {Kind.MEMBERS: 0.5, Kind.SERVERS: 0.4},
)


class StoreFeed:
    """Brings a node's view up to date.

    Parameters
    ----------
    view : ControlView
        Takes what the store tells.
    store : ControlStore
        The store.
    journal : Journal
        For a store that is lost or regained.
    randomness : random.Random
        Spreads the calls of many nodes in time.
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
        #: Set while the kind that probes the store has got an answer.
        self._regained = curio.Event()
        #: Set while this node watches the store for kinds that may be followed.
        self._direct = curio.Event()
        #: Whether it is known who watches; until then this node lists, and
        #: watches only for the nodes that start with it.
        self._is_role_decided = False
        #: Whether the peer that this node follows hears from the store.
        self._is_served = True
        #: Times the longest pauses while the store is absent.
        self.sharing: float = 1
        #: Set at the next change, for peers that wait for one.
        self._waiting: set[Any] = set()
        view.on_change.append(self._notify_waiters)

    @property
    def is_synchronized(self) -> bool:
        """Whether the latest news of every kind came as it should.

        It comes from the store, or from the peer that this node follows.
        """
        is_served = self.is_following_peer and self._is_served
        return all(
            is_reachable or (is_served and kind in FOLLOWABLE_KINDS)
            for kind, is_reachable in self._reachable.items()
        )

    @property
    def is_following_peer(self) -> bool:
        """Whether a peer's watches stand for some of this node's own."""
        return not self._direct.is_set()

    @property
    def is_feeding(self) -> bool:
        """Whether peers may follow this node: its own watches are answered."""
        return self.is_synchronized and not self.is_following_peer

    def has_listed(self, kind: Kind) -> bool:
        """Tell whether the store itself has listed a kind in this life."""
        return kind in self._listed

    async def run(self, kind: Kind) -> None:
        """List one kind, then watch it for ever."""
        pause = FIRST_PAUSE
        is_listed = False
        while True:
            try:
                await self._fetch_next(kind, is_listed)
            except HistoryGoneError as error:
                is_listed = False
                await self._prepare_relisting(kind, str(error))
            except StoreError as error:
                await self._note_reachable(kind, False, str(error))
                await self._rest(kind, pause)
                pause = min(pause * 2, LONGEST_PAUSE * self.sharing)
            else:
                is_listed = True
                pause = FIRST_PAUSE
                await self._note_reachable(kind, True)
                await curio.sleep(COALESCING_DELAYS_S.get(kind, 0))
                await self._wait_until_direct(kind)

    async def run_watch_checks(self) -> None:
        """Make sure for ever that watches that wait hear the store.

        Those of a node that follows a peer may be deaf: the peer's are not.
        """
        while True:
            await curio.sleep(CHECK_PAUSE)
            if not self.is_following_peer:
                await self._watches.check()

    async def follow(self, *, is_served: bool = True) -> None:
        """Leave the watches of some kinds to a peer.

        `is_served` tells whether that peer hears from the store.
        """
        self._is_role_decided = True
        self._is_served = is_served
        self._direct.clear()

    async def probe(self) -> bool:
        """Ask the store once; tell whether it answers this node."""
        since = self._view.get_revision(PROBING_KIND)
        try:
            changes = await self._store.watch(PROBING_KIND, since, 0)
        except HistoryGoneError:
            return True
        except StoreError:
            # Whoever follows a peer that is not served either goes on so.
            return False
        await self._view.apply_update(PROBING_KIND, changes)
        return True

    async def watch_directly(self) -> None:
        """Watch the store for every kind."""
        self._is_role_decided = True
        if not self.is_following_peer:
            return
        for kind in FOLLOWABLE_KINDS - self._watches.kinds:
            # What a peer said is no answer of the store: the first watch
            # must come back at once.  One that waits there already may go on.
            self._reachable[kind] = False
        self._regained.clear()
        await self._direct.set()

    async def wait_for_changes(
        self,
        revisions: Mapping[Kind, int],
        version: int,
        limit: float,
    ) -> None:
        """Wait until this node feeds others, and knows more than they do.

        Parameters
        ----------
        revisions : mapping of Kind to int
            Up to where the others know some kinds.
        version : int
            Their configuration.
        limit : float
            Longest wait in seconds.
        """
        changed = curio.Event()
        self._waiting.add(changed)
        try:
            async with curio.ignore_after(limit):
                while not (
                    self.is_feeding and self._has_newer(revisions, version)
                ):
                    await changed.wait()
                    changed.clear()
        finally:
            self._waiting.discard(changed)

    async def _prepare_relisting(self, kind: Kind, reason: str) -> None:
        """Note that the kind must be listed anew; spread the lists in time."""
        self._journal.record('store.history_gone', kind=kind, reason=reason)
        await curio.sleep(FIRST_PAUSE * self._randomness.random())

    async def _rest(self, kind: Kind, pause: float) -> None:
        """Pause after a failed call.

        While the store answers nothing, one kind probes it and the others
        wait for that one.
        """
        if kind is PROBING_KIND or self._reachable[PROBING_KIND]:
            await curio.sleep(pause * (0.5 + self._randomness.random()))
            return
        async with curio.ignore_after(PROBE_LIMIT * self.sharing):
            await self._regained.wait()

    async def _fetch_next(self, kind: Kind, is_listed: bool) -> None:
        if not is_listed:
            asked_at = await curio.clock()
            listing = await self._store.list_records(kind)
            if all(entry.record is not None for entry in listing.entries):
                # Otherwise a record may be there that nobody knows.
                self._view.listed_at[kind] = asked_at
            await self._view.apply_update(kind, listing)
            self._listed.add(kind)
            return
        # After a failure the answer must come at once: it tells that the
        # store is back.
        wait = WATCH_WAIT if self._reachable[kind] else 0
        changes = await self._watches.wait(kind, wait)
        # A peer may have told more meanwhile; what is known stays.
        await self._view.apply_update(kind, changes)

    def _has_newer(self, revisions: Mapping[Kind, int], version: int) -> bool:
        return self._view.version > version or any(
            self._view.get_revision(kind) > revision
            for kind, revision in revisions.items()
        )

    async def _wait_until_direct(self, kind: Kind) -> None:
        """Wait while a peer's watch of the kind stands for the own one."""
        is_awaited = not self._is_role_decided and (
            kind is Kind.MEMBERS
            or (kind is Kind.CONFIGURATION and not self._view.version)
        )
        if kind in FOLLOWABLE_KINDS and not is_awaited:
            await self._direct.wait()

    async def _note_reachable(
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
            await self._regained.set()
        elif kind is PROBING_KIND:
            self._regained.clear()
        await self._notify_waiters(kind)

    async def _notify_waiters(self, _: Kind) -> None:
        """Wake the peers that wait for news."""
        for changed in tuple(self._waiting):
            await changed.set()
