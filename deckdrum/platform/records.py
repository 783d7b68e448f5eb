"""The platform's objects, decoded into the product's records."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

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
#: Raised where an object is not what the platform's pages say.
UNREADABLE: Final = (msgspec.DecodeError, ValueError, KeyError)
_DRAINING: Final = 'draining'
_PRIMARY: Final = 'primary'


class _Server(CamelCase):
    """A database's entry about itself."""

    service: str
    address: str
    zone: str = ''
    state: str = 'ready'
    #: Its role as it sees itself.
    db_role: str = 'replica'


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

    found: list[StoreObject] = msgspec.field(name='items')
    #: The store's counter when the page was made.
    current_rev: int
    more_pages: bool = False


class _Event(CamelCase):
    """One change of an object."""

    object: StoreObject
    removed: bool = False


class EventList(CamelCase):
    """What has changed up to `current_rev`."""

    events: list[_Event]
    current_rev: int


def decode_entry(kind: Kind, found: StoreObject) -> Entry:
    """Return an object as a record.

    Raises
    ------
    Exception
        One of `UNREADABLE`, with the place and what was expected there.
    """
    name = found.meta.name
    return Entry(name, found.meta.revision, _DECODERS[kind](name, found.spec))


def encode_record(record: GroupRecord | Member) -> Any:
    """Return one of the product's own records as it lies in the store."""
    return msgspec.to_builtins(record)


def _decode_server(name: str, spec: msgspec.Raw) -> BackendServer:
    raw = msgspec.json.decode(spec, type=_Server)
    is_primary = raw.db_role == _PRIMARY
    return BackendServer(
        id=name,
        service=raw.service,
        address=Address.parse(raw.address),
        data_centre=raw.zone,
        is_draining=raw.state == _DRAINING,
        role=ServerRole.PRIMARY if is_primary else ServerRole.REPLICA,
    )


def _decode_group(_: str, spec: msgspec.Raw) -> GroupRecord:
    return msgspec.json.decode(spec, type=GroupRecord)


def _decode_member(_: str, spec: msgspec.Raw) -> Member:
    return msgspec.json.decode(spec, type=Member)


_Decoder = Callable[[str, msgspec.Raw], Record]
_DECODERS: Final[MappingProxyType[Kind, _Decoder]] = MappingProxyType(
    {
        Kind.CONFIGURATION: decode_spec,
        Kind.SERVERS: _decode_server,
        Kind.LEADERSHIP: _decode_group,
        Kind.MEMBERS: _decode_member,
    },
)
