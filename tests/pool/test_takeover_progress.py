"""How an owner assesses runs and jobs that earlier owners started."""

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.jobs.records import progress_record, restore_progress
from papayapick.jobs.state import JobState
from papayapick.ledger import Amounts
from papayapick.placement.order.timeliness import Timeliness, latest_start
from papayapick.placement.runs.progress import compare_runs
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
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


def test_runs_of_an_earlier_owner_do_not_make_others_seem_slow():
    """Healthy runs must not be stopped as slow after a takeover and lose their work.

    Two tasks of a step end a tenth of a second after the new owner first sees them. If
    that counted as their whole duration, a run of the usual three seconds, started by
    the new owner, would seem to work at a tenth of the usual speed.
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
    slow, _ = compare_runs(owner.job_registry.step_of(keys[2]))
    assert len(started) == 2
    assert slow == []


def store_other(host, number, accepted_at):
    """Store a job in addition to the one that a test is about."""
    identifier = f"{number:016x}"
    step = Step(1, Amounts(1000, 10), 1.0)
    document = JobDocument(identifier, "q", "pool", "t", [step], accepted_at)
    host.put(JOBS_TABLE, f"pool/{number % 8}", identifier, document.as_record())


def test_job_that_was_late_before_a_takeover_is_late_after_it():
    """Overdue jobs must not be served before those that can still be in time.

    If a new owner counted all jobs as submitted at its takeover, jobs that are of no
    use to their callers any more would delay new ones after each takeover.
    """
    host = host_with_two_workers()
    host.clock.advance(60.0)
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() - 20.0
    store_job(host, document)
    store_other(host, 1, accepted_at=host.clock.time() - 0.1)
    owner = owner_of(host)
    steps = {step.key.job: step for step in owner.job_registry.waiting_steps()}
    old, _ = latest_start(steps[ID], host.clock.monotonic())
    fresh, _ = latest_start(steps[f"{1:016x}"], host.clock.monotonic())
    assert (old, fresh) == (Timeliness.OVERDUE, Timeliness.IN_TIME)


def test_job_accepted_by_a_host_with_a_clock_ahead_counts_from_the_takeover():
    host = host_with_two_workers()
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() + 20.0
    store_job(host, document)
    owner = owner_of(host)
    assert owner.job_registry.get(ID).arrived_at == host.clock.monotonic()


def test_job_is_not_overdue_if_the_clock_of_the_new_owner_is_ahead(monkeypatch):
    """New jobs must not be served last if the new owner's clock has jumped.

    A job was accepted a second ago. The new owner's clock is a minute ahead of that of
    the host that accepted it, by which the job would be overdue.
    """
    host = host_with_two_workers()
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() - 1.0
    store_job(host, document)
    ahead = host.clock.monotonic() + 60.0
    monkeypatch.setattr(type(host.clock), "time", lambda clock: ahead)
    owner = owner_of(host)
    (step,) = owner.job_registry.waiting_steps()
    found, _ = latest_start(step, host.clock.monotonic())
    assert found != Timeliness.OVERDUE


def test_limit_of_moves_of_a_task_holds_across_takeovers():
    """A long task must not be moved twice under each owner in turn.

    A task is moved twice at most, as one that takes minutes seems to stall on every
    worker. The count must be recorded, so that a successor does not start at zero.
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


def test_task_does_not_return_to_the_worker_that_failed_it_after_a_takeover():
    """A task must not use up its attempts on a failing worker, owner after owner.

    A task avoids workers on which it failed while another one may run it. A new owner
    knows these workers only if they are recorded.
    """
    host = host_with_two_workers()
    store_job(host, job())
    first = owner_of(host)
    for worker in ("w1", "w2"):
        report(first, worker)
    (run,) = place(first)
    report(first, run.worker, ends=[(*run.name, "failed")])
    host.put(PROGRESS_TABLE, "pool", ID, progress_record(first.job_registry.get(ID)))
    second = owner_of(host)
    for worker in ("w1", "w2"):
        report(second, worker)
    (again,) = place(second)
    assert again.worker != run.worker
