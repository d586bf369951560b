"""The metrics that an on-call engineer needs first lead an entry host's page."""

import re

import pytest
from prometheus_client.parser import text_string_to_metric_families

from papayapick.entry import exceptions, metrics
from papayapick.jobs.runs import RequeueReason
from papayapick.jobs.state import JobStatus
from papayapick.observability.registry import describe_metrics, metrics_text
from papayapick.pool import metrics as pool_metrics
from papayapick.pool.rounds.yielding import Standing
from papayapick.pool.workers.reports import EndOutcome, StartOutcome
from papayapick.speeds import SpeedTier
from papayapick.speeds import metrics as speed_metrics

# Collectors may cut a page off after this many bytes, also within a line.
PAGE_LIMIT_BYTES = 4000
QUEUES = 45
TEAMS = 20
LONGEST_BACKLOGS = 10
METHODS = ("GET", "POST", "DELETE")
STATUSES = ("200", "400", "404", "410", "429", "503", "504")
STORE_CALLS = ("read", "transact", "follow")
STORE_OUTCOMES = ("200", "412", "429", "503", "no-answer", "not-sent")
FIRST_METRICS = (
    "papayapick_pool_owned",
    "papayapick_entry_store_age_seconds",
    "papayapick_entry_configuration_version",
    "papayapick_entry_configuration_age_seconds",
    "papayapick_entry_lines_left_out_total",
    "papayapick_entry_refusals_total",
    "papayapick_pool_ends_total",
    "papayapick_pool_renewals_total",
    "papayapick_pool_starts_total",
    "papayapick_pool_takeovers_total",
)


def constant_values(cls):
    return [value for name, value in vars(cls).items() if name.isupper()]


@pytest.fixture
def page():
    """Return the page of an owner with a series for each value of each label."""
    errors = [getattr(exceptions, name) for name in exceptions.__all__]
    for error in errors:
        metrics.REFUSALS.labels(error.code).inc(1234)
    for method in METHODS:
        for status in STATUSES:
            metrics.REQUESTS.labels(method, status).inc(12345)
    for operation in STORE_CALLS:
        for outcome in STORE_OUTCOMES:
            metrics.STORE_SECONDS.labels(operation, outcome).observe(0.123)
    for outcome in ("answered", "failed"):
        metrics.ADVICE_SECONDS.labels(outcome).observe(0.123)
    for outcome in StartOutcome:
        pool_metrics.STARTS.labels(outcome.value).inc(12345)
    for outcome in constant_values(EndOutcome):
        pool_metrics.ENDS.labels(outcome).inc(12345)
    for tier in SpeedTier:
        speed_metrics.WORKERS_BY_TIER.labels("pool-1", tier.name.lower()).set(176)
    for reason in RequeueReason:
        pool_metrics.TASKS_PLACED_AGAIN.labels(reason.value).inc(1234)
    for reason in ("unknown-job", "unknown-task", "counted-as-over", "unreadable-job"):
        pool_metrics.ENDS_NOT_APPLIED.labels(reason).inc(1234)
    for kind in ("job", "worker"):
        pool_metrics.LEFT_OUT.labels(kind).inc(1234)
    for outcome in ("opened", "closed", "refused"):
        pool_metrics.WORKER_CONNECTIONS.labels(outcome).inc(123456)
    for outcome in ("answered", "refused", "no-answer"):
        pool_metrics.RENEWALS.labels(outcome).inc(123456)
    for status in JobStatus.FINAL:
        pool_metrics.COMPLETION_SECONDS.labels(status).observe(12.3)
    for number in range(QUEUES):
        pool_metrics.WAITING_JOBS.labels(f"r-queue{number:02}").set(number + 1)
        for standing in Standing:
            labels = f"r-queue{number:02}", standing.value
            pool_metrics.PLANNED_JOBS.labels(*labels).set(number)
    for number in range(TEAMS):
        pool_metrics.TEAM_SHARES.labels(f"team{number:02}").set(number / TEAMS)
    for number in range(QUEUES):
        for bound in ("earliest", "latest"):
            labels = (f"r-queue{number:02}", bound)
            pool_metrics.PREDICTED_WAIT_SECONDS.labels(*labels).set(number + 1)
    yield metrics_text().decode()
    for metric in (
        metrics.REFUSALS,
        metrics.REQUESTS,
        metrics.STORE_SECONDS,
        metrics.ADVICE_SECONDS,
        pool_metrics.STARTS,
        pool_metrics.ENDS,
        pool_metrics.RENEWALS,
        pool_metrics.COMPLETION_SECONDS,
        pool_metrics.PLANNED_JOBS,
        pool_metrics.PREDICTED_WAIT_SECONDS,
        pool_metrics.TASKS_PLACED_AGAIN,
        pool_metrics.TEAM_SHARES,
        pool_metrics.WAITING_JOBS,
        pool_metrics.WORKER_CONNECTIONS,
    ):
        metric.clear()


def samples(page, name=""):
    return [
        line
        for line in page.splitlines()
        if line.startswith(name) and not line.startswith("#")
    ]


def metric_name(sample):
    return re.match(r"\w+", sample)[0]


def first_bytes(page):
    """Return the whole lines within the bytes that a collector keeps."""
    return page[:PAGE_LIMIT_BYTES].rpartition("\n")[0]


@pytest.mark.parametrize("name", FIRST_METRICS)
def test_first_metrics_are_not_cut_off(page, name):
    found = samples(page, name)
    assert found
    assert samples(first_bytes(page), name) == found


def test_longest_backlogs_are_not_cut_off(page):
    name = "papayapick_pool_waiting_jobs"
    counts = [float(line.split()[1]) for line in samples(first_bytes(page), name)]
    assert counts[:LONGEST_BACKLOGS] == [
        float(QUEUES - number) for number in range(LONGEST_BACKLOGS)
    ]
    assert len(samples(page, name)) == QUEUES


def test_histograms_come_last_and_whole(page):
    kinds = [kind for _, kind, _, _ in describe_metrics()]
    assert kinds == sorted(kinds, key=lambda kind: kind == "histogram")
    histograms = [
        name for name, kind, _, _ in describe_metrics() if kind == "histogram"
    ]
    names = [metric_name(line) for line in samples(page)]
    first = min(names.index(name + "_bucket") for name in histograms)
    series = {
        name + end for name in histograms for end in ("_bucket", "_count", "_sum")
    }
    assert set(names[first:]) == series
    assert not series & set(names[:first])


def test_page_has_all_metrics_and_no_creation_times(page):
    names = {metric_name(line) for line in samples(page)}
    assert not {name for name in names if name.endswith("_created")}
    families = {family.name for family in text_string_to_metric_families(page)}
    for name, _, _, _ in describe_metrics():
        assert name.removesuffix("_total") in families


def test_metric_without_a_series_is_omitted():
    pool_metrics.STARTS.clear()
    assert "papayapick_pool_starts" not in metrics_text().decode()
