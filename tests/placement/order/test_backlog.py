"""Rejection of jobs that would start too late, and when to submit them again."""

import pytest

from papayapick.placement.order.backlog import BacklogMonitor

BACKLOG = 10_000


def monitor_with_backlog(jobs_a_second, seconds=20):
    """Return a monitor of a queue that has had a backlog for some seconds."""
    monitor = BacklogMonitor()
    monitor.backlog("counts", BACKLOG, 0.0)
    for number in range(int(jobs_a_second * seconds)):
        monitor.note_first_start("counts", number / jobs_a_second)
    return monitor


@pytest.mark.parametrize(
    ("rate", "waiting", "retry_after"),
    [
        (10, 599, 0),
        (10, 700, 10),
        (10, 5000, 30),
        (100, 5999, 0),
        (0, 199, 0),
        (0, 200, 30),
    ],
    ids=["under", "over", "far over", "quick", "few", "nothing begins"],
)
def test_retry_after_follows_the_start_rate(rate, waiting, retry_after):
    """Guards against an unbounded backlog under sustained overload.

    With all jobs accepted, those submitted last start when their callers no longer need
    them.
    """
    backlog = monitor_with_backlog(rate).backlog("counts", waiting, 20.0)
    assert (backlog.waiting, backlog.retry_after) == (waiting, retry_after)


def test_burst_after_low_load_is_accepted():
    """Guards against using the start rate under low load as the pool's capacity.

    Seven jobs a second are submitted, and all start; then 300 are submitted within one
    second. They would be rejected for half a minute although the pool has room.
    """
    monitor = BacklogMonitor()
    for number in range(70):
        monitor.note_first_start("counts", number / 7)
    assert monitor.backlog("counts", 300, 10.0).retry_after == 0
    for number in range(300):
        monitor.note_first_start("counts", 10.0 + number / 60)
    assert monitor.backlog("counts", 600, 15.0).retry_after == 0


def test_rate_is_measured_anew_for_each_backlog():
    monitor = monitor_with_backlog(1)
    assert monitor.backlog("counts", 300, 20.0).retry_after == 30
    assert monitor.backlog("counts", 10, 21.0).retry_after == 0
    assert monitor.backlog("counts", 300, 22.0).retry_after == 0


def test_starts_before_the_window_do_not_count():
    assert monitor_with_backlog(100).backlog("counts", 300, 60.0).retry_after == 30


def test_queues_are_measured_separately():
    monitor = monitor_with_backlog(100)
    monitor.backlog("comparisons", 300, 0.0)
    assert monitor.backlog("comparisons", 300, 20.0).retry_after == 30
    assert monitor.backlog("counts", 300, 20.0).retry_after == 0


@pytest.mark.parametrize(
    ("useful_seconds", "retry_after"), [(6.0, 14), (1.0, 15), (1000.0, 0)]
)
def test_queue_of_jobs_useful_for_a_short_time_accepts_fewer(
    useful_seconds, retry_after
):
    """Guards against urgent jobs that are accepted and start when no longer needed."""
    backlog = monitor_with_backlog(20).backlog("counts", 400, 20.0, useful_seconds)
    assert backlog.retry_after == retry_after


def test_rate_of_an_urgent_queue_is_used_sooner():
    monitor = BacklogMonitor()
    monitor.backlog("counts", 300, 0.0, 6.0)
    assert monitor.backlog("counts", 300, 1.9, 6.0).retry_after == 0
    assert monitor.backlog("counts", 300, 2.1, 6.0).retry_after == 30
    assert monitor.backlog("counts", 300, 2.2).retry_after == 0
