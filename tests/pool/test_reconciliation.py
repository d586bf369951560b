"""Tasks that are held after takeovers."""

import json

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.jobs import JobDocument, Step, progress_record
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
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

# A lasting task counts as unavailable from 6 s after its last run.
UNAVAILABLE_SECONDS = 6.0


def _run_rounds(host, owner, seconds, workers):
    """Run scheduling rounds while some workers report; return the placed runs."""
    placed = []
    for _ in range(round(seconds / 0.1)):
        host.clock.advance(0.1)
        with owner.lock:
            owner.ownership_status.note_confirmed(host.clock.monotonic())
            owner.tick(host.clock.monotonic())
        for worker in workers:
            report(owner, worker)
        placed += place(owner)
    return placed


def test_dead_worker_does_not_hold_a_lasting_task_in_successive_takeovers():
    """A lasting task must restart while all hosts are restarted in turn.

    One worker crashed before the first takeover and never reports. Each owner recorded
    all its starts. If it nevertheless announced that records may be missing until all
    workers have reported, its successor would hold all tasks, even one that runs
    nowhere according to the records, and would be replaced before it releases them.
    """
    host = host_with_two_workers()
    register(host, "w3")
    first = owner_of(host, is_journal_exact=True)
    _run_rounds(host, first, 4.0, ("w1", "w2"))
    step = Step(1, Amounts(1000, 10), is_lasting=True)
    failed = {"attempts": {"0": 1}, "failed": {"0": [1]}}
    record = {"status": "running", "occurrences": {"0": [failed]}}
    store_job(host, JobDocument(ID, "q", "pool", "t", [step], 0.0), record)
    owner, seconds = first, 0.0
    while seconds <= UNAVAILABLE_SECONDS:
        owner = owner_of(host, is_journal_exact=not owner.may_lack_records())
        if _run_rounds(host, owner, 3.5, ("w1", "w2")):
            break
        seconds += 3.5
    assert seconds < UNAVAILABLE_SECONDS


@pytest.mark.parametrize("is_journal_exact", [True, False])
def test_task_is_not_held_for_a_worker_that_was_replaced(is_journal_exact):
    """A task must not be held after a takeover once all workers have answered.

    Another worker answers at the address of the one that ran the task. A new owner must
    not wait for the latter as for an unreachable worker.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w2"))
    owner = owner_of(host, is_journal_exact=is_journal_exact)
    report(owner, "w1")
    assert place(owner) == []
    owner.report_handler.note_restart(owner.links_by_worker["w2"], None)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_held_task_remains_recorded_for_the_next_owner():
    """A task must not run twice after two takeovers while its worker is unreachable.

    The first new owner holds the task and records the progress of another task of the
    job. The record must still name the worker of the held task, or the next owner
    would place it at once.
    """
    host = host_with_two_workers()
    register(host, "w3")
    record = started_record("w1", attempts={"0": 1, "1": 1})
    record["occurrences"]["0"][0]["places"] = {"0": "w1", "1": "w2"}
    store_job(host, job(tasks=2), record)
    first = owner_of(host)
    report(first, "w2", ends=[(KEY._replace(index=1), 1, "done")])
    state = first.job_registry.get(ID)
    host.rows[(PROGRESS_TABLE, "pool")].clear()
    host.put(PROGRESS_TABLE, "pool", ID, json.loads(json.dumps(progress_record(state))))
    second = owner_of(host)
    report(second, "w2")
    report(second, "w3")
    assert place(second) == []
    report(second, "w1", runs=[(KEY, 1)])
    assert place(second) == []


def test_older_run_does_not_release_a_held_task():
    """A task must not run twice after a takeover while its worker is unreachable.

    A delayed order started an older run of the task on a second worker, which reports
    to the new owner. The recorded run continues on the unreachable worker.
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


def test_lease_at_the_first_report_may_be_the_longest():
    """Guards against a task that runs twice after a takeover and a restart.

    A worker restarts under its id. Before its first report to the new owner it executes
    a late call of the earlier owner to its previous incarnation, which lengthens its
    lease to the maximum. What the new owner starts there goes on for that long if the
    worker is cut off.
    """
    host = host_with_two_workers()
    owner = owner_of(host)
    host.clock.advance(2.0)
    reported_at = host.clock.monotonic()
    link = report(owner, "w1")
    assert link.lease.lapse_at >= reported_at + host.settings.lease_limit_seconds / 0.98


