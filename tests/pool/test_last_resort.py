"""Where a task goes that has failed on a worker."""

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.preemption import StoppableRuns, choose_victims
from tests.pool.owners import (
    job,
    owner_with,
    place,
    report,
)
from tests.pool.standins import QUEUE

# A job with nothing running counts as lost from 3 s on; a lasting task from 6 s on.
AWAY_SECONDS = 6.0


def test_task_returns_where_it_failed_if_its_siblings_bar_the_others():
    """A job takes twice its time beside a free worker that may run its last task.

    One task of its step may run on each worker. It failed on one; the other worker has
    its sibling, and counted as one that may run it and is only full.
    """
    host, owner = owner_with(job(tasks=2, tasks_per_worker=1))
    runs = place(owner)
    assert len(runs) == 2
    by_worker = {run.worker: run.name for run in runs}
    report(owner, "w2", [by_worker["w2"]])
    report(owner, "w1", ends=[(*by_worker["w1"], "failed")])
    host.clock.advance(AWAY_SECONDS)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_task_returns_where_it_failed_if_the_others_leave():
    """A job has nothing running while the only other worker drains, which may be long.

    Nothing new is placed on a worker that is leaving, but it counted as one that will
    have room for the task some time.
    """
    host, owner = owner_with(job())
    (run,) = place(owner)
    other = ({"w1", "w2"} - {run.worker}).pop()
    owner.links_by_worker[other].registration.is_leaving = True
    report(owner, other)
    report(owner, run.worker, ends=[(*run.name, "failed")])
    host.clock.advance(AWAY_SECONDS)
    assert len(place(owner)) == 1


def test_nobody_is_stopped_for_a_task_that_would_not_use_the_room():
    """Patient tasks were stopped every 0.8 s for a task that did not take their room.

    It had failed on their worker, and waited for another one that was full.
    """
    host, owner = owner_with(job())
    (step,) = owner.book.waiting_steps()
    step.tasks[0].failed_on.add("w1")
    owner.rooms.get("w2").processors = 0
    patient = JobDocument("1" * 16, "q", "pool", "t", [Step(4, Amounts(1000, 10))], 0.0)
    owner.book.add(patient, QUEUE, host.clock.monotonic())
    (other,) = (one for one in owner.book.waiting_steps() if one is not step)
    for index in range(4):
        run = owner.decisions._begin(other, index, "w1", None)
        owner.book.note_started(run)
    assert place(owner) == []
    stoppable = StoppableRuns(owner.rooms, lambda run: 1)
    assert choose_victims(step, owner.rooms, None, stoppable) == []
