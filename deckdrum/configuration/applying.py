"""Applying a document as a whole by a conditional update."""

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
    """What became of an apply."""

    ACCEPTED = 'accepted'
    UNCHANGED = 'unchanged'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """Outcome of an apply, and what the document differs in.

    For a conflict, `differences` tells what the other operator changed.
    """

    outcome: ApplyOutcome
    number: int = 0
    author: str = ''
    differences: list[Difference] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The stored configuration that an operator has looked at."""

    version: int
    record: ConfigurationRecord | None

    @property
    def number(self) -> int:
        """Number of the configuration, or 0 before the first."""
        return self.record.number if self.record else 0


async def fetch_snapshot(store: ObjectStore) -> ConfigurationSnapshot:
    """Return the stored configuration.

    Raises
    ------
    StoreError
        If the platform does not answer.
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
    """Store a document if nobody changed the configuration meanwhile.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    text : str
        The document; it is checked first.
    base : Base
        What the operator looked at.
    author : str
        Who applies it.
    operation : str
        Id of this apply: a lost answer is resolved by it, and applying again
        with the same id does nothing.

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
        return _accept(record, differences)
    return await _resolve_unconfirmed(store, record, base, differences)


async def _resolve_unconfirmed(
    store: ObjectStore,
    record: ConfigurationRecord,
    base: ConfigurationSnapshot,
    differences: list[Difference],
) -> ApplyReport:
    """Find out what became of an update without a plain answer."""
    try:
        present = await fetch_snapshot(store)
    except StoreError:
        return ApplyReport(ApplyOutcome.UNKNOWN, differences=differences)
    held = present.record
    if held is not None and held.operation == record.operation:
        return _accept(held, differences)
    if held is None or present.version == base.version:
        return ApplyReport(ApplyOutcome.UNKNOWN, differences=differences)
    theirs = []
    if base.record is not None:
        theirs = compare_documents(
            parse_document(base.record.text),
            parse_document(held.text),
        )
    return ApplyReport(
        ApplyOutcome.CONFLICT,
        held.number,
        held.author,
        theirs,
    )


def _accept(
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
