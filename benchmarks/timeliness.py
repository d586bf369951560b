"""Share of jobs done in time around and above capacity, by order of the queue.

Run as ``python -m benchmarks.timeliness [--json]``. A simulation of 24 workers with
room for 96 tasks: jobs of ten tasks of 0.8 s arrive for ten seconds at a share of the
pool's capacity. ``in_time`` is the share of jobs done within 1.5 times their run time
plus 0.5 s, ``late`` the share of other jobs done within three times that.
"""

from unittest import mock

from benchmarks.tables import print_rows
from papayapick.placement.steps import order_steps
from tests.pool.standins import QUEUE, PoolSimulation

WORKERS = 24
TASKS = 10
SECONDS = 0.8
# Jobs per second that 96 concurrent tasks of 0.8 s amount to.
CAPACITY = WORKERS * 4 / SECONDS / TASKS
SHARES = (0.8, 1.1, 1.4, 2.0)
LOAD_SECONDS = 10.0
TICK_SECONDS = 0.05
OBJECTIVE = QUEUE.stretch * SECONDS + QUEUE.objective_seconds


def main():
    rows = []
    for share in SHARES:
        for name, order in (("arrival", by_arrival), ("timeliness", order_steps)):
            with mock.patch("papayapick.pool.decisions.order_steps", order):
                rows.append({"load": share, "order": name, **measure(share)})
    print_rows(rows)


def by_arrival(steps, now):
    """Return the steps by priority and arrival, the baseline."""
    return sorted(
        steps, key=lambda step: (step.job.queue.priority, step.job.arrived_at, step.key)
    )


def measure(share):
    load = PoolSimulation(workers=WORKERS, length=SECONDS)
    owed = 0.0
    for _ in range(round(LOAD_SECONDS / TICK_SECONDS)):
        owed += share * CAPACITY * TICK_SECONDS
        while owed >= 1:
            load.submit_job(TASKS, estimate=SECONDS)
            owed -= 1
        load.run(TICK_SECONDS)
    load.run(LOAD_SECONDS * 2)
    took = load.job_durations()
    return {
        "in_time": sum(one <= OBJECTIVE for one in took) / len(took),
        "late": sum(OBJECTIVE < one <= 3 * OBJECTIVE for one in took) / len(took),
        "longest_seconds": took[-1],
    }


if __name__ == "__main__":
    main()
