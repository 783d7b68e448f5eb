"""Deployments in a thread and in real time, for blocking drivers."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio

from deckdrum.bench.deployment import Deployment, Layout

_STARTUP_TIMEOUT_S = 30


class DeploymentThread:
    """Runs a deployment in a separate thread.

    Parameters
    ----------
    layout : Layout
        Layout of the deployment.
    """

    def __init__(self, layout: Layout) -> None:
        self.deployment: Deployment | None = None
        self._layout = layout
        self._ready = threading.Event()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=(self._main,))

    def start(self) -> None:
        """Start the deployment and wait until it accepts connections."""
        self._thread.start()
        if not self._ready.wait(_STARTUP_TIMEOUT_S):
            raise RuntimeError('the deployment did not start in time')

    def stop(self) -> None:
        """Stop the deployment and its thread."""
        self._stop.set()
        self._thread.join()

    def port(self, proxy: str = 'p1') -> int:
        """Return the client port of a proxy."""
        if self.deployment is None:
            raise RuntimeError('the deployment has not started')
        address = self.deployment.proxies[proxy].address
        return address.port

    async def _main(self) -> None:
        self.deployment = Deployment(self._layout)
        await self.deployment.start()
        self._ready.set()
        await self._stop.wait()
        await self.deployment.close()


@contextmanager
def run_deployment(**sizes: Any) -> Iterator[DeploymentThread]:
    """Run a deployment with the given layout in a thread."""
    thread = DeploymentThread(Layout(**sizes))
    thread.start()
    try:
        yield thread
    finally:
        thread.stop()
