"""Room of workers, choice of workers, preemption and copies."""

import pytest

from papayapick.jobs import JobDocument, JobRegistry, Queue, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.placement.order.steps import order_steps, place_step
from papayapick.placement.release.preemption import (
    StoppableRuns,
    choose_victims,
    may_preempt,
)
from papayapick.placement.rooms.rooms import Rooms, WorkerRoom
from papayapick.placement.runs.copies import stragglers
from papayapick.placement.runs.pace import Pacer
from papayapick.pool.workers.reports import Registration

QUEUE = Queue("quick", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)


def _room(name, processors=4000, labels=("a", "r1-1"), memory=8000):
    registration = Registration(
        name, "pool", "a:1", "z1", Amounts(processors, memory), labels
    )
    room = WorkerRoom(registration)
    room.is_open = True
    return room


@pytest.fixture
def rooms():
    found = Rooms()
    found.add(_room("w1"))
    found.add(_room("w2", labels=("b", "r1-2")))
    return found


def _waiting(step, identifier="0" * 16, queue=QUEUE, now=0.0):
    job_registry = JobRegistry()
    document = JobDocument(identifier, "quick", "pool", "t", [step], 0.0)
    job_registry.add(document, queue, now)
    (state,) = job_registry.waiting_steps()
    return job_registry, state


def _place(job_registry, state, rooms, allowed=None):
    def begin(step, index, worker, attempt):
        run = job_registry.begin_run(step, index, worker, 1.0, attempt)
        rooms.get(worker).reserve(run)
        return run

    return place_step(state, rooms, allowed, begin)


def test_no_worker_exceeds_its_capacity(rooms):
    job_registry, state = _waiting(Step(20, Amounts(1500, 100)))
    runs = _place(job_registry, state, rooms)
    assert len(runs) == 4
    assert all(room.processors >= 0 for room in rooms)
    assert len(state.waiting) == 16


def test_release_frees_the_room_of_a_run_once(rooms):
    job_registry, state = _waiting(Step(1, Amounts(1500, 100)))
    (run,) = _place(job_registry, state, rooms)
    room = rooms.get(run.worker)
    room.release(run)
    room.release(run)
    assert room.processors == 4000
    assert room.step_counts == {}


def test_label_and_advice_limit_the_workers(rooms):
    job_registry, state = _waiting(Step(8, Amounts(1000, 100), label="b"))
    runs = _place(job_registry, state, rooms)
    assert {run.worker for run in runs} == {"w2"}
    job_registry, state = _waiting(Step(8, Amounts(1000, 100)))
    assert {run.worker for run in _place(job_registry, state, rooms, {"w1"})} == {"w1"}


def test_tasks_per_worker_is_limited(rooms):
    job_registry, state = _waiting(Step(5, Amounts(100, 100), tasks_per_worker=2))
    runs = _place(job_registry, state, rooms)
    assert len(runs) == 4


def test_gang_is_placed_whole_or_not_at_all(rooms):
    job_registry, state = _waiting(Step(5, Amounts(2000, 100), is_gang=True))
    assert _place(job_registry, state, rooms) == []
    assert all(room.processors == 4000 for room in rooms)
    job_registry, state = _waiting(Step(4, Amounts(2000, 100), is_gang=True))
    runs = _place(job_registry, state, rooms)
    assert {run.attempt for run in runs} == {1}
    assert len(runs) == 4


def test_rack_bound_gang_prefers_one_rack(rooms):
    step = Step(2, Amounts(2000, 100), is_gang=True, is_rack_bound=True)
    job_registry, state = _waiting(step)
    assert len({run.worker for run in _place(job_registry, state, rooms)}) == 1


def test_avoided_worker_comes_last(rooms):
    job_registry, state = _waiting(Step(1, Amounts(100, 100)))
    state.tasks[0].avoid = {"w1"}
    assert _place(job_registry, state, rooms)[0].worker == "w2"


def test_task_prefers_the_rack_of_its_data(rooms):
    job_registry, state = _waiting(Step(1, Amounts(100, 100), preferred_rack="r1-2"))
    assert _place(job_registry, state, rooms)[0].worker == "w2"


def test_filler_takes_memory_but_no_processors(rooms):
    job_registry, state = _waiting(Step(1, Amounts(3000, 500), is_filler=True))
    (run,) = _place(job_registry, state, rooms)
    room = rooms.get(run.worker)
    assert (room.processors, room.memory) == (4000, 7500)


