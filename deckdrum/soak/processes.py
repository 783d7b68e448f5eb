"""Node processes, started and signalled from outside."""

import atexit
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

import curio

from deckdrum.platform.settings import SETTINGS_VARIABLE
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request

#: Ports of every node, which has a loopback address to itself.
_CLIENTS_PORT: Final = 8784
_READINESS_PORT: Final = 8785
_PEER_PORTS: Final = (7440, 7455)
#: Loopback networks; a soak takes one by the id of its process.
_NETWORKS: Final = 250
_ENDING: Final = frozenset((signal.SIGTERM, signal.SIGKILL))
#: Time between SIGTERM and the kill, in seconds.
TERMINATION_GRACE_S: Final = 4.0
#: Longest wait for the answer of a readiness probe, in seconds.
_READINESS_TIMEOUT_S: Final = 0.5
#: Pause between two looks at a process that is to end, in seconds.
_POLL: Final = 0.05
_OK: Final = 200
_HEXADECIMAL: Final = 16


class NodeProcess:
    """One node: ``python -m deckdrum.platform.program``.

    Parameters
    ----------
    number : int
        Tells the nodes of a soak apart; each has a loopback address.
    centre : str
        Its data centre.
    store, duties : Address
        The store, as this node reaches it, and the promotion call.
    folder : Path
        For its settings and its log.
    """

    def __init__(
        self,
        number: int,
        centre: str,
        store: Address,
        duties: Address,
        folder: Path,
    ) -> None:
        self.name = f'n{number}'
        self.host = f'127.2.{os.getpid() % _NETWORKS}.{number + 1}'
        #: Exit codes that no signal of the soak explains.
        self.unexpected_exits: list[int] = []
        self.log_path = folder / f'{self.name}.log'
        self._settings_path = folder / f'{self.name}.json'
        self._process: subprocess.Popen[bytes] | None = None
        self._is_asked_to_end = False
        self._settings_path.write_text(
            json.dumps(self._describe(centre, store, duties)),
        )
        # A soak that is ended early must leave no node behind.
        atexit.register(self.kill)

    @property
    def clients_address(self) -> Address:
        """Where clients connect."""
        return Address(self.host, _CLIENTS_PORT)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.is_running:
            return
        self.record_exit()
        self._is_asked_to_end = False
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'deckdrum.platform.program'],
                env=os.environ | {SETTINGS_VARIABLE: str(self._settings_path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def record_exit(self) -> None:
        """Note an end that nobody asked for, or one with an error."""
        if self._process is None or self.is_running:
            return
        code = self._process.returncode
        if code > 0 or not self._is_asked_to_end:
            self.unexpected_exits.append(code)
        self._process = None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process is not None and self.is_running:
            if number in _ENDING:
                self._is_asked_to_end = True
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def reload(self) -> None:
        """Send SIGHUP, unless the interpreter itself is still starting.

        Until its program runs, a process has no say in what a signal does.
        """
        if self.is_running and self.has_sighup_disposition():
            self.send_signal(signal.SIGHUP)

    def ignores_sighup(self) -> bool:
        """Tell whether the process ignores SIGHUP."""
        return self._has_mask('SigIgn')

    def has_sighup_disposition(self) -> bool:
        """Tell whether the process ignores or handles SIGHUP by now."""
        return self.ignores_sighup() or self._has_mask('SigCgt')

    def wait(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            self._process.wait()

    async def stop(self, limit: float = TERMINATION_GRACE_S) -> None:
        """Ask the process to stop, and kill it after `limit` seconds."""
        self.send_signal(signal.SIGTERM)
        async with curio.ignore_after(limit):
            while self.is_running:
                await curio.sleep(_POLL)
        self.kill()

    async def is_ready(self) -> bool:
        """Tell whether the node calls for clients."""
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

    def _has_mask(self, field: str) -> bool:
        """Tell whether SIGHUP is in a mask of the process's status."""
        if self._process is None:
            return False
        path = Path(f'/proc/{self._process.pid}/status')
        try:
            text = path.read_text()
        except OSError:
            # It ends in this moment.
            return False
        _, _, rest = text.partition(f'{field}:')
        mask = int(rest.split()[0], _HEXADECIMAL) if rest else 0
        return bool(mask & 1 << (signal.SIGHUP - 1))

    def _describe(
        self,
        centre: str,
        store: Address,
        duties: Address,
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
            'seeds': [],
            'bounds': {'graceS': TERMINATION_GRACE_S},
            'platform': {'address': str(store)},
            'cloudApi': {'address': str(duties)},
        }
