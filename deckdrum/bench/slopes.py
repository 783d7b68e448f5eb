"""Resource costs for capacity planning, fitted by linear regression.

Proxies run as separate processes, so that the kernel accounts their memory and
CPU time; databases and the platform are stand-ins in this process.
"""

import itertools
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from statistics import linear_regression, pstdev
from typing import Any, Final

import curio
import yaml

from deckdrum.bench.client import Client
from deckdrum.bench.deployment import Deployment, Layout
from deckdrum.configuration import DatabaseEntry
from deckdrum.databases import Credentials, PostgresDatabase
from deckdrum.fleet.membership import rank_keepers
from deckdrum.store import Instance
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request
from deckdrum.utils.virtualtime import run_virtual
from deckdrum.wire import tags

_HOST: Final = '127.0.0.1'
_FIRST_PORT: Final = 6700
_SERVICE: Final = 'stalls'
_CALLER_COUNTS: Final = (0, 100, 200, 300, 400)
_STATEMENT_COUNTS: Final = (0, 800, 1600, 2400)
_SERVICE_COUNTS: Final = (1, 3, 6)
_PROXY_COUNTS: Final = (2, 4, 8)
_CLIENT_COUNT: Final = 8
_CPU_WINDOW_S: Final = 4.0
_STORE_CALL_WINDOW_S: Final = 300.0
_SETTLE_DELAY_S: Final = 0.7
_READY_TIMEOUT_S: Final = 60.0
_POLL_INTERVAL_S: Final = 0.1
_PROBE_COUNT: Final = 4
_PERCENT: Final = 100
_HTTP_OK: Final = 200
_MICROSECONDS_PER_S: Final = 1_000_000
_STAT_USER_TIME_FIELD: Final = 13
_STAT_SYSTEM_TIME_FIELD: Final = 14
_STATM_RESIDENT_FIELD: Final = 1
_COMMAND: Final = (
    'import sys; from deckdrum.commands.proxy import main; '
    'sys.exit(main(sys.argv[1:]))'
)


@dataclass(frozen=True, slots=True)
class Slope:
    """A linear fit of a resource against load.

    Attributes
    ----------
    name, unit : str
        The measured resource and its unit.
    slope, base : float
        Slope and intercept of the line.
    spread : float
        Standard deviation of the residuals, in `unit`.
    span : tuple of float
        Measured range of the load.
    """

    name: str
    unit: str
    slope: float
    base: float
    spread: float
    span: tuple[float, float]


def fit_line(
    name: str,
    unit: str,
    steps: Sequence[float],
    measured: Sequence[float],
) -> Slope:
    """Fit a line to measured points by least squares.

    Examples
    --------
    >>> fit_line('memory', 'B', [0, 1, 2], [10, 15, 20]).slope
    5.0
    """
    line = linear_regression(steps, measured)
    residuals = [
        point - (line.intercept + line.slope * step)
        for step, point in zip(steps, measured, strict=True)
    ]
    return Slope(
        name,
        unit,
        line.slope,
        line.intercept,
        pstdev(residuals),
        (min(steps), max(steps)),
    )


