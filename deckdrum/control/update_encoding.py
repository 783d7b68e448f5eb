"""Encoding of records and configurations that nodes exchange."""

import zlib
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec

from deckdrum.backends.base import BackendServer
from deckdrum.control.records import Member
from deckdrum.control.store import Changes, Entry, Kind, Listing, Record
from deckdrum.store.records import GroupRecord

#: Kinds that are exchanged as record updates; the configuration is sent in the
#: encoding of the store.
REPLICATED_KINDS: Final = (Kind.SERVERS, Kind.LEADERSHIP, Kind.MEMBERS)
_RECORD_TYPES: Final[MappingProxyType[Kind, Any]] = MappingProxyType(
    {
        Kind.SERVERS: BackendServer,
        Kind.LEADERSHIP: GroupRecord,
        Kind.MEMBERS: Member,
    },
)

#: A full listing of one kind, or the changes since a revision.
Update = Listing | Changes

#: zlib level; the fastest, since compression blocks the event loop.
_COMPRESSION_LEVEL: Final = 1
#: Largest configuration accepted from a peer, in bytes; the store's limit for
#: one record.
MAX_CONFIGURATION_BYTES: Final = 1024 * 1024


def compress_configuration(encoded: bytes) -> bytes:
    """Return a configuration compressed for sending to peers.

    Examples
    --------
    >>> decompress_configuration(compress_configuration(b'{"version": 7}'))
    b'{"version": 7}'
    """
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decompress_configuration(body: bytes) -> bytes:
    """Return a configuration received from a peer in the store's encoding.

    Raises
    ------
    ValueError
        If it is corrupt, truncated or larger than the store accepts.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(body, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise ValueError(f'corrupt configuration: {error}') from error
    if not decompressor.eof:
        limit = MAX_CONFIGURATION_BYTES
        raise ValueError(
            f'configuration truncated or larger than {limit} bytes',
        )
    return encoded


class _SharedEntry(NamedTuple):
    name: str
    revision: int
    #: MessagePack encoding; None for a removed record.
    record: bytes | None


class _Update(NamedTuple):
    revision: int
    is_whole: bool
    entries: list[_SharedEntry]


def encode_update(update: Update) -> bytes:
    """Return a listing or its changes as MessagePack."""
    is_whole = isinstance(update, Listing)
    entries = [
        _SharedEntry(entry.name, entry.revision, _encode_record(entry))
        for entry in update.entries
    ]
    return msgspec.msgpack.encode(_Update(update.revision, is_whole, entries))


def decode_update(kind: Kind, body: bytes) -> Update:
    """Return the decoded listing of a kind, or changes of it.

    Raises
    ------
    msgspec.ValidationError
        If the body is malformed; names the path and the expected type.
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
