"""Quarantine of workers on which jobs fail, and jobs that fail on every worker."""

import pytest

from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import FailureTracker, JobQueue, WaitingJob

CORE = Amounts(1000, 1024)


def tracker_of(workers, share=0.1):
    ledger = HostLedger()
    for number in range(workers):
        ledger.add(f"worker-{number}", Amounts(4000, 4096))
        ledger.open(f"worker-{number}")
    return ledger, FailureTracker(ledger, share)


def fail(tracker, host, jobs, now=0.0):
    for job in jobs:
        tracker.note_failure(host, job, now)


def test_a_worker_that_fails_different_jobs_is_quarantined():
    """Guards against a faulty worker that fails hundreds of jobs.

    Jobs fail there immediately, so it always has room, and best fit chooses it again
    and again.
    """
    ledger, tracker = tracker_of(10)
    fail(tracker, "worker-3", ["a", "b"])
    assert not tracker.quarantined
    fail(tracker, "worker-3", ["c"])
    assert tracker.quarantined == {"worker-3"}
    assert "worker-3" not in ledger.open_hosts()


def test_a_job_that_fails_everywhere_quarantines_no_worker():
    """Guards against jobs that cannot run and put healthy workers into quarantine."""
    ledger, tracker = tracker_of(10)
    for job in ("a", "b", "c"):
        for number in range(3):
            tracker.note_failure(f"worker-{number}", job, 0.0)
    assert not tracker.quarantined
    assert tracker.fails_everywhere("a")


def test_no_more_than_the_maximum_share_is_quarantined():
    """Guards against a fault on all workers, such as a missing image.

    Without the limit, all workers of the cell would be in quarantine.
    """
    ledger, tracker = tracker_of(20)
    for number in range(20):
        fail(tracker, f"worker-{number}", [f"{number}-{job}" for job in range(5)])
    assert len(tracker.quarantined) == 2
    assert len(ledger.open_hosts()) == 18


@pytest.mark.parametrize(("relapses", "seconds"), [(0, 60), (1, 120), (2, 240)])
def test_quarantine_doubles_with_each_relapse(relapses, seconds):
    """Guards against repaired workers left unused and faulty ones readmitted early."""
    ledger, tracker = tracker_of(10)
    now = 0.0
    fail(tracker, "worker-3", ["a", "b", "c"], now)
    for relapse in range(relapses):
        now += 60 * 2**relapse
        tracker.readmit_due(now)
        fail(tracker, "worker-3", [f"again-{relapse}"], now)
    assert tracker.quarantined == {"worker-3"}
    tracker.readmit_due(now + seconds - 1)
    assert tracker.quarantined == {"worker-3"}
    tracker.readmit_due(now + seconds)
    assert not tracker.quarantined
    assert "worker-3" in ledger.open_hosts()


def test_a_success_clears_a_worker():
    ledger, tracker = tracker_of(10)
    fail(tracker, "worker-3", ["a", "b"])
    tracker.note_success("worker-3")
    fail(tracker, "worker-3", ["c", "d"])
    assert not tracker.quarantined


def test_a_refused_job_avoids_the_worker_if_others_have_room():
    """Guards against a job that is sent to an unreachable worker forever, or to none.

    The job avoids the workers that refused it. If it does not fit without them, it is
    sent to them again.
    """
    ledger, tracker = tracker_of(2)
    queue = JobQueue(ledger)
    tracker.note_refusal("worker-0", "a", 0.0)
    assert not tracker.fails_everywhere("a")
    queue.add(WaitingJob("a", CORE, 4, avoid=tracker.hosts_to_avoid("a")))
    (start,) = queue.choose_starts(0.0)
    assert {place.host for place in start.places} == {"worker-1"}
    queue.add(WaitingJob("b", CORE, 8, avoid=frozenset(["worker-0"])))
    assert queue.choose_starts(0.0) == []
    queue.finish("a")
    (start,) = queue.choose_starts(1.0)
    assert {place.host for place in start.places} == {"worker-0", "worker-1"}
