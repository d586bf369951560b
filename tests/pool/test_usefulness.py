"""Whom it is of use to ask advice for."""

from papayapick.jobs import AdvicePolicy, Queue, Step
from papayapick.ledger import Amounts
from tests.pool.advisers import AdvisedHost
from tests.pool.owners import (
    job,
    owner_of,
    owner_with,
    place,
    register,
    report,
)
from tests.pool.takeovers import (
    PEERS,
    POLICY,
    QUEUE,
    WORKERS,
    add_job,
    is_placed,
    run_until,
)

# A lasting task counts as away from 6 s after its last run.
AWAY_SECONDS = 6.0


def test_advice_is_of_no_use_where_no_more_tasks_of_the_step_may_run():
    """Hosts asked in vain for a step that has all the workers it may have.

    Each of its workers has as many of its tasks as may run together there, and room
    left, so that its other tasks wait. Its advice aged and was asked for again, nearly
    a second every three, before the questions of those that could be placed.
    """
    host, owner = owner_with(job(tasks=3, tasks_per_worker=1))
    assert len(place(owner)) == 2
    (step,) = owner.book.waiting_steps()
    now = host.clock.monotonic()
    owner.advice_manager._cache._ask = lambda key, workers, expected: None
    owner.advice_manager._cache.request(step.key, POLICY, ["w1", "w2"], now)
    owner.advice_manager._cache.note_answer(
        step.key, {"w1": "t", "w2": "t"}, POLICY, now
    )
    assert not owner.advice_manager.is_useful(step)


def test_lasting_task_has_its_turn_beside_urgent_steps_that_fit_nowhere():
    """A watcher stays away as long as twenty urgent steps wait for large rooms.

    All workers may run these, each has a core free and they need three. Advice on them
    was asked for again and again and counted as if they would take all the room.
    """
    host = AdvisedHost(PEERS, lambda document: QUEUE)
    for number in range(WORKERS):
        register(host, f"w{number}")
    owner = owner_of(host)
    for number in range(WORKERS):
        report(owner, f"w{number}")
    for room in owner.rooms:
        room.processors = 1000
    quick = AdvicePolicy(0.2, 0.01, 2.0)
    urgent = Queue("u", "h", "/u/", "pool", 0, 4, 2.2, 3.0, 3.0, False, quick)
    for number in range(20):
        add_job(host, owner, number, Step(4, Amounts(3000, 10), 5.0), urgent)
        run_until(host, owner, lambda: False, 0.15)
    add_job(host, owner, 99, Step(1, Amounts(1000, 10), is_lasting=True), QUEUE)
    assert run_until(host, owner, is_placed(owner, 99), 10.0) < AWAY_SECONDS
