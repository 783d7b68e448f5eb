"""Transactions of one session on a stand-in database.

TEST STAND-IN.
"""

import re
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import curio

from deckdrum.standins.engine import Change, Scalar, run
from deckdrum.standins.replication import FencedError

if TYPE_CHECKING:
    from deckdrum.standins.replication import ReplicatedDatabase

_SLEEP: Final = re.compile(
    r'\A\s*SELECT\s+pg_sleep\(\s*([\d.]+)\s*\)\s*;?\s*\Z',
    re.IGNORECASE,
)
_CONTRACT: Final = re.compile(
    r'deckdrum_(state|fence|promote|follow)(?:\(([^)]*)\))?',
)
_FIRST_WORD: Final = re.compile(r'\A(?:\s|/\*.*?\*/)*(\w+)', re.DOTALL)
_WRITING: Final = frozenset(
    (
        'INSERT',
        'UPDATE',
        'DELETE',
        'REPLACE',
        'CREATE',
        'DROP',
        'ALTER',
    )
)
_FAILED: Final = 'current transaction is aborted'
_STATE_COLUMNS: Final = (
    'role',
    'term',
    'received',
    'applied',
    'fenced',
    'leaving',
)


class SqlError(Exception):
    """A statement failed; carries the SQLSTATE."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(slots=True)
class Answer:
    """What a statement gave: its tag, column names and a row source."""

    command: str
    columns: tuple[str, ...] = ()
    first: Sequence[Scalar] | None = None
    cursor: sqlite3.Cursor | None = None
    rows: list[tuple[Scalar, ...]] = field(default_factory=list)


class Transaction:
    """The transaction state of one session.

    Parameters
    ----------
    database : ReplicatedDatabase
        Where the session runs.
    """

    def __init__(self, database: 'ReplicatedDatabase') -> None:
        self._database = database
        self._link = database.engine.connect()
        self._changes: list[Change] = []
        self._open = False
        self._failed = False
        self._holds_lock = False
        self.explicit = False
        self.cancelled = curio.Event()

    @property
    def status(self) -> str:
        """Status as in ReadyForQuery: ``I``, ``T`` or ``E``."""
        if self._failed:
            return 'E'
        return 'T' if self.explicit else 'I'

    async def execute(
        self,
        text: str,
        arguments: tuple[Scalar, ...] = (),
    ) -> Answer:
        """Execute one statement.

        Raises
        ------
        SqlError
            If it failed.
        """
        await self._pass_time(text)
        match = _FIRST_WORD.match(text)
        word = match.group(1).upper() if match else ''
        control = _CONTROLS.get(word)
        if control is not None:
            return await control(self)
        if self._failed:
            raise SqlError('25P02', _FAILED)
        called = _CONTRACT.search(text)
        if called is not None:
            return await self._call_contract(called)
        return await self._run(Change(text, arguments), word)

    async def change_setting(self) -> Answer:
        """Accept a SET or RESET; settings have no effect here."""
        return Answer('SET')

    async def show_setting(self) -> Answer:
        """Answer a SHOW."""
        row = ('on',)
        return Answer('SHOW', ('setting',), row, rows=[row])

    async def begin(self) -> Answer:
        """Open an explicit transaction."""
        self.explicit = True
        self._ensure_open()
        return Answer('BEGIN')

    async def finish(self) -> Answer:
        """Commit, or roll back if the transaction has failed.

        Raises
        ------
        SqlError
            If the database may no longer write.
        """
        if self._failed:
            return await self.roll_back()
        try:
            await self._commit()
        except FencedError as error:
            await self.roll_back()
            raise SqlError('25006', str(error)) from error
        return Answer('COMMIT')

    async def roll_back(self) -> Answer:
        """Undo what the transaction did."""
        if self._open:
            self._link.execute('ROLLBACK')
        await self._reset()
        return Answer('ROLLBACK')

    async def end_implicit(self) -> None:
        """Commit an implicit transaction, as Sync does."""
        if not self.explicit and self._open:
            await self.finish()

    async def fail(self) -> None:
        """Note that a statement failed."""
        if self.explicit:
            self._failed = True
        else:
            await self.roll_back()

    async def close(self) -> None:
        """Roll back and close the session's connection."""
        await self.roll_back()
        self._link.close()

    async def _pass_time(self, text: str) -> None:
        seconds = self._database.profile.statement_time
        match = _SLEEP.match(text)
        if match is not None:
            seconds += float(match.group(1))
        if not seconds:
            return
        self.cancelled.clear()
        async with curio.ignore_after(seconds):
            await self.cancelled.wait()
            raise SqlError('57014', 'canceling statement due to user request')

    def _ensure_open(self) -> None:
        if not self._open:
            self._link.execute('BEGIN')
            self._open = True

    async def _run(self, change: Change, word: str) -> Answer:
        is_write = word in _WRITING
        if _SLEEP.match(change.text):
            change = Change('SELECT 1 AS pg_sleep')
        if is_write:
            await self._prepare_write()
        if is_write or self.explicit:
            self._ensure_open()
        try:
            cursor = run(self._link, change)
            answer = _read_answer(cursor, word)
        except sqlite3.IntegrityError as error:
            raise SqlError('23505', str(error)) from error
        except sqlite3.Error as error:
            raise SqlError('42601', str(error)) from error
        if is_write:
            self._changes.append(change)
        return answer

    async def _prepare_write(self) -> None:
        try:
            self._database.check_writable()
        except FencedError as error:
            raise SqlError('25006', str(error)) from error
        if not self._holds_lock:
            await self._database.write_lock.acquire()
            self._holds_lock = True

    async def _commit(self) -> None:
        if self._changes:
            self._database.check_writable()
        if self._open:
            self._link.execute('COMMIT')
            self._open = False
        if self._changes:
            await self._database.commit(tuple(self._changes))
        await self._reset()

    async def _reset(self) -> None:
        self._changes = []
        self._open = False
        self._failed = False
        self.explicit = False
        if self._holds_lock:
            self._holds_lock = False
            await self._database.write_lock.release()

    async def _call_contract(self, called: re.Match[str]) -> Answer:
        raw = (called.group(2) or '').split(',')
        arguments = [part.strip().strip("'") for part in raw if part.strip()]
        database = self._database
        try:
            match called.group(1):
                case 'fence':
                    database.fence(int(arguments[0]))
                case 'promote':
                    await database.promote(int(arguments[0]))
                case 'follow':
                    database.follow(arguments[0], int(arguments[1]))
        except FencedError as error:
            raise SqlError('55000', str(error)) from error
        row = (
            database.role.value,
            database.term,
            database.engine.received,
            database.engine.applied,
            database.fenced_term,
            int(database.leaving),
        )
        return Answer('SELECT 1', _STATE_COLUMNS, row, rows=[row])


_CONTROLS: Final = MappingProxyType(
    {
        'BEGIN': Transaction.begin,
        'START': Transaction.begin,
        'COMMIT': Transaction.finish,
        'END': Transaction.finish,
        'ROLLBACK': Transaction.roll_back,
        'ABORT': Transaction.roll_back,
        'SET': Transaction.change_setting,
        'RESET': Transaction.change_setting,
        'SHOW': Transaction.show_setting,
    }
)


def _read_answer(cursor: sqlite3.Cursor, word: str) -> Answer:
    count = max(cursor.rowcount, 0)
    if cursor.description is None:
        return Answer(_name_command(word, count))
    columns = tuple(column[0] for column in cursor.description)
    if word in _WRITING:
        rows = cursor.fetchall()
        first = rows[0] if rows else None
        command = _name_command(word, len(rows))
        return Answer(command, columns, first, rows=rows)
    first = cursor.fetchone()
    rows = [] if first is None else [first]
    return Answer('SELECT', columns, first, cursor, rows)


def _name_command(word: str, count: int) -> str:
    return f'INSERT 0 {count}' if word == 'INSERT' else f'{word} {count}'
