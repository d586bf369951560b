"""Jobs run whole, once, and end truthfully whatever their workers do."""

import threading
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from papayapick.clients import WorkerUnreachable
from papayapick.journal import Ended
from papayapick.ledger import Amounts
from tests.placer.jobcells import LEASE_SECONDS, JobCell

WORKER = Amounts(4000, 8192)
STALL_SECONDS = 5


def cell_of(workers, capacity=WORKER):
    return JobCell({f"worker-{number}": capacity for number in range(workers)})


def test_a_job_of_several_members_starts_whole_and_ends_once():
    cell = cell_of(2)
    cell.submit("a", members=8, processors=1000, work={"run_seconds": 2})
    cell.step()
    assert len(cell.running()["a"]) == 8
    cell.run_for(3)
    assert cell.ended("a") == ("done", "")
    assert cell.shard.hosts.free("worker-0") == WORKER


def test_a_large_job_starts_although_small_ones_never_stop_coming():
    """A job of two whole workers is put back every fifth of a second for ever.

    Each time one of the workers has room, a small job that came later takes it.
    """
    cell = cell_of(2)
    for number in range(8):
        work = {"run_seconds": 5 + number}
        cell.submit(f"first-{number}", processors=1000, work=work)
    cell.step()
    cell.submit("large", members=2, processors=4000, work={"run_seconds": 1})
    for number in range(60):
        cell.submit(f"small-{number}", processors=1000, work={"run_seconds": 9})
        cell.step()
    assert cell.ended("large") == ("done", "")


def test_the_task_of_a_worker_that_was_cut_off_is_not_started_twice():
    """A job is counted twice: it runs on two workers.

    Its worker renewed the lease a moment before it was cut off, long after the
    start. A lease counted from the start is over at once, and the job is started
    on another worker while the first still runs it.
    """
    cell = cell_of(2)
    cell.submit("a", processors=1000, work={"run_seconds": 500})
    cell.run_for(3 * LEASE_SECONDS)
    (worker,) = cell.running()["a"]
    cell.pool.cut.add(worker)
    for _ in range(120):
        cell.step()
        assert len(cell.running().get("a", ())) <= 1
    assert cell.running()["a"] != [worker]


def test_a_cut_that_mends_within_the_lease_moves_nothing():
    cell = cell_of(2)
    cell.submit("a", processors=1000, work={"run_seconds": 60})
    cell.run_for(20)
    (worker,) = cell.running()["a"]
    cell.pool.cut.add(worker)
    cell.run_for(LEASE_SECONDS / 2)
    cell.pool.cut.clear()
    cell.run_for(40)
    assert cell.ended("a") == ("done", "")
    assert cell.item("a").attempts == 1


@pytest.mark.parametrize(
    ("kind", "detail", "attempts"),
    [("batch", "work.fails-everywhere", 3), ("once", "work.member-failed", 1)],
)
def test_a_job_that_fails_on_every_host_is_ended(kind, detail, attempts):
    """A job that can't run takes room for ever.

    It fails wherever it is started and is started again; its caller waits until
    the deadline. One not to be repeated is started once.
    """
    cell = cell_of(5)
    cell.submit("a", kind, processors=1000, work={"fail": True})
    cell.run_for(30)
    assert cell.ended("a") == ("failed", detail)
    assert cell.item("a").attempts == attempts
    assert not cell.shard.failures.aside


def test_a_job_past_its_bound_is_stopped():
    """A large job waits past the time it was promised.

    A run that should be over goes on and holds the room.
    """
    cell = cell_of(1)
    cell.submit("a", processors=1000, work={"run_seconds": 5000})
    cell.run_for(602)
    assert cell.ended("a") == ("failed", "work.run-time-over")
    assert cell.running() == {}


def test_work_that_ran_once_is_never_told_as_not_run():
    """A member is told "not run", and the work had run.

    The first start failed after it had begun; the deadline passed while the job
    waited for its next start.
    """
    cell = cell_of(1)
    cell.submit("a", processors=4000, timeout=8, work={"run_seconds": 100})
    cell.step()
    cell.pool.cut.add("worker-0")
    cell.run_for(40)
    assert cell.ended("a") == ("unknown", "work.deadline-over")


def test_work_that_never_started_is_told_as_not_run():
    cell = cell_of(1)
    cell.submit("a", processors=4000, work={"run_seconds": 100})
    cell.step()
    cell.submit("b", processors=4000, timeout=8)
    cell.run_for(10)
    assert cell.ended("b") == ("not_run", "work.deadline-over")


def test_a_cancelled_job_never_starts():
    cell = cell_of(1)
    cell.submit("a", processors=4000, work={"run_seconds": 5})
    cell.step()
    cell.submit("b", processors=4000, work={"run_seconds": 5})
    cell.step()
    assert cell.dispatcher.cancel(cell.shard, "b").result().outcome == "not_run"
    cell.run_for(10)
    assert cell.ended("b") == ("not_run", "work.cancelled")
    assert cell.item("b").attempts == 0
    assert cell.shard.hosts.free("worker-0") == WORKER


def test_a_worker_that_fails_everything_stops_getting_jobs():
    """Every job goes to the one worker that fails all, as it is always free."""
    cell = cell_of(12)
    broken = "worker-0"
    for number in range(60):
        cell.submit(f"job-{number}", processors=500, work={"run_seconds": 2})
        cell.step()
        for task in cell.workers._workers[broken].tasks.values():
            task.work["fail"] = True
    assert cell.shard.failures.aside == {broken}
    cell.run_for(40)
    outcomes = {cell.ended(f"job-{number}") for number in range(60)}
    assert outcomes == {("done", "")}


