"""Storage of a stand-in database: `sqlite3` and a replicated log.

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
_MAX_CACHED_STATEMENTS: Final = 1024


@dataclass(frozen=True, slots=True)
class Change:
    """One data-changing statement with its arguments."""

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


@lru_cache(maxsize=_MAX_CACHED_STATEMENTS)
def translate(text: str) -> str:
    """Translate a statement from the PostgreSQL to the SQLite dialect."""
    if '::' not in text:
        return text
    trees = sqlglot.parse(text, read='postgres')
    return ';'.join(
        tree.sql(dialect='sqlite') for tree in trees if tree is not None
    )


@lru_cache(maxsize=_MAX_CACHED_STATEMENTS)
def split_statements(text: str) -> tuple[str, ...]:
    """Split a simple query into statements."""
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
    """Stored state of one database.

    Attributes
    ----------
    log : list of LogEntry
        Durable log; its length is the received offset.
    applied : int
        Number of log entries that are visible to readers.
    """

    name: str
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0
    _directory: tempfile.TemporaryDirectory[str] | None = None
    _writer: sqlite3.Connection | None = None

    @property
    def received(self) -> int:
        """Number of entries in the durable log."""
        return len(self.log)

    @property
    def log_term(self) -> int:
        """Term of the last entry of the durable log, 0 without entries."""
        return self.log[-1].term if self.log else 0

    @property
    def writer(self) -> sqlite3.Connection:
        """Connection that applies replicated changes."""
        if self._writer is None:
            self._writer = self.connect()
            self._writer.execute('PRAGMA journal_mode=WAL')
        return self._writer

    def connect(self) -> sqlite3.Connection:
        """Return a new connection for one session."""
        if self._directory is None:
            self._directory = tempfile.TemporaryDirectory(prefix='deckdrum-')
        path = os.path.join(self._directory.name, 'db')
        connection = sqlite3.connect(
            path,
            isolation_level=None,
            timeout=0,
            check_same_thread=False,
        )
        connection.execute('PRAGMA synchronous=OFF')
        return connection

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log without applying it."""
        self.log.append(entry)

    def apply_next(self) -> None:
        """Apply the next entry of the log."""
        entry = self.log[self.applied]
        self.writer.execute('BEGIN IMMEDIATE')
        for change in entry.changes:
            run(self.writer, change)
        self.writer.execute('COMMIT')
        self.applied += 1

    def is_prefix_of(self, other: 'Engine') -> bool:
        """Return whether this log is a prefix of the log of `other`."""
        if self.received > other.received:
            return False
        if not self.log:
            return True
        return self.log[-1] == other.log[self.received - 1]

    def copy_from(self, other: 'Engine') -> None:
        """Replace log and data by the applied state of `other`."""
        other.writer.backup(self.writer)
        self.writer.execute('PRAGMA journal_mode=WAL')
        self.log = other.log[: other.applied]
        self.applied = other.applied

    def close(self) -> None:
        """Remove the stored files."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        if self._directory is not None:
            self._directory.cleanup()
            self._directory = None


def run(connection: sqlite3.Connection, change: Change) -> sqlite3.Cursor:
    """Execute one statement; ``$1`` is the first argument."""
    named = {
        str(position): argument
        for position, argument in enumerate(change.arguments, start=1)
    }
    return connection.execute(translate(change.text), named)
