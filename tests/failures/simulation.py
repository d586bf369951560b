"""A cell of placers in one process: real components on the platform's stand-ins."""

import contextlib
import json
import queue
import random
import threading
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from demo.cells import ROOT
from papayapick.bundle import Bundle
from papayapick.clients import (
    AnswerMissing,
    HostList,
    InstanceClient,
    NotSent,
    ObjectStore,
    Table,
    WorkerClient,
)
from papayapick.clients.objects import digest_of
from papayapick.clock import ManualClock
from papayapick.limits import PauseDetector, TokenBucket
from papayapick.ownership import read_shard
from papayapick.placer.owners import ShardOwner
from papayapick.placer.requests import RequestRunner
from papayapick.placer.runners import WorkLoop
from papayapick.placer.takeover import HostReconciler
from papayapick.placer.work import WorkDispatcher
from papayapick.routing import Grant, NoRoute
from papayapick.wire.messages import SlotRequest, Submit
from tests.fakes.pool import InProcessPool
from tests.standins.server import Platform

URL = "http://platform"
SHARD = "hobart-a.0"
ONCE, DEFERRED = "heatmap-refresh", "tenant-comparisons"
KILLED_BEFORE, KILLED_AFTER = "killed before", "killed after"
DOWN, LOST, LATE = "down", "answer lost", "effect comes late"
FAULTS = (KILLED_BEFORE, KILLED_AFTER, DOWN, LOST, LATE)
COUNTED_PATHS = ("/table/transactions", "/objects/", "/instances/")
SECONDS = 20


class Killed(BaseException):
    """End a thread of a simulated process that was killed."""


class FaultyPool(InProcessPool):
    """Forward requests to the stand-ins and inject faults.

    After ``arm``, the platform operations of durable work are numbered from 1.
    ``faults`` maps the number of an operation to its fault.
    """

    def __init__(self, platform):
        super().__init__(platform)
        self.faults = {}
        self.operations = []
        self.is_armed = False
        self.failing_object_read = 0
        self.object_reads = 0
        self.dead = threading.Event()
        self._blocked_number = 0
        self._unblocked = threading.Event()
        self._delayed = []
        self._lock = threading.Lock()

    def arm(self, faults):
        self.faults = dict(faults)
        self.is_armed = True

    def request(
        self, method, url, body=None, headers=None, *unused, check=None, **options
    ):
        answer = self._request(method, url, body, headers)
        if check is not None:
            check(answer)
        return answer

    def _request(self, method, url, body, headers):
        if method == "GET" and "/objects/" in url:
            self.object_reads += 1
            if self.object_reads == self.failing_object_read:
                raise NotSent(url=url)
        fault = self._next_fault(method, url)
        if self.dead.is_set() or fault == KILLED_BEFORE:
            self._die()
        if fault == DOWN:
            raise NotSent(url=url)
        if fault == LATE:
            self._delayed.append((method, url, body, headers))
            raise AnswerMissing(url=url)
        answer = super().request(method, url, body, headers)
        while self._delayed:
            super().request(*self._delayed.pop())
        if fault == KILLED_AFTER:
            self._die()
        if fault == LOST or answer is None:
            raise AnswerMissing(url=url)
        return answer

    def block_operation(self, number):
        """Block the operation with this number until ``unblock_operation``."""
        self._blocked_number = number
        self._unblocked.clear()

    def unblock_operation(self):
        self._unblocked.set()

    def wait_for_operations(self, count):
        while len(self.operations) < count:
            self.dead.wait(0.002)

    def _next_fault(self, method, url):
        is_watched = method != "GET" and any(part in url for part in COUNTED_PATHS)
        with self._lock:
            if not self.is_armed or not is_watched or url.endswith("/fence"):
                return None
            self.operations.append(url)
            number = len(self.operations)
        if number == self._blocked_number:
            self._unblocked.wait(SECONDS)
        return self.faults.get(number)

    def _die(self):
        self.dead.set()
        raise Killed


class ShardSlots:
    """Grant slots from the shard's slot allocator, without the network."""

    def __init__(self, placer):
        self._life = placer

    def acquire(self, policy, request_id, wait_seconds):
        shard = self._life.shard
        wanted = SlotRequest(
            shard=shard.name, service=policy.name, run_milliseconds=20000
        )
        if shard.is_closed:
            raise NoRoute(service=policy.name)
        granted = shard.slot_allocator.request(wanted, 0)
        return Grant(granted, None, self._life.clock.monotonic() + 1e6)

    def release(self, grant, outcome, seconds):
        self._life.shard.slot_allocator.release(grant.granted.grant_id)


class Cell:
    """A platform and the simulated placers that run on it, one after another."""

    def __init__(self):
        document = json.loads((ROOT / "deploy/footfall/bundle.json").read_text())
        self.bundle = Bundle.from_document(document)
        self.clock = ManualClock(1e6)
        self.platform = Platform(self.clock, service_seconds=0)
        self.platform.fill(self.bundle, URL)
        self.lives = []

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        for placer in self.lives:
            placer.end()

    def start(self, name, faults=None, shard=SHARD):
        """Start a placer that takes over the shard, with faults to be armed."""
        placer = SimulatedPlacer(self, name)
        self.lives.append(placer)
        placer.take_shard(shard, faults or {})
        return placer

    def runs(self, request_id):
        return self.platform.instances.runs().get(request_id, 0)


