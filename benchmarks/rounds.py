"""Time one round of decisions by workers and waiting steps.

Run as ``python -m benchmarks.rounds [--json]``. Half of the waiting steps have valid
tickets, a quarter have expired ones. The workers named by tickets, half of all but 100
at most, are full; the others are free. Each figure is the shortest of several runs:
``idle_ms`` a round in which nothing has changed, ``one_ms`` a round that places the one
task of a job that has just got its advice, ``full_ms`` a round a tenth of a second
later, ``tick_ms`` the periodic work done ten times a second, ``stops_ms`` the part of
it that selects tasks to stop for steps that have waited. With teams, the jobs belong
to them in turn, and every second team has as much running as it may.
"""

import itertools
import time

from benchmarks.tables import print_rows
from papayapick.jobs import AdvicePolicy, Queue
from papayapick.ledger import Amounts
from tests.pool.standins import PoolSimulation

WORKERS = (100, 270, 540, 1000)
STEPS = (100, 400, 1500)
TEAM_WORKERS = 540
TEAM_STEPS = (400, 20_000)
TEAMS = (0, 20, 670)
ROUNDS = 9
TASKS = 6
WAITED_SECONDS = 1.0
FULL_ROUND_SECONDS = 0.101
WORKERS_PER_CALL = 100
QUEUE = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.02, 0, 2.5)
)


def main():
    sizes = [(*size, 0) for size in itertools.product(WORKERS, STEPS)]
    sizes += itertools.product([TEAM_WORKERS], TEAM_STEPS, TEAMS)
    print_rows([measure(*size) for size in sizes])


def measure(workers, steps, teams):
    load = PoolSimulation(workers=workers, length=1.0)
    owner = load.owner
    names = _configure(owner, teams)
    owner.host.queue_of = lambda document: QUEUE
    owner.advice_manager._cache._ask = lambda key, names, expected: None
    for number in range(steps):
        team = names[number % teams] if teams else ""
        load.submit_job(tasks=TASKS, estimate=1.0, queue=QUEUE, team=team)
    names = list(load.workers)
    full = names[: min(workers // 2, WORKERS_PER_CALL)]
    for number, step in enumerate(owner.job_registry.waiting_steps()):
        if number % 2:
            _advise(owner, step, full, load.now)
        elif number % 4 == 0:
            _advise(owner, step, full[:3], load.now - 5.0)
    for _ in range(2):
        # The second round sees what the first has placed.
        owner.decisions.place(load.now)
    return {
        "workers": workers,
        "teams": teams,
        "waiting": len(owner.job_registry.waiting_steps()),
        "idle_ms": _milliseconds(owner.decisions.place, load.now),
        "one_ms": _place_one(load, names[-len(full) :]),
        "full_ms": _full_round(load),
        "tick_ms": _milliseconds(owner.tick, load.now),
        "stops_ms": _milliseconds(owner.decisions.preempt, load.now + WAITED_SECONDS),
    }


def _configure(owner, teams):
    """Give every second team a maximum below one task; return the names of all."""
    names = [f"team-{number}" for number in range(teams)]
    maxima = {name: {"processors": 10**9 * (n % 2)} for n, name in enumerate(names)}
    owner.team_usage.set_maxima(1, maxima)
    for name in names[::2]:
        owner.team_usage.add(name, Amounts(1))
    return names


def _place_one(load, names):
    """Return the milliseconds of a round that places one task."""
    took = []
    for _ in range(ROUNDS):
        identifier = load.submit_job(tasks=1, estimate=1.0, queue=QUEUE)
        (step,) = load.owner.job_registry.get(identifier).steps()
        _advise(load.owner, step, names, load.now)
        took.append(_milliseconds(load.owner.decisions.place, load.now, 1))
        assert len(step.active_runs()) == 1
    return min(took)


def _full_round(load):
    took = []
    for _ in range(ROUNDS):
        load.host.clock.advance(FULL_ROUND_SECONDS)
        took.append(_milliseconds(load.owner.decisions.place, load.now, 1))
    return min(took)


def _advise(owner, step, names, now):
    owner.advice_manager.request(step, owner.now())
    tickets = dict.fromkeys(names, "t")
    owner.advice_manager._cache.note_answer(step.key, tickets, QUEUE.advice, now)


def _milliseconds(step, now, rounds=ROUNDS):
    took = []
    for _ in range(rounds):
        begin = time.perf_counter()
        step(now)
        took.append(time.perf_counter() - begin)
    return 1000 * min(took)


if __name__ == "__main__":
    main()
