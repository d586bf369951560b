"""More urgent work comes than the pool can do: what is still done in time."""

import pytest

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.timeliness import Timeliness, latest_start
from tests.pool.standins import QUEUE, Replay

SECONDS = 0.8
OBJECTIVE = QUEUE.stretch * SECONDS + QUEUE.objective_seconds


def test_jobs_are_done_in_time_while_more_come_than_the_pool_can_do():
    """At opening, door counts come at 1.4 times what the pool can do.

    Served in the order of arrival each waited as long as the backlog was old, and
    four fifths came too late. Those that can still be done in time go first.
    """
    load = Replay(workers=8, length=SECONDS)
    for number in range(100):
        # 32 tasks at a time, 40 tasks a second; 56 a second come.
        load.hand_in(tasks=6 if number % 5 else 4, estimate=SECONDS)
        if number % 2:
            load.run(0.2)
    load.run(20.0)
    took = load.took()
    assert len(load.finished) == 100
    in_time = sum(one <= OBJECTIVE for one in took) / len(took)
    assert in_time > 0.6


@pytest.mark.parametrize(
    ("waited", "kind"),
    [
        (0.0, Timeliness.IN_TIME),
        (OBJECTIVE - SECONDS, Timeliness.IN_TIME),
        (OBJECTIVE, Timeliness.LATE),
        (3 * OBJECTIVE, Timeliness.OVERDUE),
    ],
)
def test_work_is_overdue_once_it_can_be_of_no_use(waited, kind):
    load = Replay(workers=1, length=SECONDS)
    load.hand_in(tasks=1, estimate=SECONDS)
    (step,) = load.owner.book.waiting_steps()
    found, _ = latest_start(step, load.now + waited)
    assert found == kind


@pytest.mark.parametrize("kind", ["lasting", "timed"])
def test_work_without_an_end_or_with_a_due_time_is_never_overdue(kind):
    load = Replay(workers=1, length=SECONDS)
    step = Step(1, Amounts(1000, 10), 1.0, is_lasting=kind == "lasting")
    times = 2 if kind == "timed" else 0
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0, times, 1e12, 1.0)
    job = load.owner.book.add(document, QUEUE, load.now)
    (state,) = job.open_occurrence(1)
    found, _ = latest_start(state, load.now + 1000.0)
    assert found == Timeliness.IN_TIME
