"""Goodput under a load of up to three times the capacity.

Compares the real slot allocator with an unbounded first-in first-out queue, with
randomly generated arrivals and service times and a manual clock: 24 instances of 8
slots. First a sweep over loads, then a load spike: 30% of the capacity, for ten seconds
300%, and 30% again. In the spike, a refused caller retries once, after the delay given
by the refusal. Run as ``python -m benchmarks.overload [--json]``.
"""

import random
from collections import deque
from concurrent.futures import Future

import numpy

from benchmarks.events import Events
from benchmarks.tables import percentile, print_rows
from papayapick.exceptions import PapayapickError
from papayapick.ledger import SlotLedger
from papayapick.placement.requests import HealthAware, InstanceHealth, LeastLoaded
from papayapick.placer.slots import SlotAllocator
from papayapick.wire.messages import SlotGrant, SlotRequest

SEED = 20261202
INSTANCES, SLOTS = 24, 8
MEAN_SECONDS, SIGMA = 0.1, 0.5
CAPACITY = INSTANCES * SLOTS / MEAN_SECONDS
DEADLINE_SECONDS = 1.0
USUAL_SECONDS = 0.17
EXPIRE_SECONDS = 0.02
WAITING_LIMIT = 2048
SWEEP = (0.5, 0.8, 0.95, 1.0, 1.5, 2.0, 3.0)
SWEEP_SECONDS, WARM_SECONDS = 8.0, 2.0
SPIKE = ((0.3, 4.0), (3.0, 10.0), (0.3, 6.0))
CALLERS = 12


class FifoAllocator:
    """Grant slots in the order of arrival without refusals, as the baseline."""

    def __init__(self, ledger):
        self._ledger = ledger
        self._policy = LeastLoaded()
        self._waiting = deque()
        self._grants = 0

    def request(self, wanted, waiting_limit):
        """Return a grant, or a future of it; the queue has no limit."""
        grant = None if self._waiting else self._grant(wanted)
        if grant is None:
            grant = Future()
            self._waiting.append((wanted, grant))
        return grant

    def release(self, grant_id, outcome, run_seconds):
        """Release a slot and grant it to the first request in the queue."""
        self._ledger.release(grant_id)
        if self._waiting:
            wanted, future = self._waiting.popleft()
            future.set_result(self._grant(wanted))

    def expire(self):
        """Do nothing, as requests wait without limit."""

    def _grant(self, wanted):
        name = self._policy.choose(self._ledger, wanted.service)
        if name is None:
            return None
        self._grants += 1
        self._ledger.reserve(name, self._grants)
        return SlotGrant(grant_id=self._grants, instance=name)


def _ledger():
    ledger = SlotLedger()
    for number in range(INSTANCES):
        ledger.add(f"i{number}", "counts", "", SLOTS, 64)
        ledger.open(f"i{number}")
    return ledger


def deadline_aware_allocator(clock):
    """Return the slot allocator that the placers use."""
    policy = HealthAware(InstanceHealth(clock), random.Random(SEED))
    return SlotAllocator("a.0", 1, _ledger(), policy, clock, random.Random(SEED))


def fifo_allocator(clock):
    """Return the first-in first-out allocator, the baseline."""
    return FifoAllocator(_ledger())


ALLOCATORS = {
    "deadline-aware": deadline_aware_allocator,
    "unbounded FIFO": fifo_allocator,
}


