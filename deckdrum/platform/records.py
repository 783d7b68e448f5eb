"""The platform's objects, decoded into the product's records."""

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

#: Kinds in the store by the product's kinds.
KIND_NAMES: Final = MappingProxyType(
    {
        Kind.CONFIGURATION: 'config',
        Kind.SERVERS: 'servers',
        Kind.LEADERSHIP: 'deckdrum-leadership',
        Kind.MEMBERS: 'deckdrum-members',
    },
)
#: The one object of the kind ``config`` that is in force.
CONFIGURATION_NAME: Final = 'main'
#: Raised where an object is not what the platform's pages say.  Anybody may
#: write objects: also numbers without bounds, and lists nested without end.
DECODING_ERRORS: Final = (
    msgspec.DecodeError,
    ValueError,
    KeyError,
    TypeError,
    ArithmeticError,
    RecursionError,
)
#: Largest whole number that every writer of JSON keeps exact.
_EXACT_BITS: Final = 53
MAX_COUNT: Final = 2**_EXACT_BITS
#: Deepest nesting of an object that is read; no page needs more than ten.
MAX_NESTING_DEPTH: Final = 64
#: Strings, and the signs that open and close lists and objects.
_TOKENS: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
#: Bytes that may stand in no string; elsewhere they are spaces.
_CONTROLS: Final = re.compile(rb'[\x00-\x1f]')
_OPENING: Final = frozenset((b'[', b'{'))
_CLOSING: Final = frozenset((b']', b'}'))
#: Highest port of an address.
_MOST_PORT: Final = 65535
_DRAINING: Final = 'draining'
_PRIMARY: Final = 'primary'

_Decoded = TypeVar('_Decoded')
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Server(CamelCase):
    """A database's entry about itself.

    An entry that lacks a field, or has a state or role that the pages do not
    name, is of another writer: it names no database.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: Literal['ready', 'draining']
    #: Its role as it sees itself.
    db_role: Literal['primary', 'replica']
    #: How much longer it is slow from its start, in milliseconds.
    cold_left_ms: float
    #: Counts its entries.
    seq: _Count
    #: When it started, in Unix milliseconds; 0 where the platform does not say.
    born: _Count = 0


class Meta(CamelCase):
    """What the store keeps about an object."""

    name: str
    #: The store's counter at the object's last change.
    revision: int = 0


class StoreObject(CamelCase):
    """An object of the store."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ObjectList(CamelCase):
    """One page of a list."""

    #: Encoded, since one that cannot be read must not hide the others.
    found: list[msgspec.Raw] = msgspec.field(name='items')
    #: The store's counter when the page was made.
    current_rev: int
    more_pages: bool = False


class _Event(CamelCase):
    """One change of an object."""

    #: Encoded, as in a list.
    object: msgspec.Raw
    removed: bool = False


class EventList(CamelCase):
    """What has changed up to `current_rev`."""

    events: list[_Event]
    current_rev: int


@dataclass(frozen=True, slots=True)
class ReadObject:
    """An object of the store, as far as it could be read.

    Attributes
    ----------
    name : str
        Empty if not even that could be read.
    revision : int
        The store's counter at its last change.
    record : Record or None
        None if it names none.
    fault : str
        Why it could not be read; empty if it could.
    """

    name: str
    revision: int
    record: Record | None
    fault: str = ''

    @property
    def entry(self) -> Entry:
        """What it says; one that cannot be read names no record."""
        return Entry(self.name, self.revision, self.record)


def read_name(encoded: msgspec.Raw) -> str:
    """Return the name of an object; empty if it cannot be read."""
    try:
        return msgspec.json.decode(encoded, type=StoreObject).meta.name
    except DECODING_ERRORS:
        return ''


def read_object(kind: Kind, encoded: msgspec.Raw) -> ReadObject:
    """Read an object of a kind, whoever has written it."""
    try:
        found = msgspec.json.decode(encoded, type=StoreObject)
    except DECODING_ERRORS as error:
        return ReadObject('', 0, None, f'no object: {error}')
    name, revision = found.meta.name, found.meta.revision
    try:
        record = _DECODERS[kind](name, found.spec)
    except DECODING_ERRORS as error:
        return ReadObject(name, revision, None, f'no {kind}: {error}')
    return ReadObject(name, revision, record)


def decode_answer(body: bytes, expected: type[_Decoded]) -> _Decoded:
    """Decode an answer of the store, without what is nested too deeply.

    Raises
    ------
    Exception
        One of `DECODING_ERRORS`, with the place and what was expected there.
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except RecursionError:
        return msgspec.json.decode(replace_deep_values(body), type=expected)
    except msgspec.DecodeError:
        # Bytes that JSON forbids, in a string of another writer.
        cleaned = _CONTROLS.sub(b' ', body)
        return msgspec.json.decode(replace_deep_values(cleaned), type=expected)


def replace_deep_values(body: bytes, most: int = MAX_NESTING_DEPTH) -> bytes:
    """Return JSON with what is nested beyond all use replaced by ``null``.

    An object of another writer may be nested so deeply that the whole answer
    could not be decoded.

    Examples
    --------
    >>> replace_deep_values(b'[{"a": [[["]"]]], "b": 1}]', 3)
    b'[{"a": [null], "b": 1}]'
    """
    kept: list[bytes] = []
    depth = begins_at = 0
    for token in _TOKENS.finditer(body):
        sign = token.group()
        if sign in _OPENING:
            depth += 1
            if depth == most + 1:
                kept.append(body[begins_at : token.start()])
        elif sign in _CLOSING:
            depth -= 1
            if depth == most:
                kept.append(b'null')
                begins_at = token.end()
    if depth <= most:
        kept.append(body[begins_at:])
    return b''.join(kept)


def encode_record(record: GroupRecord | Member) -> Any:
    """Return one of the product's own records as it lies in the store."""
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


def _check_name(name: str, told: str) -> None:
    if told != name:
        raise ValueError(f'it is of {told!r}, expected {name!r}')


def _parse_address(text: str) -> Address:
    """Return an address by number: a name would be looked up for seconds."""
    address = Address.parse(text)
    ip_address(address.host)
    if not 0 < address.port <= _MOST_PORT:
        raise ValueError(f'port {address.port}, expected 1 to {_MOST_PORT}')
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
