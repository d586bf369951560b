"""Pack tasks by their declared sizes, or by the observed usage of their kind.

Run as ``python -m benchmarks.estimates [--json]``. The declared size of each kind of
job is wrong by a factor from 0.25 to 8, and the usage of its tasks varies. Usage is
reported 60 s late. There are always waiting jobs; the real ledger and estimates are
used. A task counts as throttled if the usage on its host exceeded its processors at any
time during its run, and as starved likewise for memory.
"""

import heapq

import numpy

from benchmarks.tables import print_rows
from papayapick.estimates import DeclaredEstimate, ObservedQuantile
from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import BestFit

SEED = 5
WORKERS, CAPACITY = 100, Amounts(16000, 65536)
KINDS, STARTS = 40, 40000
LAG_SECONDS = 60.0
WARM_STARTS = 8000


class Tasks:
    """Generate tasks with their kind, declared size, real usage and run time."""

    def __init__(self):
        self.generator = numpy.random.default_rng(SEED)
        draw = self.generator
        self.use = draw.choice([250, 500, 1000, 2000, 4000], KINDS)
        self.memory = self.use * draw.choice([1, 2, 4], KINDS)
        self.error = numpy.exp(draw.uniform(numpy.log(0.25), numpy.log(8), KINDS))

    def next(self):
        """Return kind, declared size, real usage and run time of the next task."""
        kind = int(self.generator.integers(KINDS))
        vary = self.generator.lognormal(0, 0.25, 2)
        used = Amounts(
            min(16000, int(self.use[kind] * vary[0]) + 1),
            min(65536, int(self.memory[kind] * vary[1]) + 1),
        )
        declared = Amounts(
            min(16000, int(self.use[kind] * self.error[kind])),
            min(65536, int(self.memory[kind] * self.error[kind])),
        )
        return kind, declared, used, float(self.generator.exponential(300)) + 10


class Cell:
    """Place tasks whenever one ends, and track the real usage of each host."""

    def __init__(self, policy_of):
        self.ledger = HostLedger()
        for number in range(WORKERS):
            self.ledger.add(f"worker-{number}", CAPACITY)
            self.ledger.open(f"worker-{number}")
        self.policy = policy_of(self.ledger)
        self.used = {name: [0, 0] for name in self.ledger.names}
        self.on_host = {name: set() for name in self.ledger.names}
        self.events, self.now = [], 0.0
        self.throttled, self.starved = set(), set()
        self.area, self.since, self.total = 0.0, 0.0, 0
        self.over = 0

    def run(self):
        """Start all tasks; return the mean share of processors really used."""
        tasks, hosts, number = Tasks(), BestFit(), 0
        waiting = tasks.next()
        while number < STARTS:
            kind, declared, used, seconds = waiting
            demand = self.policy.estimate(kind, declared)
            name = hosts.choose(self.ledger, demand)
            if name is None:
                self._next_event()
                continue
            self.ledger.reserve(name, number, demand)
            self._begin(name, number, used, kind, seconds)
            number += 1
            if number == WARM_STARTS:
                self.area, self.since = 0.0, self.now
            waiting = tasks.next()
        return self.area / (self.now - self.since)

    def _begin(self, name, number, used, kind, seconds):
        self.used[name][0] += used.processors
        self.used[name][1] += used.memory
        self.total += used.processors
        self.on_host[name].add(number)
        if self.used[name][0] > CAPACITY.processors:
            self.throttled |= self.on_host[name]
        if self.used[name][1] > CAPACITY.memory:
            self.starved |= self.on_host[name]
        free = self.ledger.free(name)
        self.over += free.processors < 0 or free.memory < 0
        end = self.now + seconds
        found = (name, number, used, kind)
        heapq.heappush(self.events, (end, 0, number, found))
        if seconds > LAG_SECONDS:
            heapq.heappush(self.events, (self.now + LAG_SECONDS, 1, number, found))
        heapq.heappush(self.events, (end + LAG_SECONDS, 2, number, found))

    def _next_event(self):
        at, event, number, (name, _, used, kind) = heapq.heappop(self.events)
        share = self.total / (WORKERS * CAPACITY.processors)
        self.area += (at - self.now) * share
        self.now = at
        if event == 0:
            self.ledger.release(number)
            self.used[name][0] -= used.processors
            self.used[name][1] -= used.memory
            self.total -= used.processors
            self.on_host[name].discard(number)
        elif event == 1:
            self.ledger.grow(number, used)
        else:
            self.policy.observe(kind, used)


def main():
    policies = {
        "declared": lambda ledger: DeclaredEstimate(),
        "observed 0.50": lambda ledger: ObservedQuantile(ledger, 0.5),
        "observed 0.90": lambda ledger: ObservedQuantile(ledger, 0.9),
        "observed 0.95": ObservedQuantile,
        "observed 0.99": lambda ledger: ObservedQuantile(ledger, 0.99),
    }
    rows = []
    for name, policy_of in policies.items():
        cell = Cell(policy_of)
        used = cell.run()
        counted = STARTS - WARM_STARTS
        rows.append(
            {
                "policy": name,
                "processors_used": used,
                "throttled": sum(n >= WARM_STARTS for n in cell.throttled) / counted,
                "starved": sum(n >= WARM_STARTS for n in cell.starved) / counted,
                "reserved_over": cell.over,
            }
        )
    print_rows(rows)


if __name__ == "__main__":
    main()
