"""Cancel thousands of jobs at once while urgent slots are requested.

Run as ``python -m benchmarks.cancellations [--json]``. The real work dispatcher, job
queue, journal and slot allocator run in one process against a table in memory, with the
system clock and the usual rate of journal writes. ``decision`` is the time spent in the
slot allocator; ``late`` is measured from the time at which a request was due.
"""

import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from types import SimpleNamespace

from benchmarks.tables import percentile, print_rows
from papayapick.clients import WorkerClient
from papayapick.clients.types import Row
from papayapick.clock import SystemClock
from papayapick.ledger import Amounts
from papayapick.limits import PauseDetector, TokenBucket
from papayapick.ownership.queries import ShardRow
from papayapick.placer.jobs import JobRunner
from papayapick.placer.shards import Shard
from papayapick.placer.work import WorkDispatcher
from papayapick.wire.messages import SlotRequest, Submit
from tests.placer.jobcells import JobCell
from tests.standins import MemoryObjects, MemoryTable

RATE = 1000.0
QUIET_SECONDS = 2.0
WRITES_PER_SECOND = 30
INSTANCES, SLOTS = 24, 8
BODY = '{"members": 1, "demand": {"processors": 4000}, "work": {}}'


class Cell:
    """One shard with instances, one full worker and waiting jobs."""

    def __init__(self, jobs):
        self.clock = SystemClock()
        self.executor = ThreadPoolExecutor(8)
        self.table = MemoryTable()
        self.bundle = JobCell({}).process.watcher.bundle
        self.process = SimpleNamespace(
            clock=self.clock,
            executor=self.executor,
            generator=random.Random(1),
            objects=MemoryObjects(),
            pauses=PauseDetector(self.clock, 1e9),
            settings=SimpleNamespace(
                task_lease_seconds=10.0, journal_linger_seconds=0.01
            ),
            table=self.table,
            watcher=SimpleNamespace(bundle=self.bundle),
        )
        row = ShardRow("zone-a.0", "host-1", 1, 1)
        self.table.rows[row.key] = Row(row.key, {}, 1)
        bucket = TokenBucket(WRITES_PER_SECOND, WRITES_PER_SECOND, self.clock)
        self.shard = Shard(row, self.process, bucket, lambda shard: None)
        self.dispatcher = WorkDispatcher(self.process)
        self.runner = JobRunner(self.process, WorkerClient(None), self.dispatcher)
        self.executor.submit(self.shard.journal.run)
        self._add_instances()
        self._fill(jobs)

    def close(self):
        """Close the journal and shut down the executor."""
        self.shard.journal.close()
        self.executor.shutdown(wait=True, cancel_futures=True)

    def request_slot(self, number):
        """Request one slot, release it, and return the seconds of the request."""
        wanted = SlotRequest(
            shard=self.shard.name,
            service="counts",
            request_id=f"urgent-{number}",
            wait_milliseconds=1000,
            run_milliseconds=1000,
            caller="manager",
        )
        began = time.perf_counter()
        grant = self.shard.slot_allocator.request(wanted, 256)
        spent = time.perf_counter() - began
        self.shard.slot_allocator.release(grant.grant_id)
        return spent

    def cancel_all(self, jobs):
        """Cancel every job and wait until all cancellations are durable."""
        answers = [self.dispatcher.cancel(self.shard, f"job-{n}") for n in range(jobs)]
        wait(answers)
        assert all(answer.result().outcome == "not_run" for answer in answers)

    def _add_instances(self):
        def add(ledger):
            for number in range(INSTANCES):
                name = f"instance-{number}"
                ledger.add(name, "counts", "", SLOTS, 64)
                ledger.open(name)

        self.shard.slot_allocator.with_ledger(add)

    def _fill(self, jobs):
        self.shard.hosts.add("worker-0", Amounts(4000, 8192))
        self.shard.hosts.open("worker-0")
        self.shard.hosts.reserve("worker-0", "other", Amounts(4000, 0))
        policy = self.bundle.jobs["batch"]
        answers = []
        for number in range(jobs):
            wanted = Submit(
                shard=self.shard.name,
                request_id=f"job-{number}",
                kind="job",
                name="batch",
                caller="test",
                payload=b"",
                payload_digest="digest",
                deadline_milliseconds=int((time.time() + 86400) * 1000),
                wait_milliseconds=0,
                job=BODY,
            )
            answers.append(self.dispatcher.submit(self.shard, wanted, policy))
        wait(answers)
        while (found := self.dispatcher.take(0.0)) is not None:
            self.runner.run(*found)
        assert len(self.shard.jobs) == jobs


class SlotRequester:
    """Request slots at a fixed rate and record the duration and lateness of each."""

    def __init__(self, cell):
        self.cell = cell
        self.spent, self.late = [], []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._stop.set()
        self._thread.join()

    def _run(self):
        began = time.perf_counter()
        number = 0
        while not self._stop.is_set():
            due = began + number / RATE
            rest = due - time.perf_counter()
            if rest > 0:
                self._stop.wait(rest)
            self.spent.append(self.cell.request_slot(number))
            self.late.append(time.perf_counter() - due)
            number += 1


def row(name, requester, seconds, cancels):
    return {
        "phase": name,
        "switch_ms": sys.getswitchinterval() * 1000,
        "requests": len(requester.spent),
        "decision_median_us": percentile(requester.spent, 0.5) * 1e6,
        "decision_p99_us": percentile(requester.spent, 0.99) * 1e6,
        "decision_p999_us": percentile(requester.spent, 0.999) * 1e6,
        "late_p99_us": percentile(requester.late, 0.99) * 1e6,
        "cancels": cancels,
        "wave_s": seconds,
    }


def measure(jobs):
    cell = Cell(jobs)
    rows = []
    try:
        with SlotRequester(cell) as requester:
            threading.Event().wait(QUIET_SECONDS)
        rows.append(row("quiet", requester, 0.0, 0))
        began = time.perf_counter()
        with SlotRequester(cell) as requester:
            cell.cancel_all(jobs)
            cell.runner.start_waiting(cell.shard)
        rows.append(row("wave", requester, time.perf_counter() - began, jobs))
    finally:
        cell.close()
    return rows


def main():
    rows = []
    for interval in (0.005, 0.0005):
        sys.setswitchinterval(interval)
        for jobs in (1000, 10000):
            rows += measure(jobs)
    print_rows(rows)


if __name__ == "__main__":
    main()
