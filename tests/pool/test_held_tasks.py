"""Tasks that a new owner holds until it knows that they don't run any more."""

from papayapick.jobs import JobDocument, JobStatus, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.workers.leases import LEASE_SECONDS
from tests.pool.owners import (
    ID,
    KEY,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
    waiting_tasks,
)


def test_task_is_held_until_its_worker_has_reported(host):
    """A task must not run twice if its worker does not answer a new owner at first."""
    store_job(host, job(), started_record("w1"))
    owner = owner_of(host)
    report(owner, "w2")
    assert waiting_tasks(owner) == 0
    report(owner, "w1", runs=[(KEY, 1)])
    assert waiting_tasks(owner) == 0
    assert [run.worker for run in owner.rooms.get("w1").runs.values()] == ["w1"]


def test_task_of_a_worker_that_left_the_list_is_held(host):
    """A task must not run twice if its worker is draining during a takeover.

    Such a worker may have left the platform's list and still run the task, while all
    listed workers have reported to the new owner.
    """
    store_job(host, job(), started_record("w9"))
    owner = owner_of(host)
    report(owner, "w1")
    report(owner, "w2")
    assert waiting_tasks(owner) == 0
    host.clock.advance(6.0)
    owner.reconciliation.release_safe_tasks(host.clock.monotonic())
    assert waiting_tasks(owner) == 1


def test_other_tasks_are_placed_while_a_worker_is_silent(host):
    store_job(host, job(tasks=3), started_record("w1"))
    owner = owner_of(host)
    report(owner, "w2")
    assert len(place(owner)) == 2


def test_incomplete_records_hold_tasks_until_all_workers_have_reported(host):
    store_job(host, job())
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w2")
    assert waiting_tasks(owner) == 0
    report(owner, "w1")
    assert waiting_tasks(owner) == 1


def test_task_is_held_if_a_later_start_may_lack_a_record(host):
    """A task must not run twice if only an earlier one of its starts is recorded.

    The first start, on w1, is recorded and failed. The owner, which had lost the store
    by then, started the task again on w2 without a record. The next owner learns of the
    failure from w1 and knows of no other worker, as w2 has not reported yet.
    """
    store_job(host, job(), started_record("w1"))
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1", ends=[(KEY, 1, "failed")])
    assert waiting_tasks(owner) == 0
    assert place(owner) == []
    report(owner, "w2", runs=[(KEY, 2)])
    assert waiting_tasks(owner) == 0
    assert [run.worker for run in owner.rooms.get("w2").runs.values()] == ["w2"]


def test_lease_of_the_previous_owner_is_waited_out(host):
    """A task must not run twice if its worker reports once and then is unreachable.

    The new owner had not granted a lease yet, but the lease that the previous owner
    had granted was still in force.
    """
    store_job(host, job(), started_record("w1"))
    owner = owner_of(host)
    link = report(owner, "w1", runs=[(KEY, 1)])
    link.failed_since = host.clock.monotonic()
    host.clock.advance(1.0)
    owner.tick(host.clock.monotonic())
    assert waiting_tasks(owner) == 0
    host.clock.advance(LEASE_SECONDS + 2.5)
    owner.tick(host.clock.monotonic())
    assert waiting_tasks(owner) == 1


def test_old_end_does_not_release_a_held_task(host):
    """A task must not run twice after its owner was killed.

    The task failed on one worker and runs on a second one, which has not reported to
    the new owner. The first worker still reports the failure, which must not make the
    task wait for placement.
    """
    record = started_record("w1", attempts={"0": 2})
    store_job(host, job(), record)
    owner = owner_of(host)
    report(owner, "w2", ends=[(KEY, 1, "failed")])
    assert waiting_tasks(owner) == 0
    assert place(owner) == []
    report(owner, "w1", ends=[(KEY, 2, "done")])
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED


def test_old_end_does_not_release_a_held_gang(host):
    record = started_record(
        "w1", attempts={"0": 2, "1": 2}, places={"0": "w1", "1": "w1"}
    )
    store_job(host, job(tasks=2, is_gang=True), record)
    owner = owner_of(host)
    report(owner, "w2", ends=[(KEY, 1, "failed")])
    assert waiting_tasks(owner) == 0


def test_step_that_becomes_ready_during_a_takeover_is_held_too(host):
    """Tasks must not run twice after an outage of the store.

    The first step is recorded as running; it ended, and the next step started, during
    the outage. The new owner learns of the end from one worker and must not place the
    next step before another worker has reported that it runs there.
    """
    steps = [Step(1, Amounts(1000, 10)), Step(1, Amounts(1000, 10), after=[0])]
    document = JobDocument(ID, "q", "pool", "t", steps, 0.0)
    store_job(host, document, started_record("w1") | {})
    host.rows[(PROGRESS_TABLE, "pool")][0].value["occurrences"]["0"].append({})
    owner = owner_of(host, is_journal_exact=False)
    report(owner, "w1", ends=[(KEY, 1, "done")])
    assert waiting_tasks(owner) == 0
    report(owner, "w2", runs=[(TaskKey(ID, 0, 1, 0), 1)])
    assert waiting_tasks(owner) == 0
    host.clock.advance(0.1)
    report(owner, "w2", ends=[(TaskKey(ID, 0, 1, 0), 1, "done")])
    assert owner.job_registry.get(ID).status == JobStatus.COMPLETED
