"""Lists of records on their way between peers."""

from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from deckdrum.backends.base import BackendServer
from deckdrum.control.records import Member
from deckdrum.control.store import Entry, Kind, Listing
from deckdrum.store.records import GroupRecord

#: Kinds that peers hand over as lists; the configuration goes as it lies.
SHARED_KINDS: Final = (Kind.SERVERS, Kind.LEADERSHIP, Kind.MEMBERS)
_RECORD_TYPES: Final[MappingProxyType[Kind, Any]] = MappingProxyType(
    {
        Kind.SERVERS: BackendServer,
        Kind.LEADERSHIP: GroupRecord,
        Kind.MEMBERS: Member,
    },
)


class _SharedEntry(NamedTuple):
    name: str
    revision: int
    record: msgspec.Raw


class _Listing(NamedTuple):
    revision: int
    entries: list[_SharedEntry]


def encode_listing(listing: Listing) -> bytes:
    """Return a list of records as MessagePack."""
    entries = [
        (entry.name, entry.revision, msgspec.Raw(_encode_record(entry)))
        for entry in listing.entries
        if entry.record is not None
    ]
    return msgspec.msgpack.encode((listing.revision, entries))


def decode_listing(kind: Kind, body: bytes) -> Listing:
    """Return the list of records of a kind.

    Raises
    ------
    msgspec.ValidationError
        With the place and what was expected there.
    """
    raw = msgspec.msgpack.decode(body, type=_Listing)
    record_type = _RECORD_TYPES[kind]
    entries = tuple(
        Entry(
            entry.name,
            entry.revision,
            msgspec.msgpack.decode(entry.record, type=record_type),
        )
        for entry in raw.entries
    )
    return Listing(raw.revision, entries)


def _encode_record(entry: Entry) -> bytes:
    return msgspec.msgpack.encode(entry.record)