def test_urgent_queues_come_first():
    urgent = Queue("u", "h", "/u/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
    deferred = Queue("p", "h", "/p/", "pool", 2, 2, 1.5, 0.5, 3.0, False, None)
    _, late = _waiting(Step(1, Amounts(1, 1)), "1" * 16, urgent, 5.0)
    _, early = _waiting(Step(1, Amounts(1, 1)), "2" * 16, deferred, 1.0)
    assert order_steps([early, late], 6.0) == [late, early]


def test_fillers_are_slowed_until_the_tail_latency_is_within_its_limit(rooms):
    """Guards against a filler that raises the latency of a lasting task beside it."""
    room = rooms.get("w1")
    lasting = Step(1, Amounts(1000, 100), is_lasting=True, tail_limit_seconds=0.1)
    job_registry, state = _waiting(lasting)
    serving = job_registry.begin_run(state, 0, "w1", 0.0)
    room.reserve(serving)
    job_registry, state = _waiting(
        Step(1, Amounts(1000, 100), is_filler=True), "1" * 16
    )
    filler = job_registry.begin_run(state, 0, "w1", 0.0)
    room.reserve(filler)
    pacer = Pacer()
    serving.percent, serving.measurement = 100, 150.0
    paces = []
    for step in range(5):
        for run, percent in pacer.decide(room, 10.0 + step):
            assert run is filler
            run.pace = percent
            paces.append(percent)
    assert paces == [50, 25, 12, 0]
    serving.measurement, serving.percent_at = 20.0, 20.0
    ((_, percent),) = pacer.decide(room, 20.0)
    assert percent > 0


# Preemption.


def _fill_worker(rooms, worker, tasks, **fields):
    """Start tasks of a deferred queue on a worker, and return their runs."""
    deferred = Queue("p", "h", "/p/", "pool", 2, 2, 1.5, 0.5, 3.0, False, None)
    step = Step(tasks, Amounts(2000, 100), **fields)
    job_registry, state = _waiting(step, "2" * 16, deferred)
    runs = []
    for index in range(tasks):
        run = job_registry.begin_run(state, index, worker, 0.0)
        run.phase = RunPhase.RUNNING
        rooms.get(worker).reserve(run)
        runs.append(run)
    return runs


def test_urgent_task_preempts_one_with_checkpoints(rooms):
    """Guards against an urgent job that waits while all workers run long tasks."""
    without_checkpoints = _fill_worker(rooms, "w1", 2)
    with_checkpoints = _fill_worker(rooms, "w2", 2, has_checkpoints=True)
    _, state = _waiting(Step(1, Amounts(1500, 100)), "1" * 16)
    assert not may_preempt(state, 0.2)
    assert may_preempt(state, 0.3)

    def priority(run):
        return 2 if run in with_checkpoints else None

    stoppable = StoppableRuns(rooms, priority)
    (victim,) = choose_victims(state, rooms, None, stoppable)
    assert victim in with_checkpoints
    assert victim not in without_checkpoints
    assert choose_victims(state, rooms, {"w1"}, stoppable) == []
    state.preempted_at = 0.3
    assert not may_preempt(state, 0.9)


def test_runs_of_the_same_priority_are_not_stopped(rooms):
    _fill_worker(rooms, "w1", 2, has_checkpoints=True)
    _fill_worker(rooms, "w2", 2, has_checkpoints=True)
    _, state = _waiting(Step(1, Amounts(1500, 100)), "1" * 16)
    stoppable = StoppableRuns(rooms, lambda run: 0)
    assert choose_victims(state, rooms, None, stoppable) == []


# Copies.


def test_straggler_of_a_step_that_allows_copies(rooms):
    """Guards against a step that waits for a task on a slow worker.

    The step would take ten times as long as usual.
    """
    step = Step(3, Amounts(100, 100), allows_copies=True, estimate_seconds=1.0)
    job_registry, state = _waiting(step)
    runs = _place(job_registry, state, rooms)
    for run in runs:
        run.note_sent(1.0)
        run.phase = RunPhase.RUNNING
    for run in runs[:2]:
        job_registry.end_run(run.key, run.attempt, "done", "", run.worker, 1.8)
    assert stragglers(state, 2.0) == []
    assert stragglers(state, 4.0) == [runs[2].key.index]
    job_registry.begin_run(state, runs[2].key.index, "w2", 4.0)
    assert stragglers(state, 9.0) == []


def test_no_copy_where_the_step_does_not_allow_it(rooms):
    job_registry, state = _waiting(Step(1, Amounts(100, 100), estimate_seconds=1.0))
    (run,) = _place(job_registry, state, rooms)
    run.note_sent(1.0)
    run.phase = RunPhase.RUNNING
    assert stragglers(state, 60.0) == []


def _fail_once(job_registry, state, run):
    job_registry.end_run(run.key, run.attempt, "failed", "", run.worker, 2.0)


def test_task_waits_rather_than_failing_again_on_the_same_worker(rooms):
    # A worker on which each task fails immediately always has room, while the others
    # that may run the step are full. A job would use up its four attempts on that
    # worker within half a second, and fail.
    job_registry, state = _waiting(Step(1, Amounts(1500, 100)))
    rooms.get("w2").processors = 0
    (run,) = _place(job_registry, state, rooms)
    assert run.worker == "w1"
    rooms.get("w1").release(run)
    _fail_once(job_registry, state, run)
    assert _place(job_registry, state, rooms) == []
    rooms.get("w2").processors = 4000
    (run,) = _place(job_registry, state, rooms)
    assert run.worker == "w2"


def test_task_that_failed_wherever_it_may_run_is_placed_again(rooms):
    job_registry, state = _waiting(Step(1, Amounts(1500, 100), label="b"))
    (run,) = _place(job_registry, state, rooms)
    rooms.get("w2").release(run)
    _fail_once(job_registry, state, run)
    (run,) = _place(job_registry, state, rooms)
    assert run.worker == "w2"


@pytest.mark.parametrize(("failing", "worker"), [(1, "w2"), (2, "w0")])
def test_few_failing_workers_are_excluded(failing, worker):
    # One failing worker of four is excluded. If two are failing, the cause is more
    # likely elsewhere, and excluding them would halve the pool.
    rooms = Rooms()
    for number in range(4):
        rooms.add(_room(f"w{number}"))
    for number in (2, 3):
        rooms.get(f"w{number}").processors = 2000 + number
    for number in range(failing):
        rooms.get(f"w{number}").mark_suspected(0.0, 3.0, is_failing=True)
    for number in (2, 3):
        rooms.get(f"w{number}").is_open = failing == 1
    job_registry, state = _waiting(Step(1, Amounts(1500, 100)))
    (run,) = _place(job_registry, state, rooms)
    assert run.worker == worker


def test_lasting_task_runs_again_where_it_failed_if_others_are_full(rooms):
    """Guards against a lasting task that stays down although a worker has room.

    It failed there once, as lasting tasks may at any time. The other workers that may
    run it are full of lasting tasks, so it would wait indefinitely.
    """
    job_registry, state = _waiting(Step(1, Amounts(1500, 100), is_lasting=True))
    (run,) = _place(job_registry, state, rooms)
    rooms.get(run.worker).release(run)
    _fail_once(job_registry, state, run)
    other = "w2" if run.worker == "w1" else "w1"
    _fill_worker(rooms, other, 4, is_lasting=True)
    (again,) = _place(job_registry, state, rooms)
    assert again.worker == run.worker


def test_lasting_task_prefers_a_worker_on_which_it_has_not_failed(rooms):
    job_registry, state = _waiting(Step(1, Amounts(1500, 100), is_lasting=True))
    (run,) = _place(job_registry, state, rooms)
    rooms.get(run.worker).release(run)
    _fail_once(job_registry, state, run)
    (again,) = _place(job_registry, state, rooms)
    assert again.worker != run.worker


def test_task_that_waits_for_another_worker_does_not_block_others(rooms):
    """Guards against a failed task that blocks the other tasks of its step.

    It failed on the only worker with room and comes first in the order. The tasks
    behind it have not failed on any worker, and must be placed.
    """
    job_registry, state = _waiting(Step(2, Amounts(1500, 100)))
    first, second = _place(job_registry, state, rooms)
    for run in (first, second):
        rooms.get(run.worker).release(run)
    _fail_once(job_registry, state, first)
    job_registry.drop_run(second, 2.0)
    other = "w2" if first.worker == "w1" else "w1"
    _fill_worker(rooms, other, 4)
    (again,) = _place(job_registry, state, rooms)
    assert (again.key.index, again.worker) == (second.key.index, first.worker)
