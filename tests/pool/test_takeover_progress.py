"""What an owner makes of runs that it did not start itself."""

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.jobs.records import progress_record, restore_progress
from papayapick.jobs.state import JobState
from papayapick.ledger import Amounts
from papayapick.placement.progress import compare_runs
from papayapick.placement.timeliness import Timeliness, latest_start
from papayapick.pool.journal import JOBS_TABLE, PROGRESS_TABLE
from tests.pool.owners import (
    ID,
    host_with_two_workers,
    job,
    owner_of,
    place,
    report,
    started_record,
    store_job,
)
from tests.pool.standins import QUEUE


def test_tasks_that_were_taken_over_do_not_make_others_seem_slow():
    """After a takeover, sound runs were stopped as slow and lost what they had done.

    Two tasks of a step ended a tenth of a second after the new owner first saw them.
    That was taken for all they took, so that a run of the usual three seconds, started
    by the new owner, seemed to work at a tenth of the usual speed.
    """
    host = host_with_two_workers()
    places = {"0": "w1", "1": "w1"}
    record = started_record("w1", attempts={"0": 1, "1": 1}, places=places)
    store_job(host, job(tasks=4), record)
    owner = owner_of(host)
    keys = [TaskKey(ID, 0, 0, index) for index in range(4)]
    report(owner, "w1", [(keys[0], 1), (keys[1], 1)], percent=95)
    report(owner, "w2")
    started = place(owner)
    host.clock.advance(0.1)
    report(owner, "w1", ends=[(keys[0], 1, "done"), (keys[1], 1, "done")])
    host.clock.advance(0.9)
    for worker in ("w1", "w2"):
        listed = [run.name for run in started if run.worker == worker]
        report(owner, worker, listed, percent=33)
    slow, _ = compare_runs(owner.book.step_of(keys[2]))
    assert len(started) == 2
    assert slow == []


def store_other(host, number, accepted_at):
    """Store a job beside the one that a test is about."""
    identifier = f"{number:016x}"
    step = Step(1, Amounts(1000, 10), 1.0)
    document = JobDocument(identifier, "q", "pool", "t", [step], accepted_at)
    host.put(JOBS_TABLE, f"pool/{number % 8}", identifier, document.as_record())


def test_job_that_was_late_before_a_takeover_is_late_after_it():
    """After each takeover, old jobs went before those that could still be in time.

    A new owner took all jobs for handed in just then, so that those that nobody had a
    use for any more kept fresh ones waiting, takeover after takeover.
    """
    host = host_with_two_workers()
    host.clock.advance(60.0)
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() - 20.0
    store_job(host, document)
    store_other(host, 1, accepted_at=host.clock.time() - 0.1)
    owner = owner_of(host)
    steps = {step.key.job: step for step in owner.book.waiting_steps()}
    old, _ = latest_start(steps[ID], host.clock.monotonic())
    fresh, _ = latest_start(steps[f"{1:016x}"], host.clock.monotonic())
    assert (old, fresh) == (Timeliness.OVERDUE, Timeliness.IN_TIME)


def test_job_that_a_clock_ahead_accepted_counts_from_the_takeover():
    host = host_with_two_workers()
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() + 20.0
    store_job(host, document)
    owner = owner_of(host)
    assert owner.book.get(ID).arrived_at == host.clock.monotonic()


def test_job_is_not_overdue_as_the_clock_of_the_new_owner_is_ahead(monkeypatch):
    """Fresh jobs came last after a takeover, by a host whose clock had jumped.

    A job was accepted a second ago. The new owner's clock is a minute ahead of that of
    the host that accepted it, so that it seems of no use to anybody any more.
    """
    host = host_with_two_workers()
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() - 1.0
    store_job(host, document)
    ahead = host.clock.monotonic() + 60.0
    monkeypatch.setattr(type(host.clock), "time", lambda clock: ahead)
    owner = owner_of(host)
    (step,) = owner.book.waiting_steps()
    found, _ = latest_start(step, host.clock.monotonic())
    assert found != Timeliness.OVERDUE


def test_task_is_not_moved_more_often_as_owners_follow_each_other():
    """A long task lost its worker twice under each owner in turn.

    A task is moved twice at most, as one of minutes seems to stand still wherever it
    is. A successor knew nothing of the moves before it and began to count anew.
    """
    document = job(estimate_seconds=600.0)
    before = JobState(document, QUEUE, 0.0)
    (step,) = before.open_occurrence(0)
    step.tasks[0].attempt, step.tasks[0].replaced = 3, 2
    after = JobState(document, QUEUE, 0.0)
    before.status = "running"
    restore_progress(after, progress_record(before))
    (step,) = after.occurrences[0]
    assert step.tasks[0].replaced == 2


def test_task_does_not_go_back_where_it_failed_after_a_takeover():
    """A task used up its attempts on the worker that fails it, owner after owner.

    No task goes back where it failed while another worker may run it, but a new owner
    is not told where that was.
    """
    host = host_with_two_workers()
    store_job(host, job())
    first = owner_of(host)
    for worker in ("w1", "w2"):
        report(first, worker)
    (run,) = place(first)
    report(first, run.worker, ends=[(*run.name, "failed")])
    host.put(PROGRESS_TABLE, "pool", ID, progress_record(first.book.get(ID)))
    second = owner_of(host)
    for worker in ("w1", "w2"):
        report(second, worker)
    (again,) = place(second)
    assert again.worker != run.worker