def test_an_urgent_job_pauses_deferred_work_which_still_arrives():
    """An urgent job waits for an overnight job that fills the cell.

    The overnight job has hours to spare. It is checkpointed, and goes on from
    there once the urgent job is over.
    """
    cell = cell_of(2)
    cell.submit("night", members=2, processors=4000, work={"run_seconds": 100})
    cell.run_for(60)
    cell.submit("rush", "rush", processors=4000, work={"run_seconds": 10})
    cell.run_for(1)
    assert set(cell.running()) == {"rush"}
    cell.run_for(52)
    assert cell.ended("rush") == ("done", "")
    assert cell.ended("night") == ("done", "")
    assert cell.item("night").attempts == 2


@pytest.mark.parametrize(("kind", "timeout"), [("once", 86400), ("batch", 700)])
def test_work_that_must_not_pause_runs_on(kind, timeout):
    """A deferred job misses its deadline, or a fee run is started again.

    It was paused for an urgent job although its deadline is near, or although
    it must not be started twice.
    """
    cell = cell_of(1)
    work = {"run_seconds": 20}
    cell.submit("held", kind, processors=4000, timeout=timeout, work=work)
    cell.run_for(5)
    cell.submit("rush", "rush", processors=4000, work={"run_seconds": 1})
    cell.run_for(5)
    assert set(cell.running()) == {"held"}
    cell.run_for(20)
    assert (cell.ended("held"), cell.ended("rush")) == (("done", ""), ("done", ""))


def test_a_pause_that_one_worker_does_not_answer_runs_nothing_twice():
    """One member is saved, the other runs on, and the job is started again.

    Its worker can't be reached while the job is paused; until its lease is over
    the member may run there.
    """
    cell = cell_of(2)
    cell.submit("night", members=2, processors=4000, work={"run_seconds": 100})
    cell.run_for(30)
    cell.pool.cut.add("worker-1")
    cell.submit("rush", "rush", processors=4000, work={"run_seconds": 1})
    for _ in range(80):
        cell.step()
        tasks = cell.workers.running()["worker-1"]
        assert len(tasks) <= 1
    cell.pool.cut.clear()
    cell.run_for(140)
    assert cell.ended("rush") == ("done", "")
    assert cell.ended("night") == ("done", "")
    assert cell.workers.overfilled() == 0


def test_a_cancelled_job_keeps_no_room_from_others():
    """A small job waits for the turn of a large one that was cancelled."""
    cell = cell_of(2)
    cell.submit("first", processors=4000, work={"run_seconds": 500})
    cell.step()
    cell.submit("large", members=2, processors=4000, work={"run_seconds": 1})
    cell.submit("small", processors=4000, work={"run_seconds": 1})
    cell.run_for(3)
    assert "small" not in cell.running()
    cell.dispatcher.cancel(cell.shard, "large")
    cell.run_for(3)
    assert cell.ended("small") == ("done", "")


def test_an_outcome_whose_write_was_lost_is_written_again():
    """A caller asks for a job for ever and hears that it runs.

    It has ended, but the table was down and its outcome was never written. The
    job holds no room, so nothing looks at it again.
    """
    cell = cell_of(1)
    cell.submit("a", processors=4000, work={"run_seconds": 2})
    cell.step()
    cell.shard.journal = LosingJournal(cell.shard.journal)
    cell.run_for(5)
    (lost,) = cell.shard.journal.lost
    assert cell.ended("a") is None
    lost.settled.set_result(False)
    assert cell.ended("a") == ("done", "")


class LosingJournal:
    """Leave the fate of the first outcome open."""

    def __init__(self, journal):
        self.journal = journal
        self.lost = []

    def append(self, record, must_last=False):
        if isinstance(record, Ended) and not self.lost:
            self.lost.append(SimpleNamespace(settled=Future()))
            return self.lost[0]
        return self.journal.append(record, must_last)


@pytest.mark.parametrize(
    ("members", "processors", "holds"),
    [(8, 1000, True), (9, 1000, False), (2, 3000, True), (3, 3000, False)],
)
def test_a_job_that_its_shard_can_never_hold_is_known_at_once(
    members, processors, holds
):
    """A job of nine members waits for a day on a shard that holds eight."""
    hosts = cell_of(2).shard.hosts
    assert hosts.could_hold(Amounts(processors), members) is holds


class StallingPool:
    """Hold the call of one worker until the other worker has been called."""

    def __init__(self, pool):
        self.pool = pool
        self.first = None
        self.other = threading.Event()

    def request(self, method, url, data):
        if not url.endswith("/leases"):
            return self.pool.request(method, url, data)
        self.first = self.first or url
        if url != self.first:
            self.other.set()
        elif not self.other.wait(STALL_SECONDS):
            raise WorkerUnreachable(worker=url)
        return self.pool.request(method, url, data)


def test_workers_that_do_not_answer_hold_up_no_others_lease():
    """A rack goes, and jobs on sound workers end with it.

    Each lost worker answers by a timeout. Called one after the other they take
    longer than a lease, and the leases of all others lapse meanwhile.
    """
    cell = cell_of(2)
    cell.submit("a", members=2, processors=4000, work={"run_seconds": 1})
    cell.step()
    stalling = StallingPool(cell.pool)
    cell.client._pool = stalling
    cell.clock.advance(2.0)
    with ThreadPoolExecutor(8) as executor:
        cell.runner._members._executor = executor
        cell.runner.renew(cell.shard)
    assert stalling.other.is_set()
    assert cell.ended("a") == ("done", "")
