"""Decoding of objects in the platform's store into control-plane records."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from types import MappingProxyType
from typing import Annotated, Any, Final, Literal, TypeVar

import msgspec

from deckdrum.backends import BackendServer, ServerRole
from deckdrum.control import Entry, Kind, Member
from deckdrum.control.store import Record
from deckdrum.platform.configuration import CamelCase, decode_spec
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Address

#: Names of the kinds in the store.
KIND_NAMES: Final = MappingProxyType(
    {
        Kind.CONFIGURATION: 'config',
        Kind.SERVERS: 'servers',
        Kind.LEADERSHIP: 'deckdrum-leadership',
        Kind.MEMBERS: 'deckdrum-members',
    },
)
#: Name of the only object of kind ``config`` that is used.
CONFIGURATION_NAME: Final = 'main'
#: Exceptions raised while decoding an invalid object.  Other programs write to
#: the store too, so numbers may be huge and nesting arbitrarily deep.
DECODING_ERRORS: Final = (
    msgspec.DecodeError,
    ValueError,
    KeyError,
    TypeError,
    ArithmeticError,
    RecursionError,
)
#: Integers up to 2**53 are exact in every JSON implementation.
_EXACT_BITS: Final = 53
MAX_COUNT: Final = 2**_EXACT_BITS
#: Deepest nesting that is decoded; valid objects have at most ten levels.
MAX_NESTING_DEPTH: Final = 64
#: JSON strings, and the brackets and braces outside them.
_TOKENS: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
#: Control characters, which JSON forbids within strings.
_CONTROLS: Final = re.compile(rb'[\x00-\x1f]')
_OPENING: Final = frozenset((b'[', b'{'))
_CLOSING: Final = frozenset((b']', b'}'))
_MAX_PORT: Final = 65535
_DRAINING: Final = 'draining'
_PRIMARY: Final = 'primary'

_Decoded = TypeVar('_Decoded')
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Server(CamelCase):
    """The entry that a server publishes about itself.

    An entry with a missing field or an unknown state or role is rejected: it
    was not written by a server.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: Literal['ready', 'draining']
    #: Role that the server reports.
    db_role: Literal['primary', 'replica']
    #: Remaining warm-up time in milliseconds.
    cold_left_ms: float
    #: Sequence number of the entry.
    seq: _Count
    #: Start time in Unix milliseconds; 0 if unknown.
    born: _Count = 0


class Meta(CamelCase):
    """Metadata of an object in the store."""

    name: str
    #: Store revision of the object's last change.
    revision: int = 0


class StoreObject(CamelCase):
    """An object in the store."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ObjectList(CamelCase):
    """One page of a listing."""

    #: Undecoded, so that an invalid object does not affect the others.
    found: list[msgspec.Raw] = msgspec.field(name='items')
    #: Store revision at which the page was read.
    current_rev: int
    more_pages: bool = False


class _Event(CamelCase):
    """A change of an object."""

    #: Undecoded, as in `ObjectList`.
    object: msgspec.Raw
    removed: bool = False


class EventList(CamelCase):
    """Changes up to revision `current_rev`."""

    events: list[_Event]
    current_rev: int


@dataclass(frozen=True, slots=True)
class ReadObject:
    """An object of the store, decoded as far as possible.

    Attributes
    ----------
    name : str
        Name of the object; empty if it could not be decoded.
    revision : int
        Store revision of its last change.
    record : Record or None
        The record; None if it could not be decoded.
    fault : str
        Reason why decoding failed; empty if it succeeded.
    """

    name: str
    revision: int
    record: Record | None
    fault: str = ''

    @property
    def entry(self) -> Entry:
        """The object as an entry, without a record if decoding failed."""
        return Entry(self.name, self.revision, self.record)


def read_name(encoded: msgspec.Raw) -> str:
    """Return the name of an object; empty if it cannot be decoded."""
    try:
        return msgspec.json.decode(encoded, type=StoreObject).meta.name
    except DECODING_ERRORS:
        return ''


def read_object(kind: Kind, encoded: msgspec.Raw) -> ReadObject:
    """Decode an object of a kind; report errors in `fault`."""
    try:
        found = msgspec.json.decode(encoded, type=StoreObject)
    except DECODING_ERRORS as error:
        return ReadObject('', 0, None, f'invalid object: {error}')
    name, revision = found.meta.name, found.meta.revision
    try:
        record = _DECODERS[kind](name, found.spec)
    except DECODING_ERRORS as error:
        return ReadObject(name, revision, None, f'invalid {kind}: {error}')
    return ReadObject(name, revision, record)


def decode_answer(body: bytes, expected: type[_Decoded]) -> _Decoded:
    """Decode a response of the store, leaving out values nested too deeply.

    Raises
    ------
    Exception
        One of `DECODING_ERRORS`, with the location and the expected value.
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except RecursionError:
        return msgspec.json.decode(replace_deep_values(body), type=expected)
    except msgspec.DecodeError:
        # Another program may have stored control characters in a string.
        cleaned = _CONTROLS.sub(b' ', body)
        return msgspec.json.decode(replace_deep_values(cleaned), type=expected)


