"""Start, signal and stop node processes."""

import atexit
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final

import curio

from deckdrum.platform.settings import SETTINGS_VARIABLE
from deckdrum.testing.blocked_links import (
    BLOCKED_LINKS_VARIABLE,
    BlockedLinks,
    encode_blocked_links,
)
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request

_PROGRAM: Final = 'deckdrum.testing.partitioned_program'
#: Ports; the same on every node, as each has its own loopback address.
_CLIENT_PORT: Final = 8784
_READINESS_PORT: Final = 8785
_PEER_PORTS: Final = (7440, 7455)
#: Loopback networks; the id of the soak process selects one, since soaks that
#: run at the same time must not share any.
_FIRST_NETWORK: Final = 2
_NETWORK_COUNTS: Final = (200, 250)
#: Last octet of the databases' address, above those of the nodes.
_DATABASE_HOST: Final = 250
_SEED_HOSTS: Final = (1, 2, 3)
_TERMINATING_SIGNALS: Final = frozenset((signal.SIGTERM, signal.SIGKILL))
#: Time between SIGTERM and SIGKILL.
TERMINATION_GRACE_S: Final = 4.0
_READINESS_TIMEOUT_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.05
_OK: Final = 200
_HEXADECIMAL_BASE: Final = 16


_NO_LIMITS: Final[Mapping[str, float]] = MappingProxyType({})


def _choose_network(process: int) -> str:
    """Return the loopback network of a soak process.

    Examples
    --------
    >>> _choose_network(251)
    '127.3.1'
    """
    outer_count, inner_count = _NETWORK_COUNTS
    outer, inner = divmod(process % (outer_count * inner_count), inner_count)
    return f'127.{_FIRST_NETWORK + outer}.{inner}'


def choose_database_host() -> str:
    """Return the loopback address of the databases of this soak process."""
    return f'{_choose_network(os.getpid())}.{_DATABASE_HOST}'


def _list_seeds() -> list[str]:
    """Return the addresses of the first machines, as a platform names them."""
    network = _choose_network(os.getpid())
    return [f'{network}.{host}:{_READINESS_PORT}' for host in _SEED_HOSTS]


class NodeProcess:
    """Process of one node: ``python -m deckdrum.testing.partitioned_program``.

    Parameters
    ----------
    number : int
        Number of the node in the soak test; selects its loopback address.
    centre : str
        Data centre of the node.
    store, promotion_address : Address
        Addresses of this node's store endpoint and of the promotion API.
    folder : Path
        Directory for the node's settings and log.
    limits : mapping of str to float
        Limits of the machine, as in the settings.
    """

    def __init__(
        self,
        number: int,
        centre: str,
        store: Address,
        promotion_address: Address,
        folder: Path,
        limits: Mapping[str, float] = _NO_LIMITS,
    ) -> None:
        self.name = f'n{number}'
        self.host = f'{_choose_network(os.getpid())}.{number + 1}'
        #: Exit codes of errors and of exits that were not requested.
        self.unexpected_exits: list[int] = []
        self.log_path = folder / f'{self.name}.log'
        self._settings_path = folder / f'{self.name}.json'
        self._blocked_links_path = folder / f'{self.name}.links.json'
        self._process: subprocess.Popen[bytes] | None = None
        self._is_termination_requested = False
        settings = self._build_settings(centre, store, promotion_address)
        settings['limits'] = dict(limits)
        settings['contracts'] = ['pressure'] if limits else []
        self._settings_path.write_text(json.dumps(settings))
        self.write_blocked_links({})
        # Leaves no node process running if the soak test is interrupted.
        atexit.register(self.kill)

    @property
    def clients_address(self) -> Address:
        """Address for clients."""
        return Address(self.host, _CLIENT_PORT)

    @property
    def peer_address(self) -> Address:
        """Address for connections from other nodes."""
        return Address(self.host, _PEER_PORTS[0])

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self.record_exit()
        self._is_termination_requested = False
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', _PROGRAM],
                env=os.environ
                | {
                    SETTINGS_VARIABLE: str(self._settings_path),
                    BLOCKED_LINKS_VARIABLE: str(self._blocked_links_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def write_blocked_links(self, blocked: BlockedLinks) -> None:
        """Block links of the node; all others are open."""
        # Renamed, so that the process never reads a part of the file.
        new_path = self._blocked_links_path.with_suffix('.new')
        new_path.write_bytes(encode_blocked_links(blocked))
        new_path.replace(self._blocked_links_path)

    def record_exit(self) -> None:
        """Record the exit code if the exit was unexpected."""
        if self._process is None or self.is_running:
            return
        code = self._process.returncode
        if code > 0 or not self._is_termination_requested:
            self.unexpected_exits.append(code)
        self._process = None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self.is_running:
            if number in _TERMINATING_SIGNALS:
                self._is_termination_requested = True
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def reload(self) -> None:
        """Send SIGHUP if the process ignores or handles it.

        Before the program has set its disposition, SIGHUP would terminate the
        process.
        """
        if self.is_running and self.has_sighup_disposition():
            self.send_signal(signal.SIGHUP)

    def ignores_sighup(self) -> bool:
        """Return whether the process ignores SIGHUP."""
        return self._is_sighup_in_mask('SigIgn')

    def has_sighup_disposition(self) -> bool:
        """Return whether the process ignores or handles SIGHUP."""
        return self.ignores_sighup() or self._is_sighup_in_mask('SigCgt')

    def wait(self) -> None:
        """Wait for the exit of the process."""
        if self._process is not None:
            self._process.wait()

    async def stop(self, timeout: float = TERMINATION_GRACE_S) -> None:
        """Send SIGTERM, and SIGKILL after `timeout` seconds."""
        self.send_signal(signal.SIGTERM)
        async with curio.ignore_after(timeout):
            while self.is_running:
                await curio.sleep(_POLL_INTERVAL_S)
        self.kill()

    async def is_ready(self) -> bool:
        """Return whether the readiness probe of the node succeeds."""
        client = HttpClient(
            Address(self.host, _READINESS_PORT), _READINESS_TIMEOUT_S
        )
        try:
            reply = await client.call(
                Request('GET', '/-/ready'), _READINESS_TIMEOUT_S
            )
        except ConnectionError:
            return False
        finally:
            await client.close()
        return reply.status == _OK

    def _is_sighup_in_mask(self, field: str) -> bool:
        """Return whether a signal mask in /proc contains SIGHUP."""
        if self._process is None:
            return False
        path = Path(f'/proc/{self._process.pid}/status')
        try:
            text = path.read_text()
        except OSError:
            # The process has just exited.
            return False
        _, _, rest = text.partition(f'{field}:')
        mask = int(rest.split()[0], _HEXADECIMAL_BASE) if rest else 0
        return bool(mask & 1 << (signal.SIGHUP - 1))

    def _build_settings(
        self,
        centre: str,
        store: Address,
        promotion_address: Address,
    ) -> dict[str, object]:
        return {
            'nodeName': self.name,
            'ip': self.host,
            'zone': centre,
            'listen': {
                'frontend': str(self.clients_address),
                'readiness': f'{self.host}:{_READINESS_PORT}',
            },
            'portRange': _PEER_PORTS,
            'seeds': _list_seeds(),
            'bounds': {'graceS': TERMINATION_GRACE_S},
            'platform': {'address': str(store)},
            'cloudApi': {'address': str(promotion_address)},
        }
