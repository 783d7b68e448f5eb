"""The settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import Final

import msgspec

from deckdrum.control.departures import DEFAULT_DRAIN_TIME_S
from deckdrum.fleet.policies import ALL_POLICIES, Policy
from deckdrum.fleet.settings import NodeSettings
from deckdrum.load.limits import Tolerance
from deckdrum.outcomes.errors import SettingsError
from deckdrum.utils import Address

#: Names the path of the settings file.
SETTINGS_VARIABLE: Final = 'DECKDRUM_BOOT'
#: Where metrics are served, on the machine's own address.  It stands in
#: `deploy/system.toml` too, and lies outside the ports that days draw.
METRICS_PORT: Final = 9464
_MS: Final = 1000


class _Listen(msgspec.Struct, rename='camel'):
    """Addresses that the process serves."""

    #: Clients' connections.
    frontend: str
    #: The platform's question whether new connections may come.
    readiness: str


class _Bounds(msgspec.Struct, rename='camel'):
    """Figures of the rules; only what the process acts upon."""

    #: Time between SIGTERM and SIGKILL, in seconds.
    grace_s: float = 6.0
    #: Window of the limits in seconds, and what may be run beyond them in it.
    quota_window_s: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 20.0
    #: For how long a server that leaves serves on, in milliseconds.
    drain_ms: float = DEFAULT_DRAIN_TIME_S * _MS


class _Store(msgspec.Struct, rename='camel'):
    """The store."""

    address: str


class _CloudApi(msgspec.Struct, rename='camel'):
    """The platform's calls."""

    address: str


class PlatformSettings(msgspec.Struct, rename='camel'):
    """The settings file.  Fields that are not named here are passed over."""

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    #: First and last port for what nodes say to each other.
    port_range: tuple[int, int]
    platform: _Store
    cloud_api: _CloudApi
    #: Addresses of up to three nodes, which may be stale; only their hosts
    #: are used, since all machines share the same ports.
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)

    @property
    def peer_port(self) -> int:
        """Port for other nodes, the same on every machine."""
        return self.port_range[0]

    @property
    def clients_address(self) -> Address:
        """Where clients connect."""
        return Address.parse(self.listen.frontend)

    @property
    def readiness_address(self) -> Address:
        """Where the platform asks whether new connections may come."""
        return Address.parse(self.listen.readiness)

    @property
    def metrics_address(self) -> Address:
        """Where metrics are served."""
        return Address(self.ip, METRICS_PORT)

    @property
    def store_address(self) -> Address:
        """The platform's store."""
        return Address.parse(self.platform.address)

    @property
    def cloud_api_address(self) -> Address:
        """The platform's calls."""
        return Address.parse(self.cloud_api.address)

    @property
    def grace_period(self) -> float:
        """Time between the request to stop and the kill, in seconds."""
        return self.bounds.grace_s

    def make_node_settings(
        self,
        policies: frozenset[Policy] = ALL_POLICIES,
    ) -> NodeSettings:
        """Return what the node itself must know."""
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
        )


def find_settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise SettingsError(
            f'{SETTINGS_VARIABLE} is not set, expected the path of the '
            'settings file',
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        With the file, the place in it and what was expected there.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return decode_settings(text, str(path))


def decode_settings(text: bytes, source: str) -> PlatformSettings:
    """Decode and check settings.

    Raises
    ------
    SettingsError
        With `source`, the place in it and what was expected there.
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
