"""Logging a node's statistics for `deckdrumctl report`."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any, Final

import curio

from deckdrum.node.load_figures import LoadMonitor
from deckdrum.serving import ServiceRuntime
from deckdrum.utils import Journal
from deckdrum.utils.counters import Counters

#: A node that crashes loses at most the statistics of one interval.
STATISTICS_INTERVAL_S: Final = 5.0


class StatisticsLogger:
    """Logs a node's cumulative statistics whenever they have changed.

    Parameters
    ----------
    services : mapping of str to ServiceRuntime
        Database groups; their connection pools provide statistics.
    counters : Counters
        Counts store calls and statements.
    journal : Journal
        Receives the statistics.
    load_monitor : LoadMonitor
        Reads the load of the node.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceRuntime],
        counters: Counters,
        journal: Journal,
        load_monitor: LoadMonitor,
    ) -> None:
        self._services = services
        self._counters = counters
        self._journal = journal
        self._load_monitor = load_monitor
        self._last_logged: dict[str, dict[str, Any]] = {}

    async def run(self) -> None:
        """Log statistics periodically, without end."""
        while True:
            await curio.sleep(STATISTICS_INTERVAL_S)
            self.log_changed()

    def log_changed(self) -> None:
        """Log the statistics that have changed since they were last logged."""
        calls = self._counters.describe_store_calls()
        self._log_if_changed('store.calls', {'calls': calls})
        work = self._counters.describe_work()
        self._log_if_changed('work.figures', {'work': work})
        connections = {
            name: count_connections(runtime)
            for name, runtime in self._services.items()
        }
        self._log_if_changed('connection.figures', {'connections': connections})
        load = self._load_monitor.read().describe()
        self._log_if_changed('load.figures', load)

    def count_waiting(self) -> Counter[int]:
        """Return the statements that wait for a connection, by priority.

        Groups without urgent routes are not counted.
        """
        waiting: Counter[int] = Counter()
        for runtime in self._services.values():
            for handle in runtime.servers.values():
                for pool in (handle.pool, handle.loans):
                    waiting.update(pool.queue.count_waiting())
        return waiting

    def _log_if_changed(self, event: str, statistics: dict[str, Any]) -> None:
        if any(statistics.values()) and statistics != self._last_logged.get(
            event
        ):
            self._last_logged[event] = statistics
            self._journal.record(event, **statistics)


def count_connections(runtime: ServiceRuntime) -> dict[str, int]:
    """Return a node's cumulative connection statistics for a group."""
    total = Counter(runtime.removed_server_stats)
    for handle in runtime.servers.values():
        total.update(asdict(handle.pool.stats))
    return dict(total)
