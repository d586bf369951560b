import pytest

from papayapick.clients import NotSent, WorkerClient
from papayapick.journal import Accepted
from papayapick.journal.queries import read_journal
from papayapick.placer.jobs import JobRunner
from papayapick.placer.work import WorkDispatcher
from tests.fakes.pool import InProcessPool
from tests.ownership.small_cell import CAPACITY, SmallCell

LEASE = 10.0


class UnreachablePool(InProcessPool):
    """Fail every request as not sent."""

    def request(self, method, url, *rest, **more):
        raise NotSent(url=url)


class Owner:
    """Run the shard's jobs as one of its owners."""

    def __init__(self, cell, name, pool=None):
        self.cell = cell
        self.shard = cell.take_over(name)
        process = cell.process()
        self.dispatcher = WorkDispatcher(process)
        workers = WorkerClient(pool) if pool else cell.workers
        self.runner = JobRunner(process, workers, self.dispatcher)

    def read_journal(self):
        """Load what the earlier owner journaled."""
        platform = self.cell.platform
        state = read_journal(platform.table, platform.objects, self.shard.name)
        self.shard.use_journal(state)

    def run(self, item):
        task = self.cell.executor.submit(self.shard.journal.run)
        self.runner.run(self.shard, item)
        return task

    def renew(self):
        self.runner.renew(self.shard)

    def is_rerun(self):
        """Return whether the job was dispatched again."""
        self.cell.clock.advance(0.3)
        return self.dispatcher.take(0) is not None


@pytest.fixture
def cell():
    with SmallCell(["worker-1", "worker-2"]) as found:
        yield found


def start(cell, owner):
    """Journal and start a job whose single member fills a worker."""
    job = {"members": 1, "demand": CAPACITY, "work": {"run_seconds": 9999}}
    record = Accepted("r", "job", "model", "", "", "", "", 9e9, True, job)
    owner.shard.journal.append(record)
    owner.shard.journal.write_segment()
    item = owner.shard.work_index.get("r")
    task = owner.run(item)
    assert places(cell) == 1
    return task


def recover_and_renew(cell, earlier, successor):
    """Let the successor recover the job; both owners renew for over three leases."""
    successor.read_journal()
    successor.runner.recover(successor.shard, successor.shard.work_index.get("r"))
    for _ in range(8):
        cell.clock.advance(LEASE * 0.4)
        earlier.renew()
        successor.renew()


def places(cell):
    """Return on how many workers the job runs."""
    return sum(len(tasks) for tasks in cell.platform.workers.running().values())


@pytest.mark.parametrize("answer_is_lost", [False, True])
def test_an_unreachable_worker_keeps_its_job_until_the_lease_expires(
    cell, answer_is_lost
):
    """The lease is renewed after four seconds, with or without an answer; then the
    worker becomes unreachable. If the lease were measured from the start of the
    job, it would seem expired after ten seconds, and the job would run on two
    workers until second fourteen.
    """
    owner = Owner(cell, "placer-a")
    start(cell, owner)
    host = host_of(owner)
    cell.clock.advance(4)
    if answer_is_lost:
        cell.platform.board.set(host, "lose_answers", 1)
    owner.renew()
    cell.platform.board.set(host, "down")
    for _ in range(9):
        cell.clock.advance(1)
        owner.renew()
    assert places(cell) == 1
    assert not owner.is_rerun()
    for _ in range(8):
        cell.clock.advance(1)
        owner.renew()
    assert places(cell) == 0
    assert owner.is_rerun()


def test_a_worker_reachable_again_within_its_lease_keeps_its_job(cell):
    """After eight seconds without contact the job is renewed and not restarted."""
    owner = Owner(cell, "placer-a")
    start(cell, owner)
    cell.platform.board.set(host_of(owner), "down")
    for _ in range(8):
        cell.clock.advance(1)
        owner.renew()
    cell.platform.board.clear(host_of(owner))
    for _ in range(30):
        cell.clock.advance(1)
        owner.renew()
    assert places(cell) == 1
    assert not owner.is_rerun()


def test_a_successor_does_not_restart_the_job_of_an_unreachable_worker(cell):
    """A has lost the table and its peers but continues to renew. B takes the shard
    over and can't reach the worker. However long B waits by its own clock, the
    job may still run on that worker.
    """
    earlier = Owner(cell, "placer-a")
    start(cell, earlier)
    successor = Owner(cell, "placer-b", UnreachablePool(cell.platform))
    # B has not fenced the worker, whose fence is still at A's epoch.
    cell.platform.workers._workers[host_of(earlier)].epoch = earlier.shard.epoch
    recover_and_renew(cell, earlier, successor)
    assert places(cell) == 1
    assert not successor.is_rerun()


def host_of(owner):
    return owner.shard.work_index.get("r").started.places[0]["host"]


def test_a_job_whose_worker_is_not_listed_is_not_restarted(cell):
    """The host list is outdated and omits a worker that still runs the job. No stop
    can be sent, and the job must not count as stopped.
    """
    earlier = Owner(cell, "placer-a")
    start(cell, earlier)
    cell.entries = [entry for entry in cell.entries if entry.name != host_of(earlier)]
    successor = Owner(cell, "placer-b")
    recover_and_renew(cell, earlier, successor)
    assert places(cell) == 1
    assert not successor.is_rerun()
