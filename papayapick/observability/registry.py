"""Hold the metrics of an entry host; each package defines its own."""

import enum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

__all__ = [
    "PageSection",
    "counter",
    "describe_metrics",
    "gauge",
    "histogram",
    "metrics_text",
]

# The moment at which a series began takes a line for each, and nobody asks for it.
disable_created_metrics()


class PageSection(enum.IntEnum):
    """Tell where on the page a metric stands; within a place they go by name.

    Collectors may cut a page off after some 4,000 bytes. So what bounded sets of
    labels keep short comes before what grows with queues and callers, and histograms
    come last.
    """

    # Whether the host decides, and by what.
    HOST_STATE = 1
    # What became of an owner's orders and claims.
    OWNER = 2
    # What callers were refused, and lines that are missing.
    REFUSALS_AND_DROPS = 3
    # A series for each queue.
    BACKLOGS = 4
    # A series for each kind of answer.
    RESPONSES = 5
    PROCESS = 6
    HISTOGRAMS = 7


class _Page:
    """Collect all metrics in the order of the page."""

    __slots__ = ("_metrics", "_process", "_registry")

    def __init__(self):
        self._registry = CollectorRegistry()
        self._metrics = []
        # Memory and processor time of the process itself have limits too.
        self._process = ProcessCollector(registry=self._registry)

    def add(self, kind, place, name, text, labels, **options):
        """Return a new metric of a kind of the library."""
        metric = kind(name, text, labels, registry=self._registry, **options)
        self._metrics.append((place, name, metric))
        return metric

    def in_order(self):
        """Return the metrics, those of the process left out."""
        return [metric for _, _, metric in sorted(self._metrics, key=_place_and_name)]

    def collect(self):
        """Yield what the library writes, without metrics that have no series yet."""
        places = [*self._metrics, (PageSection.PROCESS, "", self._process)]
        for place, _, metric in sorted(places, key=_place_and_name):
            for family in metric.collect():
                if place == PageSection.BACKLOGS:
                    family.samples.sort(key=_value, reverse=True)
                if family.samples:
                    yield family


def _place_and_name(placed):
    return placed[:2]


def _value(sample):
    return sample.value


_PAGE = _Page()
# Seconds. A near call takes 10 ms, one over the link 50 ms; callers wait 3 s at most,
# and jobs take from one to some thirty seconds.
_CALL_BUCKETS = (0.02, 0.1, 0.5, 2.0)
_JOB_BUCKETS = (0.1, 0.5, 2.0, 10.0, 60.0)


def counter(place, name, text, labels=()):
    """Return a new counter; ``_total`` is added to its name."""
    return _PAGE.add(Counter, place, name, text, labels)


def gauge(place, name, text, labels=()):
    """Return a new gauge."""
    return _PAGE.add(Gauge, place, name, text, labels)


def histogram(name, text, labels=(), of_jobs=False):
    """Return a new histogram of seconds, of calls or of whole jobs."""
    buckets = _JOB_BUCKETS if of_jobs else _CALL_BUCKETS
    return _PAGE.add(
        Histogram, PageSection.HISTOGRAMS, name, text, labels, buckets=buckets
    )


def metrics_text():
    """Return all metrics in the Prometheus text format, as bytes."""
    return generate_latest(_PAGE)


def describe_metrics():
    """Return name, kind, labels and meaning of each metric, in the page's order.

    Returns
    -------
    list of tuple
    """
    found = []
    for metric in _PAGE.in_order():
        (family,) = metric.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = tuple(metric._labelnames)
        found.append((family.name + suffix, family.type, labels, family.documentation))
    return found