class SimulatedPlacer:
    """One placer process from its start to its crash, driven by the test.

    Its faults are armed when the first work is submitted or run.
    """

    def __init__(self, cell, name):
        self.cell = cell
        self.clock = cell.clock
        self.pool = FaultyPool(cell.platform)
        self.process = process = SimpleNamespace(
            clock=cell.clock,
            executor=ThreadPoolExecutor(40),
            generator=random.Random(7),
            is_draining=False,
            stop_event=threading.Event(),
            objects=ObjectStore(URL + "/objects", self.pool),
            pauses=PauseDetector(cell.clock, 1e9),
            peers=SimpleNamespace(entries=HostList(URL + "/hosts", self.pool).fetch()),
            settings=SimpleNamespace(host_name=name, journal_linger_seconds=0.0),
            table=Table(URL + "/table", self.pool),
            watcher=SimpleNamespace(bundle=cell.bundle, sequence=1),
        )
        self.instances = instances = InstanceClient(self.pool)
        self.reconciler = reconciler = HostReconciler(
            WorkerClient(self.pool), instances, process.executor
        )
        self.dispatcher = WorkDispatcher(process)
        slots = ShardSlots(self)
        self.runner = RequestRunner(process, slots, instances, self.dispatcher)
        self.loop = WorkLoop(process, self.dispatcher, lambda item: self.runner)
        bucket = TokenBucket(1e6, 1e6, cell.clock)
        self.owner = ShardOwner(
            process, reconciler, bucket, self._resume, self._on_shard_closed
        )
        self.shard = None
        self._closed = []

    def take_shard(self, name, faults):
        row = read_shard(self.process.table, name)
        self.pool.arm({})
        self.pool.operations.clear()
        self.pool.is_armed = False
        self._armed = faults
        self.shard = self.owner.take_over(row)

    def refresh(self):
        """Refresh the hosts, as a placer does at each poll."""
        self.reconciler.refresh(self.shard, self.process.peers.entries, 1)

    def submit(self, service=ONCE, key="k1", payload=b"1", wait=8.0):
        """Submit work to the dispatcher, as a gateway does."""
        if not self.pool.is_armed:
            self.pool.arm(self._armed)
        wanted = Submit(
            shard=self.shard.name,
            request_id=f"{self.shard.name}.{key}",
            kind="request",
            name=service,
            caller="anyone",
            payload=payload,
            payload_digest=digest_of(payload),
            deadline_milliseconds=int((self.clock.time() + 600) * 1000),
            wait_milliseconds=int(wait * 1000),
            job="",
        )
        policy = self.cell.bundle.services[service]
        return self.dispatcher.submit(self.shard, wanted, policy)

    def run_all(self):
        """Run due work until all of it has ended or the process was killed."""
        if not self.pool.is_armed:
            self.pool.arm(self._armed)
        for _ in range(60):
            if self.pool.dead.is_set():
                return
            found = self.dispatcher.take(0)
            if found is not None:
                self._run(*found)
            elif all(item.ended for item in self.shard.work_index.items):
                return
            else:
                self.clock.advance(1.0)
                self.settle()

    def run_next(self):
        """Run the next due item."""
        if not self.pool.is_armed:
            self.pool.arm(self._armed)
        self._run(*self.dispatcher.take(0))

    def start_run(self):
        """Start a thread that runs the next due item, and return the thread."""
        thread = threading.Thread(target=self.run_next, daemon=True)
        thread.start()
        return thread

    @contextlib.contextmanager
    def paused_journal(self):
        """Block the journal's writer, so that records are queued."""
        with self.shard.journal._write_lock:
            yield

    def wait_for_records(self, count):
        """Wait until this number of records is queued in the journal."""
        while len(self.shard.journal._entries) < count:
            self.pool.dead.wait(0.002)

    def break_next_answer(self):
        """Raise an unexpected error after each further call to an instance."""
        call = self.instances.call

        def broken(*arguments):
            call(*arguments)
            raise RuntimeError("a fault of ours")

        self.runner._instances = SimpleNamespace(call=broken)

    def settle(self):
        """Wait until the journal has written its queue, or the process was killed."""
        written = threading.Event()
        if self.shard.is_closed:
            return
        while not written.is_set() and not self.pool.dead.is_set():
            if self.shard.journal.is_idle:
                written.set()
            else:
                self.clock.advance(0.3)
                self.pool.dead.wait(0.005)

    def end(self):
        """Terminate the process: its threads end at their next operation."""
        self.pool.dead.set()
        self.process.stop_event.set()
        shards = {self.shard, *self.owner.shards, *self._closed} - {None}
        for shard in shards:
            shard.journal.close()
        self.process.executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, shard, item):
        done = queue.SimpleQueue()

        def run():
            try:
                self.loop.run_one(shard, item)
            except Killed:
                pass
            finally:
                done.put(True)

        threading.Thread(target=run, daemon=True).start()
        while not self.pool.dead.is_set():
            try:
                done.get(timeout=0.005)
                return
            except queue.Empty:
                self.clock.advance(0.3)

    def _resume(self, shard, loaded):
        for item in loaded:
            if item.state == "waiting":
                self.dispatcher.enqueue(shard, item)
            elif item.state == "running":
                self.runner.recover(shard, item)

    def _on_shard_closed(self, shard):
        self._closed.append(shard)
        self.dispatcher.fail_shard_waiters(shard)
