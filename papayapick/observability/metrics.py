"""Define the metrics of a gateway or a placer."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

__all__ = ["Metrics"]

_WAIT_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.6, 5, 10)


class Metrics:
    """Hold the metrics of one process in a separate registry.

    Label values are bounded: they come from the bundle, as names of services do, or
    from fixed sets, as outcomes do, and never from callers.
    """

    __slots__ = (
        "_registry",
        "bundle_sequence",
        "decision_seconds",
        "owned_shards",
        "peer_bytes",
        "refusals",
        "requests",
        "table_operations",
        "wait_seconds",
    )

    def __init__(self):
        self._registry = CollectorRegistry()
        # The process's memory and processor time have limits too, so export them.
        ProcessCollector(registry=self._registry)
        self.requests = self._counter(
            "papayapick_requests", "Requests answered", ("service", "outcome")
        )
        self.refusals = self._counter(
            "papayapick_refusals", "Requests refused before a send", ("code",)
        )
        self.peer_bytes = self._counter(
            "papayapick_peer_bytes",
            "Bytes between the processes of the cell",
            ("purpose", "distance", "direction"),
        )
        self.table_operations = self._counter(
            "papayapick_table_operations", "Calls of the table service", ("operation",)
        )
        self.wait_seconds = Histogram(
            "papayapick_wait_seconds",
            "From arrival to the start of the work",
            ("service",),
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self.decision_seconds = Histogram(
            "papayapick_decision_seconds",
            "One placement decision",
            (),
            buckets=(0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05),
            registry=self._registry,
        )
        self.bundle_sequence = Gauge(
            "papayapick_bundle_sequence", "Bundle in force", registry=self._registry
        )
        self.owned_shards = Gauge(
            "papayapick_owned_shards", "Shards owned", registry=self._registry
        )

    def _counter(self, name, text, labels):
        return Counter(name, text, labels, registry=self._registry)

    def text(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self._registry)

    def describe(self):
        """Return name, kind, labels and meaning of each metric, by name.

        Returns
        -------
        list of tuple
        """
        return sorted(self._describe_metric(name) for name in self.__slots__[1:])

    def _describe_metric(self, attribute):
        metric = getattr(self, attribute)
        (family,) = metric.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = tuple(metric._labelnames)
        return family.name + suffix, family.type, labels, family.documentation
