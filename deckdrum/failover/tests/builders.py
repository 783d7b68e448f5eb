"""Doubles of the store and of databases, for tests of the driver."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any

from deckdrum.databases import (
    Credentials,
    DatabaseLink,
    DatabaseState,
    PostgresDatabase,
    Role,
)
from deckdrum.failover import FailoverDriver, FailoverReport
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.objects import (
    Changes,
    Conflict,
    ObjectStore,
    Stored,
    StoredObject,
)
from deckdrum.store.records import GroupRecord, Phase
from deckdrum.store.view import StoreView, VersionedRecord
from deckdrum.testing.builders import build_entry, build_state
from deckdrum.utils.journal import open_null_journal

SERVICE = 'stalls'
NAMES = ('d1', 'd2', 'd3')


class MemoryStore(ObjectStore):
    """Store of one object."""

    def __init__(self) -> None:
        self.version = 1
        self.body = build_record(1, 'd1').encode()
        #: Updates that will be refused, in the order of all updates.
        self.refused_updates: set[int] = set()
        #: Updates that will take effect without an answer.
        self.lost_answers: set[int] = set()
        self.updates = 0
        #: Called after each update, before its sender has the answer.
        self.after_update: Callable[[], Awaitable[None]] | None = None

    @property
    def record(self) -> GroupRecord:
        """The stored record."""
        return GroupRecord.decode(self.body)

    async def fetch(self, path: str) -> StoredObject | None:
        """Return the object."""
        return StoredObject(path, self.version, self.body)

    async def put(
        self, path: str, body: bytes, version: int
    ) -> Stored | Conflict:
        """Store the object, unless this update is refused."""
        self.updates += 1
        if self.updates in self.refused_updates:
            raise StoreError('503')
        if version != self.version:
            return Conflict()
        self.version += 1
        self.body = body
        stored = Stored(self.version)
        if self.after_update is not None:
            await self.after_update()
        if self.updates in self.lost_answers:
            raise StoreError('no answer')
        return stored

    async def watch(self, revision: int, wait: float) -> Changes:
        """Return no change."""
        return Changes(revision, (), None)


class SilentLink:
    """Connection that only closes."""

    async def close(self) -> None:
        """Do nothing."""


class ObedientDatabase(PostgresDatabase):
    """Database that executes each order of the failover at once."""

    def __init__(self, name: str) -> None:
        super().__init__(build_entry(name), Credentials('u', 'p', 'a'))
        #: Whether it answers no order to fence it.
        self.is_lost = False
        #: Terms in which it was promoted.
        self.promotions: list[int] = []

    async def connect(self, timeout: float) -> DatabaseLink:
        """Return a connection."""
        link: Any = SilentLink()
        return link  # type: ignore[no-any-return]

    async def fence(
        self, link: DatabaseLink, term: int
    ) -> DatabaseState | None:
        """Return the state of a fenced database."""
        state = build_state(role=Role.FENCED, fenced=term)
        return None if self.is_lost else state

    async def promote(
        self, link: DatabaseLink, term: int
    ) -> DatabaseState | None:
        """Become the primary."""
        self.promotions.append(term)
        return build_state(role=Role.PRIMARY, term=term, fenced=term)

    async def fetch_state(self, link: DatabaseLink) -> DatabaseState:
        """Return the state of a fenced database."""
        return build_state(role=Role.FENCED, fenced=2)

    async def follow(
        self, link: DatabaseLink, primary: str, term: int
    ) -> DatabaseState | None:
        """Follow the primary."""
        return build_state(term=term, fenced=term)


def build_record(
    term: int, primary: str, phase: Phase = Phase.SETTLED, driver: str = 'p1'
) -> GroupRecord:
    """Return a record of the group."""
    return GroupRecord(
        service=SERVICE,
        term=term,
        primary=primary,
        phase=phase,
        operation=f'{driver}-{term}',
        driver=driver,
    )


def build_view(store: MemoryStore) -> StoreView:
    """Return a view that holds the stored record."""
    view = StoreView(store, open_null_journal('test'), Random(1))
    view.apply_record(VersionedRecord(store.version, store.record))
    return view


async def run_failover(
    view: StoreView, databases: Sequence[ObedientDatabase]
) -> bool:
    """Run a failover of the known record as proxy p1.

    Returns whether it is settled.
    """
    driver = FailoverDriver(
        {each.name: each for each in databases},
        view,
        'p1',
        open_null_journal('test'),
        Random(2),
    )
    report = FailoverReport(SERVICE, 2, 'p1', 'd1', 'test')
    return await driver.run_failover(view.records[SERVICE], report)
