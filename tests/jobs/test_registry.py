"""Tests of the job registry: the effects of each outcome on steps and jobs."""

import pytest

from papayapick.jobs import (
    JobDocument,
    JobRegistry,
    JobStatus,
    Queue,
    RunPhase,
    Step,
    TaskKey,
    progress_record,
)
from papayapick.ledger import Amounts
from papayapick.pool.workers.reports import RunReport

ID = "5c0e7a21d94b36f8"
QUEUE = Queue("quick", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
DEMAND = Amounts(1000, 100)


def _document(*steps, **fields):
    return JobDocument(ID, "quick", "pool", "text", list(steps), 0.0, **fields)


def _step(tasks=1, **fields):
    return Step(tasks, DEMAND, **fields)


@pytest.fixture
def registry():
    return JobRegistry()


def _begin_all(registry, worker="w1", attempt=None):
    runs = []
    for step in registry.waiting_steps():
        for index in sorted(step.waiting):
            runs.append(registry.begin_run(step, index, worker, 1.0, attempt))
    return runs


def _end(registry, run, outcome, checkpoint=""):
    registry.end_run(run.key, run.attempt, outcome, checkpoint, run.worker, 2.0)


def _waiting(registry):
    return {
        (step.key.occurrence, step.key.step, index)
        for step in registry.waiting_steps()
        for index in step.waiting
    }


def test_step_starts_after_the_step_before_it_is_done(registry):
    job = registry.add(_document(_step(2), _step(after=[0])), QUEUE, 0.0)
    first, second = _begin_all(registry)
    _end(registry, first, "done")
    assert _waiting(registry) == set()
    _end(registry, second, "done")
    assert _waiting(registry) == {(0, 1, 0)}
    (last,) = _begin_all(registry)
    _end(registry, last, "done")
    assert job.status == JobStatus.COMPLETED
    assert job.durable_status == JobStatus.WAITING


def test_failed_task_is_started_again_up_to_the_failure_limit(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    _end(registry, run, "failed")
    assert _waiting(registry) == {(0, 0, 0)}
    (run,) = _begin_all(registry)
    assert run.attempt == 2
    _end(registry, run, "failed")
    assert job.status == JobStatus.FAILED


@pytest.mark.parametrize("outcome", ["stopped", "lapsed", "broken", "alone"])
def test_only_failures_count_towards_the_failure_limit(registry, outcome):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    for _ in range(5):
        (run,) = _begin_all(registry)
        _end(registry, run, outcome)
    assert job.status != JobStatus.FAILED
    assert job.occurrences[0][0].tasks[0].failures == 0


def test_checkpoint_is_kept_for_the_next_start(registry):
    job = registry.add(_document(_step(has_checkpoints=True)), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    _end(registry, run, "stopped", "cp-7")
    assert job.occurrences[0][0].tasks[0].checkpoint == "cp-7"


def test_repeated_outcome_counts_once(registry):
    """Guard against a step that counts as done while one of its tasks runs.

    A worker lists an outcome until it is acknowledged, so it is read several times.
    """
    job = registry.add(_document(_step(2)), QUEUE, 0.0)
    first, _ = _begin_all(registry)
    _end(registry, first, "done")
    _end(registry, first, "done")
    assert job.occurrences[0][0].unfinished_tasks == 1


def test_late_done_outcome_counts_after_the_task_was_started_again(registry):
    """Guard against a second run of a task that is done.

    A worker is disconnected for longer than its lease, and its task is placed again.
    When the worker reconnects and lists the task as done, the outcome must count and
    the second run must be stopped.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (first,) = _begin_all(registry, "w1")
    _end(registry, first, "lapsed")
    (second,) = _begin_all(registry, "w2")
    _end(registry, first, "done")
    assert job.status == JobStatus.COMPLETED
    assert set(registry.to_stop) == {second}


def test_cancelled_job_stops_its_runs_and_starts_no_more(registry):
    job = registry.add(_document(_step(2), _step(after=[0])), QUEUE, 0.0)
    step = registry.waiting_steps()[0]
    run = registry.begin_run(step, 0, "w1", 1.0)
    assert registry.cancel(ID, 2.0)
    assert registry.to_stop == [run]
    assert _waiting(registry) == set()
    _end(registry, run, "stopped")
    assert job.status == JobStatus.CANCELLED
    assert _waiting(registry) == set()


def test_unknown_job_is_not_cancelled(registry):
    assert not registry.cancel(ID, 1.0)


def test_lasting_task_is_started_again_after_any_outcome(registry):
    job = registry.add(_document(_step(is_lasting=True)), QUEUE, 0.0)
    for outcome in ("failed", "done", "lapsed", "failed", "failed"):
        (run,) = _begin_all(registry)
        _end(registry, run, outcome)
        assert _waiting(registry) == {(0, 0, 0)}
    assert job.status not in JobStatus.FINAL


# Gangs.


def test_gang_is_done_when_one_member_is_done(registry):
    job = registry.add(_document(_step(3, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    _end(registry, runs[1], "done")
    assert job.status == JobStatus.COMPLETED


def test_gang_is_started_again_after_all_members_have_ended(registry):
    """Guard against two overlapping runs of a gang.

    If the gang were started again while members of the failed run are still active,
    some members would belong to the old run and some to the new one.
    """
    job = registry.add(_document(_step(3, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    _end(registry, runs[0], "failed", "cp-1")
    assert _waiting(registry) == set()
    assert set(registry.to_stop) >= {runs[1], runs[2]}
    _end(registry, runs[1], "broken", "cp-2")
    assert _waiting(registry) == set()
    _end(registry, runs[2], "stopped")
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1), (0, 0, 2)}
    tasks = job.occurrences[0][0].tasks
    assert {task.checkpoint for task in tasks} == {"cp-2"}
    assert {task.attempt for task in tasks} == {1}


def test_late_done_outcome_stops_a_gang_that_was_started_again(registry):
    """Guard against a second run of a gang that is done.

    A worker is disconnected for longer than its lease, so all members are given up and
    placed again. When the worker reconnects and lists the first run as done, the second
    run must be stopped.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    again = _begin_all(registry, worker="w2", attempt=2)
    registry.end_run(runs[0].key, 1, "done", "", "w1", 3.0)
    assert job.status == JobStatus.COMPLETED
    assert set(registry.to_stop) >= set(again)


@pytest.mark.parametrize("outcome", ["lapsed", "failed", "stopped", "broken", "alone"])
def test_late_outcome_does_not_stop_a_gang_that_was_started_again(registry, outcome):
    """Guard against restarts of a gang each time that a worker reconnects.

    The workers are disconnected for longer than their leases, so all members are given
    up and placed again. Each worker that reconnects lists an outcome of the first run,
    which must not break the second run.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    _begin_all(registry, worker="w2", attempt=2)
    registry.to_stop.clear()
    registry.end_run(runs[0].key, 1, outcome, "", "w1", 3.0)
    assert registry.to_stop == []
    assert _waiting(registry) == set()
    failures = job.occurrences[0][0].tasks[0].failures
    assert failures == (1 if outcome == "failed" else 0)


def test_broken_gang_waits_for_the_members_of_all_its_runs(registry):
    """Guard against two overlapping runs of a gang after a late start of a member."""
    registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    first, second = _begin_all(registry, worker="w2", attempt=2)
    late = registry.adopt_run(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    _end(registry, first, "failed")
    _end(registry, second, "broken")
    assert _waiting(registry) == set()
    _end(registry, late, "stopped")
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1)}


def test_failures_of_a_gang_count_once_for_each_run(registry):
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    for attempt in (1, 2):
        runs = _begin_all(registry, attempt=attempt)
        _end(registry, runs[0], "failed")
        if attempt == 1:
            assert job.status != JobStatus.FAILED
        _end(registry, runs[1], "broken")
    assert job.status == JobStatus.FAILED


# Occurrences.


def test_occurrences_open_when_they_are_due(registry):
    job = registry.add(
        _document(_step(), occurrences=2, first_due=100.0, interval_seconds=10.0),
        QUEUE,
        0.0,
    )
    assert registry.open_due(99.0, 0.0) == 100.0
    assert _waiting(registry) == set()
    assert registry.open_due(105.0, 0.0) == 110.0
    assert _waiting(registry) == {(0, 0, 0)}
    (run,) = _begin_all(registry)
    _end(registry, run, "done")
    assert job.status != JobStatus.COMPLETED
    registry.open_due(110.0, 0.0)
    (run,) = _begin_all(registry)
    assert run.key == TaskKey(ID, 1, 0, 0)
    _end(registry, run, "done")
    assert job.status == JobStatus.COMPLETED


# Takeovers.


def _restored(job):
    successor = JobRegistry()
    record = progress_record(job)
    return successor, successor.add(job.document, QUEUE, 0.0, record)


def test_successor_restores_done_and_failed_tasks(registry):
    job = registry.add(_document(_step(3), _step(after=[0])), QUEUE, 0.0)
    runs = _begin_all(registry)
    _end(registry, runs[0], "done")
    _end(registry, runs[1], "failed", "cp-9")
    successor, again = _restored(job)
    tasks = again.occurrences[0][0].tasks
    assert [task.is_done for task in tasks] == [True, False, False]
    assert [task.failures for task in tasks] == [0, 1, 0]
    assert [task.attempt for task in tasks] == [0, 1, 1]
    assert [task.place for task in tasks] == ["", "", "w1"]
    assert tasks[1].checkpoint == "cp-9"
    assert _waiting(successor) == {(0, 0, 1), (0, 0, 2)}


def test_task_that_may_have_a_run_is_held(registry):
    """Guard against two runs of a task after its owner has failed.

    The worker of the first run does not answer the successor, which must not place the
    task again before it knows that the run has ended.
    """
    job = registry.add(_document(_step(2)), QUEUE, 0.0)
    registry.begin_run(registry.waiting_steps()[0], 0, "w1", 1.0)
    successor, _ = _restored(job)
    successor.held.activate(lambda task: bool(task.place))
    assert _waiting(successor) == {(0, 0, 1)}
    successor.held.release_tasks(lambda task: False, 2.0)
    assert _waiting(successor) == {(0, 0, 1)}
    successor.held.release_tasks(lambda task: task.place == "w1", 3.0)
    assert _waiting(successor) == {(0, 0, 0), (0, 0, 1)}


def test_adopted_run_is_not_started_again(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    _begin_all(registry)
    successor, again = _restored(job)
    successor.held.activate(lambda task: bool(task.place))
    run = successor.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.held.release_tasks(lambda task: True, 3.0)
    assert run.phase == RunPhase.RUNNING
    assert _waiting(successor) == set()
    assert again.status == JobStatus.RUNNING


def test_run_of_an_unknown_job_is_stopped(registry):
    run = registry.adopt_run(RunReport(TaskKey("0" * 16, 0, 0, 0), 1), "w1", 2.0)
    assert registry.to_stop == [run]


def test_second_run_of_one_task_is_stopped(registry):
    """Guard against two runs of a task after a start order was carried out late."""
    registry.add(_document(_step()), QUEUE, 0.0)
    _begin_all(registry)
    late = registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert registry.to_stop == [late]


def _places(job):
    (step,) = progress_record(job)["occurrences"]["0"]
    return step.get("places", {})


def test_late_second_run_does_not_change_the_recorded_place(registry):
    """Guard against two runs of a task after a takeover with a disconnected worker.

    A start order is carried out late on a second worker. If the record named this
    worker, the next owner would place the task again while the first worker is
    disconnected and still runs it.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    late = registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert _places(job) == {0: "w1"}
    _end(registry, late, "stopped")
    assert _places(job) == {0: "w1"}
    _end(registry, run, "failed")
    assert _places(job) == {}


def test_late_run_is_recorded_once_it_is_the_only_one(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    _end(registry, run, "failed")
    assert _places(job) == {0: "w2"}


def test_incomplete_gang_is_stopped_after_a_takeover(registry):
    """Guard against members of a gang that hold room until they time out.

    Their owner failed between the orders, so the other members were never ordered.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    _begin_all(registry, attempt=1)
    successor, _ = _restored(job)
    successor.held.activate(lambda task: bool(task.place))
    run = successor.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.held.release_all(3.0)
    assert successor.to_stop == [run]
    assert _waiting(successor) == set()
    _end(successor, run, "stopped")
    assert _waiting(successor) == {(0, 0, 0), (0, 0, 1)}


def test_member_that_was_started_late_does_not_block_its_gang(registry):
    """Guard against a gang that is not placed although workers are free.

    The start order of one member is not answered and is carried out after the run was
    given up, while the whole gang waits to be placed. If the late run counted as the
    member, the gang could not be started until that run had timed out.
    """
    registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    late = registry.adopt_run(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    _end(registry, late, "stopped")
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1)}


def test_final_status_is_restored(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    registry.cancel(ID, 1.0)
    _, again = _restored(job)
    assert again.status == again.durable_status == JobStatus.CANCELLED


def test_attempt_number_of_an_unrecorded_start_is_not_reused(registry):
    """Guard against more runs of a failing task than the failure limit allows.

    An owner fails after a start that it has not recorded, and the successor reads the
    outcome from the worker's list. If the next start had the same number, its failure
    would be taken for the one that is already counted.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    registry.end_run(TaskKey(ID, 0, 0, 0), 3, "failed", "", "w1", 1.0)
    (run,) = _begin_all(registry)
    assert run.attempt == 4
    _end(registry, run, "failed")
    assert job.status == JobStatus.FAILED


@pytest.mark.parametrize("is_first_done", [True, False])
def test_dropped_copy_does_not_requeue_its_task(registry, is_first_done):
    # A slow task gets a second copy. The order for the copy waits behind others until
    # its ticket has expired, and is dropped. Meanwhile the first run ends as done or is
    # still active. If the task were queued again, it would run a second time, even
    # after its outcome was acknowledged.
    registry.add(_document(_step(2, allows_copies=True)), QUEUE, 0.0)
    first, _ = _begin_all(registry)
    (step,) = registry.get(ID).steps()
    copy = registry.begin_run(step, 0, "w2", 1.5)
    if is_first_done:
        _end(registry, first, "done")
    registry.drop_run(copy, 3.0)
    assert _waiting(registry) == set()


def test_dropped_member_does_not_requeue_a_done_gang(registry):
    # The start order of one member was not answered but carried out. The gang ends as
    # done, which the worker of another member lists first. Then the stop of the unsure
    # member is confirmed, and its run is dropped. This must not start the gang again.
    registry.add(_document(_step(2, is_gang=True), _step(after=[0])), QUEUE, 0.0)
    first, unsure = _begin_all(registry, attempt=1)
    _end(registry, first, "done")
    registry.drop_run(unsure, 3.0)
    assert _waiting(registry) == {(0, 1, 0)}