@pytest.mark.parametrize("outcome", ["lapsed", "stopped", "failed"])
def test_end_of_a_run_with_the_same_number_on_another_worker_is_told_apart(outcome):
    """Guards against a second run while the owner takes its own run for ended.

    An earlier owner started the task without a record, on a worker that is cut off
    until its lease is over. The new owner starts it elsewhere, with the same number.
    Then the worker is back and lists the end of the earlier run.
    """
    host = host_with_two_workers()
    store_job(host, job())
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1")
    (run,) = _run_rounds(host, owner, 6.0, ("w1",))
    assert run.worker == "w1"
    report(owner, "w1", runs=[run.name])
    report(owner, "w2", ends=[(KEY, run.attempt, outcome)])
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].runs == [run]


def _with_new_job(is_journal_exact, seconds):
    """Return host and owner, to which a job comes some seconds after a takeover.

    One of two workers has not reported yet.
    """
    host = host_with_two_workers()
    owner = owner_of(host, is_journal_exact)
    report(owner, "w1")
    host.clock.advance(seconds)
    row = StoredRow(JOBS_TABLE, f"pool/{int(ID, 16) % 8}", ID, job().as_record(), 7)
    owner.store_sync._note_job_rows([row])
    return host, owner


def test_job_that_a_replaced_owner_may_have_started_is_held():
    """Guards against a job that runs twice, as it came while its pool was taken over.

    The replaced owner, which doesn't know it yet, reads the job as the new one does. It
    starts tasks without records, and one on a worker that the new owner hasn't reached.
    """
    _, owner = _with_new_job(is_journal_exact=False, seconds=0.1)
    assert place(owner) == []
    report(owner, "w2", runs=[(KEY, 1)])
    assert place(owner) == []
    (run,) = owner.job_registry.step_of(KEY).tasks[0].runs
    assert run.worker == "w2"


@pytest.mark.parametrize(("is_journal_exact", "seconds"), [(True, 0.1), (False, 2.1)])
def test_job_that_no_earlier_owner_can_have_started_is_placed(
    is_journal_exact, seconds
):
    """Guards against new jobs that wait for a silent worker after a takeover."""
    _, owner = _with_new_job(is_journal_exact, seconds)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_held_new_job_is_placed_once_all_workers_have_reported():
    _, owner = _with_new_job(is_journal_exact=False, seconds=0.1)
    report(owner, "w2")
    assert len(place(owner)) == 1


@pytest.mark.parametrize("is_journal_exact", [True, False])
def test_held_task_waits_for_the_ends_that_its_worker_has_not_listed_yet(
    is_journal_exact,
):
    """Guards against a second run after an end that is not in the first list.

    A worker lists 500 ends at a time, and the next ones once these are acknowledged.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w1"))
    owner = owner_of(host, is_journal_exact)
    report(owner, "w2")
    other = KEY._replace(index=7)
    link = report(owner, "w1", ends=[(other, 1, "done")], has_more_ends=True)
    assert link.processed == 1
    assert place(owner) == []
    assert not owner.reconciliation.is_complete
    report(owner, "w1", ends=[(other, 1, "done"), (KEY, 1, "done")])
    assert place(owner) == []
    assert owner.job_registry.get(ID).is_final
    assert owner.reconciliation.is_complete


def test_held_task_waits_until_its_worker_has_listed_all_ends():
    """Guards against a second run of a task whose end is on a later page.

    A worker lists 500 ends at a time. The first page shows neither the run nor that it
    is done, and the next one does.
    """
    host = host_with_two_workers()
    store_job(host, job(), started_record("w1"))
    owner = owner_of(host)
    report(owner, "w2")
    report(owner, "w1", has_more_ends=True)
    assert place(owner) == []
    report(owner, "w1", ends=[(KEY, 1, "done")])
    assert place(owner) == []
    assert owner.job_registry.step_of(KEY).tasks[0].is_done
