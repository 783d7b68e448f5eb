"""Figures of a node's load, for its log and its metrics.

Each part that queues, rejects or counts statements adds its figures through a
`LoadSource`.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final
from weakref import WeakKeyDictionary

from deckdrum.members import FairQueue
from deckdrum.serving import ServiceRuntime
from deckdrum.utils.counters import Counters, LabelledMetric

#: Class of figures that are not counted by priority.
ANY_PRIORITY: Final = 'any'
#: Service of figures that are not counted by service.
ANY_SERVICE: Final = '*'
#: Places where statements wait: for an own connection, for a borrowed one, and
#: for a slot of a server.
QUEUE: Final = 'queue'
LOANS: Final = 'loans'
GATE: Final = 'gate'
_CLASS_LABELS: Final = ('service', 'priority', 'place')
_SERVER_LABELS: Final = ('service', 'server', 'figure')


@dataclass(slots=True)
class LoadFigures:
    """The load of a node.

    Attributes
    ----------
    capacity : float
        Published capacity of the machine in cores; 0 if unknown.
    ran : int
        Statements that this node ran on servers, since its start.
    outcomes : counter of tuple of str
        Statements of this node's callers since its start, by service, priority
        and outcome.
    rejected : counter of tuple of str
        Statements that were rejected at this node since its start, by service,
        priority and place.
    waiting : counter of tuple of str
        Statements that wait now, by service, priority and place.
    servers : counter of tuple of str
        Current figures by service, server and name, such as ``in_flight``.
    """

    capacity: float = 0
    ran: int = 0
    outcomes: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    rejected: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    waiting: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    servers: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    def describe(self) -> dict[str, Any]:
        """Return the figures as written to the log, without zeros.

        Examples
        --------
        >>> figures = LoadFigures(ran=3)
        >>> figures.waiting['stalls', '0', 'queue'] += 2
        >>> figures.waiting['stalls', '1', 'queue'] += 0
        >>> figures.describe()['waiting']
        {'stalls/0/queue': 2}
        """
        return {
            'capacity': self.capacity,
            'ran': self.ran,
            'outcomes': _join_labels(self.outcomes),
            'rejected': _join_labels(self.rejected),
            'waiting': _join_labels(self.waiting),
            'servers': _join_labels(self.servers),
        }


LoadSource = Callable[[LoadFigures], None]


class LoadMonitor:
    """Reads the load of a node from its sources.

    Parameters
    ----------
    capacity : float
        Published capacity of the machine in cores; 0 if unknown.
    services : mapping of str to ServiceRuntime
        Database groups by name.
    counters : Counters
        Counts statements; the current figures become metrics there.
    """

    def __init__(
        self,
        capacity: float,
        services: Mapping[str, ServiceRuntime],
        counters: Counters,
    ) -> None:
        #: Functions that add the figures of one part each.
        self.sources: list[LoadSource] = [
            ServerLoadSource(services).add_figures,
            self._add_turned_away,
        ]
        self._capacity = capacity
        self._counters = counters
        counters.gauges['capacity'] = lambda: capacity
        counters.labelled.update(
            load_waiting=LabelledMetric(
                _CLASS_LABELS, lambda: self.read().waiting
            ),
            load_rejected=LabelledMetric(
                _CLASS_LABELS,
                lambda: self.read().rejected,
                is_cumulative=True,
            ),
            server_load=LabelledMetric(
                _SERVER_LABELS, lambda: self.read().servers
            ),
        )

    def read(self) -> LoadFigures:
        """Return the current figures."""
        figures = LoadFigures(
            self._capacity,
            self._counters.served.total(),
            self._counters.class_outcomes.copy(),
        )
        for add_figures in self.sources:
            add_figures(figures)
        return figures

    def _add_turned_away(self, figures: LoadFigures) -> None:
        """Add rejections by priority, which groups with urgent routes count."""
        for (priority, place), number in self._counters.turned_away.items():
            figures.rejected[ANY_SERVICE, str(priority), place] += number


class ServerLoadSource:
    """Adds the figures of the connection pools and gates of servers.

    A connection that is lent counts at the lender only, so that the sum over
    all nodes is right.
    """

    def __init__(self, services: Mapping[str, ServiceRuntime]) -> None:
        self._services = services
        self._rejected: Counter[tuple[str, str, str]] = Counter()
        #: Rejections of each queue that `_rejected` includes.  A server that is
        #: removed takes its queues with it, but not what they have rejected.
        self._counted: WeakKeyDictionary[FairQueue, int] = WeakKeyDictionary()

    def add_figures(self, figures: LoadFigures) -> None:
        """Add waiting and rejected statements and connections in use."""
        for service, runtime in self._services.items():
            for server, handle in runtime.servers.items():
                self._add_queue(figures, service, QUEUE, handle.pool.queue)
                self._add_queue(figures, service, LOANS, handle.loans.queue)
                at_gate = handle.gate.waiting
                figures.waiting[service, ANY_PRIORITY, GATE] += at_gate
                figures.servers.update(
                    {
                        (service, server, 'in_flight'): handle.gate.in_flight,
                        (
                            service,
                            server,
                            'connections',
                        ): handle.pool.queue.held,
                        (service, server, 'slots'): handle.server.slots,
                    }
                )
        figures.rejected.update(self._rejected)

    def _add_queue(
        self,
        figures: LoadFigures,
        service: str,
        place: str,
        queue: FairQueue,
    ) -> None:
        by_priority = queue.count_waiting()
        for priority, number in by_priority.items():
            figures.waiting[service, str(priority), place] += number
        labels = (service, ANY_PRIORITY, place)
        figures.waiting[labels] += queue.waiting - by_priority.total()
        self._rejected[labels] += queue.rejected - self._counted.get(queue, 0)
        self._counted[queue] = queue.rejected


def _join_labels(counter: Counter[tuple[str, str, str]]) -> dict[str, int]:
    return {
        '/'.join(labels): number
        for labels, number in sorted(counter.items())
        if number
    }
