"""Telling a node's figures in its log, for `deckdrumctl report`."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any, Final

import curio

from deckdrum.serving import ServiceRuntime
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: Pause between two lines of figures, in seconds: the figures of a node that
#: ends without a word are known but for those since the last line.
STATISTICS_INTERVAL_S: Final = 5.0


class StatisticsLogger:
    """Logs what a node has counted so far, as often as it grows.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        Database groups, whose connections are counted.
    counters : Counters
        What else was counted.
    journal : Journal
        Where it is told.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        counters: Counters,
        journal: Journal,
    ) -> None:
        self._services = services
        self._counters = counters
        self._journal = journal
        self._told: dict[str, dict[str, Any]] = {}

    async def run(self) -> None:
        """Log figures for ever."""
        while True:
            await curio.sleep(STATISTICS_INTERVAL_S)
            self.tell()

    def tell(self) -> None:
        """Log the figures that have grown since they were told."""
        calls = self._counters.describe_store_calls()
        self._log_if_changed('store.calls', {'calls': calls})
        work = self._counters.describe_work()
        self._log_if_changed('work.figures', {'work': work})
        connections = {
            name: count_connections(runtime)
            for name, runtime in self._services.items()
        }
        self._log_if_changed('connection.figures', {'connections': connections})

    def _log_if_changed(self, event: str, figures: dict[str, Any]) -> None:
        if any(figures.values()) and figures != self._told.get(event):
            self._told[event] = figures
            self._journal.record(event, **figures)


def count_connections(runtime: ServiceRuntime) -> dict[str, int]:
    """Return what became of a node's connections to a group so far."""
    total = Counter(runtime.removed_server_stats)
    for handle in runtime.servers.values():
        total.update(asdict(handle.pool.figures))
    return dict(total)
