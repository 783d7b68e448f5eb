"""Storage of a stand-in database: SQL by `sqlite3` and a log of changes.

TEST STAND-IN.  The log is a list of committed transactions, each a list of
SQL statements; a replica replays them.  Statements must be deterministic.
"""

import os
import sqlite3
import tempfile
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

import sqlglot

Scalar = int | float | str | bytes | None
_PLAN_ENTRIES: Final = 1024


@dataclass(frozen=True, slots=True)
class Change:
    """One changing statement with its parameters."""

    text: str
    arguments: tuple[Scalar, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    `committed_at` is the primary's commit time in seconds of kernel time.
    """

    term: int
    committed_at: float
    changes: tuple[Change, ...] = ()


@lru_cache(maxsize=_PLAN_ENTRIES)
def translate(text: str) -> str:
    """Return `text` in the dialect of `sqlite3`."""
    if '::' not in text:
        return text
    trees = sqlglot.parse(text, read='postgres')
    return ';'.join(
        tree.sql(dialect='sqlite') for tree in trees if tree is not None
    )


@lru_cache(maxsize=_PLAN_ENTRIES)
def split_statements(text: str) -> tuple[str, ...]:
    """Cut a simple query into its statements."""
    if ';' not in text.strip().rstrip(';'):
        return (text,) if text.strip(' ;\n\t') else ()
    tokens = sqlglot.tokenize(text, read='postgres')
    parts: list[str] = []
    start = 0
    for token in tokens:
        if token.text == ';':
            parts.append(text[start : token.start])
            start = token.end + 1
    parts.append(text[start:])
    return tuple(part.strip() for part in parts if part.strip())


@dataclass(slots=True)
class Engine:
    """The stored state of one database.

    Attributes
    ----------
    log : list of LogEntry
        What is durable here; its length is the received offset.
    applied : int
        Log entries that readers see.
    """

    name: str
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0
    _folder: tempfile.TemporaryDirectory[str] | None = None
    _writer: sqlite3.Connection | None = None

    @property
    def received(self) -> int:
        """Offset up to which the log is durable here."""
        return len(self.log)

    @property
    def writer(self) -> sqlite3.Connection:
        """The connection by which replicated changes are applied."""
        if self._writer is None:
            self._writer = self.connect()
            self._writer.execute('PRAGMA journal_mode=WAL')
        return self._writer

    def connect(self) -> sqlite3.Connection:
        """Return a new connection for one session."""
        if self._folder is None:
            self._folder = tempfile.TemporaryDirectory(prefix='deckdrum-')
        path = os.path.join(self._folder.name, 'db')
        link = sqlite3.connect(
            path,
            isolation_level=None,
            timeout=0,
            check_same_thread=False,
        )
        link.execute('PRAGMA synchronous=OFF')
        return link

    def append(self, entry: LogEntry) -> None:
        """Add an entry to the log; readers do not see it yet."""
        self.log.append(entry)

    def apply_next(self) -> None:
        """Make the next entry of the log visible."""
        entry = self.log[self.applied]
        self.writer.execute('BEGIN IMMEDIATE')
        for change in entry.changes:
            run(self.writer, change)
        self.writer.execute('COMMIT')
        self.applied += 1

    def is_prefix_of(self, other: 'Engine') -> bool:
        """Tell whether this log is the beginning of `other`'s."""
        if self.received > other.received:
            return False
        if not self.log:
            return True
        return self.log[-1] == other.log[self.received - 1]

    def copy_from(self, other: 'Engine') -> None:
        """Replace everything here by the state of `other`."""
        other.writer.backup(self.writer)
        self.writer.execute('PRAGMA journal_mode=WAL')
        self.log = other.log[: other.applied]
        self.applied = other.applied

    def close(self) -> None:
        """Remove the stored files."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        if self._folder is not None:
            self._folder.cleanup()
            self._folder = None


def run(link: sqlite3.Connection, change: Change) -> sqlite3.Cursor:
    """Execute one statement; ``$1`` names the first argument."""
    named = {
        str(place): argument
        for place, argument in enumerate(change.arguments, start=1)
    }
    return link.execute(translate(change.text), named)
