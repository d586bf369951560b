"""Compare scheduling policies for small jobs and gangs.

Run as ``python -m benchmarks.gangs [--json]``. The real job queue and ledger process
randomly generated arrivals; the declared bound of a run is one to three times its run
time.
"""

import heapq

import numpy

from benchmarks.tables import percentile, print_rows
from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import (
    ArrivalOrder,
    Backfill,
    DeadlineOrder,
    FirstComeFirstServed,
    FirstThatFits,
    JobQueue,
    WaitingJob,
)

SEED = 31
WORKERS = 64
CAPACITY = Amounts(16000, 65536)
JOBS = 3000
# Share of jobs that are gangs, and the cores of each of their members. A member of a
# rare gang needs a whole worker.
MIXES = {"common gangs": (0.02, 8), "rare gangs": (0.003, 16)}
GANG_MEMBERS = (32, 64)
HOUR = 3600.0


def draw(load, gang_share, gang_cores):
    """Return jobs in order of arrival with their real run times."""
    generator = numpy.random.default_rng(SEED)
    jobs, work = [], 0.0
    drawn = []
    for number in range(JOBS):
        is_gang = generator.random() < gang_share
        members = int(generator.choice(GANG_MEMBERS)) if is_gang else 1
        cores = gang_cores if is_gang else int(generator.choice([1, 2, 4]))
        seconds = float(generator.exponential(600 if is_gang else 300)) + 10
        bound = seconds * float(generator.uniform(1, 3))
        work += members * cores * seconds
        drawn.append((number, members, cores, seconds, bound))
    span = work / (WORKERS * 16 * load)
    arrivals = numpy.sort(generator.random(JOBS)) * span
    for (number, members, cores, seconds, bound), arrival in zip(
        drawn, arrivals, strict=True
    ):
        job = WaitingJob(
            f"job-{number}",
            Amounts(cores * 1000, cores * 4096),
            members,
            bound,
            float(arrival),
            deadline=float(arrival) + 24 * HOUR,
        )
        jobs.append((job, seconds))
    return jobs


def run(policy, order, jobs):
    """Run the arrivals; return waiting times by job, and the late promised starts."""
    ledger = HostLedger()
    for number in range(WORKERS):
        ledger.add(f"worker-{number}", CAPACITY)
        ledger.open(f"worker-{number}")
    queue = JobQueue(ledger, policy, order)
    lasts = {job.name: seconds for job, seconds in jobs}
    events = [(job.arrival, 0, job.name, job) for job, _ in jobs]
    heapq.heapify(events)
    waited, promised, late = {}, {}, 0
    while events:
        now, _, name, job = heapq.heappop(events)
        if job is not None:
            queue.add(job)
        else:
            queue.finish(name)
        for start in queue.choose_starts(now):
            started = start.job.name
            waited[started] = now - start.job.arrival
            late += now > promised.get(started, now) + 1e-6
            heapq.heappush(events, (now + lasts[started], 1, started, None))
        found = getattr(policy, "promised", None)
        if found is not None:
            promised.setdefault(found[0], found[1].time)
    return waited, late


def row(name, policy, order, jobs):
    waited, late = run(policy, order, jobs)
    gangs = [waited[job.name] for job, _ in jobs if job.members > 1]
    small = [waited[job.name] for job, _ in jobs if job.members == 1]
    return {
        "policy": name,
        "gang_median_s": percentile(gangs, 0.5),
        "gang_p99_s": percentile(gangs, 0.99),
        "gang_longest_s": max(gangs),
        "small_median_s": percentile(small, 0.5),
        "small_p99_s": percentile(small, 0.99),
        "small_longest_s": max(small),
        "later_than_promised": late,
    }


def main():
    rows = []
    for mix, (gang_share, gang_cores) in MIXES.items():
        for load in (0.7, 0.9, 1.1):
            jobs = draw(load, gang_share, gang_cores)
            found = [
                row("first come first", FirstComeFirstServed(), ArrivalOrder(), jobs),
                row("first that fits", FirstThatFits(), ArrivalOrder(), jobs),
                row("backfill", Backfill(), DeadlineOrder(), jobs),
            ]
            rows += [{"mix": mix, "load": load, **one} for one in found]
    print_rows(rows)


if __name__ == "__main__":
    main()
