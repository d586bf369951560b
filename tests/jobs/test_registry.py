"""What each end means for its job."""

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
from papayapick.pool.reports import RunReport

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
            runs.append(registry.begin(step, index, worker, 1.0, attempt))
    return runs


def _end(registry, run, outcome, checkpoint=""):
    registry.end(run.key, run.attempt, outcome, checkpoint, run.worker, 2.0)


def _waiting(registry):
    return {
        (step.key.occurrence, step.key.step, index)
        for step in registry.waiting_steps()
        for index in step.waiting
    }


def test_steps_follow_each_other(registry):
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


def test_failed_task_runs_again_until_its_limit(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    _end(registry, run, "failed")
    assert _waiting(registry) == {(0, 0, 0)}
    (run,) = _begin_all(registry)
    assert run.attempt == 2
    _end(registry, run, "failed")
    assert job.status == JobStatus.FAILED


@pytest.mark.parametrize("outcome", ["stopped", "lapsed", "broken", "alone"])
def test_only_failures_count_as_attempts(registry, outcome):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    for _ in range(5):
        (run,) = _begin_all(registry)
        _end(registry, run, outcome)
    assert job.status != JobStatus.FAILED
    assert job.occurrences[0][0].tasks[0].failures == 0


def test_checkpoint_goes_with_the_next_start(registry):
    job = registry.add(_document(_step(has_checkpoints=True)), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    _end(registry, run, "stopped", "cp-7")
    assert job.occurrences[0][0].tasks[0].checkpoint == "cp-7"


def test_end_is_taken_once(registry):
    """A step would seem done while one of its tasks runs.

    A worker lists an end until it is acknowledged, so it is read several times.
    """
    job = registry.add(_document(_step(2)), QUEUE, 0.0)
    first, _ = _begin_all(registry)
    _end(registry, first, "done")
    _end(registry, first, "done")
    assert job.occurrences[0][0].unfinished_tasks == 1


def test_end_as_done_counts_though_the_task_was_started_again(registry):
    """A task runs a second time although it was done.

    Its worker was cut off beyond its lease and came back with the end; meanwhile
    the task was placed again. The end counts, and the second run is stopped.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (first,) = _begin_all(registry, "w1")
    _end(registry, first, "lapsed")
    (second,) = _begin_all(registry, "w2")
    _end(registry, first, "done")
    assert job.status == JobStatus.COMPLETED
    assert set(registry.to_stop) == {second}


def test_cancelled_job_stops_and_starts_nothing(registry):
    job = registry.add(_document(_step(2), _step(after=[0])), QUEUE, 0.0)
    step = registry.waiting_steps()[0]
    run = registry.begin(step, 0, "w1", 1.0)
    assert registry.cancel(ID, 2.0)
    assert registry.to_stop == [run]
    assert _waiting(registry) == set()
    _end(registry, run, "stopped")
    assert job.status == JobStatus.CANCELLED
    assert _waiting(registry) == set()


def test_unknown_job_is_not_cancelled(registry):
    assert not registry.cancel(ID, 1.0)


def test_lasting_task_starts_again_however_it_ends(registry):
    job = registry.add(_document(_step(is_lasting=True)), QUEUE, 0.0)
    for outcome in ("failed", "done", "lapsed", "failed", "failed"):
        (run,) = _begin_all(registry)
        _end(registry, run, outcome)
        assert _waiting(registry) == {(0, 0, 0)}
    assert job.status not in JobStatus.FINAL


# Gangs.


def test_one_end_as_done_stands_for_the_gang(registry):
    job = registry.add(_document(_step(3, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    _end(registry, runs[1], "done")
    assert job.status == JobStatus.COMPLETED


def test_gang_starts_again_when_all_members_have_ended(registry):
    """Two runs of a gang overlap: some members are in the old, some in the new.

    A member failed and the gang was started again while others still ran.
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


def test_late_end_as_done_stops_a_gang_that_was_started_again(registry):
    """A gang that is done is started again, and works on with nobody to need it.

    Its worker was cut off past its lease, so all members were given up and placed
    again; then the worker was back, with the end of the first run as done.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    again = _begin_all(registry, worker="w2", attempt=2)
    registry.end(runs[0].key, 1, "done", "", "w1", 3.0)
    assert job.status == JobStatus.COMPLETED
    assert set(registry.to_stop) >= set(again)


@pytest.mark.parametrize("outcome", ["lapsed", "failed", "stopped", "broken", "alone"])
def test_late_end_leaves_a_gang_alone_that_was_started_again(registry, outcome):
    """A gang is stopped and started again each time that a worker is back.

    Its workers were cut off past their leases, so all members were given up and placed
    again. Each that was back listed the end of the first run, which broke the second.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    _begin_all(registry, worker="w2", attempt=2)
    registry.to_stop.clear()
    registry.end(runs[0].key, 1, outcome, "", "w1", 3.0)
    assert registry.to_stop == []
    assert _waiting(registry) == set()
    failures = job.occurrences[0][0].tasks[0].failures
    assert failures == (1 if outcome == "failed" else 0)


def test_gang_that_is_broken_waits_for_members_of_all_its_runs(registry):
    """Two runs of a gang overlap: an order that was carried out late joined them."""
    registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    first, second = _begin_all(registry, worker="w2", attempt=2)
    late = registry.adopt(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    _end(registry, first, "failed")
    _end(registry, second, "broken")
    assert _waiting(registry) == set()
    _end(registry, late, "stopped")
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1)}


def test_failures_of_a_gang_count_once_each_run(registry):
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    for attempt in (1, 2):
        runs = _begin_all(registry, attempt=attempt)
        _end(registry, runs[0], "failed")
        if attempt == 1:
            assert job.status != JobStatus.FAILED
        _end(registry, runs[1], "broken")
    assert job.status == JobStatus.FAILED


# Occurrences.


def test_occurrences_open_at_their_times(registry):
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


def test_successor_knows_what_is_done_and_what_failed(registry):
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


def test_task_that_may_run_elsewhere_is_kept_back(registry):
    """A task runs in two places after its owner was killed.

    Its worker did not answer the successor, which placed the task again at once.
    """
    job = registry.add(_document(_step(2)), QUEUE, 0.0)
    registry.begin(registry.waiting_steps()[0], 0, "w1", 1.0)
    successor, _ = _restored(job)
    successor.hold_tasks(lambda task: bool(task.place))
    assert _waiting(successor) == {(0, 0, 1)}
    successor.release_tasks(lambda task: False, 2.0)
    assert _waiting(successor) == {(0, 0, 1)}
    successor.release_tasks(lambda task: task.place == "w1", 3.0)
    assert _waiting(successor) == {(0, 0, 0), (0, 0, 1)}


def test_adopted_run_is_not_started_again(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    _begin_all(registry)
    successor, again = _restored(job)
    successor.hold_tasks(lambda task: bool(task.place))
    run = successor.adopt(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.release_tasks(lambda task: True, 3.0)
    assert run.phase == RunPhase.RUNNING
    assert _waiting(successor) == set()
    assert again.status == JobStatus.RUNNING


def test_run_of_an_unknown_job_is_stopped(registry):
    run = registry.adopt(RunReport(TaskKey("0" * 16, 0, 0, 0), 1), "w1", 2.0)
    assert registry.to_stop == [run]


def test_second_run_of_one_task_is_stopped(registry):
    """An order carried out seconds late starts a task that runs elsewhere."""
    registry.add(_document(_step()), QUEUE, 0.0)
    _begin_all(registry)
    late = registry.adopt(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert registry.to_stop == [late]


def _places(job):
    (step,) = progress_record(job)["occurrences"]["0"]
    return step.get("places", {})


def test_late_run_beside_another_does_not_hide_where_that_one_is(registry):
    """A task runs twice after a takeover beside a worker that is cut off.

    An order that was carried out late had begun it on a second worker. That one stood
    on record from then on, and the next owner placed the task while the first was cut.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    late = registry.adopt(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    assert _places(job) == {0: "w1"}
    _end(registry, late, "stopped")
    assert _places(job) == {0: "w1"}
    _end(registry, run, "failed")
    assert _places(job) == {}


def test_late_run_is_on_record_once_it_is_the_only_one(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    (run,) = _begin_all(registry)
    registry.adopt(RunReport(TaskKey(ID, 0, 0, 0), 9), "w2", 2.0)
    _end(registry, run, "failed")
    assert _places(job) == {0: "w2"}


def test_gang_taken_over_in_part_is_stopped(registry):
    """Members of a gang hold room until their time is over.

    Their owner died between the orders; the others were never ordered.
    """
    job = registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    _begin_all(registry, attempt=1)
    successor, _ = _restored(job)
    successor.hold_tasks(lambda task: bool(task.place))
    run = successor.adopt(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.release_all_tasks(3.0)
    assert successor.to_stop == [run]
    assert _waiting(successor) == set()
    _end(successor, run, "stopped")
    assert _waiting(successor) == {(0, 0, 0), (0, 0, 1)}


def test_member_that_was_started_late_does_not_keep_its_gang_from_starting(registry):
    """A gang stands still beside free workers until one member has waited in vain.

    The order of that member had no answer and was carried out after its run had been
    given up, while the whole gang waited to be placed. It was taken for the member.
    """
    registry.add(_document(_step(2, is_gang=True)), QUEUE, 0.0)
    runs = _begin_all(registry, attempt=1)
    for run in runs:
        _end(registry, run, "lapsed")
    late = registry.adopt(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    _end(registry, late, "stopped")
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1)}


def test_final_status_is_restored(registry):
    job = registry.add(_document(_step()), QUEUE, 0.0)
    registry.cancel(ID, 1.0)
    _, again = _restored(job)
    assert again.status == again.durable_status == JobStatus.CANCELLED


def test_number_of_a_start_that_was_not_recorded_is_not_used_again(registry):
    """A task runs more often than it may fail.

    Its owner died after a start that no record named. The successor learned of the
    run from the worker's list of ends and gave the next start the same number; the
    failure of that one was taken for the one already counted.
    """
    job = registry.add(_document(_step()), QUEUE, 0.0)
    registry.end(TaskKey(ID, 0, 0, 0), 3, "failed", "", "w1", 1.0)
    (run,) = _begin_all(registry)
    assert run.attempt == 4
    _end(registry, run, "failed")
    assert job.status == JobStatus.FAILED


@pytest.mark.parametrize("is_first_done", [True, False])
def test_copy_that_was_not_started_leaves_the_first_run_alone(registry, is_first_done):
    # A straggler gets a second copy. The order for it waits behind others until its
    # ticket is too old, and is dropped. Meanwhile the first run ends as done, or
    # still works: the task must not be placed again. It ran a second time, over a
    # second after its end had been acknowledged.
    registry.add(_document(_step(2, allows_copies=True)), QUEUE, 0.0)
    first, _ = _begin_all(registry)
    (step,) = registry.get(ID).steps()
    copy = registry.begin(step, 0, "w2", 1.5)
    if is_first_done:
        _end(registry, first, "done")
    registry.drop(copy, 3.0)
    assert _waiting(registry) == set()


def test_member_that_was_dropped_does_not_start_a_done_gang_again(registry):
    # The start of one member had no answer and was carried out; the gang ends as
    # done, which another member lists first. The stop of the unsure member is then
    # confirmed: it is dropped, and the whole gang, long done, was started again.
    registry.add(_document(_step(2, is_gang=True), _step(after=[0])), QUEUE, 0.0)
    first, unsure = _begin_all(registry, attempt=1)
    _end(registry, first, "done")
    registry.drop(unsure, 3.0)
    assert _waiting(registry) == {(0, 1, 0)}
