"""Records on their way between peers: lists, changes and configurations."""

import zlib
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from deckdrum.backends.base import BackendServer
from deckdrum.control.records import Member
from deckdrum.control.store import Changes, Entry, Kind, Listing, Record
from deckdrum.store.records import GroupRecord

#: Kinds that peers hand over as lists; the configuration goes as it lies.
REPLICATED_KINDS: Final = (Kind.SERVERS, Kind.LEADERSHIP, Kind.MEMBERS)
_RECORD_TYPES: Final[MappingProxyType[Kind, Any]] = MappingProxyType(
    {
        Kind.SERVERS: BackendServer,
        Kind.LEADERSHIP: GroupRecord,
        Kind.MEMBERS: Member,
    },
)

#: What a peer hands over of one kind: all of it, or what has changed.
Update = Listing | Changes

#: Effort of the compression: the least, since a node compresses each version
#: once while callers wait for its processor.
_COMPRESSION_LEVEL: Final = 1
#: Largest configuration that is taken from a peer, in bytes: the store's own
#: limit for one record.
MAX_CONFIGURATION_BYTES: Final = 1024 * 1024


def compress_configuration(encoded: bytes) -> bytes:
    """Return a configuration as it goes to peers.

    One node hands it to the others of its data centre over its own link; of a
    drawn configuration of 400 routes (83 kB) a tenth is sent.

    Examples
    --------
    >>> decompress_configuration(compress_configuration(b'{"version": 7}'))
    b'{"version": 7}'
    """
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decompress_configuration(body: bytes) -> bytes:
    """Return a configuration as the store holds it.

    Raises
    ------
    ValueError
        If it is damaged, or larger than the store takes.
    """
    unpacking = zlib.decompressobj()
    try:
        encoded = unpacking.decompress(body, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise ValueError(f'no compressed configuration: {error}') from error
    if not unpacking.eof:
        most = MAX_CONFIGURATION_BYTES
        raise ValueError(f'a configuration over {most} bytes, or cut short')
    return encoded


class _SharedEntry(NamedTuple):
    name: str
    revision: int
    #: Encoded; None if it was removed.
    record: bytes | None


class _Update(NamedTuple):
    revision: int
    is_whole: bool
    entries: list[_SharedEntry]


def encode_update(update: Update) -> bytes:
    """Return a list of records, or changes of it, as MessagePack."""
    is_whole = isinstance(update, Listing)
    entries = [
        _SharedEntry(entry.name, entry.revision, _encode_record(entry))
        for entry in update.entries
    ]
    return msgspec.msgpack.encode(_Update(update.revision, is_whole, entries))


def decode_update(kind: Kind, body: bytes) -> Update:
    """Return the list of records of a kind, or changes of it.

    Raises
    ------
    msgspec.ValidationError
        With the place and what was expected there.
    """
    raw = msgspec.msgpack.decode(body, type=_Update)
    entries = tuple(
        Entry(entry.name, entry.revision, _decode_record(kind, entry.record))
        for entry in raw.entries
    )
    if raw.is_whole:
        return Listing(raw.revision, entries)
    return Changes(raw.revision, entries)


def _encode_record(entry: Entry) -> bytes | None:
    if entry.record is None:
        return None
    return msgspec.msgpack.encode(entry.record)


def _decode_record(kind: Kind, body: bytes | None) -> Record | None:
    if body is None:
        return None
    record: Record = msgspec.msgpack.decode(body, type=_RECORD_TYPES[kind])
    return record
