"""The platform's objects, decoded into the product's records."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

import msgspec

from deckdrum.backends import BackendServer, ServerRole
from deckdrum.control import (
    Configuration,
    Entry,
    Guarantee,
    Kind,
    Member,
    Route,
    ServiceDeclaration,
)
from deckdrum.control.store import Record
from deckdrum.outcomes.errors import DocumentError
from deckdrum.store.records import GroupRecord
from deckdrum.utils import Address
from deckdrum.workspaces import Workspace, WorkspaceBook, fingerprint_key

_MS: Final = 1000
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
_GUARANTEES: Final = MappingProxyType(
    {
        'primary': Guarantee.CURRENT,
        'bounded': Guarantee.BOUNDED,
        'own_writes': Guarantee.OWN_CHANGES,
    },
)
#: Raised where an object is not what the platform's pages say.
UNREADABLE: Final = (msgspec.DecodeError, ValueError, KeyError)
_DRAINING: Final = 'draining'
_PRIMARY: Final = 'primary'


class _CamelCase(msgspec.Struct, rename='camel'):
    """Base of what the platform writes: its names are in camel case."""


class _Route(_CamelCase):
    """One of the operator's routes.  Times are in milliseconds."""

    #: Not a network host: the database name of the clients' STARTUP.
    host: str
    service: str
    kind: str = 'primary'
    timeout_ms: float = 2000
    objective_ms: float = 500
    priority: int = 2
    max_staleness_ms: float | None = None
    #: Whether clients need no key.
    public: bool = False


class _Service(_CamelCase):
    """One of the operator's services."""

    name: str
    #: Connections that one server accepts, from all nodes together.
    max_conns: int = 20
    #: Replicas that have received a change before it is acknowledged.
    sync_replicas: int = 0


class _Tenant(_CamelCase):
    """One of the operator's tenants, the product's workspaces."""

    name: str
    #: As the operator writes them.  Peers pass on fingerprints instead.
    api_keys: list[str] = []
    fingerprints: list[str] = []
    #: Operations a second, of all nodes together.
    rate_per_s: float | None = None
    burst: float = float(0)

    def find_fingerprints(self) -> list[str]:
        """Return the fingerprints of its keys."""
        return self.fingerprints or list(map(fingerprint_key, self.api_keys))


class _Limits(_CamelCase):
    """Limits for clients; the others concern HTTP."""

    tx_idle_ms: float = 3000


class _Config(_CamelCase):
    """The operator's configuration."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: None where no route asks for a key.
    tenants: list[_Tenant] | None = None


class _Server(_CamelCase):
    """A database's entry about itself."""

    service: str
    address: str
    zone: str = ''
    state: str = 'ready'
    #: Its role as it sees itself.
    db_role: str = 'replica'


class Meta(_CamelCase):
    """What the store keeps about an object."""

    name: str
    #: The store's counter at the object's last change.
    revision: int = 0


class StoreObject(_CamelCase):
    """An object of the store."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ObjectList(_CamelCase):
    """One page of a list."""

    found: list[StoreObject] = msgspec.field(name='items')
    #: The store's counter when the page was made.
    current_rev: int
    more_pages: bool = False


class _Event(_CamelCase):
    """One change of an object."""

    object: StoreObject
    removed: bool = False


class EventList(_CamelCase):
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


def decode_configuration(encoded: bytes) -> Configuration:
    """Return the operator's configuration.

    Raises
    ------
    DocumentError
        With the place and what was expected there.
    """
    try:
        return _decode_config('', msgspec.Raw(encoded))
    except (msgspec.DecodeError, KeyError) as error:
        raise DocumentError(f'the configuration: {error}') from error


def encode_record(record: GroupRecord | Member) -> Any:
    """Return one of the product's own records as it lies in the store."""
    return msgspec.to_builtins(record)


def _decode_config(_: str, spec: msgspec.Raw) -> Configuration:
    raw = msgspec.json.decode(spec, type=_Config)
    return Configuration(
        version=raw.version,
        routes={route.host: _decode_route(route) for route in raw.routes},
        services={
            service.name: ServiceDeclaration(
                service.name,
                service.max_conns,
                service.sync_replicas,
            )
            for service in raw.services
        },
        idle_transaction_limit=raw.limits.tx_idle_ms / _MS,
        encoded=_hide_keys(raw, spec),
        workspaces=_decode_tenants(raw.tenants),
    )


def _decode_tenants(raw: list[_Tenant] | None) -> WorkspaceBook | None:
    if raw is None:
        return None
    return WorkspaceBook(
        {
            tenant.name: Workspace(
                tenant.name,
                tenant.rate_per_s,
                tenant.burst,
            )
            for tenant in raw
        },
        {
            fingerprint: tenant.name
            for tenant in raw
            for fingerprint in tenant.find_fingerprints()
        },
    )


def _hide_keys(raw: _Config, spec: msgspec.Raw) -> bytes:
    """Return a configuration with fingerprints in place of its keys."""
    if raw.tenants is None:
        return bytes(spec)
    hidden = [
        msgspec.structs.replace(
            tenant,
            api_keys=[],
            fingerprints=tenant.find_fingerprints(),
        )
        for tenant in raw.tenants
    ]
    return msgspec.json.encode(msgspec.structs.replace(raw, tenants=hidden))


def _decode_route(raw: _Route) -> Route:
    max_age = float('inf')
    if raw.max_staleness_ms is not None:
        max_age = raw.max_staleness_ms / _MS
    return Route(
        database=raw.host,
        service=raw.service,
        guarantee=_GUARANTEES[raw.kind],
        max_age=max_age,
        statement_limit=raw.timeout_ms / _MS,
        objective=raw.objective_ms / _MS,
        priority=raw.priority,
        is_public=raw.public,
    )


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
        Kind.CONFIGURATION: _decode_config,
        Kind.SERVERS: _decode_server,
        Kind.LEADERSHIP: _decode_group,
        Kind.MEMBERS: _decode_member,
    },
)
