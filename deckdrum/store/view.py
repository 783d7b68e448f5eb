"""A proxy's view of the platform's objects; it never goes back."""

import random
from dataclasses import dataclass
from typing import Final

import curio
from msgspec import ValidationError

from deckdrum.configuration import Document, parse_document
from deckdrum.outcomes.errors import DocumentError, StoreError
from deckdrum.store.objects import (
    Changes,
    ObjectStore,
    Stored,
    StoredObject,
)
from deckdrum.store.records import (
    CONFIGURATION_PATH,
    RECORDS_PREFIX,
    ConfigurationRecord,
    GroupRecord,
    Instance,
)
from deckdrum.utils import Journal

#: How long one watch waits for a change, in seconds.
WATCH_WAIT: Final = 30.0
#: First and longest pause after a failed call, in seconds; doubled between.
_FIRST_PAUSE: Final = 0.2
_LONGEST_PAUSE: Final = 5.0


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A group's record and its version in the store."""

    version: int
    record: GroupRecord


class StoreView:
    """What a proxy knows of the platform's objects.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    journal : Journal
        For changes of state.
    randomness : random.Random
        Spreads the calls of many proxies in time.
    """

    def __init__(
        self,
        store: ObjectStore,
        journal: Journal,
        randomness: random.Random,
    ) -> None:
        self.store = store
        self.records: dict[str, VersionedRecord] = {}
        self.configuration: ConfigurationRecord | None = None
        self.document: Document | None = None
        #: When the present configuration came into force, in kernel seconds.
        self.active_since: float = 0
        self.instances: tuple[Instance, ...] = ()
        self.is_reachable = False
        self.changed = curio.Condition()
        self._journal = journal
        self._randomness = randomness
        self._revision = 0

    @property
    def number(self) -> int:
        """Number of the configuration in force, or 0."""
        return self.configuration.number if self.configuration else 0

    async def run(self) -> None:
        """Watch the platform for ever."""
        pause = _FIRST_PAUSE
        while True:
            wait = WATCH_WAIT if self._revision else 0
            try:
                changes = await self.store.watch(self._revision, wait)
            except StoreError as error:
                self._note_reachable(False, str(error))
                await curio.sleep(pause * (1 + self._randomness.random()))
                pause = min(pause * 2, _LONGEST_PAUSE)
                continue
            pause = _FIRST_PAUSE
            self._note_reachable(True)
            await self.adopt(changes)

    async def adopt(self, changes: Changes) -> None:
        """Take over what is newer than what is known."""
        self._revision = changes.revision
        for entry in changes.entries:
            await self._adopt_object(entry)
        if changes.instances is not None:
            self.instances = changes.instances
        async with self.changed:
            await self.changed.notify_all()

    async def adopt_configuration(self, record: ConfigurationRecord) -> bool:
        """Put a configuration in force if it is newer; tell whether it was.

        A document that this proxy cannot read stays out of force as a whole.
        """
        if record.number <= self.number:
            return False
        try:
            document = parse_document(record.text)
        except DocumentError as error:
            self._journal.record(
                'configuration.unreadable',
                number=record.number,
                reason=str(error),
            )
            return False
        self.configuration = record
        self.document = document
        self.active_since = await curio.clock()
        self._journal.record(
            'configuration.in_force',
            number=record.number,
            operation=record.operation,
        )
        async with self.changed:
            await self.changed.notify_all()
        return True

    def adopt_record(self, held: VersionedRecord) -> bool:
        """Take over a group's record if its version is newer."""
        name = held.record.service
        known = self.records.get(name)
        if known is not None and known.version >= held.version:
            return False
        self.records[name] = held
        return True

    async def put_record(self, record: GroupRecord, version: int) -> bool:
        """Change a group's record if its version is still `version`.

        Returns
        -------
        bool
            Whether the change took effect.  A lost answer is resolved by
            reading the operation id back.

        Raises
        ------
        StoreError
            If the platform does not answer: not known to have taken effect.
        """
        try:
            outcome = await self.store.put(
                record.path,
                record.encode(),
                version,
            )
        except StoreError:
            return await self._read_back(record)
        if not isinstance(outcome, Stored):
            return await self._read_back(record)
        self.adopt_record(VersionedRecord(outcome.version, record))
        return True

    async def _read_back(self, record: GroupRecord) -> bool:
        found = await self.store.fetch(record.path)
        if found is None:
            return False
        await self._adopt_object(found)
        known = self.records.get(record.service)
        return known is not None and known.record == record

    async def _adopt_object(self, entry: StoredObject) -> None:
        try:
            if entry.path == CONFIGURATION_PATH:
                await self.adopt_configuration(
                    ConfigurationRecord.decode(entry.body),
                )
            elif entry.path.startswith(RECORDS_PREFIX):
                record = GroupRecord.decode(entry.body)
                self.adopt_record(VersionedRecord(entry.version, record))
        except ValidationError as error:
            self._journal.record(
                'platform.bad_object',
                path=entry.path,
                reason=str(error),
            )

    def _note_reachable(self, is_reachable: bool, reason: str = '') -> None:
        if is_reachable != self.is_reachable:
            event = 'platform.reached' if is_reachable else 'platform.lost'
            self._journal.record(event, reason=reason)
        self.is_reachable = is_reachable
