"""Deployments of stand-ins and proxies within one process."""

from dataclasses import dataclass, field
from typing import Final

import curio
import yaml

from deckdrum.bench.client import Client
from deckdrum.callers.login import make_verifier
from deckdrum.databases import Credentials
from deckdrum.proxy import Proxy
from deckdrum.settings import ProxySettings
from deckdrum.standins.database import DatabaseProfile, StandinDatabase
from deckdrum.standins.platform import StandinPlatform
from deckdrum.store.objects import HttpObjectStore
from deckdrum.store.records import (
    CONFIGURATION_PATH,
    ConfigurationRecord,
)
from deckdrum.utils import Address, Journal
from deckdrum.utils.journal import open_null_journal

_HOST: Final = '127.0.0.1'
_SALT: Final = b'0123456789abcdef'
_PASSWORD: Final = 'standin'
_SESSION_KEY: Final = 'a key of the stand-in fleet'
_POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Layout:
    """Topology and simulated delays of a deployment; times in seconds."""

    data_centres: tuple[str, ...] = ('ba-hall', 'tt-hall', 'nr-hall')
    services: tuple[str, ...] = ('stalls', 'payouts', 'gates')
    groups: tuple[str, ...] = ('growers', 'stewards', 'shoppers')
    weights: tuple[float, ...] = (2, 2, 1)
    proxies: int = 3
    databases: int = 3
    max_connections: int = 25
    connect_time: float = 0.01
    hop_latency: float = 0.0015
    local_latency: float = 0.0001
    statement_time: float = 0.0002
    apply_lag: float = 0.02
    #: Base of the port numbers; 0 binds to free ports.
    first_port: int = 0
    not_repeatable_tables: tuple[str, ...] = ('fees',)
    read_functions: tuple[str, ...] = ()
    seed: int = 1


@dataclass(slots=True)
class Deployment:
    """Stand-ins and proxies of a layout, run in the current curio kernel."""

    layout: Layout
    journal: Journal = field(default_factory=lambda: open_null_journal('bench'))
    platform: StandinPlatform = field(init=False)
    databases: dict[str, StandinDatabase] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.platform = StandinPlatform(self._make_address(0))

    async def start(self) -> None:
        """Start all components and wait until the proxies are ready."""
        await self.platform.start()
        for number, service in enumerate(self.layout.services):
            await self._start_service(number, service)
        await self.apply(self.describe(), number=1)
        for number in range(1, self.layout.proxies + 1):
            await self.start_proxy(number)
        await self.wait_for_ready()

    async def close(self) -> None:
        """Stop all components."""
        for proxy in self.proxies.values():
            await proxy.close()
        for database in self.databases.values():
            await database.close()
        await self.platform.close()

    def describe(self) -> str:
        """Return the configuration document of the deployment."""
        layout = self.layout
        verifier = make_verifier(_PASSWORD, _SALT)
        return yaml.safe_dump(
            {
                'groups': [
                    {'name': name, 'weight': weight}
                    for name, weight in zip(
                        layout.groups,
                        layout.weights,
                        strict=True,
                    )
                ],
                'users': [
                    {'name': f'{name}-app', 'group': name, 'verifier': verifier}
                    for name in layout.groups
                ],
                'services': [
                    self._build_service_entry(name) for name in layout.services
                ],
                'read_kinds': [{'name': 'browse', 'max_age': 5}],
            }
        )

    async def apply(self, text: str, number: int) -> None:
        """Store a configuration document without validating it."""
        store = HttpObjectStore(self.platform.address)
        record = ConfigurationRecord(
            number=number,
            operation=f'operation-{number}',
            author='bench',
            text=text,
        )
        stored = await store.fetch(CONFIGURATION_PATH)
        version = 0 if stored is None else stored.version
        await store.put(CONFIGURATION_PATH, record.encode(), version)
        await store.close()

    async def start_proxy(
        self,
        number: int,
        peers: tuple[str, ...] = (),
    ) -> Proxy:
        """Start a proxy and register it as a live instance."""
        layout = self.layout
        data_centre = layout.data_centres[
            (number - 1) % len(layout.data_centres)
        ]
        settings = ProxySettings(
            name=f'p{number}',
            data_centre=data_centre,
            listen=str(self._make_address(10 * number)),
            peer_listen=str(self._make_address(10 * number + 1)),
            admin_listen=str(self._make_address(10 * number + 2)),
            platform=str(self.platform.address),
            peers=list(peers),
            database_password=_PASSWORD,
            session_keys=[_SESSION_KEY],
            seed=layout.seed * 1000 + number,
        )
        store = HttpObjectStore(self.platform.address)
        proxy = Proxy(settings, store, self.journal)
        await proxy.start()
        self.proxies[proxy.name] = proxy
        await self.platform.list_instance(proxy.membership.own, at_once=True)
        return proxy

    async def wait_for_ready(self) -> None:
        """Wait until all proxies are ready and know all services and peers."""
        while not self._is_ready():
            await curio.sleep(_POLL_INTERVAL_S)

    async def connect(
        self,
        proxy: str,
        group: str = 'growers',
        service: str = 'stalls',
        **options: str,
    ) -> Client:
        """Connect a client; `options` are ``deckdrum.*`` session settings."""
        settings = {f'deckdrum.{name}': text for name, text in options.items()}
        return await Client.connect(
            self.proxies[proxy].address,
            Credentials(f'{group}-app', _PASSWORD, 'bench', service),
            settings,
        )

    def find_primary(self, service: str) -> StandinDatabase:
        """Return the primary named by the service record of the platform."""
        record = self.platform.read_object(f'deckdrum/services/{service}')
        return self.databases[record['primary']]

    def list_databases(self, service: str) -> list[StandinDatabase]:
        """Return the databases of a service."""
        return [
            database
            for name, database in self.databases.items()
            if name.startswith(f'{service}-')
        ]

    async def _start_service(self, number: int, service: str) -> None:
        layout = self.layout
        started = []
        for slot in range(layout.databases):
            data_centres = layout.data_centres
            profile = DatabaseProfile(
                name=f'{service}-{slot + 1}',
                data_centre=data_centres[(slot + number) % len(data_centres)],
                address=self._make_address(100 + 10 * number + slot),
                max_connections=layout.max_connections,
                connect_time=layout.connect_time,
                hop_latency=layout.hop_latency,
                apply_lag=layout.apply_lag,
                local_latency=layout.local_latency,
                statement_time=layout.statement_time,
            )
            database = StandinDatabase(profile)
            await database.start()
            started.append(database)
            self.databases[database.name] = database
        peers = {each.name: each for each in started}
        for database in started:
            database.peers = peers
        started[0].become_primary(1)
        for database in started[1:]:
            database.follow(started[0].name, 1)

    def _build_service_entry(self, service: str) -> dict[str, object]:
        return {
            'name': service,
            'not_repeatable_tables': list(self.layout.not_repeatable_tables),
            'read_functions': list(self.layout.read_functions),
            'databases': [
                {
                    'name': database.name,
                    'data_centre': database.profile.data_centre,
                    'address': str(database.address),
                    'max_connections': database.profile.max_connections,
                }
                for database in self.list_databases(service)
            ],
        }

    def _is_ready(self) -> bool:
        if not all(proxy.is_ready for proxy in self.proxies.values()):
            return False
        synchronized = [
            len(proxy.view.records) == len(self.layout.services)
            and len(proxy.view.instances) >= len(self.proxies)
            for proxy in self.proxies.values()
        ]
        return all(synchronized)

    def _make_address(self, offset: int) -> Address:
        first = self.layout.first_port
        return Address(_HOST, first + offset if first else 0)
