"""Orders to workers that do not answer, and what they must not delay."""

import itertools
import threading
import time

import pytest

from papayapick.clients.exceptions import AnswerMissing
from papayapick.jobs import JobDocument, Queue, Run, RunPhase, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.store_sync import _POLLED_AT_ONCE
from papayapick.pool.workers.reports import StartOutcome
from tests.pool.owners import register, report
from tests.pool.standins import QUEUE, Host, ManualExecutor

LOW_PRIORITY = Queue("p", "h", "/p/", "pool", 2, 2, 1.5, 0.5, 3.0, False, None)
# Every order is sent within this time on any machine that runs the tests.
SOON_SECONDS = 5.0
# An order that is not sent within this time is not sent at all, as idle threads start
# at once.
NEVER_SECONDS = 0.6
LARGE_POOL = 800
# Time limit for what takes hundreds of threads.
MANY_THREADS_SECONDS = 30.0


class FakeClient:
    """Fake of a worker's client that can leave orders unanswered.

    Parameters
    ----------
    is_unreachable : bool
        Whether orders are answered only once ``may_answer`` is set.
    """

    is_refused = False

    def __init__(self, is_unreachable):
        self.may_answer = threading.Event()
        if not is_unreachable:
            self.may_answer.set()
        self.started = []
        self.stops = 0

    def start(self, run, *rest):
        self.may_answer.wait(SOON_SECONDS)
        self.started.append(run)
        return StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        self.stops += 1
        self.may_answer.wait(SOON_SECONDS)
        raise WorkerSilent(worker="w")


class Pool:
    """An owner that sends its orders by threads, and the clients of its workers."""

    def __init__(self, workers, unreachable):
        self.host = Host()
        self.rounds = 0
        self.host.broadcast = self._note_round
        for number in range(workers):
            register(self.host, f"w{number}")
        self.owner = PoolOwner(self.host, PoolRow("pool", "h1", 3, "a:1", 9), True)
        self.owner._executor.shutdown()
        self.owner._executor = ManualExecutor()
        self.owner.store_sync.load()
        self.clients = {}
        for worker, link in self.owner.links_by_worker.items():
            report(self.owner, worker)
            link.lease.note_clock(50.0)
            link.client = self.clients[worker] = FakeClient(worker in unreachable)

    def _note_round(self, owner):
        self.rounds += 1

    def hand_in(self, number, tasks, queue=QUEUE):
        step = Step(tasks, Amounts(1000, 10))
        document = JobDocument(f"{number:016x}", "q", "pool", "t", [step], 0.0)
        with self.owner.lock:
            return self.owner.job_registry.add(document, queue, self.owner.now())

    def decide(self):
        """Wait for one scheduling round, and send the starts of placed tasks."""
        rounds = self.rounds
        self.owner.wake()
        assert wait_until(lambda: self.rounds > rounds)
        with self.owner.lock:
            self.owner.decisions.send_starts(self.owner.decisions.take_unsent())

    def answer_all(self):
        for client in self.clients.values():
            client.may_answer.set()

    def close(self):
        self.answer_all()
        self.owner.stop()


@pytest.fixture
def make_pool():
    pools = []

    def make(workers, unreachable=()):
        pools.append(Pool(workers, unreachable))
        return pools[-1]

    yield make
    for pool in pools:
        pool.close()


def wait_until(condition, seconds=SOON_SECONDS / 2):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.002)
    return condition()


def ordered_run(number):
    key = TaskKey("f" * 16, 0, 0, number)
    return Run(key, 1, "w0", Amounts(10, 1), RunPhase.ORDERED, 0.0)


def test_unanswered_stops_delay_no_start(make_pool):
    """Starts must not be late while a quarter of the workers is unreachable.

    Each stop to such a worker occupies a thread until it times out, and is repeated.
    If all threads for orders hang, starts on reachable workers wait behind them until
    their tickets expire.
    """
    pool = make_pool(workers=2, unreachable={"w0"})
    owner = pool.owner
    with owner.lock:
        for number in range(1000):
            run = ordered_run(number)
            owner.rooms.get("w0").reserve(run)
            owner.orders.stop_once(run, owner.now())
        pool.hand_in(1, tasks=1)
        owner.decisions.place(owner.now())
        owner.decisions.send_starts(owner.decisions.take_unsent())
    assert wait_until(lambda: pool.clients["w1"].started)


def test_stop_is_not_repeated_while_it_is_in_progress(make_pool):
    """Stops must not pile up faster than they are sent.

    If a stop that waits for a thread is ordered again every 0.4 s, the backlog
    persists long after the workers are reachable again.
    """
    pool = make_pool(workers=1, unreachable={"w0"})
    owner = pool.owner
    run = ordered_run(0)
    with owner.lock:
        owner.rooms.get("w0").reserve(run)
        owner.orders.stop_once(run, owner.now())
    for _ in range(5):
        pool.host.clock.advance(0.5)
        with owner.lock:
            owner.ownership_status.note_confirmed(owner.now())
            owner.tick(owner.now())
    client = pool.clients["w0"]
    assert wait_until(lambda: client.stops)
    assert not wait_until(lambda: client.stops > 1, NEVER_SECONDS)
    client.may_answer.set()

    def is_ordered_again():
        pool.host.clock.advance(0.5)
        with owner.lock:
            owner.tick(owner.now())
        return client.stops > 1

    assert wait_until(is_ordered_again)


