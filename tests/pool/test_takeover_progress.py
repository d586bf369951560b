"""What an owner makes of runs that it did not start itself."""

from papayapick.jobs import TaskKey
from papayapick.placement.progress import compare_runs
from papayapick.placement.timeliness import Timeliness, latest_start
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
    owner = owner_of(host)
    (step,) = owner.book.waiting_steps()
    found, _ = latest_start(step, host.clock.monotonic())
    assert found == Timeliness.OVERDUE


def test_job_that_a_clock_ahead_accepted_counts_from_the_takeover():
    host = host_with_two_workers()
    document = job(estimate_seconds=1.0)
    document.accepted_at = host.clock.time() + 20.0
    store_job(host, document)
    owner = owner_of(host)
    assert owner.book.get(ID).arrived == host.clock.monotonic()
