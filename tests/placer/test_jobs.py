"""Jobs start all members or none, run once and end with the right outcome."""

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


def test_all_members_of_a_job_start_together_and_end_once():
    cell = cell_of(2)
    cell.submit("a", members=8, processors=1000, work={"run_seconds": 2})
    cell.step()
    assert len(cell.running()["a"]) == 8
    cell.run_for(3)
    assert cell.ended("a") == ("done", "")
    assert cell.shard.hosts.free("worker-0") == WORKER


def test_large_job_starts_under_a_constant_arrival_of_small_jobs():
    """Guards against starvation of large jobs.

    A job that needs two idle workers never starts if small jobs that arrive later
    take the room whenever one of the workers has some.
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


def test_task_of_an_unreachable_worker_is_not_started_twice():
    """Guards against a job that runs on two workers at once.

    The lease was renewed just before its worker became unreachable, long after
    the start. A lease counted from the start would have expired at once, and the
    job would be started on another worker while the first still runs it.
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


def test_interruption_shorter_than_the_lease_restarts_nothing():
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
def test_job_that_fails_on_every_host_is_ended(kind, detail, attempts):
    """Guards against a failing job that is restarted until its deadline.

    A job that can't run would hold room and keep its caller waiting. A job that
    is not repeatable is started once.
    """
    cell = cell_of(5)
    cell.submit("a", kind, processors=1000, work={"fail": True})
    cell.run_for(30)
    assert cell.ended("a") == ("failed", detail)
    assert cell.item("a").attempts == attempts
    assert not cell.shard.failures.quarantined


def test_job_past_its_run_time_bound_is_stopped():
    """Guards against runs that exceed their bound.

    The room of such a run may be reserved for a large job, which would then start
    later than planned.
    """
    cell = cell_of(1)
    cell.submit("a", processors=1000, work={"run_seconds": 5000})
    cell.run_for(602)
    assert cell.ended("a") == ("failed", "work.run-time-over")
    assert cell.running() == {}


def test_work_that_may_have_run_does_not_end_as_not_run():
    """Guards against the outcome "not run" for work that has run.

    The worker became unreachable after the first start, and the deadline passed
    while the job waited for its next start.
    """
    cell = cell_of(1)
    cell.submit("a", processors=4000, timeout=8, work={"run_seconds": 100})
    cell.step()
    cell.pool.cut.add("worker-0")
    cell.run_for(40)
    assert cell.ended("a") == ("unknown", "work.deadline-over")


def test_work_that_never_started_ends_as_not_run():
    cell = cell_of(1)
    cell.submit("a", processors=4000, work={"run_seconds": 100})
    cell.step()
    cell.submit("b", processors=4000, timeout=8)
    cell.run_for(10)
    assert cell.ended("b") == ("not_run", "work.deadline-over")


def test_cancelled_job_never_starts():
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


def test_worker_that_fails_all_jobs_gets_no_more():
    """Guards against a broken worker that attracts all jobs by being free."""
    cell = cell_of(12)
    broken = "worker-0"
    for number in range(60):
        cell.submit(f"job-{number}", processors=500, work={"run_seconds": 2})
        cell.step()
        for task in cell.workers._workers[broken].tasks.values():
            task.work["fail"] = True
    assert cell.shard.failures.quarantined == {broken}
    cell.run_for(40)
    outcomes = {cell.ended(f"job-{number}") for number in range(60)}
    assert outcomes == {("done", "")}


def test_urgent_job_pauses_deferred_work_that_is_resumed_later():
    """Guards against an urgent job that waits for an overnight job.

    The overnight job fills the cell and has hours until its deadline. It is
    checkpointed and resumed after the urgent job has ended.
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
def test_work_that_must_not_be_paused_continues(kind, timeout):
    """Guards against a pause that costs the deadline or starts a job twice.

    A deferred job is not paused for an urgent one if its deadline is near, or if
    it is not repeatable and so must not be started again.
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


def test_pause_with_an_unreachable_worker_runs_nothing_twice():
    """Guards against a restart while a member of the paused job still runs.

    One member is checkpointed. The worker of the other one is unreachable and may
    run its member until the lease has expired.
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


def test_cancelled_job_holds_no_reservation():
    """Guards against a small job that waits behind a cancelled large one."""
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


def test_outcome_whose_write_was_lost_is_written_again():
    """Guards against a job that is reported as running for ever.

    The job has ended, but its outcome was not written since the table was down.
    The job holds no room by then, so nothing else would end it.
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
    """Leave the write of the first outcome unsettled."""

    def __init__(self, journal):
        self.journal = journal
        self.lost = []

    def append(self, record, must_persist=False):
        if isinstance(record, Ended) and not self.lost:
            self.lost.append(SimpleNamespace(settled=Future()))
            return self.lost[0]
        return self.journal.append(record, must_persist)


@pytest.mark.parametrize(
    ("members", "processors", "holds"),
    [(8, 1000, True), (9, 1000, False), (2, 3000, True), (3, 3000, False)],
)
def test_job_that_its_shard_can_never_hold_is_detected(members, processors, holds):
    """Guards against a job of nine members waiting on a shard that holds eight."""
    hosts = cell_of(2).shard.hosts
    assert hosts.could_hold(Amounts(processors), members) is holds


class StallingPool:
    """Block the renewal at one worker until the other worker has been called."""

    def __init__(self, pool):
        self.pool = pool
        self.first = None
        self.other = threading.Event()

    def request(self, method, url, data, **options):
        if not url.endswith("/leases"):
            return self.pool.request(method, url, data)
        self.first = self.first or url
        if url != self.first:
            self.other.set()
        elif not self.other.wait(STALL_SECONDS):
            raise WorkerUnreachable(worker=url)
        return self.pool.request(method, url, data)


def test_unresponsive_workers_do_not_delay_the_renewal_of_others():
    """Guards against a rack failure that ends jobs on healthy workers.

    Each failed worker answers only by a timeout. Sequential calls would take
    longer than a lease, and the leases of all other workers would expire.
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
