"""Replay steps of ten tasks on workers of three speeds, in a plain loop."""

import heapq
import math
import random

from papayapick.jobs import JobDocument, JobState, Queue, Run, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.pool.workers.reports import Registration

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
KIND_SPEEDS = {"small": 0.6, "medium": 1.0, "large": 1.7}
_TASKS = 10
_SLOTS = 4
_LONG_SHARE = 1 / 30
_LONG_FACTOR = 7.0
_VARIATION = 0.22
_WITHIN_KIND = 0.08


def registration(worker, kind="medium", rack="r-1"):
    return Registration(
        worker, "pool", f"{worker}:1", "z", Amounts(4000, 4000), (kind, rack)
    )


def step_of(identifier, tasks, estimate=0.0):
    """Return a step as an owner has it."""
    step = Step(tasks, Amounts(1000, 10), estimate)
    document = JobDocument(identifier, "q", "pool", "t", [step], 0.0)
    return JobState(document, QUEUE, 0.0).open_occurrence(0)[0]


def run_of(step, index, worker, started_at):
    run = Run.of_task(step, index, 1, worker, RunPhase.RUNNING, started_at)
    step.tasks[index].runs.append(run)
    return run


def end_run(speeds, step, run, now, unseen=0.0):
    """Tell of the end of a run, as the owner of a pool does.

    Its last report was read the unseen seconds before.
    """
    run.percent_at = now - unseen
    task = step.tasks[run.key.index]
    task.runs.remove(run)
    task.is_done = True
    step.unfinished_tasks -= 1
    return speeds.note_done(step, run, now)


class SpeedReplay:
    """Run steps on workers of three kinds, as free slots allow.

    Parameters
    ----------
    speeds : SpeedSource
    seed : int
    workers : int
    has_kinds : bool
        Whether labels tell the kinds apart.
    """

    def __init__(self, speeds, seed, workers=60, has_kinds=True):
        self._random = random.Random(seed)
        self._speeds = speeds
        self.true_speeds = {}
        for number in range(workers):
            kind = list(KIND_SPEEDS)[number % len(KIND_SPEEDS)]
            speed = KIND_SPEEDS[kind] * math.exp(self._random.gauss(0, _WITHIN_KIND))
            self.true_speeds[f"w{number}"] = speed
            label = kind if has_kinds else "same"
            speeds.add_worker(registration(f"w{number}", label, f"r-{number % 5}"))
        mean = sum(self.true_speeds.values()) / workers
        self.true_speeds = {name: one / mean for name, one in self.true_speeds.items()}
        self._free = [name for name in self.true_speeds for _ in range(_SLOTS)]
        self._ends = []
        self._steps = 0
        self.now = 0.0

    def run_until(self, end):
        while True:
            while len(self._free) >= _TASKS:
                self._start_step()
            at, _, step, run = self._ends[0]
            if at > end:
                self.now = end
                self._speeds.refresh(end)
                return
            heapq.heappop(self._ends)
            self.now = at
            self._free.append(run.worker)
            end_run(self._speeds, step, run, at)
            self._speeds.refresh(at)

    def _start_step(self):
        self._steps += 1
        length = self._random.uniform(0.6, 2.5)
        # Callers are wrong by up to nine tenths of the length.
        estimate = length * self._random.uniform(0.1, 1.9)
        step = step_of(f"{self._steps:016x}", _TASKS, estimate)
        self._random.shuffle(self._free)
        for index in range(_TASKS):
            worker = self._free.pop()
            seconds = length * math.exp(self._random.gauss(0, _VARIATION))
            if self._random.random() < _LONG_SHARE:
                seconds *= _LONG_FACTOR
            run = run_of(step, index, worker, self.now)
            ends_at = self.now + seconds / self.true_speeds[worker]
            heapq.heappush(self._ends, (ends_at, (self._steps, index), step, run))

    def error(self):
        """Return the mean error of the known speeds, as a factor less one."""
        errors = [
            abs(math.log(self._speeds.speed(worker) / speed))
            for worker, speed in self.true_speeds.items()
        ]
        return math.exp(sum(errors) / len(errors)) - 1.0
