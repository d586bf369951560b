"""Each state of a job of steps is explained from the store."""

import pytest

from papayapick.jobs import JobDocument, Step
from papayapick.jobs.state import JobStatus
from papayapick.ledger import Amounts
from papayapick.management.pools import JobView, StepView
from papayapick.management.reasons import explain_job
from papayapick.ownership.pools import PoolRow
from papayapick.pool.workers.reports import Registration

OWNER = PoolRow("pool", "host-1", 3, "a:1", 9)
WORKER = Registration("w1", "pool", "a:1", "z", Amounts(4000, 4096), ("a",), False)
SMALL = Step(2, Amounts(1000, 10))
LARGE = Step(1, Amounts(9000, 10))
LABELLED = Step(1, Amounts(1000, 10), label="b")
BEGUN = StepView(0, 0, 2, 1, {"1": "w1"}, {})
FAILED = StepView(0, 0, 2, 1, {}, {"1": 4})


def view(step=SMALL, status=JobStatus.WAITING, cancelled=False, steps=(), times=0):
    document = JobDocument("f" * 16, "q", "pool", "t", [step], 0.0, times, 60.0, 1.0)
    return JobView(document, status, cancelled, list(steps))


@pytest.mark.parametrize(
    ("job", "is_reached", "codes", "text"),
    [
        (view(), True, ["waits.for-turn"], "log of host-1"),
        (view(), False, ["waits.owner-missing"], "host-1"),
        (view(LARGE), True, ["waits.never-fits-pool"], "none of 1 workers"),
        (view(LABELLED), True, ["waits.never-fits-pool"], "label b"),
        (view(times=2), True, ["waits.for-due-time"], "1970-01-01 00:01:00"),
        (
            view(status=JobStatus.RUNNING, steps=[BEGUN]),
            True,
            ["placed.on"],
            "1 of 2 done: task 1 on w1",
        ),
        (
            view(status=JobStatus.RUNNING, steps=[BEGUN]),
            False,
            ["waits.owner-missing", "placed.on"],
            "can't be reached",
        ),
        (
            view(status=JobStatus.FAILED, steps=[FAILED]),
            True,
            ["ended.failed"],
            "step 0 task 1 failed 4 times",
        ),
        (view(status=JobStatus.COMPLETED), False, ["ended.done"], "completed"),
        (view(cancelled=True), True, ["ended.cancelled"], "caller"),
    ],
)
def test_reason_names_the_cause(job, is_reached, codes, text):
    found = explain_job(job, OWNER, is_reached, [WORKER])
    assert [reason.code for reason in found] == codes
    assert text in found[0].text
