"""Processor time of an owner's decisions, by number of workers.

Run as ``python -m benchmarks.choosing [--json]``. A simulation submits 40 jobs of ten
tasks a second for three simulated seconds; ``seconds`` is the lowest processor time of
three simulations, including the simulated workers.
"""

import time

from benchmarks.tables import print_rows
from tests.pool.standins import PoolSimulation

SIZES = (24, 176)
ROUNDS = 3
STEPS = 60


def main():
    print_rows([measure(workers) for workers in SIZES])


def measure(workers):
    return {
        "workers": workers,
        "starts": STEPS * 2 * 10,
        "seconds": min(replay(workers) for _ in range(ROUNDS)),
    }


def replay(workers):
    load = PoolSimulation(workers=workers, length=0.8)
    began = time.process_time()
    for _ in range(STEPS):
        load.submit_job(tasks=10)
        load.submit_job(tasks=10)
        load.run(0.05)
    return time.process_time() - began


if __name__ == "__main__":
    main()
