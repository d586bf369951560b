"""Run a day of urgent and deferred jobs on one shard.

Run as ``python -m benchmarks.deferred [--json]``. Urgent jobs follow a daily pattern
with a load spike at opening time; deferred jobs are submitted during the day with
deadlines of hours. A checkpoint takes two seconds before its resources are released,
and the paused job resumes from it. Waiting times of urgent jobs are compared with those
of the same urgent arrivals without deferred jobs.
"""

import heapq
import math

import numpy

from benchmarks.tables import percentile, print_rows
from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import (
    ArrivalOrder,
    Backfill,
    DeadlineOrder,
    FirstComeFirstServed,
    JobQueue,
    WaitingJob,
)

SEED = 77
WORKERS = 48
CAPACITY = Amounts(16000, 65536)
DAY = 86400.0
OPENING, FLASH_SECONDS = 9 * 3600.0, 1800.0
URGENT, DEFERRED = 12000, 1600
CHECKPOINT_SECONDS = 2.0


def draw():
    """Return urgent and deferred jobs with their real run times."""
    generator = numpy.random.default_rng(SEED)
    urgent, deferred = [], []
    for number in range(URGENT):
        seconds = float(generator.exponential(300)) + 2
        cores = int(generator.choice([2, 4, 8]))
        job = WaitingJob(
            f"urgent-{number}",
            Amounts(cores * 1000, cores * 4096),
            run_seconds=seconds * 2,
            arrival=_arrival(generator),
            is_urgent=True,
        )
        urgent.append((job, seconds))
    for number in range(DEFERRED):
        seconds = float(generator.exponential(2400)) + 60
        cores = int(generator.choice([4, 8, 16]))
        arrival = float(generator.uniform(0, DAY * 0.75))
        job = WaitingJob(
            f"deferred-{number}",
            Amounts(cores * 1000, cores * 4096),
            run_seconds=seconds * float(generator.uniform(1, 2)),
            arrival=arrival,
            deadline=arrival + seconds * 2 + float(generator.uniform(2, 10)) * 3600,
            can_pause=True,
        )
        deferred.append((job, seconds))
    return urgent, deferred


def _arrival(generator):
    # A tenth arrives in the load spike; the rest follows the hour of the day.
    if generator.random() < 0.1:
        return OPENING + float(generator.uniform(0, FLASH_SECONDS))
    while True:
        found = float(generator.uniform(0, DAY))
        if generator.random() < 0.5 - 0.45 * math.cos(2 * math.pi * found / DAY):
            return found


class Day:
    """Simulate a day of the generated arrivals with one queue."""

    def __init__(self, jobs, policy, order, has_pauses):
        self.ledger = HostLedger()
        for number in range(WORKERS):
            self.ledger.add(f"worker-{number}", CAPACITY)
            self.ledger.open(f"worker-{number}")
        self.queue = JobQueue(self.ledger, policy, order)
        self.has_pauses = has_pauses
        self.left = {job.name: seconds for job, seconds in jobs}
        self.events = [
            (job.arrival, number, "arrive", job) for number, (job, _) in enumerate(jobs)
        ]
        heapq.heapify(self.events)
        self.number = len(jobs)
        self.began, self.waited, self.ended = {}, {}, {}
        self.pauses = 0

    def run(self):
        """Process all events in order of time."""
        while self.events:
            now, _, kind, found = heapq.heappop(self.events)
            getattr(self, "_" + kind)(now, found)
            for start in self.queue.choose_starts(now):
                self._start(now, start)
            for running in self.queue.choose_pauses(now) if self.has_pauses else ():
                self.pauses += 1
                self._later(now + CHECKPOINT_SECONDS, "paused", running)
        return self

    def _later(self, time, kind, found):
        self.number += 1
        heapq.heappush(self.events, (time, self.number, kind, found))

    def _start(self, now, start):
        name = start.job.name
        self.began[name] = now
        self.waited.setdefault(name, now - start.job.arrival)
        self._later(now + self.left[name], "end", start)

    def _arrive(self, now, job):
        self.queue.add(job)

    def _end(self, now, start):
        # A run that was paused meanwhile ends by a later event.
        if start.is_pausing or start.job.name in self.ended:
            return
        self.ended[start.job.name] = now
        self.queue.finish(start.job.name)

    def _paused(self, now, running):
        name = running.job.name
        self.queue.finish(name)
        ran = now - CHECKPOINT_SECONDS - self.began[name]
        self.left[name] = max(1.0, self.left[name] - ran)
        self.queue.add(running.job.requeued())


def row(name, day, urgent, deferred):
    waits = [day.waited[job.name] for job, _ in urgent]
    late = [job for job, _ in deferred if day.ended[job.name] > job.deadline]
    work = sum(job.demand.processors * s for job, s in urgent + deferred)
    return {
        "policy": name,
        "offered_load": work / (WORKERS * CAPACITY.processors * DAY),
        "urgent_mean_s": sum(waits) / len(waits),
        "urgent_p99_s": percentile(waits, 0.99),
        "urgent_p999_s": percentile(waits, 0.999),
        "urgent_in_2.6s": sum(wait <= 2.6 for wait in waits) / len(waits),
        "deferred": len(deferred),
        "late": len(late),
        "pauses": day.pauses,
    }


def main():
    urgent, deferred = draw()
    both = urgent + deferred
    days = [
        ("urgent alone", Day(urgent, Backfill(), DeadlineOrder(), False), []),
        (
            "first come first served",
            Day(both, FirstComeFirstServed(), ArrivalOrder(), False),
            deferred,
        ),
        ("no pauses", Day(both, Backfill(), DeadlineOrder(), False), deferred),
        ("pauses", Day(both, Backfill(), DeadlineOrder(), True), deferred),
    ]
    print_rows([row(name, day.run(), urgent, late) for name, day, late in days])


if __name__ == "__main__":
    main()
