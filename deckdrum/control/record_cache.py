"""What a node knows of one kind of record, and what of it a peer lacks."""

from typing import Final

from deckdrum.control.store import Changes, Entry, Listing
from deckdrum.control.update_encoding import Update

#: Removals that are remembered of one kind; a peer that knows less than the
#: oldest of them gets the whole list.
MAX_TOMBSTONES: Final = 1000


class RecordCache:
    """Records of one kind, and those that were removed lately.

    Examples
    --------
    >>> known = RecordCache()
    >>> known.record_listing(5)
    >>> known.keep(Entry('n1', 4, None))
    >>> known.drop('n1', 7)
    >>> known.revision = 7
    >>> known.read_update(5).entries
    (Entry(name='n1', revision=7, record=None),)
    >>> known.read_update(3).entries
    ()

    A record that came and went between two listings leaves no trace, so a peer
    that knows less than the later one gets the whole list.

    >>> known.record_listing(9)
    >>> type(known.read_update(8)).__name__
    'Listing'
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        #: The store's counter up to which the kind is known.
        self.revision = 0
        #: The counter from which on every removal is remembered.
        self._complete_from = 0
        self._removed: dict[str, int] = {}

    def record_listing(self, revision: int) -> None:
        """Note that the whole kind is known as of `revision`.

        What came and went since the listing before was never seen.
        """
        self.revision = max(self.revision, revision)
        self._complete_from = max(self._complete_from, revision)

    def keep(self, entry: Entry) -> None:
        """Take over a record."""
        self.entries[entry.name] = entry
        self._removed.pop(entry.name, None)

    def is_outdated(self, entry: Entry) -> bool:
        """Tell whether a later change of a record, or its end, is known."""
        known = self.entries.get(entry.name)
        later = known.revision if known else self._removed.get(entry.name, 0)
        return later > entry.revision

    def drop(self, name: str, revision: int) -> None:
        """Forget a record that was removed by `revision` at the latest."""
        self.entries.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > MAX_TOMBSTONES:
            oldest = next(iter(self._removed))
            lost = self._removed.pop(oldest)
            self._complete_from = max(self._complete_from, lost)

    def read_update(self, since: int) -> Update:
        """Return what a peer lacks that knows the kind up to `since`."""
        entries = tuple(self.entries.values())
        if not self._complete_from or since < self._complete_from:
            return Listing(self.revision, entries)
        changed = [entry for entry in entries if entry.revision > since]
        removed = [
            Entry(name, revision, None)
            for name, revision in self._removed.items()
            if revision > since
        ]
        return Changes(self.revision, (*changed, *removed))
