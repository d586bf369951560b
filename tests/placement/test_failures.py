"""Workers that fail everything are told from jobs that fail everywhere."""

import pytest

from papayapick.ledger import Amounts, HostLedger
from papayapick.placement import FailureTracker, JobQueue, WaitingJob

CORE = Amounts(1000, 1024)


def book_of(workers, share=0.1):
    ledger = HostLedger()
    for number in range(workers):
        ledger.add(f"worker-{number}", Amounts(4000, 4096))
        ledger.open(f"worker-{number}")
    return ledger, FailureTracker(ledger, share)


def fail(book, host, jobs, now=0.0):
    for job in jobs:
        book.note_failure(host, job, now)


def test_a_worker_that_fails_different_jobs_gets_no_more():
    """One broken worker fails hundreds of jobs.

    It fails at once, so it always has room, and is the tightest choice again
    and again.
    """
    ledger, book = book_of(10)
    fail(book, "worker-3", ["a", "b"])
    assert not book.quarantined
    fail(book, "worker-3", ["c"])
    assert book.quarantined == {"worker-3"}
    assert "worker-3" not in ledger.open_hosts()


def test_a_job_that_fails_everywhere_sets_no_worker_aside():
    """Three jobs that can't run take three sound workers out of the cell."""
    ledger, book = book_of(10)
    for job in ("a", "b", "c"):
        for number in range(3):
            book.note_failure(f"worker-{number}", job, 0.0)
    assert not book.quarantined
    assert book.fails_everywhere("a")


def test_no_more_than_the_share_is_set_aside():
    """A fault that all share, such as a missing image, empties the cell."""
    ledger, book = book_of(20)
    for number in range(20):
        fail(book, f"worker-{number}", [f"{number}-{job}" for job in range(5)])
    assert len(book.quarantined) == 2
    assert len(ledger.open_hosts()) == 18


@pytest.mark.parametrize(("relapses", "seconds"), [(0, 60), (1, 120), (2, 240)])
def test_a_worker_set_aside_is_probed_later_and_later(relapses, seconds):
    """A worker that was mended stays unused, or a broken one comes back too soon."""
    ledger, book = book_of(10)
    now = 0.0
    fail(book, "worker-3", ["a", "b", "c"], now)
    for relapse in range(relapses):
        now += 60 * 2**relapse
        book.readmit_due(now)
        fail(book, "worker-3", [f"again-{relapse}"], now)
    assert book.quarantined == {"worker-3"}
    book.readmit_due(now + seconds - 1)
    assert book.quarantined == {"worker-3"}
    book.readmit_due(now + seconds)
    assert not book.quarantined
    assert "worker-3" in ledger.open_hosts()


def test_a_success_clears_a_worker():
    ledger, book = book_of(10)
    fail(book, "worker-3", ["a", "b"])
    book.note_success("worker-3")
    fail(book, "worker-3", ["c", "d"])
    assert not book.quarantined


def test_a_refused_job_goes_elsewhere_as_long_as_it_fits_there():
    """A job is offered to the same unreachable worker for ever, or to none.

    It avoids the workers that refused it; once it needs one of these, the avoided
    worker may answer again.
    """
    ledger, book = book_of(2)
    queue = JobQueue(ledger)
    book.note_refusal("worker-0", "a", 0.0)
    assert not book.fails_everywhere("a")
    queue.add(WaitingJob("a", CORE, 4, avoid=book.hosts_to_avoid("a")))
    (start,) = queue.choose_starts(0.0)
    assert {place.host for place in start.places} == {"worker-1"}
    queue.add(WaitingJob("b", CORE, 8, avoid=frozenset(["worker-0"])))
    assert queue.choose_starts(0.0) == []
    queue.finish("a")
    (start,) = queue.choose_starts(1.0)
    assert {place.host for place in start.places} == {"worker-0", "worker-1"}
