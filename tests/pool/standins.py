"""Stand for the process around an owner, and replay a load on its workers."""

import threading
import zlib
from types import SimpleNamespace

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import JobDocument, Queue, Step
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.pool.owner import PoolOwner
from papayapick.pool.reports import EndReport, RunReport, WorkerReport

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)


class NoThreads:
    """Run nothing; what was asked for is kept."""

    def __init__(self):
        self.tasks = []

    def submit(self, step, *args):
        self.tasks.append((step, args))

    def map(self, step, items):
        return [step(item) for item in items]

    def shutdown(self, **options):
        pass


class Host:
    """Stand for the process around an owner, with a store of fixed rows."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.started_at = self.clock.monotonic()
        self.settings = SimpleNamespace(processors=1.0, region="south")
        self.store = self
        self.worker_pool = None
        self.peers = self
        self.stopping = threading.Event()
        self.executor = NoThreads()
        self.rows = {}
        self.lost_since = None
        self.live_peers = []

    def read_all(self, table, partition):
        return list(self.rows.get((table, partition), [])), 1

    def put(self, table, partition, key, value):
        rows = self.rows.setdefault((table, partition), [])
        rows.append(StoredRow(table, partition, key, value, 1))

    def queue_of(self, document):
        return QUEUE

    def all(self):
        return self.live_peers

    def live(self):
        return self.live_peers

    @property
    def store_health(self):
        return self

    def lost_at(self):
        return self.lost_since

    def look_at_owner(self, owner):
        pass


LONG_FACTOR = 3.0


class Worker:
    """Work on what was ordered, at a speed that may change.

    Attributes
    ----------
    speed : float
        Of a sound worker 1; 0 stands still.
    is_failing : bool
        All that it starts fails at once.
    is_endless : bool
        What it starts is at work after its length, and never ends.
    """

    def __init__(self, name):
        self.name = name
        self.speed = 1.0
        self.is_failing = False
        self.is_endless = False
        # Seconds of work done, by task and attempt.
        self.runs = {}
        self.ends = []

    def work(self, seconds, length_of):
        """Go on; return whether a run has ended."""
        before = len(self.ends)
        for name in list(self.runs):
            self.runs[name] += seconds * self.speed
            if self.is_failing:
                self._end(name, "failed")
            elif self.runs[name] >= length_of(name) and not self.is_endless:
                self._end(name, "done")
        return len(self.ends) > before

    def stop(self, name):
        if name in self.runs:
            self._end(name, "stopped")

    def _end(self, name, outcome):
        del self.runs[name]
        self.ends.append(EndReport(len(self.ends) + 1, *name, outcome))

    def report(self, length_of):
        most = 100 if self.is_endless else 99
        runs = [
            RunReport(*name, percent=int(min(most, 100 * done / length_of(name))))
            for name, done in self.runs.items()
        ]
        return WorkerReport(50.0, 1, runs, list(self.ends))


class Replay:
    """Hand jobs to an owner whose workers are simulated, without threads.

    Parameters
    ----------
    workers : int
        Each with room for four tasks.
    accelerators : int
        Of each worker.
    length : float
        Seconds of a task on a sound worker.
    long_share : float
        Of the tasks, drawn by their names, takes three times as long.
    """

    STEP_SECONDS = 0.05
    LOOK_SECONDS = 0.8

    def __init__(self, workers, length, long_share=0.0, accelerators=0):
        self._length = length
        self._long_share = long_share
        self.host = Host()
        self.workers = {f"w{number}": Worker(f"w{number}") for number in range(workers)}
        for name in self.workers:
            row = _registration(name, accelerators)
            self.host.put("servers", "", name, row)
        self.owner = PoolOwner(self.host, PoolRow("pool", "h1", 3, "a:1", 9), True)
        self.owner._executor.shutdown()
        self.owner._order_executor.shutdown()
        self.owner._stop_executor.shutdown()
        self.owner._executor, self.owner.orders._executor = NoThreads(), NoThreads()
        self.owner.orders._stop_executor = NoThreads()
        self.owner.store_sync.load()
        self._looked_at = dict.fromkeys(self.workers, 0.0)
        self.handed_in = {}
        self.finished = {}
        self.stops = 0
        for worker in self.workers.values():
            self._look(worker)

    @property
    def now(self):
        return self.host.clock.monotonic()

    def hand_in(self, tasks, estimate=0.0, queue=QUEUE):
        """Hand in an urgent job of one step; return its id."""
        step = Step(tasks, Amounts(1000, 10), estimate)
        return self.hand_in_step(step, queue)

    def hand_in_step(self, step, queue=QUEUE):
        """Hand in a job of one step; return its id."""
        identifier = f"{len(self.handed_in) + 1:016x}"
        document = JobDocument(identifier, "q", "pool", "t", [step], 0.0)
        with self.owner.lock:
            self.owner.book.add(document, queue, self.now)
        self.handed_in[identifier] = self.now
        return identifier

    def run(self, seconds):
        """Let the time pass."""
        for _ in range(round(seconds / self.STEP_SECONDS)):
            self.host.clock.advance(self.STEP_SECONDS)
            self._work()
            with self.owner.lock:
                self.owner.ownership_status.note_confirmed(self.now)
                self.owner.tick(self.now)
                self.owner.decisions.place(self.now)
            self._carry_out()

    def took(self):
        """Return the seconds that each job took, or has taken so far, ascending."""
        return sorted(
            self.finished.get(identifier, self.now) - handed_in
            for identifier, handed_in in self.handed_in.items()
        )

    def _work(self):
        for worker in self.workers.values():
            has_ended = worker.work(self.STEP_SECONDS, self._length_of)
            link = self.owner.links_by_worker[worker.name]
            wait = link._wait_seconds() if link._worker_clock else self.LOOK_SECONDS
            if has_ended or self.now - self._looked_at[worker.name] >= wait:
                self._look(worker)
        for job in self.owner.book.jobs():
            if job.is_final:
                self.finished.setdefault(job.identifier, self.now)

    def _length_of(self, name):
        key, _ = name
        is_long = zlib.crc32(str(key).encode()) % 100 < 100 * self._long_share
        return self._length * (LONG_FACTOR if is_long else 1)

    def _look(self, worker):
        self._looked_at[worker.name] = self.now
        link = self.owner.links_by_worker[worker.name]
        link._worker_clock = 50.0
        self.owner.report_handler.note_report(
            link, worker.report(self._length_of), self.now
        )
        link.acknowledge(link.processed, link.born)

    def _carry_out(self):
        orders = self.owner.orders
        for start in self.owner.decisions.take_unsent():
            run = start.run
            run.note_sent(self.now)
            self.workers[run.worker].runs[run.name] = 0.0
            self.owner.book.note_started(run)
        tasks, orders._stop_executor.tasks = orders._stop_executor.tasks, []
        for step, args in tasks:
            if step == orders._stop:
                self.stops += 1
                self.workers[args[1].worker].stop(args[1].name)
                orders.note_stop_confirmed(args[1])


def _registration(worker, accelerators=0):
    return {
        "service": "pool",
        "address": f"{worker}:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": accelerators},
    }
