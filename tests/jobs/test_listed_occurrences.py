"""Occurrences that a worker lists before they are due by the owner's clock."""

import pytest

from papayapick.jobs import (
    JobDocument,
    JobRegistry,
    Queue,
    Step,
    TaskKey,
    progress_record,
)
from papayapick.jobs.outcomes import EndEffect
from papayapick.ledger import Amounts
from papayapick.pool.workers.reports import RunReport

ID = "5c0e7a21d94b36f8"
QUEUE = Queue("quick", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
STEP = Step(2, Amounts(1000, 100))
LATER_STEP = Step(1, Amounts(1000, 100), after=[0])


@pytest.fixture
def registry():
    return JobRegistry()


def _document(*steps):
    return JobDocument(
        ID,
        "quick",
        "pool",
        "text",
        list(steps) or [STEP],
        0.0,
        occurrences=3,
        first_due=100.0,
        interval_seconds=10.0,
    )


def _end(registry, key, outcome="done", worker="w1", attempt=1):
    return registry.end_run(key, attempt, outcome, "", worker, 2.0)


def _waiting(registry):
    return {
        (step.key.occurrence, step.key.step, index)
        for step in registry.waiting_steps()
        for index in step.waiting
    }


def test_end_of_an_occurrence_that_is_not_open_yet_counts(registry):
    """Guards against a task that runs again after its end was thrown away."""
    job = registry.add(_document(), QUEUE, 0.0)
    assert _end(registry, TaskKey(ID, 0, 0, 1)) == EndEffect.APPLIED
    assert ID in registry.changed
    registry.open_due(100.0, 0.0)
    assert _waiting(registry) == {(0, 0, 0)}
    assert job.occurrences[0][0].tasks[1].is_done


def test_run_of_an_occurrence_that_is_not_open_yet_goes_on(registry):
    """Guards against a run that is stopped as if its job were over."""
    registry.add(_document(), QUEUE, 0.0)
    run = registry.adopt_run(RunReport(TaskKey(ID, 0, 0, 1), 1), "w1", 1.0)
    assert registry.to_stop == []
    registry.open_due(100.0, 0.0)
    assert _waiting(registry) == {(0, 0, 0)}
    assert registry.step(run.key).tasks[1].runs == [run]


@pytest.mark.parametrize("outcome", ["done", "failed", "lapsed", "stopped"])
def test_listed_occurrence_starts_nothing_before_it_is_due(registry, outcome):
    """Guards against tasks that start too early, by clocks that differ."""
    registry.add(_document(STEP, LATER_STEP), QUEUE, 0.0)
    registry.adopt_run(RunReport(TaskKey(ID, 1, 0, 0), 1), "w1", 1.0)
    _end(registry, TaskKey(ID, 1, 0, 0), outcome)
    _end(registry, TaskKey(ID, 1, 0, 1))
    assert _waiting(registry) == set()
    assert registry.open_due(109.9, 0.0) == 110.0
    assert not any(occurrence == 1 for occurrence, _, _ in _waiting(registry))
    assert registry.open_due(110.0, 0.0) == 120.0
    is_done = outcome == "done"
    expected = {(1, 1, 0)} if is_done else {(1, 0, 0)}
    assert {found for found in _waiting(registry) if found[0] == 1} == expected


def test_next_owner_starts_a_listed_occurrence_at_its_due_time(registry):
    """Guards against tasks that start too early after one more takeover."""
    job = registry.add(_document(), QUEUE, 0.0)
    _end(registry, TaskKey(ID, 2, 0, 0))
    successor = JobRegistry()
    successor.add(_document(), QUEUE, 0.0, progress_record(job))
    successor.open_due(119.9, 0.0)
    assert {(2, 0, 0), (2, 0, 1)}.isdisjoint(_waiting(successor))
    successor.open_due(120.0, 0.0)
    assert (2, 0, 1) in _waiting(successor)
    assert (2, 0, 0) not in _waiting(successor)


def test_listed_occurrence_that_is_over_is_not_opened_again(registry):
    """Guards against a second run of a whole occurrence."""
    registry.add(_document(), QUEUE, 0.0)
    for index in range(2):
        _end(registry, TaskKey(ID, 0, 0, index))
    assert _end(registry, TaskKey(ID, 0, 0, 0)) == EndEffect.NOT_NEEDED
    registry.open_due(100.0, 0.0)
    assert _waiting(registry) == set()


@pytest.mark.parametrize("key", [(3, 0, 0), (-1, 0, 0), (0, 1, 0), (0, 0, 2)])
def test_listed_task_that_the_job_does_not_have_opens_nothing(registry, key):
    """Guards against occurrences beyond those that the caller asked for."""
    job = registry.add(_document(), QUEUE, 0.0)
    assert _end(registry, TaskKey(ID, *key)) == EndEffect.UNKNOWN_TASK
    assert job.occurrences == {}


def test_held_task_of_a_listed_occurrence_waits_until_it_is_due(registry):
    """Guards against a start before the due time, as its task is released."""
    registry.add(_document(), QUEUE, 0.0)
    registry.held.activate(lambda task: True)
    _end(registry, TaskKey(ID, 0, 0, 0), "lapsed")
    registry.held.release_all(1.0)
    assert _waiting(registry) == set()
    registry.open_due(100.0, 0.0)
    assert _waiting(registry) == {(0, 0, 0), (0, 0, 1)}


def test_tasks_of_an_occurrence_that_opens_after_a_takeover_are_held(registry):
    """Guards against a second run on a worker that has not reported yet."""
    registry.add(_document(), QUEUE, 0.0)
    registry.held.activate(lambda task: True)
    _end(registry, TaskKey(ID, 0, 0, 0))
    registry.open_due(100.0, 0.0)
    assert _waiting(registry) == set()
    registry.held.release_all(1.0)
    assert _waiting(registry) == {(0, 0, 1)}
