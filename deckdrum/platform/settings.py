"""The settings file that the platform provides to each process."""

import os
from pathlib import Path
from typing import Final

import msgspec

from deckdrum.control.draining import DEFAULT_DRAIN_TIME_S
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.fleet.settings import NodeSettings
from deckdrum.load.rate_limits import Tolerance
from deckdrum.outcomes.errors import SettingsError
from deckdrum.utils import Address

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = 'DECKDRUM_BOOT'
#: Port of the metrics endpoint.  Keep it equal to the one in
#: `deploy/system.toml` and outside the port ranges that deployments assign.
METRICS_PORT: Final = 9464
#: Contract of deployments whose callers compete for too little capacity.
_URGENCY_CONTRACT: Final = 'pressure'
_MS: Final = 1000


class _Listen(msgspec.Struct, rename='camel'):
    """Addresses to listen on."""

    #: Client connections.
    frontend: str
    #: Readiness checks of the platform.
    readiness: str


class _Bounds(msgspec.Struct, rename='camel'):
    """Limits set by the platform.  Fields that are not used are ignored."""

    #: Time between SIGTERM and SIGKILL, in seconds.
    grace_s: float = 6.0
    #: Window of the workspace limits in seconds, and the excess allowed in it:
    #: as a fraction of the limit and as a number of operations.
    quota_window_s: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 20.0
    #: How long a draining server keeps serving, in milliseconds.
    drain_ms: float = DEFAULT_DRAIN_TIME_S * _MS


class _MachineLimits(msgspec.Struct, rename='camel'):
    """Resources of the machine.  Fields that are not used are ignored."""

    #: Fraction of a core that the process may use.
    cpu_quota: float = 0
    #: How many times faster than a standard core that core runs.
    cores: float = 1.0


class _Store(msgspec.Struct, rename='camel'):
    """The platform's object store."""

    address: str


class _CloudApi(msgspec.Struct, rename='camel'):
    """The platform's API."""

    address: str


class PlatformSettings(msgspec.Struct, rename='camel'):
    """Contents of the settings file.  Unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    #: First and last port for connections between nodes.
    port_range: tuple[int, int]
    platform: _Store
    cloud_api: _CloudApi
    #: Addresses of up to three nodes, possibly stale.  Only the hosts are used,
    #: since the ports are the same on all instances.
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)
    #: Parts of the platform's rules that are in force.
    contracts: list[str] = []

    @property
    def peer_port(self) -> int:
        """Port for connections from other nodes, the same on all instances."""
        return self.port_range[0]

    @property
    def clients_address(self) -> Address:
        """Address on which clients connect."""
        return Address.parse(self.listen.frontend)

    @property
    def readiness_address(self) -> Address:
        """Address of the readiness endpoint."""
        return Address.parse(self.listen.readiness)

    @property
    def metrics_address(self) -> Address:
        """Address of the metrics endpoint."""
        return Address(self.ip, METRICS_PORT)

    @property
    def store_address(self) -> Address:
        """Address of the platform's object store."""
        return Address.parse(self.platform.address)

    @property
    def cloud_api_address(self) -> Address:
        """Address of the platform's API."""
        return Address.parse(self.cloud_api.address)

    @property
    def grace_period(self) -> float:
        """Time between SIGTERM and SIGKILL, in seconds."""
        return self.bounds.grace_s

    def make_node_settings(
        self,
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> NodeSettings:
        """Return the settings of the node itself."""
        seeds = tuple(
            Address(Address.parse(seed).host, self.peer_port)
            for seed in self.seeds
        )
        return NodeSettings(
            name=self.node_name,
            data_centre=self.zone,
            peer_address=Address(self.ip, self.peer_port),
            seeds=seeds,
            policies=policies,
            limit_tolerance=Tolerance(
                self.bounds.quota_window_s,
                self.bounds.quota_overrun,
                self.bounds.quota_slack,
            ),
            drain_time=self.bounds.drain_ms / _MS,
            capacity=self.limits.cpu_quota * self.limits.cores,
            is_urgency_enabled=_URGENCY_CONTRACT in self.contracts,
        )


def find_settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise SettingsError(
            f'{SETTINGS_VARIABLE} is not set, expected the path of the '
            'settings file',
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        With the file, the location in it and the expected value.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return decode_settings(text, str(path))


def decode_settings(text: bytes, source: str) -> PlatformSettings:
    """Decode and validate settings.

    Raises
    ------
    SettingsError
        With `source`, the location in it and the expected value.
    """
    try:
        settings = msgspec.json.decode(text, type=PlatformSettings)
        settings.make_node_settings()
        for address in (
            settings.listen.frontend,
            settings.listen.readiness,
            settings.platform.address,
            settings.cloud_api.address,
        ):
            Address.parse(address)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(f'{source}: {error}') from error
    return settings
