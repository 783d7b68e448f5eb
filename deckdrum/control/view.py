"""A node's view of the store, built from watches and from other nodes.

One task per kind lists the records and then watches them.  While the store
does not respond to this node, its peers send it their copies.  A record is
never replaced by an earlier revision, nor a configuration by an earlier
version.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from typing import Final

import curio

from deckdrum.backends.base import BackendServer
from deckdrum.control.draining import (
    DEFAULT_DRAIN_TIME_S,
    DrainStatus,
    DrainTracker,
)
from deckdrum.control.left_servers import LeftServers
from deckdrum.control.log_events import build_log_event
from deckdrum.control.record_cache import RecordCache
from deckdrum.control.records import Configuration, Member
from deckdrum.control.removed_members import RemovedMembers
from deckdrum.control.store import (
    Changes,
    ControlStore,
    Entry,
    Kind,
    Record,
)
from deckdrum.control.update_encoding import Update
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.objects import Conflict, Stored
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Journal

#: How long a server that is no longer listed is still used, in seconds.
#: Entries that expired during a store outage are published again within 2 s.
REMOVAL_GRACE_S: Final = 2.5
#: How long it is then treated as draining, in seconds, for servers that shut
#: down unannounced: a primary is replaced in this time.  Both times together
#: stay well below the drain time (7 s).
IMPLIED_DRAIN_TIME_S: Final = 2.0

#: Maximum number of nodes named in one log event.
MAX_LOGGED_MEMBERS: Final = 8
#: Name of the store as the source of a record, in the log.
STORE_SOURCE: Final = 'store'

_ChangeCallback = Callable[[Kind], Awaitable[None]]


class ControlView:
    """A node's copy of the store's records.

    Parameters
    ----------
    store : ControlStore
        The store.
    journal : Journal
        Logs changes of the view.
    drain_time : float
        Minimum time for which a draining server keeps serving, in seconds.
    """

    def __init__(
        self,
        store: ControlStore,
        journal: Journal,
        drain_time: float = DEFAULT_DRAIN_TIME_S,
        *,
        is_urgency_enabled: bool = True,
    ) -> None:
        self.store = store
        self._is_urgency_enabled = is_urgency_enabled
        self.configuration: Configuration | None = None
        #: Callbacks run after each change of the view.
        self.on_change: list[_ChangeCallback] = []
        #: Start of the last successful listing of each kind from the store, in
        #: seconds of the event loop clock.
        self.listed_at: dict[Kind, float] = {}
        self._journal = journal
        self._caches = {kind: RecordCache() for kind in Kind}
        #: Servers no longer listed, with the time of their removal.
        self._removed: dict[str, tuple[float, BackendServer]] = {}
        #: Servers no longer listed that may still confirm writes.
        self.left_servers = LeftServers()
        #: Nodes that may not know yet that their entries are gone.
        self.removed_members = RemovedMembers()
        #: Drain starts of servers, both announced and unlisted ones.
        self._drains = DrainTracker(drain_time)

    @property
    def version(self) -> int:
        """Version of the active configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Servers by id, including those unlisted a short time ago."""
        listed = {name: server for name, (_, server) in self._removed.items()}
        for name, entry in self._caches[Kind.SERVERS].entries.items():
            if isinstance(entry.record, BackendServer):
                listed[name] = entry.record
        return listed

    @property
    def members(self) -> dict[str, Member]:
        """Registered nodes by name."""
        return {
            name: entry.record
            for name, entry in self._caches[Kind.MEMBERS].entries.items()
            if isinstance(entry.record, Member)
        }

    def get_revision(self, kind: Kind) -> int:
        """Return the store revision up to which a kind is known."""
        return self._caches[kind].revision

    def get_update(self, kind: Kind, since: int) -> Update:
        """Return the changes of a kind after `since`, or a full listing."""
        return self._caches[kind].get_update(since)

    def get_leadership(self, service: str) -> tuple[int, GroupRecord] | None:
        """Return revision and record of a group's leadership, or None."""
        entry = self._caches[Kind.LEADERSHIP].entries.get(service)
        if entry is None or not isinstance(entry.record, GroupRecord):
            return None
        return entry.revision, entry.record

    def get_drain_status(self, server: str) -> DrainStatus:
        """Return the drain status of a server."""
        return self._drains.get_status(server)

    def get_member(self, name: str) -> Entry | None:
        """Return a node's registration, or None."""
        return self._caches[Kind.MEMBERS].entries.get(name)

    async def refresh(self, kind: Kind) -> bool:
        """List a kind now; return whether the store responded."""
        try:
            listing = await self.store.list_records(kind)
        except StoreError as error:
            self._journal.record(
                'store.not_listed', kind=kind, reason=str(error)
            )
            return False
        await self.apply_update(kind, listing)
        return True

    async def apply_update(
        self,
        kind: Kind,
        update: Update,
        source: str = STORE_SOURCE,
    ) -> None:
        """Apply an update from the store or a peer, except outdated records.

        `source` is where it came from, for the log.
        """
        cache = self._caches[kind]
        if isinstance(update, Changes):
            cache.revision = max(cache.revision, update.revision)
            # A removal carries the revision of the whole response, so a record
            # created again in the same response would seem outdated.
            latest = {entry.name: entry for entry in update.entries}
            await self._apply_entries(kind, latest.values(), source)
            return
        if update.revision < cache.revision:
            return
        names = {entry.name for entry in update.entries}
        removed = [
            Entry(name, update.revision, None)
            for name in cache.entries
            if name not in names
        ]
        cache.record_listing(update.revision)
        await self._apply_entries(kind, (*update.entries, *removed), source)

    async def apply_entry(self, kind: Kind, entry: Entry) -> None:
        """Apply one record, such as one that this node has written."""
        await self._apply_entries(kind, (entry,), STORE_SOURCE)

    async def put(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
        revision: int,
    ) -> int | None:
        """Store a record if its revision is still `revision`, and apply it.

        Returns
        -------
        int or None
            The record's new revision; None if its revision had changed.

        Raises
        ------
        StoreError
            If the store did not respond; the record may have been stored.
        """
        outcome = await self.store.put(kind, name, record, revision)
        if not isinstance(outcome, Stored) and not revision:
            outcome = await self._replace_unreadable(kind, name, record)
        if not isinstance(outcome, Stored):
            return None
        entry = Entry(name, outcome.version, record)
        await self.apply_entry(kind, entry)
        return outcome.version

    async def fetch(self, kind: Kind, name: str) -> Entry | None:
        """Read a record from the store, and apply it if it exists.

        Raises
        ------
        StoreError
            If the store did not respond.
        """
        entry = await self.store.fetch(kind, name)
        if entry is not None:
            await self.apply_entry(kind, entry)
        return entry

    async def apply_configuration(self, configuration: Configuration) -> bool:
        """Activate a configuration if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self._journal.record(
            'configuration.in_force',
            version=configuration.version,
            former=self.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        if not self._is_urgency_enabled:
            configuration = configuration.without_urgency()
        self.configuration = configuration
        await self._notify(Kind.CONFIGURATION)
        return True

    async def expire_removed_servers(self) -> None:
        """Treat unlisted servers as draining, and drop them later."""
        now = await curio.clock()
        has_changed = False
        listed = self._caches[Kind.SERVERS].entries
        self._drains.discard_unlisted(listed, now)
        for name, (removed_at, server) in list(self._removed.items()):
            age = now - removed_at
            if age >= REMOVAL_GRACE_S + IMPLIED_DRAIN_TIME_S:
                self._removed.pop(name)
                self._journal.record('server.forgotten', server=name)
            elif age >= REMOVAL_GRACE_S and not server.is_draining:
                draining = replace(server, is_draining=True)
                self._removed[name] = (removed_at, draining)
                self._journal.record('server.left_unannounced', server=name)
            else:
                continue
            has_changed = True
        if has_changed:
            await self._notify(Kind.SERVERS)

    async def _replace_unreadable(
        self,
        kind: Kind,
        name: str,
        record: GroupRecord | Member,
    ) -> Stored | Conflict:
        """Store a record in place of one that cannot be decoded, if any.

        A corrupt record would otherwise block changes of a group's primary, or
        the registration of a node, forever.
        """
        entry = await self.store.fetch(kind, name)
        if entry is None or entry.record is not None:
            return Conflict()
        return await self.store.put(kind, name, record, entry.revision)

    async def _apply_entries(
        self,
        kind: Kind,
        entries: Iterable[Entry],
        source: str,
    ) -> None:
        has_changed = False
        joined: list[str] = []
        for entry in entries:
            if self._caches[kind].is_outdated(entry):
                continue
            present = self._caches[kind].entries.get(entry.name)
            if present is not None and present.record == entry.record:
                self._caches[kind].upsert(entry)
                continue
            has_changed = True
            await self._apply_record(kind, entry, present, source)
            if isinstance(entry.record, Member):
                joined.append(entry.name)
        if joined:
            # One event for all: each node lists every other at startup.
            self._journal.record(
                'members.listed',
                count=len(joined),
                members=joined[:MAX_LOGGED_MEMBERS],
            )
        if has_changed and kind is not Kind.CONFIGURATION:
            await self._notify(kind)

    async def _apply_record(
        self,
        kind: Kind,
        entry: Entry,
        present: Entry | None,
        source: str,
    ) -> None:
        if isinstance(entry.record, Configuration):
            self._caches[kind].upsert(entry)
            await self.apply_configuration(entry.record)
            return
        if entry.record is None:
            await self._remove(kind, present, source)
            return
        if isinstance(entry.record, BackendServer):
            await self._update_drain_status(entry.record)
        if isinstance(entry.record, Member):
            self.removed_members.record_listing(entry.name)
        self._caches[kind].upsert(entry)
        self._log_applied(entry.record, entry.revision, source)

    async def _update_drain_status(self, server: BackendServer) -> None:
        """Record whether a listed server is draining."""
        self._removed.pop(server.id, None)
        self.left_servers.record_listing(server)
        if server.is_draining:
            self._drains.mark_draining(server.id, await curio.clock())
        else:
            self._drains.mark_active(server.id)

    async def _remove(
        self,
        kind: Kind,
        present: Entry | None,
        source: str,
    ) -> None:
        if present is None or kind is Kind.CONFIGURATION:
            return
        # `present.revision` is that of its last change.  The revision of the
        # removal is unknown, but not above that of the cache.
        self._caches[kind].remove(present.name, self._caches[kind].revision)
        self._journal.record(
            f'{kind}.removed',
            name=present.name,
            revision=self._caches[kind].revision,
            told_by=source,
        )
        now = await curio.clock()
        if isinstance(present.record, Member):
            self.removed_members.record_removal(present.record, now)
        if isinstance(present.record, BackendServer):
            self._removed[present.name] = (now, present.record)
            self.left_servers.record_removal(present.record, now)
            self._drains.mark_draining(present.name, now)

    def _log_applied(
        self,
        record: Record,
        revision: int,
        source: str,
    ) -> None:
        log_event = build_log_event(record, revision, source)
        if log_event is not None:
            event, fields = log_event
            self._journal.record(event, **fields)

    async def _notify(self, kind: Kind) -> None:
        for callback in self.on_change:
            await callback(kind)
