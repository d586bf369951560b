"""A queue takes no more jobs than begin within the limit, and says when it does."""

import pytest

from papayapick.placement.backlog import BacklogGauge


def gauge(jobs_a_second, seconds=20):
    found = BacklogGauge()
    for number in range(int(jobs_a_second * seconds)):
        found.note_begun("counts", number / jobs_a_second)
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
    assert gauge(rate).backlog("counts", waiting, 20.0).retry_after == retry_after


def test_rate_of_a_while_ago_does_not_count():
    assert gauge(100).backlog("counts", 300, 60.0).retry_after == 30


def test_queues_are_told_apart():
    assert gauge(100).backlog("comparisons", 300, 20.0).retry_after == 30
