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

_SLEEP_STATEMENT: Final = re.compile(
    r'\A\s*SELECT\s+pg_sleep\(\s*([\d.]+)\s*\)\s*;?\s*\Z',
    re.IGNORECASE,
)
_CONTROL_FUNCTION: Final = re.compile(
    r'deckdrum_(state|fence|promote|follow)(?:\(([^)]*)\))?',
)
_FIRST_KEYWORD: Final = re.compile(r'\A(?:\s|/\*.*?\*/)*(\w+)', re.DOTALL)
_WRITE_COMMANDS: Final = frozenset(
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
_ABORTED_MESSAGE: Final = 'current transaction is aborted'
_STATE_COLUMNS: Final = (
    'role',
    'term',
    'received',
    'applied',
    'fenced',
    'leaving',
    'log_term',
)


class SqlError(Exception):
    """A statement failed with an SQLSTATE."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


@dataclass(slots=True)
class Answer:
    """Result of a statement: command tag, columns and rows.

    `rows` holds rows that were fetched already; `cursor` yields the others.
    """

    command_tag: str
    columns: tuple[str, ...] = ()
    first_row: Sequence[Scalar] | None = None
    cursor: sqlite3.Cursor | None = None
    rows: list[tuple[Scalar, ...]] = field(default_factory=list)


class Transaction:
    """Transaction state of one session."""

    def __init__(self, database: 'ReplicatedDatabase') -> None:
        self._database = database
        self._connection = database.engine.connect()
        self._changes: list[Change] = []
        self._is_open = False
        self._has_failed = False
        self._holds_lock = False
        self.is_explicit = False
        self.cancelled = curio.Event()

    @property
    def status(self) -> str:
        """Transaction status for ReadyForQuery: ``I``, ``T`` or ``E``."""
        if self._has_failed:
            return 'E'
        return 'T' if self.is_explicit else 'I'

    async def execute(
        self,
        text: str,
        arguments: tuple[Scalar, ...] = (),
    ) -> Answer:
        """Execute one statement.

        Raises
        ------
        SqlError
            If the statement failed or was cancelled.
        """
        await self._simulate_execution_time(text)
        match = _FIRST_KEYWORD.match(text)
        keyword = match.group(1).upper() if match else ''
        command_method = _TRANSACTION_COMMANDS.get(keyword)
        if command_method is not None:
            return await command_method(self)
        if self._has_failed:
            raise SqlError('25P02', _ABORTED_MESSAGE)
        call = _CONTROL_FUNCTION.search(text)
        if call is not None:
            return await self._call_control_function(call)
        return await self._run(Change(text, arguments), keyword)

    async def change_setting(self) -> Answer:
        """Accept SET or RESET, which have no effect."""
        return Answer('SET')

    async def show_setting(self) -> Answer:
        """Answer SHOW with a fixed value."""
        row = ('on',)
        return Answer('SHOW', ('setting',), row, rows=[row])

    async def begin(self) -> Answer:
        """Open an explicit transaction."""
        self.is_explicit = True
        self._ensure_open()
        return Answer('BEGIN')

    async def finish(self) -> Answer:
        """Commit, or roll back if the transaction has failed.

        Raises
        ------
        SqlError
            If the database is fenced or no longer the primary.
        """
        if self._has_failed:
            return await self.roll_back()
        try:
            await self._commit()
        except FencedError as error:
            await self.roll_back()
            raise SqlError('25006', str(error)) from error
        return Answer('COMMIT')

    async def roll_back(self) -> Answer:
        """Roll the transaction back."""
        if self._is_open:
            self._connection.execute('ROLLBACK')
        await self._reset()
        return Answer('ROLLBACK')

    async def end_implicit(self) -> None:
        """Commit an implicit transaction, as at Sync."""
        if not self.is_explicit and self._is_open:
            await self.finish()

    async def fail(self) -> None:
        """Abort the transaction after a failed statement."""
        if self.is_explicit:
            self._has_failed = True
        else:
            await self.roll_back()

    async def close(self) -> None:
        """Roll back and close the SQLite connection."""
        await self.roll_back()
        self._connection.close()

    async def _simulate_execution_time(self, text: str) -> None:
        seconds = self._database.profile.statement_time
        match = _SLEEP_STATEMENT.match(text)
        if match is not None:
            seconds += float(match.group(1))
        if not seconds:
            return
        self.cancelled.clear()
        async with curio.ignore_after(seconds):
            await self.cancelled.wait()
            raise SqlError('57014', 'canceling statement due to user request')

    def _ensure_open(self) -> None:
        if not self._is_open:
            self._connection.execute('BEGIN')
            self._is_open = True

    async def _run(self, change: Change, keyword: str) -> Answer:
        is_write = keyword in _WRITE_COMMANDS
        if _SLEEP_STATEMENT.match(change.text):
            change = Change('SELECT 1 AS pg_sleep')
        if is_write:
            await self._prepare_write()
        if is_write or self.is_explicit:
            self._ensure_open()
        try:
            cursor = run(self._connection, change)
            answer = _build_answer(cursor, keyword)
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
        if self._is_open:
            self._connection.execute('COMMIT')
            self._is_open = False
        if self._changes:
            await self._database.commit(tuple(self._changes))
        await self._reset()

    async def _reset(self) -> None:
        self._changes = []
        self._is_open = False
        self._has_failed = False
        self.is_explicit = False
        if self._holds_lock:
            self._holds_lock = False
            await self._database.write_lock.release()

    async def _call_control_function(self, call: re.Match[str]) -> Answer:
        raw = (call.group(2) or '').split(',')
        arguments = [part.strip().strip("'") for part in raw if part.strip()]
        database = self._database
        if call.group(1) != 'state':
            await database.wait_for_order()
        try:
            match call.group(1):
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
            database.engine.log_term,
        )
        return Answer('SELECT 1', _STATE_COLUMNS, row, rows=[row])


_TRANSACTION_COMMANDS: Final = MappingProxyType(
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


def _build_answer(cursor: sqlite3.Cursor, keyword: str) -> Answer:
    count = max(cursor.rowcount, 0)
    if cursor.description is None:
        return Answer(_format_command_tag(keyword, count))
    columns = tuple(column[0] for column in cursor.description)
    if keyword in _WRITE_COMMANDS:
        rows = cursor.fetchall()
        first_row = rows[0] if rows else None
        command_tag = _format_command_tag(keyword, len(rows))
        return Answer(command_tag, columns, first_row, rows=rows)
    first_row = cursor.fetchone()
    rows = [] if first_row is None else [first_row]
    return Answer('SELECT', columns, first_row, cursor, rows)


def _format_command_tag(keyword: str, count: int) -> str:
    return f'INSERT 0 {count}' if keyword == 'INSERT' else f'{keyword} {count}'
