"""Count the table's reads and writes by kind of work.

Run as ``python -m benchmarks.store [--json]``. The first rows run the real journal and
its token bucket with randomly generated arrivals and a manual clock: one shard's part
of 2,000 placements a second, of which a share is journaled. The writes of the cell are
those of one shard times nine. The last rows run a cell of processes.
"""

import heapq
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks.tables import percentile, print_rows
from demo.cells import Cell, http_call
from papayapick.clock import ManualClock
from papayapick.journal import Accepted, Ended, Journal, Started
from papayapick.limits import TokenBucket
from papayapick.ownership import claim, read_shard
from tests.standins.store import MemoryTable

SEED = 20
SHARD = "hobart-a.0"
SHARDS = 9
CELL_RATE = 2000
SHARES = (0.01, 0.1, 0.5, 1.0)
SIMULATED_SECONDS = 20
LINGER_SECONDS = 0.01
WRITES_PER_SECOND = 30
STEP_SECONDS = 0.001
# Time from the durable start of a run to its end.
RUN_SECONDS = 0.005
PROCESS_SECONDS = 10
ONCE, DEFERRED = "heatmap-refresh", "tenant-comparisons"


def main():
    rows = [JournalRun(share).row() for share in SHARES]
    print_rows(rows + with_processes())


def row(work, how, rate, writes, reads, cell_writes, cell_reads, waits):
    return {
        "work": work,
        "how": how,
        "placements_s": rate,
        "writes_per_1000": writes,
        "reads_per_1000": reads,
        "cell_writes_s": cell_writes,
        "cell_reads_s": cell_reads,
        "wait_p50_ms": percentile(waits, 0.5) * 1000,
        "wait_p99_ms": percentile(waits, 0.99) * 1000,
    }


class JournalRun:
    """Acceptances, starts and outcomes of one shard on a manual clock."""

    def __init__(self, share):
        self.share = share
        self.rate = CELL_RATE * share / SHARDS
        self.clock = ManualClock()
        self.table = MemoryTable()
        owned = claim(self.table, read_shard(self.table, SHARD), "placer")
        burst = WRITES_PER_SECOND / 4 + 1
        self.bucket = TokenBucket(WRITES_PER_SECOND, burst, self.clock)
        self.journal = Journal(
            self.table, owned, self.clock, LINGER_SECONDS, self.bucket
        )
        self.waits = []
        self.due = []
        self.placed = 0

    def row(self):
        """Run the simulation and return its row."""
        generator = random.Random(SEED)
        writes, reads = self.table.writes, self.table.reads
        arrival, queued_since = generator.expovariate(self.rate), None
        while self.clock.monotonic() < SIMULATED_SECONDS:
            now = self.clock.monotonic()
            while arrival <= now:
                self._accept(f"r{self.placed}")
                self.placed += 1
                arrival += generator.expovariate(self.rate)
            while self.due and self.due[0][0] <= now:
                _, name, step = heapq.heappop(self.due)
                step(name)
            queued_since = self._write(now, queued_since)
            self.clock.advance(STEP_SECONDS)
        writes, reads = self.table.writes - writes, self.table.reads - reads
        return row(
            f"{self.share:.0%} of {CELL_RATE}/s journaled",
            "journal, one shard of nine",
            CELL_RATE,
            1000 * writes / self.placed,
            1000 * reads / self.placed,
            SHARDS * writes / SIMULATED_SECONDS,
            SHARDS * reads / SIMULATED_SECONDS,
            self.waits,
        )

    def _write(self, now, queued_since):
        if self.journal.is_idle:
            return None
        if queued_since is None:
            return now
        if now - queued_since < LINGER_SECONDS or self.bucket.take():
            return queued_since
        self.journal.write_segment()
        return None

    def _accept(self, name):
        self._append(
            Accepted(name, "request", "s", "c", "", "", "d", 1e9, False),
            lambda: self._push(name, 0.0, self._start),
        )

    def _start(self, name):
        self._append(
            Started(name, 1, [], 0.0), lambda: self._push(name, RUN_SECONDS, self._end)
        )

    def _end(self, name):
        self._append(Ended(name, "done", 0.0), lambda: None)

    def _push(self, name, seconds, step):
        heapq.heappush(self.due, (self.clock.monotonic() + seconds, name, step))

    def _append(self, record, then):
        asked = self.clock.monotonic()

        def written(done):
            done.result()
            self.waits.append(self.clock.monotonic() - asked)
            then()

        self.journal.append(record).written.add_done_callback(written)


def with_processes():
    with Cell("footfall") as cell:
        kinds = {
            "idle": None,
            "quick-counts": {"service": "quick-counts", "payload": {}},
            ONCE: {"service": ONCE, "payload": {}},
            DEFERRED: {"service": DEFERRED, "payload": {}},
        }
        return [process_row(cell, kind, body) for kind, body in kinds.items()]


def process_row(cell, kind, body):
    addresses = [found.addresses["http"] for found in cell.gateways]
    before = cell.control("counts")
    began = time.monotonic()
    sent, waits = 0, [0.0]
    if body is None:
        threading.Event().wait(PROCESS_SECONDS)
    else:
        with ThreadPoolExecutor(12) as executor:
            found = executor.map(
                lambda number: callers(addresses[number % 3], kind, number, body),
                range(12),
            )
            waits = [one for times in found for one in times]
            sent = len(waits)
    seconds = time.monotonic() - began
    after = cell.control("counts")
    writes = after["writes"] - before["writes"]
    reads = after["reads"] - before["reads"]
    return row(
        kind,
        "processes, three placers",
        sent / seconds,
        1000 * writes / max(1, sent),
        1000 * reads / max(1, sent),
        writes / seconds,
        reads / seconds,
        waits,
    )


def callers(address, kind, number, body):
    waits, deadline = [], time.monotonic() + PROCESS_SECONDS
    while time.monotonic() < deadline:
        began = time.monotonic()
        headers = {"Idempotency-Key": f"{kind}-{number}-{len(waits)}"}
        status, _, _ = http_call(address, "POST", "/v1/requests", body, headers)
        if status < 300:
            waits.append(time.monotonic() - began)
    return waits


if __name__ == "__main__":
    main()
