"""The cost of preemption while many steps wait: how many runs and workers it scans."""

import pytest

from papayapick.jobs import AdvicePolicy, JobStatus, Queue, Step
from papayapick.ledger import Amounts
from tests.pool.standins import QUEUE, PoolSimulation

SECONDS = 100.0
LOW_PRIORITY = Queue("w", "h", "/w/", "pool", 2, 2, 2.2, 3.0, 3.0, False, None)
ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)
# Each worker has capacity for four tasks.
WORKERS = 20
CAPACITY = 4 * WORKERS
LOW_PRIORITY_TASKS = 8


class CountingJobRegistry:
    """Wrapper of a job registry that counts the lookups of the steps of runs."""

    def __init__(self, job_registry):
        self._job_registry = job_registry
        self.lookups = 0

    def step_of(self, key):
        self.lookups += 1
        return self._job_registry.step_of(key)

    def __getattr__(self, name):
        return getattr(self._job_registry, name)


class CountingRooms:
    """Wrapper of the rooms that counts how many workers are scanned."""

    def __init__(self, rooms):
        self._rooms = rooms
        self.scanned = 0

    def __iter__(self):
        self.scanned += len(self._rooms)
        return iter(self._rooms)

    def able(self, step):
        self.scanned += len(self._rooms)
        return self._rooms.able(step)

    def __getattr__(self, name):
        return getattr(self._rooms, name)


def _full_pool(low_priority_tasks):
    """Return a load whose workers are full, some of them with low-priority tasks."""
    load = PoolSimulation(workers=WORKERS, length=SECONDS)
    if low_priority_tasks:
        step = Step(
            low_priority_tasks, Amounts(1000, 10), SECONDS, has_checkpoints=True
        )
        load.submit_step(step, LOW_PRIORITY)
    load.submit_job(tasks=CAPACITY - low_priority_tasks, estimate=SECONDS)
    load.run(0.1)
    return load


def _count_scans(load):
    """Return how many runs are looked up, and workers scanned, by one preemption."""
    owner = load.owner
    owner.job_registry, owner.rooms = (
        CountingJobRegistry(owner.job_registry),
        CountingRooms(owner.rooms),
    )
    owner.decisions.preempt(load.now)
    counts = owner.job_registry.lookups, owner.rooms.scanned
    owner.job_registry, owner.rooms = (
        owner.job_registry._job_registry,
        owner.rooms._rooms,
    )
    return counts


@pytest.mark.parametrize("queue", [QUEUE, LOW_PRIORITY])
def test_steps_for_which_nothing_is_stopped_do_not_scan_each_run(queue):
    """Guards against a scan of all workers and runs for each waiting step.

    Preemption runs ten times a second under the owner's lock. With thousands of waiting
    steps, such scans alone took longer than the interval.
    """
    load = _full_pool(low_priority_tasks=0 if queue is QUEUE else LOW_PRIORITY_TASKS)
    for _ in range(300):
        load.submit_job(tasks=4, estimate=SECONDS, queue=queue)
    load.run(1.0)
    runs, workers = _count_scans(load)
    assert len(load.owner.job_registry.waiting_steps()) == 300
    assert runs <= CAPACITY
    assert workers <= 2 * WORKERS


def test_steps_without_tickets_for_stoppable_runs_scan_no_other_worker():
    """Guards against the same scans if no step has advice for the workers to free."""
    load = _full_pool(LOW_PRIORITY_TASKS)
    owner = load.owner
    owner.host.queue_of = lambda document: ADVISED
    owner.advice_manager._cache._ask = lambda key, workers, expected: None
    low_priority = next(
        job for job in owner.job_registry.live_jobs() if job.queue is LOW_PRIORITY
    )
    places = {run.worker for step in low_priority.steps() for run in step.active_runs()}
    for _ in range(300):
        load.submit_job(tasks=4, estimate=SECONDS, queue=ADVISED)
    tickets = dict.fromkeys(set(load.workers) - places, "t")
    for step in owner.job_registry.waiting_steps():
        owner.advice_manager.request(step, load.now)
        policy = ADVISED.advice
        owner.advice_manager._cache.note_answer(step.key, tickets, policy, load.now)
    load.host.clock.advance(1.0)
    runs, workers = _count_scans(load)
    assert load.stops == 0
    assert low_priority.status == JobStatus.RUNNING
    assert runs <= CAPACITY
    assert workers <= 2 * WORKERS


def test_steps_that_need_too_many_stops_scan_no_other_worker():
    """Guards against the same scans if a few stops do not free enough capacity."""
    load = _full_pool(LOW_PRIORITY_TASKS)
    for _ in range(300):
        load.submit_step(Step(1, Amounts(4000, 10), SECONDS))
    load.host.clock.advance(1.0)
    runs, workers = _count_scans(load)
    assert load.stops == 0
    assert runs <= CAPACITY
    assert workers <= 2 * WORKERS