@dataclass(slots=True)
class ProxyProcess:
    """A ``deckdrum-proxy`` subprocess."""

    number: int
    platform: Address
    folder: str
    process: Any = field(default=None)

    @property
    def name(self) -> str:
        """Name of the proxy."""
        return f'p{self.number}'

    @property
    def cpu(self) -> float:
        """CPU time used so far, in seconds."""
        text = Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = text.rsplit(')', 1)[1].split()
        ticks = int(fields[_STAT_USER_TIME_FIELD - 2]) + int(
            fields[_STAT_SYSTEM_TIME_FIELD - 2]
        )
        return ticks / os.sysconf('SC_CLK_TCK')

    @property
    def memory(self) -> int:
        """Resident set size, in bytes."""
        text = Path(f'/proc/{self.process.pid}/statm').read_text()
        pages = int(text.split()[_STATM_RESIDENT_FIELD])
        return pages * os.sysconf('SC_PAGE_SIZE')

    def get_address(self, offset: int) -> Address:
        """Return the address at a port offset: 0 SQL, 1 peers, 2 admin."""
        return Address(_HOST, _FIRST_PORT + 10 * self.number + offset)

    async def start(self, deployment: Deployment) -> None:
        """Start the process and wait until it is ready."""
        path = Path(self.folder) / f'{self.name}.yaml'
        path.write_text(yaml.safe_dump(self._build_settings()))
        self.process = subprocess.Popen(
            [sys.executable, '-c', _COMMAND, str(path)],
            stderr=subprocess.DEVNULL,
        )
        instance = Instance(
            name=self.name,
            kind='proxy',
            data_centre='ba-hall',
            address=str(self.get_address(1)),
        )
        await deployment.platform.list_instance(instance, at_once=True)
        async with curio.timeout_after(_READY_TIMEOUT_S):
            while not await self._is_ready():
                await curio.sleep(_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    async def connect(self, service: str) -> Client:
        """Connect a client to a service."""
        credentials = Credentials('growers-app', 'standin', 'bench', service)
        return await Client.connect(self.get_address(0), credentials)

    def _build_settings(self) -> dict[str, object]:
        return {
            'name': self.name,
            'data_centre': 'ba-hall',
            'listen': str(self.get_address(0)),
            'peer_listen': str(self.get_address(1)),
            'admin_listen': str(self.get_address(2)),
            'platform': str(self.platform),
            'database_password': 'standin',
            'session_keys': ['a key of the stand-in fleet'],
        }

    async def _is_ready(self) -> bool:
        client = HttpClient(self.get_address(2))
        try:
            reply = await client.call(Request('GET', '/readyz'), 1)
        except ConnectionError:
            return False
        finally:
            await client.close()
        return reply.status == _HTTP_OK


async def measure_proxy_processes() -> list[Slope]:
    """Measure memory and CPU costs of proxy processes in real time."""
    slopes: list[Slope] = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = await _start_backends((_SERVICE,))
        proxies = [
            ProxyProcess(number, deployment.platform.address, folder)
            for number in (1, 2)
        ]
        try:
            for proxy in proxies:
                await proxy.start(deployment)
            keeper, entry = _find_keeper_and_entry(proxies)
            slopes.append(await _measure_callers(entry))
            slopes.extend(await _measure_statements(entry, keeper))
        finally:
            for proxy in proxies:
                proxy.stop()
            await deployment.close()
        slopes.append(await _measure_kept_services(folder))
    return slopes


async def _start_backends(services: tuple[str, ...]) -> Deployment:
    layout = Layout(
        services=services,
        proxies=0,
        hop_latency=0,
        local_latency=0,
        statement_time=0,
        connect_time=0,
    )
    deployment = Deployment(layout)
    await deployment.start()
    return deployment


def _find_keeper_and_entry(
    proxies: Sequence[ProxyProcess],
) -> tuple[ProxyProcess, ProxyProcess]:
    """Return the keeper of the service, then the other proxy."""
    ranked = rank_keepers(_SERVICE, [proxy.name for proxy in proxies])
    named = {proxy.name: proxy for proxy in proxies}
    return named[ranked[0]], named[ranked[1]]


async def _measure_callers(entry: ProxyProcess) -> Slope:
    clients: list[Client] = []
    measured = []
    for count in _CALLER_COUNTS:
        while len(clients) < count:
            clients.append(await entry.connect(_SERVICE))
        await curio.sleep(_SETTLE_DELAY_S)
        measured.append(entry.memory)
    for client in clients:
        await client.close()
    return fit_line('memory of an idle caller', 'B', _CALLER_COUNTS, measured)


async def _measure_statements(
    entry: ProxyProcess,
    keeper: ProxyProcess,
) -> list[Slope]:
    clients = [await entry.connect(_SERVICE) for _ in range(_CLIENT_COUNT)]
    cpu: dict[str, list[float]] = {'entry': [0], 'keeper': [0]}
    for before, count in itertools.pairwise(_STATEMENT_COUNTS):
        start = entry.cpu, keeper.cpu
        each = (count - before) // _CLIENT_COUNT
        async with curio.TaskGroup() as tasks:
            for client in clients:
                await tasks.spawn(_run_statements, client, each)
        cpu['entry'].append(cpu['entry'][-1] + entry.cpu - start[0])
        cpu['keeper'].append(cpu['keeper'][-1] + keeper.cpu - start[1])
    for client in clients:
        await client.close()
    return [
        fit_line(
            f'processor time of a current read, {role}',
            'us',
            _STATEMENT_COUNTS,
            [seconds * _MICROSECONDS_PER_S for seconds in measured],
        )
        for role, measured in cpu.items()
    ]


async def _run_statements(client: Client, count: int) -> None:
    for _ in range(count):
        await client.run('SELECT 1')


async def _measure_kept_services(folder: str) -> Slope:
    """Measure the CPU usage of an idle proxy per kept service."""
    percentages = []
    for count in _SERVICE_COUNTS:
        services = tuple(f'service{index}' for index in range(count))
        deployment = await _start_backends(services)
        proxy = ProxyProcess(3, deployment.platform.address, folder)
        try:
            await proxy.start(deployment)
            percentages.append(await _measure_idle_cpu_percent(proxy))
        finally:
            proxy.stop()
            await deployment.close()
    return fit_line(
        'processor share of a kept service, quiet',
        '%',
        _SERVICE_COUNTS,
        percentages,
    )


async def measure_probe_bytes() -> Slope:
    """Measure the payload bytes of a probe in both directions."""
    deployment = await _start_backends((_SERVICE,))
    entry = DatabaseEntry(
        name='stalls-1',
        data_centre='ba-hall',
        address=str(deployment.databases['stalls-1'].address),
    )
    credentials = Credentials('deckdrum', 'standin', 'bench')
    database = PostgresDatabase(entry, credentials)
    link = await database.connect(_READY_TIMEOUT_S)
    totals = [0]
    for _ in range(_PROBE_COUNT):
        await link.send(database.state_request)
        total = totals[-1] + len(database.state_request)
        tag = b''
        while tag != tags.READY:
            frame = await link.read_frame()
            tag = frame.tag
            total += len(frame.raw)
        totals.append(total)
    await link.close()
    await deployment.close()
    return fit_line('payload of a probe', 'B', range(_PROBE_COUNT + 1), totals)


async def _measure_idle_cpu_percent(proxy: ProxyProcess) -> float:
    """Return the CPU usage of an idle proxy, in percent of one core."""
    await curio.sleep(_SETTLE_DELAY_S)
    before = proxy.cpu
    await curio.sleep(_CPU_WINDOW_S)
    return (proxy.cpu - before) / _CPU_WINDOW_S * _PERCENT


async def measure_store_call_rate(proxies: int) -> float:
    """Return the store calls per second of an idle fleet in virtual time."""
    layout = replace(Layout(), services=(_SERVICE,), proxies=proxies)
    deployment = Deployment(layout)
    await deployment.start()
    await curio.sleep(_SETTLE_DELAY_S)
    before = sum(deployment.platform.calls.values())
    await curio.sleep(_STORE_CALL_WINDOW_S)
    calls = sum(deployment.platform.calls.values()) - before
    await deployment.close()
    return calls / _STORE_CALL_WINDOW_S


def measure_all() -> list[Slope]:
    """Measure all slopes listed in ``docs/CAPACITY.md``."""
    slopes: list[Slope] = curio.run(measure_proxy_processes)
    slopes.append(run_virtual(measure_probe_bytes))
    calls = [
        run_virtual(measure_store_call_rate, each) for each in _PROXY_COUNTS
    ]
    slopes.append(
        fit_line('store calls of a proxy, quiet', '1/s', _PROXY_COUNTS, calls),
    )
    return slopes


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = [
        '| slope | for each step | base | spread | measured from .. to |',
        '|---|---|---|---|---|',
    ]
    lines.extend(
        f'| {each.name} | {each.slope:.4g} {each.unit} | '
        f'{each.base:.4g} {each.unit} | {each.spread:.2g} {each.unit} | '
        f'{each.span[0]:g} .. {each.span[1]:g} |'
        for each in slopes
    )
    return '\n'.join(lines)
