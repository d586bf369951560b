"""The runs that are stopped for the whole need of urgent steps."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.jobs import JobDocument, JobRegistry, Queue, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.overload.stops import FewestStops, LeastLoss, StopNeed, StopPlan, Victim
from papayapick.placement.release.preemption import victim_priority
from papayapick.placement.rooms.rooms import Rooms, WorkerRoom
from papayapick.pool.workers.reports import Registration

MAX_STOPS = 12
CAPACITY = Amounts(8000, 8000)
KINDS = ("usual", "usual", "usual", "lasting", "gang", "no checkpoints")


class Pool:
    """Workers with runs of several priorities, and what stops of them cost."""

    def __init__(self):
        self.registry = JobRegistry()
        self.rooms = Rooms()
        self.steps = {}
        self.ends = collections.defaultdict(list)
        self.costs = {}
        self._jobs = 0

    def add_worker(self, number):
        room = WorkerRoom(Registration(f"w{number}", "pool", "a:1", "z", CAPACITY, ()))
        self.rooms.add(room)
        room.is_open = True
        return room

    def submit(self, step, priority):
        self._jobs += 1
        queue = Queue("q", "h", "/q/", "pool", priority, 2, 1.5, 0.5, 3.0, False, None)
        document = JobDocument(f"{self._jobs:016x}", "q", "pool", "t", [step], 0.0)
        (state,) = self.registry.add(document, queue, 0.0).steps()
        return state

    def run(self, room, priority, cores, kind="usual", ends_in=None, cost=(True, True)):
        """Run a task on a worker, if it fits there."""
        step = Step(
            1,
            Amounts(1000 * cores, 100),
            has_checkpoints=kind != "no checkpoints",
            is_lasting=kind == "lasting",
            is_gang=kind == "gang",
        )
        if not room.has_room(step.room_demand):
            return None
        state = self.submit(step, priority)
        run = self.registry.begin_run(state, 0, room.worker, 0.0)
        run.phase = RunPhase.RUNNING
        room.reserve(run)
        self.steps[run] = state
        self.costs[run] = cost
        if ends_in is not None:
            self.ends[room].append((ends_in, run))
        return run

    def victims(self, room):
        found = []
        for run in room.runs.values():
            priority = victim_priority(self.steps[run])
            if priority is not None:
                is_owed, becomes_late = self.costs[run]
                cores = run.demand.processors / 1000
                found.append(Victim(run, priority, is_owed, becomes_late, True, cores))
        return found

    def plan(self, order=None, max_stops=MAX_STOPS):
        ends_of = self.ends.__getitem__
        return StopPlan(self.rooms, ends_of, self.victims, max_stops, order)


RUN = st.tuples(
    st.sampled_from((0, 1, 2, 1002)),
    st.integers(1, 4),
    st.sampled_from(KINDS),
    st.sampled_from((None, 0.2, 5.0)),
    st.tuples(st.booleans(), st.booleans()),
)
WORKERS = st.lists(st.lists(RUN, max_size=6), min_size=1, max_size=6)
NEED = st.tuples(
    st.sampled_from((0, 1, 2)), st.integers(1, 12), st.integers(1, 3), st.booleans()
)
NEEDS = st.lists(NEED, min_size=1, max_size=4)
ORDER = st.sampled_from((LeastLoss, FewestStops))


def _build(workers):
    pool = Pool()
    for number, runs in enumerate(workers):
        room = pool.add_worker(number)
        for run in runs:
            pool.run(room, *run)
    return pool


def _need(pool, priority, tasks, cores, is_gang, within_seconds=1.0):
    step = Step(tasks, Amounts(1000 * cores, 100), is_gang=is_gang)
    return StopNeed(pool.submit(step, priority), tasks, None, within_seconds)


def _free(pool, room, within_seconds, stopped):
    """Return the millicores of a worker that are free after stops and ends."""
    ending = [run for seconds, run in pool.ends[room] if seconds <= within_seconds]
    freed = {*ending, *(run for run in stopped if run.worker == room.worker)}
    return room.processors + sum(run.demand.processors for run in freed)


@given(WORKERS, NEEDS, ORDER)
def test_only_less_urgent_tasks_with_checkpoints_are_stopped(workers, needs, order):
    pool = _build(workers)
    plan = pool.plan(order())
    for need in needs:
        one = _need(pool, *need)
        for victim in plan.add(one):
            step = pool.steps[victim.run]
            assert step.job.priority > one.step.job.priority
            assert step.step.has_checkpoints
            assert not step.step.is_gang
            assert not step.step.is_lasting
    runs = [victim.run for victim in plan.victims]
    assert len(set(runs)) == len(runs) <= MAX_STOPS


@given(WORKERS, NEED, ORDER)
def test_no_more_is_stopped_than_one_task_needs_on_each_worker(workers, need, order):
    """Guards against stops whose room nobody asked for."""
    pool = _build(workers)
    plan = pool.plan(order())
    one = _need(pool, *need)
    stopped = [victim.run for victim in plan.add(one)]
    demand = one.step.step.demand.processors
    tasks = sum(
        _free(pool, room, one.within_seconds, ()) // demand for room in pool.rooms
    )
    if tasks >= one.tasks:
        assert stopped == []
    for room in pool.rooms:
        here = [run for run in stopped if run.worker == room.worker]
        if not here:
            continue
        before = _free(pool, room, one.within_seconds, ()) // demand
        after = _free(pool, room, one.within_seconds, here) // demand
        assert after > before
        # Each task that the stops make room for needed at most three of them.
        assert len(here) <= 3 * (after - before)


@given(WORKERS, st.integers(2, 12), st.integers(1, 3))
def test_a_gang_gets_its_whole_room_or_stops_nothing(workers, tasks, cores):
    pool = _build(workers)
    one = _need(pool, 0, tasks, cores, True)
    stopped = [victim.run for victim in pool.plan().add(one)]
    if stopped:
        fitting = sum(
            _free(pool, room, one.within_seconds, stopped) // (1000 * cores)
            for room in pool.rooms
        )
        assert fitting >= tasks


def test_room_that_becomes_free_in_time_is_used_first():
    pool = Pool()
    first, second = pool.add_worker(0), pool.add_worker(1)
    pool.run(first, 2, 4, ends_in=0.5)
    pool.run(first, 2, 4)
    pool.run(second, 2, 4)
    pool.run(second, 2, 4)
    plan = pool.plan()
    assert plan.add(_need(pool, 0, 2, 2, False)) == []
    # The next step finds that room taken.
    assert len(plan.add(_need(pool, 0, 2, 2, False))) == 1


@pytest.mark.parametrize(
    ("cheap", "dear"),
    [((False, True), (True, False)), ((True, False), (True, True))],
)
def test_what_is_not_owed_is_stopped_first_then_what_is_not_made_late(cheap, dear):
    pool = Pool()
    first, second = pool.add_worker(0), pool.add_worker(1)
    pool.run(first, 2, 4, cost=dear)
    pool.run(first, 2, 4, cost=dear)
    pool.run(second, 2, 4, cost=dear)
    chosen = pool.run(second, 2, 4, cost=cheap)
    (victim,) = pool.plan().add(_need(pool, 0, 1, 4, False))
    assert victim.run is chosen


def test_stops_for_all_steps_together_are_bounded():
    pool = Pool()
    for number in range(4):
        room = pool.add_worker(number)
        for _ in range(8):
            pool.run(room, 2, 1)
    plan = pool.plan(max_stops=10)
    for _ in range(4):
        plan.add(_need(pool, 0, 8, 1, False))
    assert len(plan.victims) == 10
