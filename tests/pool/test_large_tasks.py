"""Large tasks and gangs wait beside smaller ones for the same few workers."""

import pytest

from papayapick.jobs import JobStatus, Queue, Step
from papayapick.ledger import Amounts
from tests.pool.standins import LONG_FACTOR, PoolSimulation

SECONDS = 2.0
URGENT = Queue("u", "h", "/u/", "pool", 1, 4, 2.2, 1.2, 3.0, False, None)
PATIENT = Queue("p", "h", "/p/", "pool", 2, 4, 4.0, 3.0, 3.0, False, None)

# Tasks that take longer than their callers say may be placed there until the time at
# which the room was to be free.
LONGEST_WAIT = 2 * LONG_FACTOR * SECONDS


def _small(tasks, **fields):
    return Step(tasks, Amounts(100, 10, 1), SECONDS, **fields)


def _whole(tasks=1, **fields):
    return Step(tasks, Amounts(100, 10, 8), SECONDS, **fields)


def _load_until(load, identifier, seconds, step, queue):
    """Hand in a job four times a second until another has begun; return when."""
    begun = load.now
    job = load.owner.book.get(identifier)
    while load.now - begun < seconds:
        load.submit_step(step(), queue)
        load.run(0.25)
        if job.status != JobStatus.WAITING:
            return load.now - begun
    return None


def _stagger(load, queue):
    """Fill the workers with small tasks that end one after the other."""
    for _ in range(40):
        load.submit_step(_small(1), queue)
        load.run(0.1)


def test_room_made_for_a_large_task_is_not_taken_back_by_what_was_stopped():
    """Guards against an endless round: what was stopped is placed there again."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    load.submit_step(_small(16, has_checkpoints=True), PATIENT)
    load.run(0.5)
    identifier = load.submit_step(_whole(), URGENT)
    waited = _load_until(
        load, identifier, 10.0, lambda: _small(2, has_checkpoints=True), PATIENT
    )
    assert waited is not None and waited < 1.0
    assert load.stops <= 8


@pytest.mark.parametrize("queue", [URGENT, PATIENT])
def test_large_task_has_its_turn_while_small_ones_come_all_the_time(queue):
    """Guards against a whole worker that never comes free, a small task at a time."""
    load = PoolSimulation(workers=2, length=SECONDS, long_share=0.3, accelerators=8)
    _stagger(load, queue)
    identifier = load.submit_step(_whole(), queue)
    waited = _load_until(load, identifier, 20.0, lambda: _small(1), queue)
    assert waited is not None and waited < LONGEST_WAIT


def test_gang_of_large_tasks_has_its_turn():
    """Guards against members that never find room at the same moment."""
    load = PoolSimulation(workers=3, length=SECONDS, long_share=0.3, accelerators=8)
    _stagger(load, PATIENT)
    identifier = load.submit_step(_whole(2, is_gang=True), URGENT)
    waited = _load_until(load, identifier, 20.0, lambda: _small(2), PATIENT)
    assert waited is not None and waited < LONGEST_WAIT


def test_gang_takes_the_place_of_patient_tasks_that_save_their_progress():
    """Guards against a gang that waits for the ends of tasks that could be stopped."""
    load = PoolSimulation(workers=2, length=10 * SECONDS, accelerators=8)
    load.submit_step(_small(16, has_checkpoints=True), PATIENT)
    load.run(0.5)
    identifier = load.submit_step(_whole(2, is_gang=True), URGENT)
    load.run(1.5)
    assert load.owner.book.get(identifier).status == JobStatus.RUNNING


def test_small_task_uses_held_room_until_it_is_needed():
    """Guards against workers that stand idle while room is held on them."""
    load = PoolSimulation(workers=1, length=SECONDS, accelerators=8)
    load.submit_step(Step(4, Amounts(100, 10, 1), 4 * SECONDS), URGENT)
    load.run(0.5)
    load.submit_step(_whole(), URGENT)
    load.run(0.1)
    short = load.submit_step(Step(1, Amounts(100, 10, 1), 0.5), URGENT)
    long = load.submit_step(Step(1, Amounts(100, 10, 1), 20.0), URGENT)
    load.run(0.1)
    book = load.owner.book
    assert book.get(short).status == JobStatus.RUNNING
    assert book.get(long).status == JobStatus.WAITING


def test_task_goes_back_where_it_failed_while_others_fill_the_rest():
    """Guards against a job with nothing running beside a worker that is free."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    other = load.submit_step(_whole(2), URGENT)
    load.run(0.5)
    load.workers["w1"].speed = 0.2
    identifier = load.submit_step(_small(1), PATIENT)
    (step,) = (one for one in load.owner.book.waiting_steps())
    step.tasks[0].failed_on.add("w0")
    load.run(0.5)
    assert load.owner.book.get(other).status == JobStatus.RUNNING
    assert load.owner.book.get(identifier).status == JobStatus.WAITING
    load.run(2 * SECONDS)
    assert load.owner.book.get(identifier).status != JobStatus.WAITING


def test_member_of_a_gang_that_failed_somewhere_has_its_choice_first():
    """Guards against a gang that waits because another member took the only place."""
    load = PoolSimulation(workers=2, length=SECONDS, accelerators=8)
    with load.owner.lock:
        load.submit_step(_whole(2, is_gang=True), URGENT)
        (step,) = load.owner.book.waiting_steps()
        step.tasks[1].failed_on.add("w0")
    load.run(0.2)
    assert [run.worker for run in step.active_runs()] == ["w0", "w1"]


def test_hold_is_over_once_its_step_was_placed():
    """Guards against a step that goes before its equals for good, once it was held."""
    load = PoolSimulation(workers=1, length=SECONDS, accelerators=8)
    load.submit_step(_small(8), URGENT)
    load.run(0.5)
    load.submit_step(_whole(), URGENT)
    load.run(0.5)
    (step,) = load.owner.book.waiting_steps()
    assert step.held_on
    load.run(2 * SECONDS)
    assert not step.waiting
    assert not step.held_on
