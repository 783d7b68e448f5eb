"""Decoding and validation of the operator's configuration."""

from collections import Counter
from types import MappingProxyType
from typing import Final

import msgspec

from deckdrum.control import (
    HIGHEST_PRIORITY,
    Configuration,
    ConsistencyGuarantee,
    Route,
    ServiceDeclaration,
)
from deckdrum.outcomes.errors import DocumentError
from deckdrum.workspaces import Workspace, WorkspaceDirectory, fingerprint_key

_MS: Final = 1000
_GUARANTEES: Final = MappingProxyType(
    {
        'primary': ConsistencyGuarantee.CURRENT,
        'bounded': ConsistencyGuarantee.BOUNDED,
        'own_writes': ConsistencyGuarantee.READ_YOUR_WRITES,
    },
)


class CamelCase(msgspec.Struct, rename='camel'):
    """Base of structures that the platform encodes with camel-case names."""


class _Route(CamelCase):
    """A route in the operator's configuration."""

    #: Database name that clients send in STARTUP, not a network host.
    host: str
    service: str
    kind: str = 'primary'
    timeout_ms: float = 2000
    objective_ms: float = 500
    priority: int = 2
    max_staleness_ms: float | None = None
    #: Whether clients may connect without a key.
    public: bool = False


class _Service(CamelCase):
    """A service in the operator's configuration."""

    name: str
    #: Connection limit of each server, shared by all nodes.
    max_conns: int = 20
    #: Replicas that must receive a change before it is acknowledged.
    sync_replicas: int = 0


class _Tenant(CamelCase):
    """A tenant in the operator's configuration, called workspace elsewhere."""

    name: str
    #: Keys in plain text; nodes exchange only their fingerprints.
    api_keys: list[str] = []
    fingerprints: list[str] = []
    #: Operations per second, summed over all nodes.
    rate_per_s: float | None = None
    burst: float = float(0)

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of the API keys."""
        return self.fingerprints or list(map(fingerprint_key, self.api_keys))


class _Limits(CamelCase):
    """Limits for clients.  The fields for HTTP are ignored."""

    tx_idle_ms: float = 3000


class _Config(CamelCase):
    """The operator's configuration."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: None if no route requires a key.
    tenants: list[_Tenant] | None = None


def decode_configuration(encoded: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    DocumentError
        With the location of the error and the expected value.
    """
    try:
        return decode_spec('', msgspec.Raw(encoded))
    except (msgspec.DecodeError, KeyError) as error:
        raise DocumentError(f'the configuration: {error}') from error


def check_configuration(encoded: bytes) -> Configuration:
    """Decode the operator's configuration and check its consistency.

    For operators, before they store a configuration.  Nodes don't run these
    checks on a stored one.

    Raises
    ------
    DocumentError
        With the first error; a key is shown as its fingerprint.
    """
    configuration = decode_configuration(encoded)
    raw = msgspec.json.decode(encoded, type=_Config)
    tenants = raw.tenants or []
    _check_unique('workspace', [tenant.name for tenant in tenants])
    _check_unique(
        'key',
        [
            fingerprint
            for tenant in tenants
            for fingerprint in tenant.list_fingerprints()
        ],
    )
    _check_unique('route', [route.host for route in raw.routes])
    for route in raw.routes:
        if route.service not in configuration.services:
            raise DocumentError(
                f'route {route.host}: service {route.service}, '
                'expected one that is declared',
            )
    for tenant in tenants:
        _check_rate_limit(tenant)
    return configuration


def decode_spec(_: str, spec: msgspec.Raw) -> Configuration:
    """Decode the spec of a configuration object in the store."""
    raw = msgspec.json.decode(spec, type=_Config)
    urgent_services = {
        route.service
        for route in raw.routes
        if route.priority <= HIGHEST_PRIORITY
    }
    return Configuration(
        version=raw.version,
        routes={route.host: _decode_route(route) for route in raw.routes},
        services={
            service.name: ServiceDeclaration(
                service.name,
                service.max_conns,
                service.sync_replicas,
                service.name in urgent_services,
            )
            for service in raw.services
        },
        idle_transaction_limit=raw.limits.tx_idle_ms / _MS,
        encoded=_encode_without_keys(raw, spec),
        workspaces=_decode_tenants(raw.tenants),
    )


def _decode_tenants(raw: list[_Tenant] | None) -> WorkspaceDirectory | None:
    if raw is None:
        return None
    return WorkspaceDirectory(
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
            for fingerprint in tenant.list_fingerprints()
        },
    )


def _check_unique(what: str, names: list[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise DocumentError(f'{what} {name}: {count} times, expected once')


def _check_rate_limit(tenant: _Tenant) -> None:
    if tenant.rate_per_s is not None and tenant.rate_per_s < 0:
        raise DocumentError(
            f'workspace {tenant.name}: rate {tenant.rate_per_s}, '
            'expected 0 or more operations a second',
        )
    if tenant.burst < 0:
        raise DocumentError(
            f'workspace {tenant.name}: burst {tenant.burst}, '
            'expected 0 or more operations',
        )


def _encode_without_keys(raw: _Config, spec: msgspec.Raw) -> bytes:
    """Encode a configuration with its keys replaced by fingerprints."""
    if raw.tenants is None:
        return bytes(spec)
    hidden = [
        msgspec.structs.replace(
            tenant,
            api_keys=[],
            fingerprints=tenant.list_fingerprints(),
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
        statement_timeout=raw.timeout_ms / _MS,
        latency_objective=raw.objective_ms / _MS,
        priority=raw.priority,
        is_public=raw.public,
    )
