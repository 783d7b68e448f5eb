"""A process that is late itself does not blame its databases."""

from typing import Any

import curio
import pytest

from deckdrum.databases.monitor import (
    MAX_OWN_DELAY_S,
    STATE_PROBE_TIMEOUT_S,
    Watcher,
)
from deckdrum.utils.virtualtime import VirtualClock, run_virtual


class SilentDatabase:
    """Database that never answers a probe.

    Parameters
    ----------
    stall : float
        Time for which the process is stopped just before the timeout.
    """

    def __init__(self, stall: float) -> None:
        self._stall = stall

    async def connect(self, timeout: float) -> Any:
        """Never connect."""
        await curio.sleep(STATE_PROBE_TIMEOUT_S - 0.001)
        clock: VirtualClock = curio.kernel.time.monotonic.__self__
        clock.advance(self._stall)
        await curio.sleep(STATE_PROBE_TIMEOUT_S)


@pytest.mark.parametrize(
    ('stall', 'failures', 'late_probes'),
    [(0, 1, 0), (MAX_OWN_DELAY_S / 2, 1, 0), (MAX_OWN_DELAY_S * 2, 0, 1)],
)
def test_late_process_counts_no_failed_probe(
    stall: float, failures: int, late_probes: int
) -> None:
    """A healthy primary was replaced beside a few busy processes."""
    database: Any = SilentDatabase(stall)
    watcher = Watcher(database)
    assert not run_virtual(watcher.probe)
    assert (watcher.failures, watcher.late_probes) == (failures, late_probes)