def test_stop_of_a_run_that_is_over_is_not_sent(make_pool):
    """Threads must not wait for lost workers, to stop runs that ended with them."""
    pool = make_pool(workers=1, unreachable={"w0"})
    owner = pool.owner
    runs = [ordered_run(number) for number in range(1000)]
    with owner.lock:
        for run in runs:
            owner.rooms.get("w0").reserve(run)
            owner.orders.stop_once(run, owner.now())
        owner.lost_runs.mark_all(owner.links_by_worker["w0"], "lease over")
    client = pool.clients["w0"]
    pool.answer_all()
    assert not wait_until(lambda: client.stops > len(runs) / 2, NEVER_SECONDS)


def test_no_more_is_placed_than_can_be_sent(make_pool):
    """A pool must not stall, with free capacity, after 30 s of unanswered orders.

    Tasks whose starts wait seconds for a thread reserve capacity until their tickets
    expire. They are then placed again behind all others, and urgent tasks wait behind
    those of lower priority.
    """
    workers = [f"w{number}" for number in range(400)]
    pool = make_pool(len(workers), unreachable=set(workers))
    owner = pool.owner
    decider = threading.Thread(target=owner.loop.run, daemon=True)
    decider.start()
    for number in range(100):
        pool.hand_in(number, tasks=10, queue=LOW_PRIORITY)
        pool.decide()
    placed = sum(len(room.runs) for room in owner.rooms)
    assert placed < 600
    urgent = pool.hand_in(1000, tasks=1)
    pool.answer_all()

    def is_urgent_begun():
        pool.decide()
        (run,) = urgent.occurrences[0][0].tasks[0].runs or (None,)
        return run is not None and run.phase == RunPhase.RUNNING

    assert wait_until(is_urgent_begun)
    assert wait_until(lambda: pool.decide() or not owner.job_registry.waiting_steps())
    owner.stop()
    decider.join(SOON_SECONDS)


class RaisingClient(FakeClient):
    """Fake of a client that raises an unexpected error."""

    def start(self, run, *rest):
        raise AttributeError("reason")


def test_start_that_ends_in_an_error_is_placed_again(make_pool):
    """A task must not stall forever because the answer to its start can't be read.

    If the error is lost with the thread that sent the start, the run remains ORDERED,
    is in no worker's report, and nothing is logged.
    """
    pool = make_pool(workers=1)
    owner = pool.owner
    pool.owner.links_by_worker["w0"].client = RaisingClient(is_unreachable=False)
    job = pool.hand_in(1, tasks=1)
    with owner.lock:
        owner.decisions.place(owner.now())
        owner.decisions.send_starts(owner.decisions.take_unsent())
    (task,) = job.occurrences[0][0].tasks
    (run,) = task.runs
    assert wait_until(lambda: run.phase == RunPhase.STOPPING)
    owner.orders.note_stop_confirmed(run)
    report(owner, "w0")
    assert not task.runs
    assert job.occurrences[0][0].waiting == {0}


class UnansweredConnections:
    """Fake of a connection pool that records the called workers and never answers.

    Each call ends after its time limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self.called = set()
        self.may_answer = threading.Event()

    def request(self, method, url, *args, timeout, **options):
        self.called.add(url)
        self._clock.wait(self.may_answer, timeout)
        raise AnswerMissing(url=url)

    def close(self):
        pass

    @property
    def connections(self):
        return self

    def is_refused(self, address):
        return False


def test_all_workers_of_a_large_pool_are_contacted():
    """No worker of a large pool may be left out silently.

    The links of the workers occupy threads for as long as a call lasts. If the last
    ones find none, their workers get no tasks, and a new owner holds all tasks that may
    run there until the longest lease has ended.
    """
    host = Host()
    host.worker_pool = UnansweredConnections(host.clock)
    for number in range(LARGE_POOL):
        register(host, f"w{number}")
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9), True)
    owner.store_sync.load()
    owner.submit("polls", owner.store_sync.begin_polls)

    checks = itertools.count()

    def are_all_contacted():
        # Seldom, as each advance wakes all threads.
        if next(checks) % 20 == 0:
            host.clock.advance(0.02)
            owner.ownership_status.note_confirmed(owner.now())
        return len(host.worker_pool.called) == LARGE_POOL

    try:
        assert wait_until(are_all_contacted, MANY_THREADS_SECONDS)
    finally:
        owner.stop()
        host.worker_pool.may_answer.set()


def test_new_owner_polls_its_workers_in_groups():
    """Guards against heartbeats that come too late as all workers are called at once.

    Other hosts take such an owner for silent, and so they do with the next one.
    """
    host = Host()
    host.worker_pool = UnansweredConnections(host.clock)
    for number in range(LARGE_POOL // 2):
        register(host, f"w{number}")
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9), True)
    owner.store_sync.load()
    owner.submit("polls", owner.store_sync.begin_polls)
    try:
        assert wait_until(lambda: len(host.worker_pool.called) == _POLLED_AT_ONCE)
        assert not wait_until(
            lambda: len(host.worker_pool.called) > _POLLED_AT_ONCE, NEVER_SECONDS
        )
        owner.has_read_state = True
        register(host, "late")
        owner.store_sync.note_worker_rows(host.rows[("servers", "")][-1:])
        assert wait_until(lambda: any("late" in url for url in host.worker_pool.called))
    finally:
        owner.stop()
        host.worker_pool.may_answer.set()
