"""Time one round of decisions by workers and waiting steps.

Run as ``python -m benchmarks.rounds [--json]``. Half of the waiting steps have valid
tickets, a quarter have expired ones. The workers named by tickets, half of all, are
full; the others are free. ``round_ms`` is the shortest of five rounds, ``tick_ms`` the
periodic work done ten times a second, ``stops_ms`` the part of it that selects tasks to
stop for steps that have waited.
"""

import time

from benchmarks.tables import print_rows
from papayapick.jobs import AdvicePolicy, Queue
from tests.pool.standins import PoolSimulation

SIZES = ((25, 100), (176, 300), (176, 1500), (176, 3000))
ROUNDS = 5
TASKS = 6
WAITED_SECONDS = 1.0
QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


def main():
    print_rows([measure(workers, steps) for workers, steps in SIZES])


def measure(workers, steps):
    load = PoolSimulation(workers=workers, length=1.0)
    owner = load.owner
    owner.host.queue_of = lambda document: QUEUE
    owner.advice_manager._cache._ask = lambda key, names, expected: None
    for _ in range(steps):
        load.submit_job(tasks=TASKS, estimate=1.0, queue=QUEUE)
    names = list(load.workers)
    for number, step in enumerate(owner.job_registry.waiting_steps()):
        if number % 2:
            _advise(owner, step, names[: workers // 2], load.now)
        elif number % 4 == 0:
            _advise(owner, step, names[:3], load.now - 5.0)
    owner.decisions.place(load.now)
    return {
        "workers": workers,
        "waiting": len(owner.job_registry.waiting_steps()),
        "round_ms": _milliseconds(owner.decisions.place, load.now),
        "tick_ms": _milliseconds(owner.tick, load.now),
        "stops_ms": _milliseconds(owner.decisions.preempt, load.now + WAITED_SECONDS),
    }


def _advise(owner, step, names, now):
    owner.advice_manager.request(step, owner.now())
    tickets = dict.fromkeys(names, "t")
    owner.advice_manager._cache.note_answer(step.key, tickets, QUEUE.advice, now)


def _milliseconds(step, now):
    took = []
    for _ in range(ROUNDS):
        begin = time.perf_counter()
        step(now)
        took.append(time.perf_counter() - begin)
    return 1000 * min(took)


if __name__ == "__main__":
    main()
