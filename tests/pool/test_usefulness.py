"""Steps for which a request for advice is useful."""

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

# A lasting task counts as unavailable from 6 s after its last run.
AWAY_SECONDS = 6.0


def test_advice_is_useless_for_a_step_with_all_workers_it_may_use():
    """Guards against needless requests that delay those for steps which can be placed.

    Each worker runs as many tasks of the step as may run together there, and has room
    left, so the step's other tasks wait. Renewing its outdated advice took nearly one
    second of every three.
    """
    host, owner = owner_with(job(tasks=3, tasks_per_worker=1))
    assert len(place(owner)) == 2
    (step,) = owner.job_registry.waiting_steps()
    now = host.clock.monotonic()
    owner.advice_manager._cache._ask = lambda key, workers, expected: None
    owner.advice_manager._cache.request(step.key, POLICY, ["w1", "w2"], now)
    owner.advice_manager._cache.note_answer(
        step.key, {"w1": "t", "w2": "t"}, POLICY, now
    )
    assert not owner.advice_manager.is_useful(step)


def test_lasting_task_is_placed_beside_urgent_steps_that_fit_nowhere():
    """Guards against a lasting task that waits behind twenty urgent steps.

    All workers may run the urgent steps, but each has one core free and they need
    three. Their repeated requests for advice must not count as if they took all room.
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
