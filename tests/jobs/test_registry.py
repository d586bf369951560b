"""Tests of the job registry: the effects of each outcome on steps and jobs."""

import pytest

from papayapick.jobs import (
    JobStatus,
    TaskKey,
)
from tests.jobs.registries import (
    ID,
    QUEUE,
    begin_all,
    end_run,
    make_document,
    make_step,
    waiting_tasks,
)


def test_step_starts_after_the_step_before_it_is_done(registry):
    job = registry.add(make_document(make_step(2), make_step(after=[0])), QUEUE, 0.0)
    first, second = begin_all(registry)
    end_run(registry, first, "done")
    assert waiting_tasks(registry) == set()
    end_run(registry, second, "done")
    assert waiting_tasks(registry) == {(0, 1, 0)}
    (last,) = begin_all(registry)
    end_run(registry, last, "done")
    assert job.status == JobStatus.COMPLETED
    assert job.durable_status == JobStatus.WAITING


def test_failed_task_is_started_again_up_to_the_failure_limit(registry):
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    (run,) = begin_all(registry)
    end_run(registry, run, "failed")
    assert waiting_tasks(registry) == {(0, 0, 0)}
    (run,) = begin_all(registry)
    assert run.attempt == 2
    end_run(registry, run, "failed")
    assert job.status == JobStatus.FAILED


@pytest.mark.parametrize("outcome", ["stopped", "lapsed", "broken", "alone"])
def test_only_failures_count_towards_the_failure_limit(registry, outcome):
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    for _ in range(5):
        (run,) = begin_all(registry)
        end_run(registry, run, outcome)
    assert job.status != JobStatus.FAILED
    assert job.occurrences[0][0].tasks[0].failures == 0


def test_checkpoint_is_kept_for_the_next_start(registry):
    job = registry.add(make_document(make_step(has_checkpoints=True)), QUEUE, 0.0)
    (run,) = begin_all(registry)
    end_run(registry, run, "stopped", "cp-7")
    assert job.occurrences[0][0].tasks[0].checkpoint == "cp-7"


def test_repeated_outcome_counts_once(registry):
    """Guard against a step that counts as done while one of its tasks runs.

    A worker lists an outcome until it is acknowledged, so it is read several times.
    """
    job = registry.add(make_document(make_step(2)), QUEUE, 0.0)
    first, _ = begin_all(registry)
    end_run(registry, first, "done")
    end_run(registry, first, "done")
    assert job.occurrences[0][0].unfinished_tasks == 1


def test_late_done_outcome_counts_after_the_task_was_started_again(registry):
    """Guard against a second run of a task that is done.

    A worker is disconnected for longer than its lease, and its task is placed again.
    When the worker reconnects and lists the task as done, the outcome must count and
    the second run must be stopped.
    """
    job = registry.add(make_document(make_step()), QUEUE, 0.0)
    (first,) = begin_all(registry, "w1")
    end_run(registry, first, "lapsed")
    (second,) = begin_all(registry, "w2")
    end_run(registry, first, "done")
    assert job.status == JobStatus.COMPLETED
    assert set(registry.to_stop) == {second}


def test_cancelled_job_stops_its_runs_and_starts_no_more(registry):
    job = registry.add(make_document(make_step(2), make_step(after=[0])), QUEUE, 0.0)
    step = registry.waiting_steps()[0]
    run = registry.begin_run(step, 0, "w1", 1.0)
    assert registry.cancel(ID, 2.0)
    assert registry.to_stop == [run]
    assert waiting_tasks(registry) == set()
    end_run(registry, run, "stopped")
    assert job.status == JobStatus.CANCELLED
    assert waiting_tasks(registry) == set()


def test_unknown_job_is_not_cancelled(registry):
    assert not registry.cancel(ID, 1.0)


def test_lasting_task_is_started_again_after_any_outcome(registry):
    job = registry.add(make_document(make_step(is_lasting=True)), QUEUE, 0.0)
    for outcome in ("failed", "done", "lapsed", "failed", "failed"):
        (run,) = begin_all(registry)
        end_run(registry, run, outcome)
        assert waiting_tasks(registry) == {(0, 0, 0)}
    assert job.status not in JobStatus.FINAL


# Gangs.


# Occurrences.


def test_occurrences_open_when_they_are_due(registry):
    job = registry.add(
        make_document(
            make_step(), occurrences=2, first_due=100.0, interval_seconds=10.0
        ),
        QUEUE,
        0.0,
    )
    assert registry.open_due(99.0, 0.0) == 100.0
    assert waiting_tasks(registry) == set()
    assert registry.open_due(105.0, 0.0) == 110.0
    assert waiting_tasks(registry) == {(0, 0, 0)}
    (run,) = begin_all(registry)
    end_run(registry, run, "done")
    assert job.status != JobStatus.COMPLETED
    registry.open_due(110.0, 0.0)
    (run,) = begin_all(registry)
    assert run.key == TaskKey(ID, 1, 0, 0)
    end_run(registry, run, "done")
    assert job.status == JobStatus.COMPLETED


# Takeovers.


@pytest.mark.parametrize("is_first_done", [True, False])
def test_dropped_copy_does_not_requeue_its_task(registry, is_first_done):
    # A slow task gets a second copy. The order for the copy waits behind others until
    # its ticket has expired, and is dropped. Meanwhile the first run ends as done or is
    # still active. If the task were queued again, it would run a second time, even
    # after its outcome was acknowledged.
    registry.add(make_document(make_step(2, allows_copies=True)), QUEUE, 0.0)
    first, _ = begin_all(registry)
    (step,) = registry.get(ID).steps()
    copy = registry.begin_run(step, 0, "w2", 1.5)
    if is_first_done:
        end_run(registry, first, "done")
    registry.drop_run(copy, 3.0)
    assert waiting_tasks(registry) == set()
