"""Hold the metrics of an entry host; each package defines its own."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

__all__ = ["REGISTRY", "counter", "described", "gauge", "histogram", "metrics_text"]

REGISTRY = CollectorRegistry()
# Memory and processor time of the process itself have limits too.
ProcessCollector(registry=REGISTRY)
# Seconds. A near call takes 10 ms, one over the link 50 ms; callers wait 3 s at most,
# and jobs take from one to some thirty seconds.
_CALL_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
_JOB_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)
_METRICS = []


def counter(name, text, labels=()):
    """Return a new counter; ``_total`` is added to its name."""
    return _keep(Counter(name, text, labels, registry=REGISTRY))


def gauge(name, text, labels=()):
    """Return a new gauge."""
    return _keep(Gauge(name, text, labels, registry=REGISTRY))


def histogram(name, text, labels=(), of_jobs=False):
    """Return a new histogram of seconds, of calls or of whole jobs."""
    buckets = _JOB_BUCKETS if of_jobs else _CALL_BUCKETS
    return _keep(Histogram(name, text, labels, buckets=buckets, registry=REGISTRY))


def _keep(metric):
    _METRICS.append(metric)
    return metric


def metrics_text():
    """Return all metrics in the Prometheus text format, as bytes."""
    return generate_latest(REGISTRY)


def described():
    """Return name, kind, labels and meaning of each metric, by name.

    Returns
    -------
    list of tuple
    """
    found = []
    for metric in _METRICS:
        (family,) = metric.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = tuple(metric._labelnames)
        found.append((family.name + suffix, family.type, labels, family.documentation))
    return sorted(found)
