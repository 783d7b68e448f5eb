"""Applying a configuration document atomically by a conditional update."""

from dataclasses import dataclass, field
from enum import StrEnum

from deckdrum.configuration.documents import (
    Difference,
    compare_documents,
    parse_document,
)
from deckdrum.outcomes.errors import StoreError
from deckdrum.store.objects import ObjectStore, Stored, StoredObject
from deckdrum.store.records import CONFIGURATION_PATH, ConfigurationRecord


class ApplyOutcome(StrEnum):
    """Outcome of applying a document."""

    ACCEPTED = 'accepted'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """Outcome of applying a document, and the differences it makes.

    For a conflict, `differences` lists the changes of the other operator.
    """

    outcome: ApplyOutcome
    number: int = 0
    author: str = ''
    differences: list[Difference] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The stored configuration on which an operator bases a change."""

    version: int
    record: ConfigurationRecord | None

    @property
    def number(self) -> int:
        """Number of the configuration, or 0 if none has been stored."""
        return self.record.number if self.record else 0


async def fetch_snapshot(store: ObjectStore) -> ConfigurationSnapshot:
    """Return the stored configuration.

    Raises
    ------
    StoreError
        If the platform does not respond.
    """
    found = await store.fetch(CONFIGURATION_PATH)
    return ConfigurationSnapshot(0, None) if found is None else _decode(found)


async def apply_document(
    store: ObjectStore,
    text: str,
    base: ConfigurationSnapshot,
    author: str,
    operation: str,
) -> ApplyReport:
    """Store a document unless the configuration has changed since `base`.

    Parameters
    ----------
    store : ObjectStore
        Client of the platform's object API.
    text : str
        The document; it is validated first.
    base : ConfigurationSnapshot
        The configuration that the operator has edited.
    author : str
        Name of the operator.
    operation : str
        Idempotency key: identifies the update if its response was lost, and
        applying the document again with the same key has no effect.

    Raises
    ------
    DocumentError
        If the document is not valid.
    """
    document = parse_document(text)
    differences = []
    if base.record is not None:
        before = parse_document(base.record.text)
        differences = compare_documents(before, document)
        if not differences:
            return ApplyReport(ApplyOutcome.UNCHANGED, base.number)
    record = ConfigurationRecord(
        number=base.number + 1,
        operation=operation,
        author=author,
        text=text,
    )
    try:
        stored = await store.put(
            CONFIGURATION_PATH,
            record.encode(),
            base.version,
        )
    except StoreError:
        return await _resolve_unconfirmed(store, record, base, differences)
    if isinstance(stored, Stored):
        return _build_accepted_report(record, differences)
    return await _resolve_unconfirmed(store, record, base, differences)


async def _resolve_unconfirmed(
    store: ObjectStore,
    record: ConfigurationRecord,
    base: ConfigurationSnapshot,
    differences: list[Difference],
) -> ApplyReport:
    """Determine the outcome of an update that was not confirmed."""
    try:
        present = await fetch_snapshot(store)
    except StoreError:
        return ApplyReport(ApplyOutcome.UNKNOWN, differences=differences)
    stored = present.record
    if stored is not None and stored.operation == record.operation:
        return _build_accepted_report(stored, differences)
    if stored is None or present.version == base.version:
        return ApplyReport(ApplyOutcome.UNKNOWN, differences=differences)
    concurrent_changes = []
    if base.record is not None:
        concurrent_changes = compare_documents(
            parse_document(base.record.text),
            parse_document(stored.text),
        )
    return ApplyReport(
        ApplyOutcome.CONFLICT,
        stored.number,
        stored.author,
        concurrent_changes,
    )


def _build_accepted_report(
    record: ConfigurationRecord,
    differences: list[Difference],
) -> ApplyReport:
    return ApplyReport(
        ApplyOutcome.ACCEPTED,
        record.number,
        record.author,
        differences,
    )


def _decode(found: StoredObject) -> ConfigurationSnapshot:
    record = ConfigurationRecord.decode(found.body)
    return ConfigurationSnapshot(found.version, record)
