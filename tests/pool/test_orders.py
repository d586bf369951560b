"""Orders to workers that do not answer: what they may hold up."""

import threading
import time

import pytest

from papayapick.clients.exceptions import AnswerMissing
from papayapick.jobs import JobDocument, Queue, Run, RunPhase, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.ownership.pools import PoolRow
from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.owner import PoolOwner
from papayapick.pool.reports import StartOutcome
from tests.pool.owners import register, report
from tests.pool.standins import QUEUE, Host, ManualExecutor

PATIENT = Queue("p", "h", "/p/", "pool", 2, 2, 1.5, 0.5, 3.0, False, None)
# Every order is sent within this on any machine that runs the tests.
SOON_SECONDS = 5.0
# What is not done after this is not done at all: threads that are free begin at once.
NEVER_SECONDS = 0.6
LARGE_POOL = 800


class Client:
    """Stand for a worker that leaves orders without an answer until it is let go."""

    def __init__(self, is_cut):
        self.let_go = threading.Event()
        if not is_cut:
            self.let_go.set()
        self.started = []
        self.stops = 0

    def start(self, run, *rest):
        self.let_go.wait(SOON_SECONDS)
        self.started.append(run)
        return StartOutcome.STARTED

    def stop(self, key, attempt, epoch):
        self.stops += 1
        self.let_go.wait(SOON_SECONDS)
        raise WorkerSilent(worker="w")


class Pool:
    """Hold an owner whose orders leave by threads, and the clients of its workers."""

    def __init__(self, workers, cut):
        self.host = Host()
        self.rounds = 0
        self.host.broadcast = self._note_round
        for number in range(workers):
            register(self.host, f"w{number}")
        self.owner = PoolOwner(self.host, PoolRow("pool", "h1", 3, "a:1", 9), True)
        self.owner._executor.shutdown()
        self.owner._executor = ManualExecutor()
        self.owner.sources.load()
        self.clients = {}
        for worker, link in self.owner.links_by_worker.items():
            report(self.owner, worker)
            link._worker_clock = 50.0
            link.client = self.clients[worker] = Client(worker in cut)

    def _note_round(self, owner):
        self.rounds += 1

    def hand_in(self, number, tasks, queue=QUEUE):
        step = Step(tasks, Amounts(1000, 10))
        document = JobDocument(f"{number:016x}", "q", "pool", "t", [step], 0.0)
        with self.owner.lock:
            return self.owner.book.add(document, queue, self.owner.now())

    def decide(self):
        """Let the owner decide once, and send what it has placed."""
        rounds = self.rounds
        self.owner.wake()
        assert wait_until(lambda: self.rounds > rounds)
        with self.owner.lock:
            self.owner.decisions.send_starts(self.owner.decisions.take_unsent())

    def let_go(self):
        for client in self.clients.values():
            client.let_go.set()

    def close(self):
        self.let_go()
        self.owner.stop()


@pytest.fixture
def pool_of():
    pools = []

    def make(workers, cut=()):
        pools.append(Pool(workers, cut))
        return pools[-1]

    yield make
    for pool in pools:
        pool.close()


def wait_until(is_so, seconds=SOON_SECONDS / 2):
    deadline = time.monotonic() + seconds
    while not is_so() and time.monotonic() < deadline:
        time.sleep(0.002)
    return is_so()


def ordered_run(number):
    key = TaskKey("f" * 16, 0, 0, number)
    return Run(key, 1, "w0", Amounts(10, 1), RunPhase.ORDERED, 0.0)


def test_stops_without_an_answer_hold_up_no_start(pool_of):
    """Refreshes begin seconds late while a quarter of the workers is cut off.

    Each stop to them took a thread for its whole time, again and again; all threads
    for orders hung, and starts at sound workers waited behind them until their
    tickets were too old.
    """
    pool = pool_of(workers=2, cut={"w0"})
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


