"""Prometheus metrics of a proxy."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
)  # fmt: skip


class Metrics:
    """The metrics of a proxy, in a registry of their own.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count_batch('stalls', 'growers', 'write', 'primary', 'done')
    >>> metrics.read_batches(target='primary')
    1
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.batches = Counter(
            'deckdrum_batches',
            'Batches by where they ran and what became of them',
            ('service', 'group', 'access', 'target', 'outcome'),
            registry=self.registry,
        )
        self.latency = Histogram(
            'deckdrum_batch_seconds',
            'Time from a whole batch to its whole answer',
            ('service', 'group', 'access'),
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.events = Counter(
            'deckdrum_events',
            'Events by name: retries, bad input, dropped answers and so on',
            ('event',),
            registry=self.registry,
        )
        self.gauges = Gauge(
            'deckdrum_state',
            'Present values by name',
            ('name',),
            registry=self.registry,
        )

    def count_batch(
        self,
        service: str,
        group: str,
        access: str,
        target: str,
        outcome: str,
    ) -> None:
        """Count one batch."""
        self.batches.labels(service, group, access, target, outcome).inc()

    def count(self, event: str) -> None:
        """Count one event."""
        self.events.labels(event).inc()

    def read_event(self, event: str) -> int:
        """Return the number of occurrences of an event."""
        found = self.registry.get_sample_value(
            'deckdrum_events_total',
            {'event': event},
        )
        return int(found or 0)

    def read_batches(self, **labels: str) -> int:
        """Return the number of batches that have all the given labels."""
        total: float = 0
        for family in self.batches.collect():
            for sample in family.samples:
                is_total = sample.name.endswith('_total')
                if is_total and labels.items() <= sample.labels.items():
                    total += sample.value
        return int(total)

    def render(self) -> bytes:
        """Return the metrics in Prometheus text format."""
        rendered: bytes = generate_latest(self.registry)
        return rendered
