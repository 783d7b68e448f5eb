"""A proxy's view of the platform's objects.

Neither the configuration nor a record is replaced by an older version.
"""

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

#: Requested wait of one watch, in seconds.
WATCH_TIMEOUT_S: Final = 30.0
#: Bounds of the exponential backoff after a failed watch, in seconds.
_INITIAL_BACKOFF_S: Final = 0.2
_MAX_BACKOFF_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A group's record with its version in the store."""

    version: int
    record: GroupRecord


class StoreView:
    """A proxy's copy of the platform's objects.

    `randomness` adds jitter, so that proxies do not retry at the same time.
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
        #: When the active configuration was applied, in seconds of the event
        #: loop clock.
        self.active_since: float = 0
        self.instances: tuple[Instance, ...] = ()
        self.is_reachable = False
        self.changed = curio.Condition()
        self._journal = journal
        self._randomness = randomness
        self._revision = 0

    @property
    def number(self) -> int:
        """Number of the active configuration, or 0."""
        return self.configuration.number if self.configuration else 0

    async def run(self) -> None:
        """Watch the platform forever."""
        pause = _INITIAL_BACKOFF_S
        while True:
            wait = WATCH_TIMEOUT_S if self._revision else 0
            try:
                changes = await self.store.watch(self._revision, wait)
            except StoreError as error:
                self._set_reachable(False, str(error))
                await curio.sleep(pause * (1 + self._randomness.random()))
                pause = min(pause * 2, _MAX_BACKOFF_S)
                continue
            pause = _INITIAL_BACKOFF_S
            self._set_reachable(True)
            await self.apply(changes)

    async def apply(self, changes: Changes) -> None:
        """Apply changes, except outdated records and configurations."""
        self._revision = changes.revision
        for entry in changes.entries:
            await self._apply_object(entry)
        if changes.instances is not None:
            self.instances = changes.instances
        async with self.changed:
            await self.changed.notify_all()

    async def apply_configuration(self, record: ConfigurationRecord) -> bool:
        """Activate a configuration if it is newer; return whether it was.

        A document with any error is rejected as a whole.
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

    def apply_record(self, versioned: VersionedRecord) -> bool:
        """Apply a group's record if its version is newer.

        Returns whether it was.
        """
        name = versioned.record.service
        known = self.records.get(name)
        if known is not None and known.version >= versioned.version:
            return False
        self.records[name] = versioned
        return True

    async def put_record(self, record: GroupRecord, version: int) -> bool:
        """Update a group's record if its version is still `version`.

        Returns
        -------
        bool
            Whether the update took effect.  If the response was lost, the
            record is read from the store and compared.

        Raises
        ------
        StoreError
            If the platform does not respond; the update may have taken effect.
        """
        try:
            outcome = await self.store.put(
                record.path,
                record.encode(),
                version,
            )
        except StoreError:
            return await self._verify_write(record)
        if not isinstance(outcome, Stored):
            return await self._verify_write(record)
        self.apply_record(VersionedRecord(outcome.version, record))
        return True

    async def _verify_write(self, record: GroupRecord) -> bool:
        found = await self.store.fetch(record.path)
        if found is None:
            return False
        await self._apply_object(found)
        known = self.records.get(record.service)
        return known is not None and known.record == record

    async def _apply_object(self, entry: StoredObject) -> None:
        try:
            if entry.path == CONFIGURATION_PATH:
                await self.apply_configuration(
                    ConfigurationRecord.decode(entry.body),
                )
            elif entry.path.startswith(RECORDS_PREFIX):
                record = GroupRecord.decode(entry.body)
                self.apply_record(VersionedRecord(entry.version, record))
        except ValidationError as error:
            self._journal.record(
                'platform.bad_object',
                path=entry.path,
                reason=str(error),
            )

    def _set_reachable(self, is_reachable: bool, reason: str = '') -> None:
        if is_reachable != self.is_reachable:
            event = 'platform.reached' if is_reachable else 'platform.lost'
            self._journal.record(event, reason=reason)
        self.is_reachable = is_reachable
