"""Lives of a placer: its real parts in one process, over in-process stand-ins."""

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
WATCHED = ("/table/transactions", "/objects/", "/instances/")
SECONDS = 20


class Killed(BaseException):
    """End a thread of a process that is dead."""


class FaultyPool(InProcessPool):
    """Carry requests to the stand-ins and do what the faults say.

    Operations on the way of durable work are numbered from 1 once ``arm`` was
    called; ``faults`` gives the fault of a number.
    """

    def __init__(self, platform):
        super().__init__(platform)
        self.faults = {}
        self.operations = []
        self.is_armed = False
        self.failing_object_read = 0
        self.object_reads = 0
        self.dead = threading.Event()
        self._held = 0
        self._go = threading.Event()
        self._late = []
        self._lock = threading.Lock()

    def arm(self, faults):
        self.faults = dict(faults)
        self.is_armed = True

    def request(self, method, url, body=None, headers=None, *unused, check=None):
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
            self._late.append((method, url, body, headers))
            raise AnswerMissing(url=url)
        answer = super().request(method, url, body, headers)
        while self._late:
            super().request(*self._late.pop())
        if fault == KILLED_AFTER:
            self._die()
        if fault == LOST or answer is None:
            raise AnswerMissing(url=url)
        return answer

    def hold(self, number):
        """Let an operation wait until ``let_go``."""
        self._held = number
        self._go.clear()

    def let_go(self):
        self._go.set()

    def wait_for_operations(self, count):
        while len(self.operations) < count:
            self.dead.wait(0.002)

    def _next_fault(self, method, url):
        is_watched = method != "GET" and any(part in url for part in WATCHED)
        with self._lock:
            if not self.is_armed or not is_watched or url.endswith("/fence"):
                return None
            self.operations.append(url)
            number = len(self.operations)
        if number == self._held:
            self._go.wait(SECONDS)
        return self.faults.get(number)

    def _die(self):
        self.dead.set()
        raise Killed


class DeskSlots:
    """Give slots straight from the shard's own desk."""

    def __init__(self, life):
        self._life = life

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
    """A platform, and the lives that follow one another on it."""

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
        for life in self.lives:
            life.end()

    def start(self, name, faults=None, shard=SHARD):
        """Start a life, let it take the shard, and arm its faults."""
        life = Life(self, name)
        self.lives.append(life)
        life.take(shard, faults or {})
        return life

    def runs(self, request_id):
        return self.platform.instances.runs().get(request_id, 0)


class Life:
    """One process from its start to its death, stepped by the test."""

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
        self.keeper = keeper = HostReconciler(
            WorkerClient(self.pool), instances, process.executor
        )
        self.desk = WorkDispatcher(process)
        slots = DeskSlots(self)
        self.runner = RequestRunner(process, slots, instances, self.desk)
        self.loop = WorkLoop(process, self.desk, lambda item: self.runner)
        bucket = TokenBucket(1e6, 1e6, cell.clock)
        self.owner = ShardOwner(process, keeper, bucket, self._resume, self._left)
        self.shard = None
        self._closed = []

    def take(self, name, faults):
        row = read_shard(self.process.table, name)
        self.pool.arm({})
        self.pool.operations.clear()
        self.pool.is_armed = False
        self._armed = faults
        self.shard = self.owner.take_over(row)

    def refresh(self):
        """Look at the hosts again, as the placer does at each poll."""
        self.keeper.refresh(self.shard, self.process.peers.entries, 1)

    def submit(self, service=ONCE, key="k1", payload=b"1", wait=8.0):
        """Hand work to the desk as a gateway would."""
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
        return self.desk.submit(self.shard, wanted, policy)

    def run_all(self):
        """Run what comes due until nothing is left or the process is dead."""
        if not self.pool.is_armed:
            self.pool.arm(self._armed)
        for _ in range(60):
            if self.pool.dead.is_set():
                return
            found = self.desk.take(0)
            if found is not None:
                self._run(*found)
            elif all(item.ended for item in self.shard.work_index.items):
                return
            else:
                self.clock.advance(1.0)
                self.settle()

    def run_next(self):
        """Run one item that is due."""
        if not self.pool.is_armed:
            self.pool.arm(self._armed)
        self._run(*self.desk.take(0))

    def start_run(self):
        """Start the run of an item that is due, and return its thread."""
        thread = threading.Thread(target=self.run_next, daemon=True)
        thread.start()
        return thread

    @contextlib.contextmanager
    def held(self):
        """Hold the journal's writer back, so that records gather."""
        with self.shard.journal._write_lock:
            yield

    def wait_for_records(self, count):
        """Wait until so many records gathered."""
        while len(self.shard.journal._entries) < count:
            self.pool.dead.wait(0.002)

    def break_next_answer(self):
        """Let the handling of the next answer fail unexpectedly."""
        call = self.instances.call

        def broken(*arguments):
            call(*arguments)
            raise RuntimeError("a fault of ours")

        self.runner._instances = SimpleNamespace(call=broken)

    def settle(self):
        """Wait until the journal has written what it holds, or is dead."""
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
        """Drop the process: none of its threads does anything any more."""
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

    def _resume(self, shard):
        for item in shard.work_index.items:
            if item.state == "waiting":
                self.desk.enqueue(shard, item)
            elif item.state == "running":
                self.runner.recover(shard, item)

    def _left(self, shard):
        self._closed.append(shard)
        self.desk.fail_shard_waiters(shard)
