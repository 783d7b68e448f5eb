"""Counters and histograms of a node, rendered by `prometheus_client`.

`prometheus_client` is imported on the first scrape, which saves its memory on
nodes whose metrics are never requested.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

#: Upper bounds of the buckets of the latency histogram.
LATENCY_BOUNDS_S: Final = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
)  # fmt: skip
_PREFIX: Final = 'deckdrum_node_'
_SERVED_LABELS: Final = ('database', 'kind', 'role')
_LATENCY_LABELS: Final = ('guarantee', 'outcome')
_LIMIT_LABELS: Final = ('workspace', 'code', 'priority')
_TURNED_AWAY_LABELS: Final = ('priority', 'place')
_SERVER_LABELS: Final = ('service', 'server')
_CALL_LABELS: Final = ('call', 'kind', 'outcome')
_OUTCOME_LABELS: Final = ('service', 'priority', 'outcome')


@dataclass(frozen=True, slots=True)
class LabelledMetric:
    """A metric whose values are read when metrics are requested.

    Attributes
    ----------
    labels : tuple of str
        Names of the labels.
    read : callable
        Returns the values by tuples of label values.
    is_cumulative : bool
        Whether it is a counter; otherwise it is a gauge.
    """

    labels: tuple[str, ...]
    read: Callable[[], Mapping[Any, float]]
    is_cumulative: bool = False


_ServerGauge = dict[tuple[str, str], Callable[[], float]]


class Counters:
    """Counters, gauges and latency histograms of a node.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.count('status_questions')
    >>> counters.count_served('stalls', 'read', 'replica')
    >>> counters.record_latency('bounded', 'done', 0.03)
    >>> counters.count_store_call('watch', 'members', 'answered')
    >>> b'deckdrum_node_events_total{event="status_questions"} 1.0' in (
    ...     counters.render()
    ... )
    True
    >>> counters.describe_store_calls()
    {'watch members answered': 1}
    """

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()
        self.served: Counter[tuple[str, str, str]] = Counter()
        self.store_calls: Counter[tuple[str, str, str]] = Counter()
        self.limited: Counter[tuple[str, str, str]] = Counter()
        #: Statements rejected because of load, by priority and place.
        self.turned_away: Counter[tuple[int, str]] = Counter()
        #: Returns the number of waiting statements by priority.
        self.count_waiting: Callable[[], Mapping[int, int]] = dict
        #: Statements by service, workspace and outcome.
        self.work: Counter[tuple[str, str, str]] = Counter()
        #: Statements by service, priority and outcome.
        self.class_outcomes: Counter[tuple[str, str, str]] = Counter()
        #: Metrics that are read from other parts, by name.
        self.labelled: dict[str, LabelledMetric] = {}
        #: Functions that return the current value of each gauge.
        self.gauges: dict[str, Callable[[], float]] = {}
        #: The same by group and server, for each gauge with these labels.
        self.server_gauges: defaultdict[str, _ServerGauge] = defaultdict(dict)
        self._latency: dict[tuple[str, str], list[int]] = {}
        self._latency_sums: defaultdict[tuple[str, str], float] = defaultdict(
            float
        )

    def count(self, event: str) -> None:
        """Count one event."""
        self.events[event] += 1

    def count_served(self, database: str, kind: str, role: str) -> None:
        """Count a statement by database, kind and role of the server."""
        self.served[database, kind, role] += 1

    def count_store_call(self, call: str, kind: str, outcome: str) -> None:
        """Count a call to the store; failed calls are billed too.

        Parameters
        ----------
        call : str
            The operation: list, watch, fetch, put or remove.
        kind : str
            Kind of the records.
        outcome : str
            Whether the call was answered, refused or lost.
        """
        self.store_calls[call, kind, outcome] += 1

    def count_statement_outcome(
        self, service: str, workspace: str, outcome: str
    ) -> None:
        """Count a statement of a caller by its outcome."""
        self.work[service, workspace, outcome] += 1

    def count_class_outcome(
        self, service: str, priority: int, outcome: str
    ) -> None:
        """Count a statement of a caller by the priority of its route."""
        self.class_outcomes[service, str(priority), outcome] += 1

    def describe_work(self) -> dict[str, int]:
        """Return the number of statements by label, as written to the log."""
        return {
            '/'.join(labels): number
            for labels, number in sorted(self.work.items())
        }

    def count_limited(self, workspace: str, code: str, priority: int) -> None:
        """Count an operation rejected by the limit of its workspace.

        `priority` is 0 unless the configuration has urgent routes.
        """
        self.limited[workspace, code, str(priority)] += 1

    def describe_store_calls(self) -> dict[str, int]:
        """Return the number of store calls by label, as written to the log."""
        return {
            ' '.join(labels): number
            for labels, number in sorted(self.store_calls.items())
        }

    def record_latency(
        self,
        guarantee: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Add the duration of a request to the histogram of its labels."""
        key = (guarantee, outcome)
        buckets = self._latency.get(key)
        if buckets is None:
            buckets = [0 for _ in (*LATENCY_BOUNDS_S, None)]
            self._latency[key] = buckets
        buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._latency_sums[key] += seconds

    def collect(self) -> Iterator[Any]:
        """Yield the metrics as `prometheus_client` families."""
        from prometheus_client import core

        yield from self._collect_counters(core)
        yield self._collect_latency(core)
        yield self._collect_waiting(core)
        for name, read in self.gauges.items():
            yield core.GaugeMetricFamily(_PREFIX + name, name, value=read())
        yield from self._collect_labelled(core)
        for name, by_server in self.server_gauges.items():
            family = core.GaugeMetricFamily(
                _PREFIX + name, name, labels=_SERVER_LABELS
            )
            for labels, read in by_server.items():
                family.add_metric(labels, read())
            yield family

    def render(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        rendered: bytes = generate_latest(registry)
        return rendered

    def _collect_counters(self, core: Any) -> Iterator[Any]:
        for name, documentation, labels, counter in (
            ('events', 'Events by name', ('event',), self._label_events()),
            (
                'served',
                'Answered statements by the role of the server',
                _SERVED_LABELS,
                self.served,
            ),
            (
                'store_calls',
                'Calls to the store by what they asked and what came of them',
                _CALL_LABELS,
                self.store_calls,
            ),
            (
                'limited',
                'Operations that limits have turned away',
                _LIMIT_LABELS,
                self.limited,
            ),
            (
                'turned_away',
                'Statements rejected because of load',
                _TURNED_AWAY_LABELS,
                {
                    (str(priority), place): number
                    for (priority, place), number in self.turned_away.items()
                },
            ),
            (
                'outcomes',
                'Statements of callers by priority and outcome',
                _OUTCOME_LABELS,
                self.class_outcomes,
            ),
        ):
            family = core.CounterMetricFamily(
                f'{_PREFIX}{name}',
                documentation,
                labels=labels,
            )
            for values, number in counter.items():
                family.add_metric(values, number)
            yield family

    def _collect_labelled(self, core: Any) -> Iterator[Any]:
        for name, metric in self.labelled.items():
            build_family = (
                core.CounterMetricFamily
                if metric.is_cumulative
                else core.GaugeMetricFamily
            )
            family = build_family(_PREFIX + name, name, labels=metric.labels)
            for values, number in metric.read().items():
                family.add_metric(values, number)
            yield family

    def _label_events(self) -> dict[tuple[str, ...], int]:
        return {(event,): number for event, number in self.events.items()}

    def _collect_waiting(self, core: Any) -> Any:
        family = core.GaugeMetricFamily(
            f'{_PREFIX}waiting',
            'Statements that wait for a connection',
            labels=('priority',),
        )
        for priority, number in sorted(self.count_waiting().items()):
            family.add_metric((str(priority),), number)
        return family

    def _collect_latency(self, core: Any) -> Any:
        family = core.HistogramMetricFamily(
            f'{_PREFIX}request_seconds',
            'Time from a whole request to its whole answer',
            labels=_LATENCY_LABELS,
        )
        bounds = (*(str(bound) for bound in LATENCY_BOUNDS_S), '+Inf')
        for labels, buckets in self._latency.items():
            total = 0
            pairs = []
            for bound, number in zip(bounds, buckets, strict=True):
                total += number
                pairs.append((bound, total))
            family.add_metric(labels, pairs, self._latency_sums[labels])
        return family