def test_stop_is_not_ordered_again_while_it_is_under_way(pool_of):
    """Orders pile up faster than they are sent, long after the workers are back.

    A stop that waited for a thread was ordered anew every 0.4 s.
    """
    pool = pool_of(workers=1, cut={"w0"})
    owner = pool.owner
    run = ordered_run(0)
    with owner.lock:
        owner.rooms.get("w0").reserve(run)
        owner.orders.stop_once(run, owner.now())
    for _ in range(5):
        pool.host.clock.advance(0.5)
        with owner.lock:
            owner.standing.note_confirmed(owner.now())
            owner.tick(owner.now())
    client = pool.clients["w0"]
    assert wait_until(lambda: client.stops)
    assert not wait_until(lambda: client.stops > 1, NEVER_SECONDS)
    client.let_go.set()

    def is_ordered_again():
        pool.host.clock.advance(0.5)
        with owner.lock:
            owner.tick(owner.now())
        return client.stops > 1

    assert wait_until(is_ordered_again)


def test_stop_of_a_run_that_is_over_is_not_sent(pool_of):
    """Threads wait for workers that are gone, to stop what ended with them."""
    pool = pool_of(workers=1, cut={"w0"})
    owner = pool.owner
    runs = [ordered_run(number) for number in range(1000)]
    with owner.lock:
        for run in runs:
            owner.rooms.get("w0").reserve(run)
            owner.orders.stop_once(run, owner.now())
        owner.lists.mark_runs_lost(owner.links_by_worker["w0"], "lease over")
    client = pool.clients["w0"]
    pool.let_go()
    assert not wait_until(lambda: client.stops > len(runs) / 2, NEVER_SECONDS)


def test_no_more_is_placed_than_can_be_sent(pool_of):
    """The pool stands still, with room free, after 30 s of orders without answers.

    Tasks were placed that waited seconds for a thread. Their room was taken, their
    tickets grew too old, they were placed anew behind all others, and urgent tasks
    behind patient ones.
    """
    workers = [f"w{number}" for number in range(400)]
    pool = pool_of(len(workers), cut=set(workers))
    owner = pool.owner
    decider = threading.Thread(target=owner.loop.run, daemon=True)
    decider.start()
    for number in range(100):
        pool.hand_in(number, tasks=10, queue=PATIENT)
        pool.decide()
    placed = sum(len(room.runs) for room in owner.rooms)
    assert placed < 600
    urgent = pool.hand_in(1000, tasks=1)
    pool.let_go()

    def is_urgent_begun():
        pool.decide()
        (run,) = urgent.occurrences[0][0].tasks[0].runs or (None,)
        return run is not None and run.phase == RunPhase.RUNNING

    assert wait_until(is_urgent_begun)
    assert wait_until(lambda: pool.decide() or not owner.book.waiting_steps())
    owner.stop()
    decider.join(SOON_SECONDS)


class Startling(Client):
    """Stand for a client that ends in an error which nobody foresaw."""

    def start(self, run, *rest):
        raise AttributeError("reason")


def test_start_that_ends_in_an_error_is_placed_again(pool_of):
    """A task stands still for ever, beside free workers, and no line tells why.

    Reading the answer to its start failed, and the error ended with the task that had
    sent it: the run counted as ordered, and was on no list.
    """
    pool = pool_of(workers=1)
    owner = pool.owner
    pool.owner.links_by_worker["w0"].client = Startling(is_cut=False)
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


class Unanswering:
    """Leave every call to a worker without an answer; note who was called."""

    def __init__(self):
        self.called = set()
        self.let_go = threading.Event()

    def request(self, method, url, *args, **options):
        self.called.add(url)
        self.let_go.wait(SOON_SECONDS)
        raise AnswerMissing(url=url)


def test_all_workers_of_a_large_pool_are_asked():
    """Workers of a large pool are never used, and no line tells why.

    Each worker takes a thread, and the last ones found none. Until the longest lease
    was over, a new owner kept back all tasks that may run there.
    """
    host = Host()
    host.worker_pool = Unanswering()
    for number in range(LARGE_POOL):
        register(host, f"w{number}")
    owner = PoolOwner(host, PoolRow("pool", "h1", 3, "a:1", 9), True)
    owner.sources.load()
    try:
        assert wait_until(lambda: len(host.worker_pool.called) == LARGE_POOL)
    finally:
        owner.stop()
        host.worker_pool.let_go.set()
