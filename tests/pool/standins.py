"""Replace the process around an owner, and simulate the workers of its pool."""

import threading
import zlib
from types import SimpleNamespace

from papayapick.clients.http import HttpPool
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import CellConfiguration, JobDocument, Queue, Step
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.pool.owner import PoolOwner
from papayapick.pool.workers.poll_times import poll_seconds
from papayapick.pool.workers.reports import EndReport, RunReport, WorkerReport

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)


class ManualExecutor:
    """Queue submitted calls without running them."""

    def __init__(self):
        self.tasks = []

    def submit(self, step, *args):
        self.tasks.append((step, args))

    def map(self, step, items):
        return [step(item) for item in items]

    def shutdown(self, **options):
        pass


class Host:
    """Replace the process around an owner, with a store of fixed rows."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.started_at = self.clock.monotonic()
        self.settings = SimpleNamespace(
            processors=1.0,
            region="south",
            lease_limit_seconds=6.0,
            row_bytes=49152,
            rate_window_seconds=5.0,
            rate_slack_jobs=0,
        )
        self.store = self
        self.worker_pool = HttpPool(1.0)
        self.peers = self
        self.stopping = threading.Event()
        self.executor = ManualExecutor()
        self.rows = {}
        self.lost_since = None
        self.live_peers = []
        self.configuration = SimpleNamespace(current=None)
        self.watched_pools = SimpleNamespace(pools=set(), has_looked=True)

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

    def verify_ownership(self, owner):
        pass


LONG_FACTOR = 3.0


class Worker:
    """Execute runs at a speed that may change.

    Attributes
    ----------
    speed : float
        Relative to a normal worker; with 0, runs make no progress.
    is_failing : bool
        Whether every run fails at once.
    is_endless : bool
        Whether runs reach 100 percent after their length and never end.
    """

    def __init__(self, name):
        self.name = name
        self.speed = 1.0
        self.is_failing = False
        self.is_endless = False
        # Seconds of progress by task and attempt.
        self.runs = {}
        self.ends = []

    def work(self, seconds, length_of):
        """Advance all runs; return whether one has ended."""
        before = len(self.ends)
        for name in list(self.runs):
            self.runs[name] += seconds * self.speed
            if self.is_failing:
                self._end(name, "failed")
            elif self.runs[name] >= length_of(name) and not self.is_endless:
                self._end(name, "done")
        return len(self.ends) > before

    def stop(self, name, saves_checkpoint=False):
        if name in self.runs:
            done = max(0.0, self.runs[name])
            self._end(name, "stopped", str(done) if saves_checkpoint else "")

    def _end(self, name, outcome, checkpoint=""):
        del self.runs[name]
        self.ends.append(EndReport(len(self.ends) + 1, *name, outcome, checkpoint))

    def report(self, length_of):
        highest = 100 if self.is_endless else 99
        runs = [
            RunReport(*name, percent=_percent(highest, done / length_of(name)))
            for name, done in self.runs.items()
        ]
        return WorkerReport(50.0, 1, runs, list(self.ends))


def _percent(highest, share):
    return int(max(0, min(highest, 100 * share)))


class PoolSimulation:
    """Simulate the workers of a pool under a real owner, without threads.

    Parameters
    ----------
    workers : int
        Number of workers, each with room for four tasks.
    length : float
        Seconds that a task takes on a normal worker.
    long_share : float
        Share of the tasks, chosen by their names, that take three times as long.
    accelerators : int
        Number for each worker.
    speeds : dict of str to float
        Speed by kind; if given, the workers have these kinds in turn as their labels,
        and the operator's configuration has the queue of the jobs.
    variation : float
        Share by which lengths of tasks are above or below that of their step.
    long_factor : float
        How many times as long a long task takes.
    processors : int
        Millicores of each worker.
    order_seconds : float
        Seconds from a decision to the start, as for a record and an order.
    restore_seconds : float, optional
        Time that a run takes to resume from the checkpoint of a stop; by default stops
        save none.

    Attributes
    ----------
    stops, copies : int
        Numbers of runs stopped and of second copies started.
    answers_stops : bool
        Whether stops are carried out, rather than lost.
    """

    STEP_SECONDS = 0.05
    POLL_SECONDS = 0.8

    def __init__(
        self,
        workers,
        length,
        long_share=0.0,
        accelerators=0,
        speeds=None,
        variation=0.0,
        long_factor=LONG_FACTOR,
        processors=4000,
        order_seconds=0.0,
        restore_seconds=None,
    ):
        self._restore_seconds = restore_seconds
        self.answers_stops = True
        self._length = length
        self._long_share = long_share
        self._variation = variation
        self._long_factor = long_factor
        self._order_seconds = order_seconds
        # Start orders on their way, with the times at which they arrive.
        self._ordered = []
        # Seconds that a task takes on a normal worker, by job, if not ``length``.
        self._lengths = {}
        self.host = Host()
        self.workers = {f"w{number}": Worker(f"w{number}") for number in range(workers)}
        for number, (name, worker) in enumerate(self.workers.items()):
            row = _registration(name, accelerators, processors)
            if speeds:
                kind = list(speeds)[number % len(speeds)]
                worker.speed = speeds[kind]
                row["labels"] = [kind]
            self.host.put("servers", "", name, row)
        if speeds:
            self.host.configuration.current = CellConfiguration(1, [QUEUE], 1000)
        self.owner = PoolOwner(self.host, PoolRow("pool", "h1", 3, "a:1", 9), True)
        self.owner._executor.shutdown()
        self.owner._order_executor.shutdown()
        self.owner._stop_executor.shutdown()
        self.owner._executor, self.owner.orders._executor = (
            ManualExecutor(),
            ManualExecutor(),
        )
        self.owner.orders._stop_executor = ManualExecutor()
        self.owner.store_sync.load()
        self._polled_at = dict.fromkeys(self.workers, 0.0)
        self.submitted_at = {}
        self.finished = {}
        self.stops = self.copies = 0
        for worker in self.workers.values():
            self._poll(worker)

    @property
    def now(self):
        return self.host.clock.monotonic()

    def submit_job(self, tasks, estimate=0.0, queue=QUEUE, team=""):
        """Submit a job of one step by its number of tasks; return its id."""
        step = Step(tasks, Amounts(1000, 10), estimate)
        return self.submit_step(step, queue, team)

    def submit_step(self, step, queue=QUEUE, team=""):
        """Submit a job of one step; return its id."""
        return self.submit_steps([step], queue, team)

    def submit_steps(self, steps, queue=QUEUE, team="", length=None):
        """Submit a job whose tasks take ``length`` seconds each; return its id."""
        identifier = f"{len(self.submitted_at) + 1:016x}"
        name = queue.name
        document = JobDocument(identifier, name, "pool", "t", steps, 0.0, team=team)
        if length is not None:
            self._lengths[identifier] = length
        with self.owner.lock:
            self.owner.job_registry.add(document, queue, self.now)
        self.submitted_at[identifier] = self.now
        return identifier

    def run(self, seconds):
        """Advance the simulation."""
        for _ in range(round(seconds / self.STEP_SECONDS)):
            self.host.clock.advance(self.STEP_SECONDS)
            self._advance_workers()
            with self.owner.lock:
                self.owner.ownership_status.note_confirmed(self.now)
                self.owner.tick(self.now)
                self.owner.decisions.place(self.now)
            self._execute_orders()

    def job_durations(self):
        """Return the seconds that each job took or has taken so far, ascending."""
        return sorted(
            self.finished.get(identifier, self.now) - submitted_at
            for identifier, submitted_at in self.submitted_at.items()
        )

    def _advance_workers(self):
        for worker in self.workers.values():
            has_ended = worker.work(self.STEP_SECONDS, self._length_of)
            link = self.owner.links_by_worker[worker.name]
            wait = self.POLL_SECONDS
            if link.lease.reading:
                wait = poll_seconds(link, self.owner.report_handler)
            if has_ended or self.now - self._polled_at[worker.name] >= wait:
                self._poll(worker)
        for job in self.owner.job_registry.jobs():
            if job.is_final:
                self.finished.setdefault(job.identifier, self.now)

    def length_of(self, key):
        """Return the seconds that a task takes on a normal worker."""
        number = zlib.crc32(str(key).encode())
        is_long = number % 100 < 100 * self._long_share
        variation = self._variation * (2 * (number // 100 % 101) / 100 - 1)
        length = self._lengths.get(key.job, self._length)
        return length * (1 + variation) * (self._long_factor if is_long else 1)

    def _length_of(self, name):
        return self.length_of(name[0])

    def _poll(self, worker):
        self._polled_at[worker.name] = self.now
        link = self.owner.links_by_worker[worker.name]
        link.lease.note_clock(50.0)
        self.owner.report_handler.note_report(
            link, worker.report(self._length_of), self.now
        )
        link.acknowledge(link.processed, link.born)

    def _execute_orders(self):
        orders = self.owner.orders
        due = self.now + self._order_seconds
        starts = self.owner.decisions.take_unsent()
        self._ordered += [(due, start) for start in starts]
        for start in starts:
            step = self.owner.job_registry.step(start.run.key)
            self.copies += (
                step is not None and len(step.tasks[start.run.key.index].runs) > 1
            )
        while self._ordered and self._ordered[0][0] <= self.now:
            _, start = self._ordered.pop(0)
            run = start.run
            run.note_sent(self.now)
            self.workers[run.worker].runs[run.name] = self._progress(start)
            self.owner.job_registry.note_started(run)
        tasks, orders._stop_executor.tasks = orders._stop_executor.tasks, []
        for step, args in tasks:
            if step == orders._stop:
                self.stops += 1
                orders._stops_in_progress.discard(args[1])
                if self.answers_stops:
                    self._stop(args[1])

    def _progress(self, start):
        """Return the seconds of progress with which a run begins."""
        if not start.checkpoint or self._restore_seconds is None:
            return 0.0
        return float(start.checkpoint) - self._restore_seconds

    def _stop(self, run):
        saves = self._restore_seconds is not None
        self.workers[run.worker].stop(run.name, saves)
        self.owner.orders.note_stop_confirmed(run)


def _registration(worker, accelerators=0, processors=4000):
    return {
        "service": "pool",
        "address": f"{worker}:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": processors, "mem_mb": 4000, "gpu": accelerators},
    }
