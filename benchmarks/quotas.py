"""Share one shard among 670 teams: fairness, and the time to reclaim a share.

Run as ``python -m benchmarks.quotas [--json]``. Every second team submits more than its
quota from the start and borrows the rest; the others start after an hour and demand
their whole quota. The queue is processed twice a second, as in the placer; a checkpoint
takes two seconds.
"""

import heapq
import time

import numpy

from benchmarks.tables import percentile, print_rows
from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import (
    ArrivalOrder,
    DeadlineOrder,
    JobQueue,
    WaitingJob,
)
from papayapick.quotas import QuotaTracker, fairness_index

SEED = 670
TEAMS = 670
WORKERS = 120
CAPACITY = Amounts(16000, 65536)
DEMAND = Amounts(1000, 4096)
RECLAIM_AT, END = 3600.0, 5400.0
PASS_SECONDS = 0.5
CHECKPOINT_SECONDS = 2.0
RUN_SECONDS = 1800.0
# A team has reclaimed its share once it uses this part of it.
RECLAIMED_SHARE = 0.9


class Teams:
    """Simulate teams that submit jobs continuously, so that each has waiting jobs."""

    def __init__(self, policy_name):
        self.generator = numpy.random.default_rng(SEED)
        weights = self.generator.pareto(1.5, TEAMS) + 1
        total = WORKERS * CAPACITY.processors
        self.quotas = {
            f"team-{n}": max(1000, int(total * w / weights.sum()) // 1000 * 1000)
            for n, w in enumerate(weights)
        }
        self.ledger = HostLedger()
        for number in range(WORKERS):
            self.ledger.add(f"worker-{number}", CAPACITY)
            self.ledger.open(f"worker-{number}")
        self.tracker = QuotaTracker()
        has_quotas = policy_name != "no quotas"
        if has_quotas:
            teams = {name: {"processors": q} for name, q in self.quotas.items()}
            self.tracker.set_quotas("bundle", teams, 1)
        order = DeadlineOrder() if has_quotas else ArrivalOrder()
        self.queue = JobQueue(self.ledger, order=order, quotas=self.tracker)
        self.has_pauses = policy_name == "quotas, pauses"
        self.events, self.number = [], 0
        self.waiting = dict.fromkeys(self.quotas, 0)
        self.held = dict.fromkeys(self.quotas, 0)
        self.reclaimed_after = {}
        self.spent, self.pauses = [], 0

    def run(self):
        """Process the queue twice a second and return the fairness index by minute."""
        now, first = 0.0, [name for n, name in enumerate(self.quotas) if n % 2]
        active = set(first)
        indexes = []
        while now < END:
            now += PASS_SECONDS
            if now >= RECLAIM_AT:
                active = set(self.quotas)
            self._submit_jobs(active, now)
            self._end(now)
            began = time.perf_counter()
            starts = self.queue.choose_starts(now)
            paused = self.queue.choose_pauses(now) if self.has_pauses else ()
            self.spent.append(time.perf_counter() - began)
            self._record_pass(now, starts, paused)
            if now >= RECLAIM_AT:
                self._record_reclaimed(first, now)
            if now % 60 == 0 and now > 1800:
                indexes.append(fairness_index(self._shares(active)))
        return indexes

    def _shares(self, active):
        return [min(1.0, self.held[t] * 1000 / self.quotas[t]) for t in sorted(active)]

    def _submit_jobs(self, active, now):
        for team in sorted(active):
            wanted = 2 * self.quotas[team] // 1000
            while self.waiting[team] < min(20, wanted):
                self.number += 1
                self.waiting[team] += 1
                self.queue.add(self._job(team, now))

    def _job(self, team, now):
        return WaitingJob(
            f"job-{self.number}",
            DEMAND,
            run_seconds=RUN_SECONDS * 2,
            arrival=now,
            deadline=now + 86400,
            can_pause=True,
            team=team,
        )

    def _end(self, now):
        while self.events and self.events[0][0] <= now:
            _, _, kind, running = heapq.heappop(self.events)
            if kind == "end" and running.is_pausing:
                continue
            self.queue.finish(running.job.name)
            self.held[running.job.team] -= 1
            if kind == "paused":
                self.queue.add(running.job.requeued())
                self.waiting[running.job.team] += 1

    def _record_pass(self, now, starts, paused):
        for start in starts:
            self.held[start.job.team] += 1
            self.waiting[start.job.team] -= 1
            seconds = float(self.generator.uniform(0.2, 1.8)) * RUN_SECONDS
            self._later(now + seconds, "end", start)
        for running in paused:
            self.pauses += 1
            self._later(now + CHECKPOINT_SECONDS, "paused", running)

    def _later(self, at, kind, running):
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, running))

    def _record_reclaimed(self, first, now):
        for team in self.quotas:
            wanted = RECLAIMED_SHARE * self.quotas[team] / 1000
            if team not in first and self.held[team] >= wanted:
                self.reclaimed_after.setdefault(team, now - RECLAIM_AT)


def row(policy_name):
    teams = Teams(policy_name)
    indexes = teams.run()
    returning = (TEAMS + 1) // 2
    reclaimed_after = list(teams.reclaimed_after.values())
    reclaimed_after += [float("inf")] * (returning - len(reclaimed_after))
    return {
        "policy": policy_name,
        "teams": TEAMS,
        "fairness_before": indexes[(int(RECLAIM_AT) - 60 - 1860) // 60],
        "fairness_at_end": indexes[-1],
        "got_back": len(teams.reclaimed_after),
        "returning": returning,
        "back_median_s": percentile(reclaimed_after, 0.5),
        "back_p90_s": percentile(reclaimed_after, 0.9),
        "pauses": teams.pauses,
        "pass_median_ms": percentile(teams.spent, 0.5) * 1000,
        "pass_p99_ms": percentile(teams.spent, 0.99) * 1000,
    }


def main():
    print_rows([row(name) for name in ("no quotas", "quotas", "quotas, pauses")])


if __name__ == "__main__":
    main()
