"""A deployment in a thread, in real time, for blocking drivers."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio

from deckdrum.bench.deployment import Deployment, Layout

_START_TIMEOUT_S = 30


class DeploymentThread:
    """Runs a deployment in a thread of its own.

    Parameters
    ----------
    layout : Layout
        What to build.
    """

    def __init__(self, layout: Layout) -> None:
        self.deployment: Deployment | None = None
        self._layout = layout
        self._ready = threading.Event()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=(self._main,))

    def start(self) -> None:
        """Start, and wait until callers can be served."""
        self._thread.start()
        if not self._ready.wait(_START_TIMEOUT_S):
            raise RuntimeError('the deployment did not start')

    def stop(self) -> None:
        """End everything."""
        self._stop.set()
        self._thread.join()

    def port(self, proxy: str = 'p1') -> int:
        """Return the port where a proxy's callers connect."""
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
    """Run a deployment of the given layout in a thread."""
    thread = DeploymentThread(Layout(**sizes))
    thread.start()
    try:
        yield thread
    finally:
        thread.stop()
