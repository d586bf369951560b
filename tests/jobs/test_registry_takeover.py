"""What a successor's job registry restores, and the runs that it adopts."""

from papayapick.jobs import (
    JobStatus,
    RunPhase,
    TaskKey,
)
from papayapick.pool.workers.reports import RunReport
from tests.jobs.registries import (
    ID,
    QUEUE,
    begin_all,
    end_run,
    make_document,
    make_step,
    places,
    restored,
    waiting_tasks,
)


def test_successor_restores_done_and_failed_tasks(registry):
    job = registry.add(make_document(make_step(3), make_step(after=[0])), QUEUE, 0.0)
    runs = begin_all(registry)
    end_run(registry, runs[0], "done")
    end_run(registry, runs[1], "failed", "cp-9")
    successor, again = restored(job)
    tasks = again.occurrences[0][0].tasks
    assert [task.is_done for task in tasks] == [True, False, False]
    assert [task.failures for task in tasks] == [0, 1, 0]
    assert [task.attempt for task in tasks] == [0, 1, 1]
    assert [task.place for task in tasks] == ["", "", "w1"]
    assert tasks[1].checkpoint == "cp-9"
    assert waiting_tasks(successor) == {(0, 0, 1), (0, 0, 2)}


def test_task_that_may_have_a_run_is_held(registry):
    """Guard against two runs of a task after its owner has failed.

    The worker of the first run does not answer the successor, which must not place the
    task again before it knows that the run has ended.
    """
    job = registry.add(make_document(make_step(2)), QUEUE, 0.0)
    registry.begin_run(registry.waiting_steps()[0], 0, "w1", 1.0)
    successor, _ = restored(job)
    successor.held.activate(lambda task: bool(task.place))
    assert waiting_tasks(successor) == {(0, 0, 1)}
    successor.held.release_tasks(lambda task: False, 2.0)
    assert waiting_tasks(successor) == {(0, 0, 1)}
    successor.held.release_tasks(lambda task: task.place == "w1", 3.0)
    assert waiting_tasks(successor) == {(0, 0, 0), (0, 0, 1)}


def test_adopted_run_is_not_started_again(registry):
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    begin_all(registry)
    successor, again = restored(job)
    successor.held.activate(lambda task: bool(task.place))
    run = successor.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.held.release_tasks(lambda task: True, 3.0)
    assert run.phase == RunPhase.RUNNING
    assert waiting_tasks(successor) == set()
    assert again.status == JobStatus.RUNNING


def test_run_of_an_unknown_job_is_stopped(registry):
    run = registry.adopt_run(RunReport(TaskKey("0" * 16, 0, 0, 0), 1), "w1", 2.0)
    assert registry.to_stop == [run]


def test_second_run_of_one_task_is_stopped(registry):
    """Guard against two runs of a task after a start order was carried out late."""
    registry.add(make_document(make_step()), QUEUE, 0.0)
    begin_all(registry)
    late = registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert registry.to_stop == [late]


def test_late_second_run_does_not_change_the_recorded_place(registry):
    """Guard against two runs of a task after a takeover with a disconnected worker.

    A start order is carried out late on a second worker. If the record named this
    worker, the next owner would place the task again while the first worker is
    disconnected and still runs it.
    """
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    (run,) = begin_all(registry)
    late = registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert places(job) == {0: "w1"}
    end_run(registry, late, "stopped")
    assert places(job) == {0: "w1"}
    end_run(registry, run, "failed")
    assert places(job) == {}


def test_late_run_is_recorded_once_it_is_the_only_one(registry):
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    (run,) = begin_all(registry)
    registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    end_run(registry, run, "failed")
    assert places(job) == {0: "w2"}


def test_final_status_is_restored(registry):
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    registry.cancel(ID, 1.0)
    _, again = restored(job)
    assert again.status == again.durable_status == JobStatus.CANCELLED


def test_attempt_number_of_an_unrecorded_start_is_not_reused(registry):
    """Guard against more runs of a failing task than the failure limit allows.

    An owner fails after a start that it has not recorded, and the successor reads the
    outcome from the worker's list. If the next start had the same number, its failure
    would be taken for the one that is already counted.
    """
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    registry.end_run(TaskKey(ID, 0, 0, 0), 3, "failed", "", "w1", 1.0)
    (run,) = begin_all(registry)
    assert run.attempt == 4
    end_run(registry, run, "failed")
    assert job.status == JobStatus.FAILED
