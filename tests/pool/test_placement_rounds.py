"""Rounds that examine only the steps whose situation has changed."""

import random

import pytest

from papayapick.jobs import AdvicePolicy, Queue, Step
from papayapick.ledger import Amounts
from papayapick.pool.rounds.placement_rounds import PlacementRounds
from tests.pool.standins import PoolSimulation

WORKERS = 12
SECONDS = 0.4
POLICY = AdvicePolicy(0.02, 0, 0.6)


def queue(priority, policy=POLICY):
    return Queue("q", "h", "/q/", "pool", priority, 2, 1.5, 0.5, 3.0, False, policy)


class AdvisedLoad:
    """A pool above its capacity, whose steps may run on half of the workers each."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.load = PoolSimulation(workers=WORKERS, length=SECONDS, long_share=0.2)
        self.owner = self.load.owner
        self.requests = []
        cache = self.owner.advice_manager._cache
        cache._ask = lambda key, names, expected: self.requests.append((key, names))

    def submit(self):
        draw = self.draw
        step = Step(draw.randint(1, 4), Amounts(draw.choice((500, 1000)), 10), SECONDS)
        policy = draw.choice((POLICY, POLICY, None))
        self.load.submit_step(step, queue(draw.randint(0, 2), policy))

    def answer(self):
        """Answer some requests for advice; one in ten fails."""
        cache = self.owner.advice_manager._cache
        asked, self.requests = self.requests, []
        for key, names in asked:
            if self.draw.random() < 0.3:
                self.requests.append((key, names))
            elif self.draw.random() < 0.1:
                cache.note_failure(key, names)
            else:
                good = self.draw.sample(names, len(names) // 2)
                tickets = dict.fromkeys(good, "t")
                cache.note_answer(key, tickets, POLICY, self.load.now, names)

    def disturb(self):
        """Close, open or suspect a worker."""
        room = self.draw.choice(list(self.owner.rooms))
        if self.draw.random() < 0.5:
            room.is_open = not room.is_open
        else:
            room.mark_suspected(self.load.now, 0.3, is_failing=True)

    def advance(self):
        for _ in range(self.draw.randint(0, 3)):
            self.submit()
        self.answer()
        if self.draw.random() < 0.3:
            self.disturb()
        self.load.run(self.load.STEP_SECONDS)

    def examine_all(self):
        """Examine all steps again; return the number of tasks this places.

        What time alone changes, such as the room kept for urgent steps, stays as it is.
        """
        self.owner.job_registry.step_queue.note_policy_change()
        with self.owner.lock:
            self.owner.decisions.place(self.load.now)
        return len(self.owner.decisions.take_unsent())


@pytest.mark.parametrize("seed", range(20))
def test_round_leaves_no_task_that_an_examination_of_all_would_place(seed):
    """Guards against a step that is taken for unchanged while a worker is free."""
    load = AdvisedLoad(seed)
    for _ in range(60):
        load.advance()
        assert load.examine_all() == 0
    assert load.load.submitted_at


@pytest.fixture
def examined(monkeypatch):
    """Return the list that receives the steps that rounds examine."""
    steps = []
    examine = PlacementRounds._examine

    def record(rounds, step):
        steps.append(step)
        examine(rounds, step)

    monkeypatch.setattr(PlacementRounds, "_examine", record)
    return steps


def test_round_examines_nothing_if_nothing_has_changed(examined):
    """Guards against rounds that use a processor while hundreds of steps wait."""
    load = PoolSimulation(workers=WORKERS, length=SECONDS)
    for _ in range(200):
        load.submit_job(tasks=4, estimate=SECONDS)
    load.run(load.STEP_SECONDS)
    owner = load.owner
    owner.decisions.place(load.now)
    examined.clear()
    owner.decisions.place(load.now)
    assert examined == []


def test_freed_worker_is_offered_only_to_steps_that_may_use_it(examined):
    """Guards against a report that makes its round examine all waiting steps."""
    load = PoolSimulation(workers=2, length=SECONDS)
    owner = load.owner
    cache = owner.advice_manager._cache
    cache._ask = lambda key, names, expected: None
    for number in range(40):
        identifier = load.submit_job(tasks=8, queue=queue(0))
        (step,) = owner.job_registry.get(identifier).steps()
        owner.advice_manager.request(step, load.now)
        tickets = {f"w{number % 2}": "t"}
        cache.note_answer(step.key, tickets, POLICY, load.now)
    owner.decisions.place(load.now)
    examined.clear()
    room = owner.rooms.get("w1")
    room.release(next(iter(room.runs.values())))
    owner.decisions.place(load.now)
    assert [step.active_runs()[-1].worker for step in examined] == ["w1"]


def test_step_whose_turn_comes_requests_advice_at_once():
    """Guards against room that stays unused until the next full round."""
    load = PoolSimulation(workers=2, length=60.0)
    owner = load.owner
    requests = []
    cache = owner.advice_manager._cache
    cache._ask = lambda key, names, expected: requests.append((key, names))
    load.submit_job(tasks=8, queue=queue(0, None))
    owner.decisions.place(load.now)
    for _ in range(10):
        load.submit_job(tasks=1, queue=queue(0))
    owner.decisions.place(load.now)
    assert len(requests) == 1
    room = next(iter(owner.rooms))
    for run in list(room.runs.values())[:2]:
        room.release(run)
    owner.decisions.place(load.now)
    assert len(requests) == 3


def test_hold_ends_when_its_step_waits_no_more():
    """Guards against a worker that stays held for a job that was cancelled."""
    load = PoolSimulation(workers=1, length=SECONDS)
    owner = load.owner
    load.submit_step(Step(3, Amounts(1000, 10), SECONDS))
    owner.decisions.place(load.now)
    large = load.submit_step(Step(1, Amounts(4000, 10), SECONDS), queue(0, None))
    owner.decisions.place(load.now)
    (room,) = owner.rooms
    assert room.hold is not None
    load.submit_step(Step(1, Amounts(1000, 10), 60.0), queue(1, None))
    owner.decisions.place(load.now)
    assert len(room.runs) == 3
    owner.job_registry.cancel(large, load.now)
    owner.decisions.place(load.now)
    assert room.hold is None
    assert len(room.runs) == 4


def test_tickets_that_expire_while_the_workers_are_full_are_requested_again():
    """Guards against a step that is never examined again after its advice expired."""
    load = PoolSimulation(workers=2, length=60.0)
    owner = load.owner
    requests = []
    cache = owner.advice_manager._cache
    cache._ask = lambda key, names, expected: requests.append((key, names))
    load.submit_job(tasks=8, queue=queue(0, None))
    load.submit_job(tasks=1, queue=queue(0))
    owner.decisions.place(load.now)
    ((key, names),) = requests
    cache.note_answer(key, dict.fromkeys(names, "t"), POLICY, load.now, names)
    owner.decisions.place(load.now)
    for room in owner.rooms:
        room.release(next(iter(room.runs.values())))
        room.is_open = False
    load.host.clock.advance(POLICY.valid_seconds)
    for room in owner.rooms:
        room.is_open = True
    owner.decisions.place(load.now)
    assert len(requests) == 2
