"""Measure how long a new owner takes to load the state of a pool, by number of jobs.

Run as ``python -m benchmarks.takeover [--json]``. A stand-in serves the store over HTTP
on loopback. Nine of ten jobs have ended, as ended jobs are retained for two minutes;
the others have two steps of six tasks, of which the first is running. ``load_s`` is the
time from the claim until all jobs are loaded, ``place_s`` that of the first round of
decisions, ``tick_ms`` that of a later tick, ``memory_mb`` the growth of the process,
``calls`` the number of calls to the store.
"""

import resource
import time

from benchmarks.tables import print_rows
from papayapick.clients.http import HttpPool
from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform.store import Store
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.partitions import job_partition
from tests.pool.standins import Host, ManualExecutor
from tests.standins.cluster import Cluster

SIZES = (100, 1_000, 10_000)
WORKERS = 24
ROUNDS = 20
POOL = "pool"


def main():
    print_rows([measure(jobs) for jobs in SIZES])


def measure(jobs):
    cluster = Cluster()
    try:
        fill(cluster, jobs)
        return take_over(cluster, jobs)
    finally:
        cluster.close()


def fill(cluster, jobs):
    for number in range(jobs):
        identifier = f"{number:016x}"
        steps = [Step(6, Amounts(1000, 1000)), Step(6, Amounts(1000, 1000), after=[0])]
        document = JobDocument(identifier, "q", POOL, "x" * 300, steps, 0.0)
        partition = job_partition(POOL, identifier)
        cluster.rows.write(JOBS_TABLE, partition, identifier, document.as_record())
        cluster.rows.write(PROGRESS_TABLE, POOL, identifier, progress(number))
    for number in range(WORKERS):
        cluster.add_worker(f"w{number}")


def progress(number):
    if number % 10:
        return {"status": "completed"}
    indexes = [str(index) for index in range(6)]
    first = {
        "attempts": dict.fromkeys(indexes, 1),
        "places": dict.fromkeys(indexes, f"w{number % WORKERS}"),
    }
    return {"status": "running", "occurrences": {"0": [first, {}]}}


def take_over(cluster, jobs):
    calls = []
    host = Host()
    host.store = Store(
        cluster.address, HttpPool(5.0), observe=lambda *call: calls.append(call)
    )
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.monotonic()
    owner = PoolOwner(host, PoolRow(POOL, "h1", 3, "a:1", 9), True)
    owner._executor.shutdown()
    owner._order_executor.shutdown()
    owner._stop_executor.shutdown()
    owner._executor, owner.orders._executor = ManualExecutor(), ManualExecutor()
    owner.orders._stop_executor = ManualExecutor()
    owner.store_sync.load()
    loaded = time.monotonic()
    owner.tick(owner.now())
    owner.decisions.place(owner.now())
    placed = time.monotonic()
    for _ in range(ROUNDS):
        owner.tick(owner.now())
    ticked = time.monotonic()
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    return {
        "jobs": jobs,
        "load_s": loaded - began,
        "place_s": placed - loaded,
        "tick_ms": (ticked - placed) / ROUNDS * 1000,
        "memory_mb": grown / 1024,
        "calls": len(calls),
    }


if __name__ == "__main__":
    main()