class Run:
    """Simulate one allocator under a sequence of loads."""

    def __init__(self, build, phases, returns=False):
        self.events = Events()
        self.clock = self.events.clock
        self.allocator = build(self.clock)
        self.numbers = numpy.random.default_rng(SEED)
        self.phases = phases
        self.returns = returns
        self.arrivals = []
        self.good = []
        self.refused_after = []
        self.waits = []

    def run(self):
        """Generate the arrivals, run the simulation and return the run."""
        moment = 0.0
        for load, seconds in self.phases:
            end = moment + seconds
            count = int(load * CAPACITY * seconds * 1.2) + 100
            for gap in self.numbers.exponential(1 / (load * CAPACITY), count):
                if moment + gap > end:
                    break
                moment += gap
                self.events.after(moment, self._arrive, moment, True)
            moment = end
        self.events.every(
            EXPIRE_SECONDS, self.allocator.expire, moment + 3 * DEADLINE_SECONDS
        )
        self.events.run()
        return self

    def good_rate(self, begin, end):
        """Return the answers per second within their deadline, ended in an interval."""
        return sum(begin <= found < end for found in self.good) / (end - begin)

    def _arrive(self, arrived, may_return):
        self.arrivals.append(arrived)
        wanted = SlotRequest(
            shard="a.0",
            service="counts",
            request_id=str(len(self.arrivals)),
            wait_milliseconds=int((DEADLINE_SECONDS - USUAL_SECONDS) * 1000),
            run_milliseconds=2000,
            caller=str(len(self.arrivals) % CALLERS),
        )
        try:
            found = self.allocator.request(wanted, WAITING_LIMIT)
        except PapayapickError as error:
            self._refused(arrived, error, may_return)
            return
        if isinstance(found, Future):
            found.add_done_callback(lambda done: self._done(arrived, may_return, done))
        else:
            self._send(arrived, found)

    def _done(self, arrived, may_return, done):
        error = done.exception()
        if error is not None:
            self._refused(arrived, error, may_return)
        else:
            # Scheduled, because the allocator holds its lock in this callback.
            self.events.after(0.0, self._send, arrived, done.result())

    def _refused(self, arrived, error, may_return):
        now = self.clock.monotonic()
        self.refused_after.append(float(now - arrived))
        if self.returns and may_return:
            moment = now + error.retry_after
            self.events.after(error.retry_after, self._arrive, moment, False)

    def _send(self, arrived, grant):
        now = self.clock.monotonic()
        seconds = self.numbers.lognormal(numpy.log(MEAN_SECONDS) - SIGMA**2 / 2, SIGMA)
        self.waits.append(float(now - arrived))
        self.events.after(seconds, self._end, arrived, grant, seconds)

    def _end(self, arrived, grant, seconds):
        self.allocator.release(grant.grant_id, "done", seconds)
        now = self.clock.monotonic()
        if now <= arrived + DEADLINE_SECONDS:
            self.good.append(now)


def sweep_rows():
    """Return the goodput of each allocator by load, as a share of the capacity."""
    rows = []
    for name, build in ALLOCATORS.items():
        for load in SWEEP:
            run = Run(build, [(load, SWEEP_SECONDS)]).run()
            rate = run.good_rate(WARM_SECONDS, SWEEP_SECONDS)
            rows.append(_row(name, f"steady {load:g}x", run, rate))
        best = max(row["goodput_%"] for row in rows if row["queue"] == name)
        for row in rows:
            if row["queue"] == name:
                row["of_peak_%"] = 100 * row["goodput_%"] / best
    return rows


def spike_rows():
    """Return the goodput during and after a load spike with retries."""
    rows = []
    begin = SPIKE[0][1]
    end = begin + SPIKE[1][1]
    for name, build in ALLOCATORS.items():
        run = Run(build, SPIKE, returns=True).run()
        for part, first, last in (
            ("flash 3x", begin, end),
            ("4 s after it", end + 2.0, end + 6.0),
        ):
            row = _row(name, part, run, run.good_rate(first, last))
            row["of_peak_%"] = ""
            rows.append(row)
    return rows


def _row(name, part, run, rate):
    refused = run.refused_after
    return {
        "queue": name,
        "load": part,
        "requests": len(run.arrivals),
        "goodput_%": 100 * rate / CAPACITY,
        "of_peak_%": 0.0,
        "refused_%": 100 * len(refused) / len(run.arrivals),
        "refused_median_ms": percentile(refused, 0.5) * 1000 if refused else 0.0,
        "refused_p99_ms": percentile(refused, 0.99) * 1000 if refused else 0.0,
        "in_vain_%": 100 * sum(found > 0 for found in refused) / len(run.arrivals),
        "wait_p99_ms": percentile(run.waits, 0.99) * 1000,
    }


def main():
    print_rows(sweep_rows() + spike_rows())


if __name__ == "__main__":
    main()
