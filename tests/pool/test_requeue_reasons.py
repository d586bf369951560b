"""The log tells why a task was placed again, and by which owner."""

import pytest

from papayapick.platform.machines import Machine
from papayapick.pool.rounds import waiting
from papayapick.pool.takeover import reconciliation
from papayapick.pool.workers.liveness import LivenessCheck
from tests.pool.owners import (
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.test_waits import RecordedEvents


@pytest.fixture
def placed(monkeypatch):
    events = RecordedEvents()
    monkeypatch.setattr(waiting, "STEP_PLACED", events)
    return events.found


def reasons(placed):
    return [line["requeue_reasons"] for line in placed]


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        ("failed", "failed"),
        ("lapsed", "lapsed"),
        ("stopped", "stopped"),
        ("evicted", "unknown"),
        (None, "unknown"),
        ([], "unknown"),
    ],
)
def test_task_placed_again_names_the_end_that_its_worker_listed(
    placed, outcome, reason
):
    host, owner = owner_with(job())
    (run,) = place(owner)
    report(owner, run.worker, ends=[(KEY, 1, outcome)])
    place(owner)
    assert reasons(placed) == [[""], [reason]]


def test_task_placed_again_tells_that_its_run_was_lost(placed):
    host, owner = owner_with(job())
    (run,) = place(owner)
    link = owner.links_by_worker[run.worker]
    owner.lost_runs.mark_all(link, "lease over")
    host.clock.advance(0.2)
    place(owner)
    assert reasons(placed) == [[""], ["lost"]]
    again = placed[1]
    assert again["earlier_workers"] == [run.worker]
    assert again["earlier_attempts"] == [1]
    assert again["over_for_seconds"] == [pytest.approx(0.2)]


def test_task_released_after_a_takeover_names_its_attempt_and_why(placed, monkeypatch):
    """Guards against a second run after a takeover that the log doesn't explain."""
    absent, released = RecordedEvents(), RecordedEvents()
    monkeypatch.setattr(reconciliation, "WORKER_ABSENT", absent)
    monkeypatch.setattr(reconciliation, "TASK_RELEASED", released)
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host)
    report(owner, "w1")
    host.clock.advance(0.3)
    machines = [Machine("m1", "pool", True, "w1"), Machine("m2", "pool", False, "")]
    LivenessCheck(owner, _Listed(machines)).check_once()
    place(owner)
    (line,) = absent.found
    assert (line["worker"], line["reason"]) == ("w2", "no such worker")
    assert line["taken_seconds_ago"] == pytest.approx(0.3)
    (line,) = released.found
    assert (line["attempt"], line["reason"], line["epoch"]) == (1, "no run", 3)
    assert reasons(placed) == [["released"]]


class _Listed:
    def __init__(self, machines):
        self._machines = machines

    def fetch(self):
        return self._machines
