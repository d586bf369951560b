"""Jobs in time and core-seconds lost by the way to make room for urgent jobs.

Random jobs of an urgent and a patient queue, with bursts of either, on 30 workers of
four cores; see ``tests/pool/test_urgent_stops.py``. What is lost is the time to restore
the stopped tasks. Run as ``python -m benchmarks.stops [--json]``.
"""

from benchmarks.tables import print_rows
from papayapick.overload.stops import FewestStops
from tests.pool.test_urgent_stops import (
    PATIENT,
    PATIENT_SECONDS,
    URGENT,
    URGENT_SECONDS,
    BurstLoad,
)

SEEDS = range(6)
WAYS = {
    "one at a time": lambda: BurstLoad(is_in_use=False),
    "fewest stops": lambda: BurstLoad(order=FewestStops()),
    "least loss": BurstLoad,
}
LATE_FACTOR, LATE_WORTH = 3.0, 0.2


def main():
    print_rows([_row(name, build) for name, build in WAYS.items()])


def _row(name, build):
    loads, shares = [], []
    for seed in SEEDS:
        burst = build()
        shares.append(burst.run(seed))
        loads.append(burst)
    worths = [entry for burst in loads for entry in _worths(burst)]
    return {
        "way": name,
        "urgent_in_time": sum(one for one, _ in shares) / len(shares),
        "patient_in_time": sum(one for _, one in shares) / len(shares),
        "worth": sum(worth for _, worth in worths) / sum(size for size, _ in worths),
        "lost_core_seconds": sum(burst.lost for burst in loads) / len(loads),
        "stops": sum(burst.load.stops for burst in loads) / len(loads),
    }


def _worths(burst):
    """Yield the core-seconds of each job, and what it is worth of them."""
    load = burst.load
    for identifiers, queue, seconds in (
        (burst.urgent, URGENT, URGENT_SECONDS),
        (burst.patient, PATIENT, PATIENT_SECONDS),
    ):
        objective = queue.stretch * seconds + queue.objective_seconds
        for one in identifiers:
            (step,) = load.owner.job_registry.get(one).document.steps
            size = step.tasks * step.demand.processors / 1000 * seconds
            took = load.finished[one] - load.submitted_at[one]
            if took <= objective:
                yield size, size
            else:
                yield size, LATE_WORTH * size * (took <= LATE_FACTOR * objective)


if __name__ == "__main__":
    main()
