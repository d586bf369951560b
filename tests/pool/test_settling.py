"""What is kept back as one owner follows another."""

import json

import pytest

from papayapick.jobs import JobDocument, Step, progress_record
from papayapick.ledger import Amounts
from papayapick.pool.journal import PROGRESS_TABLE
from tests.pool.owners import (
    ID,
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    place,
    register,
    report,
    started_record,
    store_job,
)

# A lasting task counts as away from 6 s after its last run.
AWAY_SECONDS = 6.0


def _decide(host, owner, seconds, workers):
    """Let an owner decide as its workers answer; return the runs it placed."""
    placed = []
    for _ in range(round(seconds / 0.1)):
        host.clock.advance(0.1)
        with owner.lock:
            owner.standing.note_confirmed(host.clock.monotonic())
            owner.tick(host.clock.monotonic())
        for worker in workers:
            report(owner, worker)
        placed += place(owner)
    return placed


def test_lasting_task_is_not_kept_back_by_a_dead_worker_takeover_after_takeover():
    """A watcher stays away as all hosts are restarted, though no record is missing.

    One worker crashed before the first takeover and never answers a new owner. Each
    owner recorded all its starts, yet it says that records may be missing until it
    knows all workers. So its successor keeps back all tasks of before, also one that
    runs nowhere on record, and has not settled when the next one takes the pool.
    """
    host = host_with_two_workers()
    register(host, "w3")
    first = owner_of(host, is_journal_exact=True)
    _decide(host, first, 4.0, ("w1", "w2"))
    step = Step(1, Amounts(1000, 10), is_lasting=True)
    failed = {"attempts": {"0": 1}, "failed": {"0": [1]}}
    record = {"status": "running", "occurrences": {"0": [failed]}}
    store_job(host, JobDocument(ID, "q", "pool", "t", [step], 0.0), record)
    owner, seconds = first, 0.0
    while seconds <= AWAY_SECONDS:
        owner = owner_of(host, is_journal_exact=not owner.may_lack_records())
        if _decide(host, owner, 3.5, ("w1", "w2")):
            break
        seconds += 3.5
    assert seconds < AWAY_SECONDS


@pytest.mark.parametrize("is_journal_exact", [True, False])
def test_task_is_not_kept_back_for_a_worker_whose_life_is_over(is_journal_exact):
    """A count stands still after a takeover, though all workers have answered.

    Another life answers at the address of the worker that ran it, and says so. The new
    owner waited all the same, as for a worker that is cut off.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=is_journal_exact)
    report(owner, "w1")
    assert place(owner) == []
    owner.lists.note_restart(owner.links_by_worker["w2"], None)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_task_that_is_kept_back_stays_on_record_for_the_next_owner():
    """A task runs twice after two takeovers beside a worker that is cut off.

    The first new owner kept the task back, and recorded the progress of another task of
    the job without the worker of this one. The next owner placed it at once.
    """
    host = host_with_two_workers()
    register(host, "w3")
    record = started_record("w1", attempts={"0": 1, "1": 1})
    record["occurrences"]["0"][0]["places"] = {"0": "w1", "1": "w2"}
    store_job(host, job(tasks=2), record)
    first = owner_of(host)
    report(first, "w2", ends=[(KEY._replace(index=1), 1, "done")])
    state = first.book.get(ID)
    host.rows[(PROGRESS_TABLE, "pool")].clear()
    host.put(PROGRESS_TABLE, "pool", ID, json.loads(json.dumps(progress_record(state))))
    second = owner_of(host)
    report(second, "w2")
    report(second, "w3")
    assert place(second) == []
    report(second, "w1", runs=[(KEY, 1)])
    assert place(second) == []


def test_older_run_does_not_free_a_task_that_is_kept_back():
    """A task runs twice after a takeover beside a worker that is cut off.

    An order that was carried out late had begun an older run of it on a second worker,
    which answered the new owner; the run on record went on behind the cut.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w1", attempts={"0": 2}))
    owner = owner_of(host)
    report(owner, "w2", runs=[(KEY, 1)])
    host.clock.advance(0.1)
    report(owner, "w2", ends=[(KEY, 1, "stopped")])
    owner.tick(host.clock.monotonic())
    assert place(owner) == []
    report(owner, "w1", runs=[(KEY, 2)])
    assert place(owner) == []