def replace_deep_values(
    body: bytes, max_depth: int = MAX_NESTING_DEPTH
) -> bytes:
    """Replace JSON values nested deeper than `max_depth` by ``null``.

    A single deeply nested object could otherwise make a response undecodable.

    Examples
    --------
    >>> replace_deep_values(b'[{"a": [[["]"]]], "b": 1}]', 3)
    b'[{"a": [null], "b": 1}]'
    """
    kept: list[bytes] = []
    depth = start = 0
    for token in _TOKENS.finditer(body):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
            if depth == max_depth + 1:
                kept.append(body[start : token.start()])
        elif symbol in _CLOSING:
            depth -= 1
            if depth == max_depth:
                kept.append(b'null')
                start = token.end()
    if depth <= max_depth:
        kept.append(body[start:])
    return b''.join(kept)


def encode_record(record: GroupRecord | Member) -> Any:
    """Return a record as JSON-compatible values for the store."""
    return msgspec.to_builtins(record)


def _decode_server(name: str, spec: msgspec.Raw) -> BackendServer:
    raw = msgspec.json.decode(spec, type=_Server)
    is_primary = raw.db_role == _PRIMARY
    return BackendServer(
        id=name,
        service=raw.service,
        address=_parse_address(raw.address),
        data_centre=raw.zone,
        is_draining=raw.state == _DRAINING,
        role=ServerRole.PRIMARY if is_primary else ServerRole.REPLICA,
        started_at=raw.born,
        slots=raw.slots,
    )


def _decode_group(name: str, spec: msgspec.Raw) -> GroupRecord:
    record = msgspec.json.decode(spec, type=GroupRecord)
    _check_name(name, record.service)
    if not 0 <= record.term <= MAX_COUNT:
        raise ValueError(f'term {record.term}, expected 0 to {MAX_COUNT}')
    return record


def _decode_member(name: str, spec: msgspec.Raw) -> Member:
    member = msgspec.json.decode(spec, type=Member)
    _check_name(name, member.name)
    _parse_address(member.peer_address)
    return member


def _check_name(name: str, record_name: str) -> None:
    if record_name != name:
        raise ValueError(
            f'name {record_name!r} in the record, expected {name!r}'
        )


def _parse_address(text: str) -> Address:
    """Parse an address; reject host names, whose lookup could block."""
    address = Address.parse(text)
    ip_address(address.host)
    if not 0 < address.port <= _MAX_PORT:
        raise ValueError(f'port {address.port}, expected 1 to {_MAX_PORT}')
    return address


_Decoder = Callable[[str, msgspec.Raw], Record]
_DECODERS: Final[MappingProxyType[Kind, _Decoder]] = MappingProxyType(
    {
        Kind.CONFIGURATION: decode_spec,
        Kind.SERVERS: _decode_server,
        Kind.LEADERSHIP: _decode_group,
        Kind.MEMBERS: _decode_member,
    },
)
