"""Large tasks and gangs that compete with small tasks for the same few workers."""

import pytest

from papayapick.jobs import JobStatus, Queue, Step
from papayapick.ledger import Amounts
from tests.pool.standins import LONG_FACTOR, PoolSimulation

SECONDS = 2.0
URGENT = Queue("u", "h", "/u/", "pool", 1, 4, 2.2, 1.2, 3.0, False, None)
LOW_PRIORITY = Queue("p", "h", "/p/", "pool", 2, 4, 4.0, 3.0, 3.0, False, None)

# Until the time at which the held capacity was expected to be free, tasks that take
# longer than estimated may be placed there.
LONGEST_WAIT = 2 * LONG_FACTOR * SECONDS


def _small(tasks, **fields):
    return Step(tasks, Amounts(100, 10, 1), SECONDS, **fields)


def _large(tasks=1, **fields):
    return Step(tasks, Amounts(100, 10, 8), SECONDS, **fields)


def _wait_until_begun(load, identifier, seconds, step, queue):
    """Submit four jobs a second until a given job has begun; return the seconds.

    Returns None if the job has not begun in time.
    """
    begun = load.now
    job = load.owner.job_registry.get(identifier)
    while load.now - begun < seconds:
        load.submit_step(step(), queue)
        load.run(0.25)
        if job.status != JobStatus.WAITING:
            return load.now - begun
    return None


def _fill_workers(load, queue):
    """Fill the workers with small tasks that end one after another."""
    for _ in range(40):
        load.submit_step(_small(1), queue)
        load.run(0.1)


def test_capacity_freed_for_a_large_task_is_not_taken_by_the_stopped_tasks():
    """Guards against a cycle in which the stopped tasks are placed there again."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    load.submit_step(_small(16, has_checkpoints=True), LOW_PRIORITY)
    load.run(0.5)
    identifier = load.submit_step(_large(), URGENT)
    waited = _wait_until_begun(
        load, identifier, 10.0, lambda: _small(2, has_checkpoints=True), LOW_PRIORITY
    )
    assert waited is not None and waited < 1.0
    assert load.stops <= 8


@pytest.mark.parametrize("queue", [URGENT, LOW_PRIORITY])
def test_large_task_is_not_starved_by_a_stream_of_small_ones(queue):
    """Guards against a worker that is never free as a whole.

    Each small task that ends there is followed by another one.
    """
    load = PoolSimulation(workers=2, length=SECONDS, long_share=0.3, accelerators=8)
    _fill_workers(load, queue)
    identifier = load.submit_step(_large(), queue)
    waited = _wait_until_begun(load, identifier, 20.0, lambda: _small(1), queue)
    assert waited is not None and waited < LONGEST_WAIT


def test_gang_of_large_tasks_is_not_starved():
    """Guards against a gang whose members never find capacity at the same time."""
    load = PoolSimulation(workers=3, length=SECONDS, long_share=0.3, accelerators=8)
    _fill_workers(load, LOW_PRIORITY)
    identifier = load.submit_step(_large(2, is_gang=True), URGENT)
    waited = _wait_until_begun(load, identifier, 20.0, lambda: _small(2), LOW_PRIORITY)
    assert waited is not None and waited < LONGEST_WAIT


def test_gang_preempts_tasks_of_lower_priority_with_checkpoints():
    """Guards against a gang that waits for the end of tasks that could be stopped."""
    load = PoolSimulation(workers=2, length=10 * SECONDS, accelerators=8)
    load.submit_step(_small(16, has_checkpoints=True), LOW_PRIORITY)
    load.run(0.5)
    identifier = load.submit_step(_large(2, is_gang=True), URGENT)
    load.run(1.5)
    assert load.owner.job_registry.get(identifier).status == JobStatus.RUNNING


def test_small_task_uses_held_capacity_until_it_is_needed():
    """Guards against workers that are idle while capacity is held on them."""
    load = PoolSimulation(workers=1, length=SECONDS, accelerators=8)
    load.submit_step(Step(4, Amounts(100, 10, 1), 4 * SECONDS), URGENT)
    load.run(0.5)
    load.submit_step(_large(), URGENT)
    load.run(0.1)
    short = load.submit_step(Step(1, Amounts(100, 10, 1), 0.5), URGENT)
    long = load.submit_step(Step(1, Amounts(100, 10, 1), 20.0), URGENT)
    load.run(0.1)
    job_registry = load.owner.job_registry
    assert job_registry.get(short).status == JobStatus.RUNNING
    assert job_registry.get(long).status == JobStatus.WAITING


def test_task_returns_to_the_worker_that_failed_it_if_others_are_full():
    """Guards against a job with no running task while a worker is free."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    other = load.submit_step(_large(2), URGENT)
    load.run(0.5)
    load.workers["w1"].speed = 0.2
    identifier = load.submit_step(_small(1), LOW_PRIORITY)
    (step,) = (one for one in load.owner.job_registry.waiting_steps())
    step.tasks[0].failed_on.add("w0")
    load.run(0.5)
    assert load.owner.job_registry.get(other).status == JobStatus.RUNNING
    assert load.owner.job_registry.get(identifier).status == JobStatus.WAITING
    load.run(2 * SECONDS)
    assert load.owner.job_registry.get(identifier).status != JobStatus.WAITING


def test_member_of_a_gang_that_failed_on_a_worker_is_placed_first():
    """Guards against a gang that waits because another member took the only place."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    with load.owner.lock:
        load.submit_step(_large(2, is_gang=True), URGENT)
        (step,) = load.owner.job_registry.waiting_steps()
        step.tasks[1].failed_on.add("w0")
    load.run(0.2)
    assert [run.worker for run in step.active_runs()] == ["w0", "w1"]


def test_hold_ends_once_its_step_is_placed():
    """Guards against a step that keeps precedence over its equals after a hold."""
    load = PoolSimulation(workers=1, length=SECONDS, accelerators=8)
    load.submit_step(_small(8), URGENT)
    load.run(0.5)
    load.submit_step(_large(), URGENT)
    load.run(0.5)
    (step,) = load.owner.job_registry.waiting_steps()
    assert step.held_on
    load.run(2 * SECONDS)
    assert not step.waiting
    assert not step.held_on
