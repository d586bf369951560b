"""Stops for urgent steps, with many that wait: how much is looked at."""

import pytest

from papayapick.jobs import AdvicePolicy, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from tests.pool.standins import QUEUE, PoolSimulation

SECONDS = 100.0
PATIENT = Queue("w", "h", "/w/", "pool", 2, 2, 2.2, 3.0, 3.0, False, None)
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)
# Each with room for four tasks.
WORKERS = 20
FULL = 4 * WORKERS
PATIENT_TASKS = 8


class CountedBook:
    """Count how often the step of a run is asked for."""

    def __init__(self, book):
        self._book = book
        self.asked = 0

    def step_of(self, key):
        self.asked += 1
        return self._book.step_of(key)

    def __getattr__(self, name):
        return getattr(self._book, name)


class CountedRooms:
    """Count the workers that are looked at."""

    def __init__(self, rooms):
        self._rooms = rooms
        self.looks = 0

    def __iter__(self):
        self.looks += len(self._rooms)
        return iter(self._rooms)

    def able(self, step):
        self.looks += len(self._rooms)
        return self._rooms.able(step)

    def __getattr__(self, name):
        return getattr(self._rooms, name)


def _full_pool(patient_tasks):
    """Return a load whose workers are full, with some patient tasks among them."""
    load = PoolSimulation(workers=WORKERS, length=SECONDS)
    if patient_tasks:
        step = Step(patient_tasks, Amounts(1000, 10), SECONDS, has_checkpoints=True)
        load.submit_step(step, PATIENT)
    load.submit_job(tasks=FULL - patient_tasks, estimate=SECONDS)
    load.run(0.1)
    return load


def _looked_at(load):
    """Return the runs and the workers that one look for stops takes in."""
    owner = load.owner
    owner.book, owner.rooms = CountedBook(owner.book), CountedRooms(owner.rooms)
    owner.decisions.preempt(load.now)
    looks = owner.book.asked, owner.rooms.looks
    owner.book, owner.rooms = owner.book._book, owner.rooms._rooms
    return looks


@pytest.mark.parametrize("queue", [QUEUE, PATIENT])
def test_steps_for_which_nothing_is_stopped_do_not_look_at_each_run(queue):
    """Guards against a look at all workers and runs for each step that waits.

    It was taken ten times a second under the owner's lock. With thousands of steps
    waiting it alone took longer than the time between two of them.
    """
    load = _full_pool(patient_tasks=0 if queue is QUEUE else PATIENT_TASKS)
    for _ in range(300):
        load.submit_job(tasks=4, estimate=SECONDS, queue=queue)
    load.run(1.0)
    runs, workers = _looked_at(load)
    assert len(load.owner.book.waiting_steps()) == 300
    assert runs <= FULL
    assert workers <= 2 * WORKERS


def test_steps_that_may_not_use_the_room_look_at_no_other_worker():
    """Guards against the same where advice keeps the steps from what could be freed."""
    load = _full_pool(PATIENT_TASKS)
    owner = load.owner
    owner.host.queue_of = lambda document: ADVISED
    owner.advising._book._ask = lambda key, workers, expected: None
    patient = next(job for job in owner.book.live_jobs() if job.queue is PATIENT)
    places = {run.worker for step in patient.steps() for run in step.active_runs()}
    for _ in range(300):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    tickets = dict.fromkeys(set(load.workers) - places, "t")
    for step in owner.book.waiting_steps():
        owner.advising.ask(step, load.now)
        policy = ADVISED.advice
        owner.advising._book.note_answer(step.key, tickets, policy, load.now)
    load.host.clock.advance(1.0)
    runs, workers = _looked_at(load)
    assert load.stops == 0
    assert patient.status == JobStatus.RUNNING
    assert runs <= FULL
    assert workers <= 2 * WORKERS


def test_steps_that_need_more_stops_than_are_made_look_at_no_other_worker():
    """Guards against the same where no few stops make room enough."""
    load = _full_pool(PATIENT_TASKS)
    for _ in range(300):
        load.submit_step(Step(1, Amounts(4000, 10), SECONDS))
    load.host.clock.advance(1.0)
    runs, workers = _looked_at(load)
    assert load.stops == 0
    assert runs <= FULL
    assert workers <= 2 * WORKERS
