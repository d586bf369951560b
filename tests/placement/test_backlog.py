"""A queue takes no more jobs than begin within the limit, and says when it does."""

import pytest

from papayapick.placement.backlog import BacklogMonitor

BACKLOG = 10_000


def gauge(jobs_a_second, seconds=20):
    """Return a gauge of a queue that had a backlog for so long."""
    found = BacklogMonitor()
    found.backlog("counts", BACKLOG, 0.0)
    for number in range(int(jobs_a_second * seconds)):
        found.note_first_start("counts", number / jobs_a_second)
    return found


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
def test_retry_after_follows_the_rate_at_which_jobs_begin(rate, waiting, retry_after):
    """A load above what the pool can do lasts for minutes.

    All were accepted: the backlog grew without bound, and who came last waited for
    work that nobody had a use for when it began.
    """
    found = gauge(rate).backlog("counts", waiting, 20.0)
    assert (found.waiting, found.retry_after) == (waiting, retry_after)


def test_burst_after_a_quiet_time_is_taken():
    """Jobs came at seven a second and all began; then 300 come in one second.

    The rate of the quiet time was taken for what the pool can do: callers were sent
    away for half a minute, and the pool had room for all of them.
    """
    found = BacklogMonitor()
    for number in range(70):
        found.note_first_start("counts", number / 7)
    assert found.backlog("counts", 300, 10.0).retry_after == 0
    for number in range(300):
        found.note_first_start("counts", 10.0 + number / 60)
    assert found.backlog("counts", 600, 15.0).retry_after == 0


def test_backlog_that_ended_is_measured_anew():
    found = gauge(1)
    assert found.backlog("counts", 300, 20.0).retry_after == 30
    assert found.backlog("counts", 10, 21.0).retry_after == 0
    assert found.backlog("counts", 300, 22.0).retry_after == 0


def test_rate_of_a_while_ago_does_not_count():
    assert gauge(100).backlog("counts", 300, 60.0).retry_after == 30


def test_queues_are_told_apart():
    found = gauge(100)
    found.backlog("comparisons", 300, 0.0)
    assert found.backlog("comparisons", 300, 20.0).retry_after == 30
    assert found.backlog("counts", 300, 20.0).retry_after == 0


@pytest.mark.parametrize(
    ("useful_seconds", "retry_after"), [(6.0, 14), (1.0, 15), (1000.0, 0)]
)
def test_queue_whose_jobs_are_soon_of_no_use_takes_fewer(useful_seconds, retry_after):
    """Guards against urgent jobs that are accepted and begin when nobody needs them."""
    found = gauge(20).backlog("counts", 400, 20.0, useful_seconds)
    assert found.retry_after == retry_after


def test_rate_of_an_urgent_queue_is_believed_sooner():
    found = BacklogMonitor()
    found.backlog("counts", 300, 0.0, 6.0)
    assert found.backlog("counts", 300, 1.9, 6.0).retry_after == 0
    assert found.backlog("counts", 300, 2.1, 6.0).retry_after == 30
    assert found.backlog("counts", 300, 2.2).retry_after == 0
