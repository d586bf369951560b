"""A pool whose workers differ in speed, and a load of urgent and patient jobs."""

import random

from papayapick.jobs import Queue, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.placement.rooms.tier_preference import AnyTier
from papayapick.speeds import SpeedTier
from tests.forecasts.speeds import KnownSpeeds
from tests.pool.standins import PoolSimulation

SLOW, FAST = 0.7, 1.7
WORKERS = 36
PROCESSORS = 64_000
URGENT = Queue("urgent", "h", "/u/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
PATIENT = Queue("patient", "h", "/p/", "pool", 1, 2, 2.2, 1.2, 3.0, False, None)
URGENT_SECONDS, PATIENT_SECONDS = 0.68, 3.2
URGENT_A_SECOND, PATIENT_A_SECOND = 3.1, 0.4
# Advice, a record and an order.
ORDER_SECONDS = 0.3
LOAD_SECONDS, DRAIN_SECONDS = 20.0, 60.0


class FastestFirst(AnyTier):
    """Give every step the fastest workers first."""

    def __init__(self, speeds):
        self._speeds = speeds

    def refresh(self, rooms, now):
        for room in rooms:
            room.tier = self._speeds.tier(room.worker)

    def tiers(self, step_state):
        return tuple(reversed(SpeedTier))


class UnequalPool:
    """A pool with two thirds slow workers, about half full.

    Parameters
    ----------
    way : str
        ``best fit``, ``fastest first`` or ``by slack``.
    seed : int
    long_share : float
        Share of the tasks that take seven times as long.
    estimate_error : float
        Most by which the estimates of patient jobs are off, as a share.
    """

    def __init__(self, way, seed=1, long_share=0.0, estimate_error=0.0, **step):
        self.draw = random.Random(seed)
        self.load = load = PoolSimulation(
            WORKERS,
            1.0,
            long_share,
            long_factor=7.0,
            processors=PROCESSORS,
            order_seconds=ORDER_SECONDS,
        )
        self._estimate_error = estimate_error
        self._step = step
        self._objectives = {}
        for number, worker in enumerate(load.workers.values()):
            worker.speed = SLOW if number % 3 else FAST
        speeds = {worker.name: worker.speed for worker in load.workers.values()}
        self.speeds = KnownSpeeds(speeds)
        if way == "by slack":
            load.owner.knowledge.speeds = self.speeds
        elif way == "fastest first":
            load.owner.rooms.preference = FastestFirst(self.speeds)

    def play(self):
        """Run the load; return the share of jobs in time by queue."""
        for _ in range(round(LOAD_SECONDS * 10)):
            self.advance()
        self.load.run(DRAIN_SECONDS)
        return {queue: self._share_in_time(queue) for queue in ("urgent", "patient")}

    def advance(self):
        """Run a tenth of a second of the load."""
        if self.draw.random() < URGENT_A_SECOND / 10:
            self._submit_urgent()
        if self.draw.random() < PATIENT_A_SECOND / 10:
            self._submit_patient()
        self.load.run(0.1)

    def mean_seconds(self, queue):
        """Return the mean duration of the jobs of a queue."""
        took = [seconds for seconds, _ in self._durations(queue)]
        return sum(took) / len(took)

    def _share_in_time(self, queue):
        found = [seconds <= objective for seconds, objective in self._durations(queue)]
        return sum(found) / len(found)

    def _durations(self, queue):
        load = self.load
        for identifier, (name, objective) in self._objectives.items():
            if name == queue:
                end = load.finished.get(identifier, float("inf"))
                yield end - load.submitted_at[identifier], objective

    def _submit_urgent(self):
        tasks = min(57, 2 + int(self.draw.expovariate(1 / 10)))
        count = 2 if self.draw.random() < 0.6 else 1
        self._submit(URGENT, count, tasks, 8900, URGENT_SECONDS)

    def _submit_patient(self):
        self._submit(PATIENT, 2, 21, 18_000, PATIENT_SECONDS, has_checkpoints=True)

    def _submit(self, queue, count, tasks, processors, seconds, **step):
        error = self._estimate_error if queue is PATIENT else 0.0
        estimate = seconds * self.draw.uniform(1 - error, 1 + error)
        steps = [
            Step(
                tasks,
                Amounts(processors, 10),
                estimate,
                [number - 1] if number else [],
                **step,
                **self._step,
            )
            for number in range(count)
        ]
        identifier = self.load.submit_steps(steps, queue, length=seconds)
        longest = sum(
            max(
                self.load.length_of(TaskKey(identifier, 0, number, index))
                for index in range(tasks)
            )
            for number in range(count)
        )
        objective = queue.stretch * longest + queue.objective_seconds
        self._objectives[identifier] = (queue.name, objective)
