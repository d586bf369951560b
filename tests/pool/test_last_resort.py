"""Placement of a task on a worker on which it has failed, as a last resort."""

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.release.preemption import StoppableRuns, choose_victims
from tests.pool.owners import (
    job,
    owner_with,
    place,
    report,
)
from tests.pool.standins import QUEUE

# A job with no running task counts as lost after 3 s, a lasting task after 6 s.
UNAVAILABLE_SECONDS = 6.0


def test_task_returns_where_it_failed_if_siblings_occupy_the_other_workers():
    """A job must not take twice its time while a worker is free for its last task.

    Each worker may run one task of the step. The task failed on one worker, and the
    other one runs its sibling. That worker must not count as merely full.
    """
    host, owner = owner_with(job(tasks=2, tasks_per_worker=1))
    runs = place(owner)
    assert len(runs) == 2
    by_worker = {run.worker: run.name for run in runs}
    report(owner, "w2", [by_worker["w2"]])
    report(owner, "w1", ends=[(*by_worker["w1"], "failed")])
    host.clock.advance(UNAVAILABLE_SECONDS)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_task_returns_where_it_failed_if_the_other_workers_are_draining():
    """A task must not wait while the only other worker drains, which may take long.

    Nothing new is placed on a draining worker, so that it must not count as one that
    will have capacity for the task.
    """
    host, owner = owner_with(job())
    (run,) = place(owner)
    other = ({"w1", "w2"} - {run.worker}).pop()
    owner.links_by_worker[other].registration.is_leaving = True
    report(owner, other)
    report(owner, run.worker, ends=[(*run.name, "failed")])
    host.clock.advance(UNAVAILABLE_SECONDS)
    assert len(place(owner)) == 1


def test_no_run_is_stopped_for_a_task_that_would_not_use_its_capacity():
    """Tasks of lower priority must not be stopped on a worker that the task avoids.

    The task has failed on that worker and waits for another one, which is full. Tasks
    were stopped every 0.8 s and placed again.
    """
    host, owner = owner_with(job())
    (step,) = owner.job_registry.waiting_steps()
    step.tasks[0].failed_on.add("w1")
    owner.rooms.get("w2").processors = 0
    low_priority = JobDocument(
        "1" * 16, "q", "pool", "t", [Step(4, Amounts(1000, 10))], 0.0
    )
    owner.job_registry.add(low_priority, QUEUE, host.clock.monotonic())
    (other,) = (one for one in owner.job_registry.waiting_steps() if one is not step)
    for index in range(4):
        run = owner.decisions._begin_run(other, index, "w1", None)
        owner.job_registry.note_started(run)
    assert place(owner) == []
    stoppable = StoppableRuns(owner.rooms, lambda run: 1)
    assert choose_victims(step, owner.rooms, None, stoppable) == []
