"""The index of free room, compared with a search of all workers on random states."""

import itertools
import random

import pytest

from papayapick.jobs import JobDocument, JobRegistry, Queue, Step
from papayapick.ledger import Amounts
from papayapick.placement.order.service_order import ServiceOrder
from papayapick.placement.release.holds import Hold
from papayapick.placement.rooms.rooms import Rooms, WorkerRoom
from papayapick.placement.rooms.tier_preference import AnyTier
from papayapick.pool.workers.reports import Registration
from papayapick.speeds import SpeedTier
from tests.placement.rooms import reference

SEEDS = range(60)
CHANGES = 40
RACKS = ("r1-1", "r1-2", "r1-3", "none")


def _queue(priority):
    return Queue("q", "h", "/q/", "pool", priority, 2, 1.5, 0.5, 3.0, False, None)


class RandomPreference(AnyTier):
    """Prefer the classes of workers in a random order, the same for a step."""

    def tiers(self, step_state):
        if step_state.step.is_filler or step_state.step.is_lasting:
            return ()
        draw = random.Random(str(step_state.key))
        return tuple(draw.sample(list(SpeedTier), len(SpeedTier)))


class RandomPool:
    """Workers of unlike size whose runs, marks and holds change at random."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.rooms = Rooms()
        self.job_registry = JobRegistry()
        self._identifiers = (f"{number:016x}" for number in itertools.count())
        self._names = (f"w{number}" for number in itertools.count())
        self._runs = []
        for _ in range(self.draw.choice((3, 12, 40))):
            self._add_room()

    def waiting_step(self, now=0.0):
        """Return a waiting step with random needs."""
        draw = self.draw
        is_gang = draw.random() < 0.2
        step = Step(
            draw.randint(1, 4),
            self._demand(),
            draw.choice((0.0, 0.5, 3.0)),
            is_gang=is_gang,
            label=draw.choice(("", "", "a")),
            preferred_rack=draw.choice(("", "", *RACKS)),
            tasks_per_worker=draw.choice((0, 0, 1)),
            is_lasting=not is_gang and draw.random() < 0.2,
            is_filler=not is_gang and draw.random() < 0.2,
        )
        document = JobDocument(next(self._identifiers), "q", "pool", "t", [step], 0.0)
        job = self.job_registry.add(document, _queue(draw.randint(0, 2)), now)
        (state,) = job.steps()
        names = [room.worker for room in self.rooms]
        for task in state.tasks:
            task.failed_on.update(draw.sample(names, draw.choice((0, 0, 1, 2))))
            task.avoid.update(draw.sample(names, draw.choice((0, 0, 1, 2))))
        return state

    def allowed(self):
        """Return the workers that may run a step; None for all."""
        names = [room.worker for room in self.rooms]
        count = self.draw.randint(0, len(names))
        return self.draw.choice((None, set(self.draw.sample(names, count))))

    def change(self):
        """Change one worker."""
        room = self.draw.choice(list(self.rooms))
        change = self.draw.choice(
            (self._start, self._start, self._end, self._mark, self._hold, self._replace)
        )
        change(room)

    def _add_room(self):
        draw = self.draw
        capacity = Amounts(draw.choice((4000, 8000)), 4000, draw.choice((0, 0, 2)))
        labels = (draw.choice("ab"), draw.choice(RACKS))
        name = next(self._names)
        room = WorkerRoom(Registration(name, "pool", "a:1", "z", capacity, labels))
        room.is_open = draw.random() < 0.8
        self.rooms.add(room)

    def _demand(self):
        draw = self.draw
        return Amounts(
            draw.randint(1, 6) * 500, draw.randint(1, 4) * 250, draw.choice((0, 0, 1))
        )

    def _start(self, room):
        state = self.waiting_step()
        if not room.has_room(state.step.room_demand):
            return
        run = self.job_registry.begin_run(state, 0, room.worker, 0.0)
        room.reserve(run)
        self._runs.append((room, run))

    def _end(self, _):
        if self._runs:
            room, run = self._runs.pop(self.draw.randrange(len(self._runs)))
            room.release(run)

    def _mark(self, room):
        kind = self.draw.choice(("open", "suspected", "failing", "healthy"))
        if kind == "open":
            room.is_open = not room.is_open
        elif kind == "healthy":
            room.expire_suspicion(100.0)
        else:
            room.mark_suspected(0.0, 3.0, is_failing=kind == "failing")

    def _hold(self, room):
        if room.hold is None:
            room.hold = Hold(("other", 0, 0), 1.0, Amounts(500, 500))
        else:
            room.drop_hold()

    def _replace(self, room):
        if len(self.rooms) > 2:
            self.rooms.remove(room.worker)
            self._add_room()


@pytest.mark.parametrize("seed", SEEDS)
def test_worker_is_the_one_that_a_search_of_all_workers_finds(seed):
    """Guards against an index that hides a worker, or prefers a worse one."""
    pool = RandomPool(seed)
    for _ in range(CHANGES):
        pool.change()
        state, allowed = pool.waiting_step(), pool.allowed()
        rack = pool.draw.choice((None, None, *RACKS))
        found = pool.rooms.choose(state, 0, allowed, rack)
        assert found is reference.choose(pool.rooms, state, 0, allowed, rack)


@pytest.mark.parametrize("seed", SEEDS)
def test_worker_of_the_first_class_is_the_one_that_a_search_finds(seed):
    """Guards against an index by class of speed that loses a worker.

    A worker whose class changes would be filed under both classes, or under none.
    """
    pool = RandomPool(seed)
    pool.rooms.preference = RandomPreference()
    for _ in range(CHANGES):
        pool.change()
        pool.draw.choice(list(pool.rooms)).tier = pool.draw.choice(list(SpeedTier))
        rooms, state, allowed = pool.rooms, pool.waiting_step(), pool.allowed()
        rack = pool.draw.choice((None, None, *RACKS))
        found = rooms.choose(state, 0, allowed, rack)
        assert found is reference.choose(rooms, state, 0, allowed, rack)
        tiers = rooms.preference.tiers(state)
        expected = reference.most_free(rooms, state.step, tiers)
        assert list(rooms.most_free(state.step, tiers)) == expected
        assert rooms.free_processors == reference.free_processors(rooms)


@pytest.mark.parametrize("seed", SEEDS)
def test_classes_of_workers_do_not_matter_without_a_preference(seed):
    """Guards against lasting tasks and fillers placed differently by speed."""
    pool = RandomPool(seed)
    for _ in range(CHANGES):
        pool.change()
        pool.draw.choice(list(pool.rooms)).tier = pool.draw.choice(list(SpeedTier))
        state = pool.waiting_step()
        expected = reference.choose(pool.rooms, state, 0)
        assert pool.rooms.choose(state, 0) is expected
        worst = sorted(
            (room for room in pool.rooms if room.is_open),
            key=lambda one: (
                -one.accelerators,
                -one.processors,
                -one.memory,
                -one.number,
            ),
        )
        assert list(pool.rooms.worst_fit()) == worst


@pytest.mark.parametrize("seed", SEEDS)
def test_no_preference_leaves_a_task_without_a_worker(seed):
    """Guards against a step that waits for a fast worker while a slow one has room."""
    pool = RandomPool(seed)
    for _ in range(CHANGES):
        pool.change()
        pool.draw.choice(list(pool.rooms)).tier = pool.draw.choice(list(SpeedTier))
        state, allowed = pool.waiting_step(), pool.allowed()
        pool.rooms.preference = AnyTier()
        before = pool.rooms.choose(state, 0, allowed)
        pool.rooms.preference = RandomPreference()
        found = pool.rooms.choose(state, 0, allowed)
        assert (found is None) == (before is None)


@pytest.mark.parametrize("seed", SEEDS)
def test_free_room_is_what_a_search_of_all_workers_finds(seed):
    """Guards against totals that drift from the workers as these change."""
    pool = RandomPool(seed)
    for _ in range(CHANGES):
        pool.change()
        rooms, state = pool.rooms, pool.waiting_step()
        excluded = pool.allowed() or ()
        assert rooms.has_room_for(state, excluded) == reference.has_room_for(
            rooms, state, excluded
        )
        expected = reference.most_free(rooms, state.step)
        assert list(rooms.most_free(state.step)) == expected
        assert rooms.open_count() == sum(room.is_open for room in rooms)
        assert rooms.able_count(state.step) == len(rooms.able(state.step))
        assert rooms.free_processors == reference.free_processors(rooms)
        assert rooms.capacity_processors == sum(
            room.registration.capacity.processors for room in rooms
        )


def test_trial_reservation_leaves_the_index_as_it_was():
    """Guards against a gang's trial that files a worker under room it does not have."""
    pool = RandomPool(1)
    state = pool.waiting_step()
    room = next(one for one in pool.rooms if one.is_open)
    before = pool.rooms.free_processors
    run = pool.job_registry.begin_run(state, 0, room.worker, 0.0)
    room.reserve(run)
    room.release(run)
    assert pool.rooms.free_processors == before


def test_rooms_that_gained_room_are_told_once():
    pool = RandomPool(1)
    room = next(one for one in pool.rooms if one.is_open)
    pool.rooms.take_freed()
    run = pool.job_registry.begin_run(pool.waiting_step(), 0, room.worker, 0.0)
    room.reserve(run)
    assert pool.rooms.take_freed() == set()
    room.release(run)
    assert pool.rooms.take_freed() == {room}
    assert pool.rooms.take_freed() == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_kept_order_is_that_of_a_sort(seed):
    """Guards against a step that keeps its place after it has become less urgent."""
    pool = RandomPool(seed)
    queue, order = pool.job_registry.step_queue, ServiceOrder()
    now = 0.0
    for _ in range(CHANGES):
        now += pool.draw.uniform(0.0, 1.0)
        pool.waiting_step(now)
        step = pool.draw.choice(queue.steps())
        if pool.draw.random() < 0.3:
            for index in list(step.waiting):
                pool.job_registry.begin_run(step, index, "w0", now)
        elif pool.draw.random() < 0.5:
            step.held_on = {} if step.held_on else {"w0": now}
            queue.note_change(step)
        order.update(queue.take_changes(), queue.get, now)
        assert list(order) == reference.order_steps(queue.steps(), now)
