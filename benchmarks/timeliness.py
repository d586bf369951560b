"""Share of jobs done in time around and above capacity, by order of the queue.

Run as ``python -m benchmarks.timeliness [--json]``. A simulation of 24 workers with
room for 96 tasks: jobs of ten tasks of 0.8 s arrive for ten seconds at a share of the
pool's capacity. ``in_time`` is the share of jobs done within 1.5 times their run time
plus 0.5 s, ``late`` the share of other jobs done within three times that.
"""

from unittest import mock

from benchmarks.tables import print_rows
from papayapick.placement.order.steps import service_key
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
        for name, key in (("arrival", by_arrival), ("timeliness", service_key)):
            with mock.patch(
                "papayapick.placement.order.service_order.service_key", key
            ):
                rows.append({"load": share, "order": name, **measure(share)})
    print_rows(rows)


def by_arrival(step, now):
    """Return the sort key by priority and arrival, the baseline, and its validity."""
    return (step.job.queue.priority, step.job.arrived_at), float("inf")


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
