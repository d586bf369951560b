"""Gangs in the job registry: their members end, and start again, together."""

import pytest

from papayapick.jobs import (
    JobStatus,
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
    restored,
    waiting_tasks,
)


def test_gang_is_done_when_one_member_is_done(registry):
    job = registry.add(make_document(make_step(3, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    end_run(registry, runs[1], "done")
    assert job.status == JobStatus.COMPLETED


def test_gang_is_started_again_after_all_members_have_ended(registry):
    """Guard against two overlapping runs of a gang.

    If the gang were started again while members of the failed run are still active,
    some members would belong to the old run and some to the new one.
    """
    job = registry.add(make_document(make_step(3, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    end_run(registry, runs[0], "failed", "cp-1")
    assert waiting_tasks(registry) == set()
    assert set(registry.to_stop) >= {runs[1], runs[2]}
    end_run(registry, runs[1], "broken", "cp-2")
    assert waiting_tasks(registry) == set()
    end_run(registry, runs[2], "stopped")
    assert waiting_tasks(registry) == {(0, 0, 0), (0, 0, 1), (0, 0, 2)}
    tasks = job.occurrences[0][0].tasks
    assert {task.checkpoint for task in tasks} == {"cp-2"}
    assert {task.attempt for task in tasks} == {1}


def test_late_done_outcome_stops_a_gang_that_was_started_again(registry):
    """Guard against a second run of a gang that is done.

    A worker is disconnected for longer than its lease, so all members are given up and
    placed again. When the worker reconnects and lists the first run as done, the second
    run must be stopped.
    """
    job = registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    for run in runs:
        end_run(registry, run, "lapsed")
    again = begin_all(registry, worker="w2", attempt=2)
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
    job = registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    for run in runs:
        end_run(registry, run, "lapsed")
    begin_all(registry, worker="w2", attempt=2)
    registry.to_stop.clear()
    registry.end_run(runs[0].key, 1, outcome, "", "w1", 3.0)
    assert registry.to_stop == []
    assert waiting_tasks(registry) == set()
    failures = job.occurrences[0][0].tasks[0].failures
    assert failures == (1 if outcome == "failed" else 0)


def test_broken_gang_waits_for_the_members_of_all_its_runs(registry):
    """Guard against two overlapping runs of a gang after a late start of a member."""
    registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    for run in runs:
        end_run(registry, run, "lapsed")
    first, second = begin_all(registry, worker="w2", attempt=2)
    late = registry.adopt_run(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    end_run(registry, first, "failed")
    end_run(registry, second, "broken")
    assert waiting_tasks(registry) == set()
    end_run(registry, late, "stopped")
    assert waiting_tasks(registry) == {(0, 0, 0), (0, 0, 1)}


def test_failures_of_a_gang_count_once_for_each_run(registry):
    job = registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    for attempt in (1, 2):
        runs = begin_all(registry, attempt=attempt)
        end_run(registry, runs[0], "failed")
        if attempt == 1:
            assert job.status != JobStatus.FAILED
        end_run(registry, runs[1], "broken")
    assert job.status == JobStatus.FAILED


def test_incomplete_gang_is_stopped_after_a_takeover(registry):
    """Guard against members of a gang that hold room until they time out.

    Their owner failed between the orders, so the other members were never ordered.
    """
    job = registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    begin_all(registry, attempt=1)
    successor, _ = restored(job)
    successor.held.activate(lambda task: bool(task.place))
    run = successor.adopt_run(RunReport(TaskKey(ID, 0, 0, 0), 1), "w1", 2.0)
    successor.held.release_all(3.0)
    assert successor.to_stop == [run]
    assert waiting_tasks(successor) == set()
    end_run(successor, run, "stopped")
    assert waiting_tasks(successor) == {(0, 0, 0), (0, 0, 1)}


def test_member_that_was_started_late_does_not_block_its_gang(registry):
    """Guard against a gang that is not placed although workers are free.

    The start order of one member is not answered and is carried out after the run was
    given up, while the whole gang waits to be placed. If the late run counted as the
    member, the gang could not be started until that run had timed out.
    """
    registry.add(make_document(make_step(2, is_gang=True)), QUEUE, 0.0)
    runs = begin_all(registry, attempt=1)
    for run in runs:
        end_run(registry, run, "lapsed")
    late = registry.adopt_run(RunReport(runs[0].key, 1), "w1", 2.0)
    assert late in registry.to_stop
    end_run(registry, late, "stopped")
    assert waiting_tasks(registry) == {(0, 0, 0), (0, 0, 1)}


def test_dropped_member_does_not_requeue_a_done_gang(registry):
    # The start order of one member was not answered but carried out. The gang ends as
    # done, which the worker of another member lists first. Then the stop of the unsure
    # member is confirmed, and its run is dropped. This must not start the gang again.
    registry.add(
        make_document(make_step(2, is_gang=True), make_step(after=[0])), QUEUE, 0.0
    )
    first, unsure = begin_all(registry, attempt=1)
    end_run(registry, first, "done")
    registry.drop_run(unsure, 3.0)
    assert waiting_tasks(registry) == {(0, 1, 0)}
