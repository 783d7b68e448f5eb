"""A node's copy of one kind of record, and incremental updates for peers."""

from typing import Final

from deckdrum.control.store import Changes, Entry, Listing
from deckdrum.control.update_encoding import Update

#: Removals kept for incremental updates.  A peer whose revision is older than
#: the oldest of them gets a full listing.
MAX_TOMBSTONES: Final = 1000


class RecordCache:
    """Records of one kind, with tombstones of recent removals.

    Examples
    --------
    >>> cache = RecordCache()
    >>> cache.record_listing(5)
    >>> cache.upsert(Entry('n1', 4, None))
    >>> cache.remove('n1', 7)
    >>> cache.revision = 7
    >>> cache.get_update(5).entries
    (Entry(name='n1', revision=7, record=None),)
    >>> cache.get_update(3).entries
    ()

    A record created and removed between two listings leaves no tombstone, so a
    peer whose revision is older than the second one gets a full listing.

    >>> cache.record_listing(9)
    >>> type(cache.get_update(8)).__name__
    'Listing'
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        #: Store revision up to which the records are known.
        self.revision = 0
        #: Revision since which a tombstone is held for every removal.
        self._complete_from = 0
        self._tombstones: dict[str, int] = {}

    def record_listing(self, revision: int) -> None:
        """Record a full listing as of `revision`.

        Records created and removed since the previous listing were not seen.
        """
        self.revision = max(self.revision, revision)
        self._complete_from = max(self._complete_from, revision)

    def upsert(self, entry: Entry) -> None:
        """Insert or replace a record."""
        self.entries[entry.name] = entry
        self._tombstones.pop(entry.name, None)

    def is_outdated(self, entry: Entry) -> bool:
        """Return whether a later change or removal of the record is known."""
        known = self.entries.get(entry.name)
        later = known.revision if known else self._tombstones.get(entry.name, 0)
        return later > entry.revision

    def remove(self, name: str, revision: int) -> None:
        """Remove a record that no longer exists at `revision`."""
        self.entries.pop(name, None)
        self._tombstones[name] = revision
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            evicted = self._tombstones.pop(oldest)
            self._complete_from = max(self._complete_from, evicted)

    def get_update(self, since: int) -> Update:
        """Return what changed after `since`, or a full listing.

        The listing is returned if some removals after `since` are not known.
        """
        entries = tuple(self.entries.values())
        if not self._complete_from or since < self._complete_from:
            return Listing(self.revision, entries)
        changed = [entry for entry in entries if entry.revision > since]
        removed = [
            Entry(name, revision, None)
            for name, revision in self._tombstones.items()
            if revision > since
        ]
        return Changes(self.revision, (*changed, *removed))
