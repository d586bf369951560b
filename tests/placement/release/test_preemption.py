"""Choice of runs to stop, compared with a search of all workers and runs."""

import itertools
import random

from papayapick.jobs import JobDocument, JobRegistry, Queue, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.placement.release.holds import Hold
from papayapick.placement.release.preemption import StoppableRuns, choose_victims
from papayapick.placement.rooms.rooms import Rooms, WorkerRoom
from papayapick.pool.workers.reports import Registration

PRIORITIES = (0, 1, 2)
WORKERS = 6
LOADS = 400
MAX_VICTIMS = 3


def _queue(priority):
    return Queue("q", "h", "/q/", "pool", priority, 2, 1.5, 0.5, 3.0, False, None)


def _demand(draw):
    return Amounts(
        draw.randint(1, 5) * 500, draw.randint(1, 4) * 500, draw.choice((0, 0, 1, 3))
    )


class RandomLoad:
    """Random workers with runs, some of which may be stopped, and a waiting step."""

    def __init__(self, seed):
        self._draw = random.Random(seed)
        self._names = (f"{number:016x}" for number in itertools.count())
        self._job_registry = JobRegistry()
        self.rooms = Rooms()
        # Priority by name of the run; None if it may not be stopped.
        self.priorities = {}
        self.step = self._waiting_step()
        for number in range(WORKERS):
            self._add_room(f"w{number}")
        names = [room.worker for room in self.rooms]
        self.allowed = self._draw.choice((None, self._draw.sample(names, 4)))
        for task in self.step.tasks:
            task.failed_on.update(
                self._draw.sample(names, self._draw.choice((0, 0, 2)))
            )

    def priority_of(self, run):
        return self.priorities[run.name]

    def _add(self, step, priority):
        document = JobDocument(next(self._names), "q", "pool", "t", [step], 0.0)
        job = self._job_registry.add(document, _queue(priority), 0.0)
        return job.steps()[0]

    def _waiting_step(self):
        is_gang = self._draw.random() < 0.4
        step = Step(
            self._draw.randint(1, 4),
            _demand(self._draw),
            is_gang=is_gang,
            label=self._draw.choice(("", "a")),
            tasks_per_worker=self._draw.choice((0, 0, 1, 2)),
            is_lasting=not is_gang and self._draw.random() < 0.2,
        )
        return self._add(step, self._draw.choice(PRIORITIES))

    def _add_room(self, name):
        labels = (self._draw.choice("aab"), "r1-1")
        capacity = Amounts(4000, 4000, 4)
        room = WorkerRoom(Registration(name, "pool", "a:1", "z", capacity, labels))
        room.is_open = self._draw.random() < 0.9
        room.is_failing = self._draw.random() < 0.1
        for _ in range(self._draw.randint(0, 8)):
            self._add_run(room)
        if self._draw.random() < 0.2:
            key = self.step.key if self._draw.random() < 0.5 else ("other", 0, 0)
            room.hold = Hold(key, 1.0, Amounts())
        self.rooms.add(room)

    def _add_run(self, room):
        demand = _demand(self._draw)
        if not room.has_room(demand):
            return
        state = self._add(Step(1, demand), 0)
        run = self._job_registry.begin_run(state, 0, room.worker, 0.0)
        run.phase = self._draw.choice((RunPhase.RUNNING,) * 4 + (RunPhase.STOPPING,))
        room.reserve(run)
        self.priorities[run.name] = self._draw.choice((None, *PRIORITIES))


class ExhaustiveSearch:
    """Search all workers and their runs for each task of the step."""

    def __init__(self, load):
        self._load = load
        self._step = load.step
        self._planned = dict.fromkeys((room.worker for room in load.rooms), 0)
        self._victims = []

    def find(self):
        for _ in self._step.tasks if self._step.step.is_gang else (0,):
            options = [
                (len(victims), number, room.worker, victims)
                for number, room in enumerate(self._load.rooms)
                if (victims := self._victims_on(room)) is not None
            ]
            if not options:
                return []
            _, _, worker, victims = min(options, key=lambda one: one[:2])
            self._planned[worker] += 1
            self._victims += victims
        return self._victims

    def _victims_on(self, room):
        demand, key = self._step.step.room_demand, self._step.key
        planned, limit = self._planned[room.worker], self._step.step.tasks_per_worker
        is_held = room.hold is not None and room.hold.step_key != key
        has_failed = not self._step.step.is_lasting and all(
            room.worker in self._step.tasks[index].failed_on
            for index in self._step.waiting
        )
        label = self._step.step.label
        if (
            not room.is_open
            or room.is_failing
            or is_held
            or has_failed
            or (label and label not in room.registration.labels)
            or not demand.fits_in(room.registration.capacity)
            or (
                self._load.allowed is not None and room.worker not in self._load.allowed
            )
            or (limit and planned >= limit)
        ):
            return None
        free = Amounts(room.processors, room.memory, room.accelerators)
        for _ in range(planned):
            free = free - demand
        for run in self._victims:
            if run.worker == room.worker:
                free = free + run.demand
        victims = []
        for run in self._stoppable(room)[: max(MAX_VICTIMS, demand.accelerators)]:
            if demand.fits_in(free):
                break
            victims.append(run)
            free = free + run.demand
        return victims if demand.fits_in(free) else None

    def _stoppable(self, room):
        found = [
            run
            for run in room.runs.values()
            if run.phase == RunPhase.RUNNING
            and run not in self._victims
            and (self._load.priority_of(run) or 0) > self._step.job.queue.priority
        ]
        return sorted(
            found,
            key=lambda run: (run.demand.accelerators, run.demand.processors),
            reverse=True,
        )


def test_the_same_runs_are_stopped_as_by_an_exhaustive_search():
    """Guards against an index that omits a worker, or stops runs if there is room."""
    sizes = {True: set(), False: set()}
    for seed in range(LOADS):
        load = RandomLoad(seed)
        expected = ExhaustiveSearch(load).find()
        stoppable = StoppableRuns(load.rooms, load.priority_of)
        found = choose_victims(load.step, load.rooms, load.allowed, stoppable)
        assert found == expected, seed
        sizes[load.step.step.is_gang].add(len(found))
    # The loads cover single tasks and gangs, each with no stop, one stop and several.
    assert {0, 1, 2} <= sizes[True]
    assert {0, 1, 2} <= sizes[False]
