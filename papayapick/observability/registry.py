"""Collect the metrics of an entry host, which its packages define."""

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

# The creation times (`_created`) take a line for each series and are not used.
disable_created_metrics()


class PageSection(enum.IntEnum):
    """Order the sections of the metrics page; each section is sorted by name.

    Collectors may cut a page off after some 4,000 bytes. So metrics that a bounded set
    of label values keeps short come before those that grow with queues and callers,
    and histograms come last.
    """

    # Whether the host owns pools, and how recent its store and configuration are.
    HOST_STATE = 1
    # Results of an owner's orders and claims.
    OWNER = 2
    # Refused requests, and dropped log lines.
    REFUSALS_AND_DROPS = 3
    # One series per queue.
    BACKLOGS = 4
    # One series per team, for a bounded number of teams.
    TEAMS = 5
    # One series per pool and class of speed.
    SPEEDS = 6
    # Missed promises, and two series for each queue with a predicted wait.
    PROMISES = 7
    # Three series per queue with jobs, while more waits than the pool has room for.
    PLANS = 8
    # One series per method and status.
    RESPONSES = 9
    # One series per reason for which a task was queued again.
    PLACED_AGAIN = 10
    # Connections to workers.
    CONNECTIONS = 11
    PROCESS = 12
    HISTOGRAMS = 13


class _MetricsPage:
    """Collect all metrics in the order of their sections."""

    __slots__ = ("_metrics", "_process", "_registry")

    def __init__(self):
        self._registry = CollectorRegistry()
        self._metrics = []
        # The process's memory and processor time have limits too, so export them.
        self._process = ProcessCollector(registry=self._registry)

    def add(self, metric_class, section, name, text, labels, **options):
        """Return a new metric of a class of prometheus_client."""
        metric = metric_class(name, text, labels, registry=self._registry, **options)
        self._metrics.append((section, name, metric))
        return metric

    def sorted_metrics(self):
        """Return the metrics in page order, without those of the process."""
        return [metric for _, _, metric in sorted(self._metrics, key=_section_and_name)]

    def collect(self):
        """Yield the metric families in page order, except those without a series."""
        collectors = [*self._metrics, (PageSection.PROCESS, "", self._process)]
        for section, _, metric in sorted(collectors, key=_section_and_name):
            for family in metric.collect():
                if section == PageSection.BACKLOGS:
                    family.samples.sort(key=_sample_value, reverse=True)
                if family.samples:
                    yield family


def _section_and_name(entry):
    return entry[:2]


def _sample_value(sample):
    return sample.value


_METRICS_PAGE = _MetricsPage()
# In seconds. A call within a region takes 10 ms, one over the link between regions
# 50 ms; callers wait 3 s at most, and jobs take from one to some thirty seconds.
_REQUEST_BUCKETS = (0.02, 0.1, 0.5, 2.0)
_JOB_BUCKETS = (0.1, 0.5, 2.0, 10.0, 60.0)


def counter(section, name, text, labels=()):
    """Return a new counter; ``_total`` is added to its name."""
    return _METRICS_PAGE.add(Counter, section, name, text, labels)


def gauge(section, name, text, labels=()):
    """Return a new gauge."""
    return _METRICS_PAGE.add(Gauge, section, name, text, labels)


def histogram(name, text, labels=(), of_jobs=False, buckets=None):
    """Return a new histogram of seconds, of calls or, with ``of_jobs``, of jobs.

    With ``buckets``, a tuple of float, it is one of other values.
    """
    buckets = buckets or (_JOB_BUCKETS if of_jobs else _REQUEST_BUCKETS)
    return _METRICS_PAGE.add(
        Histogram, PageSection.HISTOGRAMS, name, text, labels, buckets=buckets
    )


def metrics_text():
    """Return all metrics in the Prometheus text format, as bytes."""
    return generate_latest(_METRICS_PAGE)


def describe_metrics():
    """Return name, kind, labels and help text of each metric, in page order.

    Returns
    -------
    list of tuple
    """
    found = []
    for metric in _METRICS_PAGE.sorted_metrics():
        (family,) = metric.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = tuple(metric._labelnames)
        found.append((family.name + suffix, family.type, labels, family.documentation))
    return found
