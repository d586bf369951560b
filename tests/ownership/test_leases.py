import pytest

from papayapick.clients import NotSent, WorkerClient
from papayapick.journal import Accepted
from papayapick.journal.queries import read_journal
from papayapick.placer.jobs import JobRunner
from papayapick.placer.work import WorkDispatcher
from tests.fakes.pool import InProcessPool
from tests.ownership.small_cell import CAPACITY, SmallCell

LEASE = 10.0


class CutPool(InProcessPool):
    """Reach all but the workers."""

    def request(self, method, url, *rest, **more):
        raise NotSent(url=url)


class Owner:
    """Run jobs of the shard as one owner."""

    def __init__(self, cell, name, pool=None):
        self.cell = cell
        self.shard = cell.take_over(name)
        process = cell.process()
        self.desk = WorkDispatcher(process)
        workers = WorkerClient(pool) if pool else cell.workers
        self.runner = JobRunner(process, workers, self.desk)

    def read_journal(self):
        """Take over what the earlier owner journaled."""
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
        """Return whether the job was handed to the runners again."""
        self.cell.clock.advance(0.3)
        return self.desk.take(0) is not None


@pytest.fixture
def cell():
    with SmallCell(["worker-1", "worker-2"]) as found:
        yield found


def start(cell, owner):
    """Journal a job of one member that fills a worker, and start it."""
    job = {"members": 1, "demand": CAPACITY, "work": {"run_seconds": 9999}}
    record = Accepted("r", "job", "model", "", "", "", "", 9e9, True, job)
    owner.shard.journal.append(record)
    owner.shard.journal.write_segment()
    item = owner.shard.work_index.get("r")
    task = owner.run(item)
    assert places(cell) == 1
    return task


def places(cell):
    """Return in how many places the job runs."""
    return sum(len(tasks) for tasks in cell.platform.workers.running().values())


@pytest.mark.parametrize("answer_is_lost", [False, True])
def test_a_worker_cut_off_after_a_renewal_keeps_its_job_until_the_lease_is_over(
    cell, answer_is_lost
):
    """The lease is renewed after four seconds, with or without an answer, and
    the worker is cut off. Counted from the start, the lease seems over at ten
    seconds, and the job runs on two workers until fourteen.
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


def test_a_worker_that_comes_back_within_its_lease_goes_on_with_its_job(cell):
    """A cut of eight seconds ends; the job is renewed and not started twice."""
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


def test_a_successor_waits_for_the_word_of_a_worker_it_cannot_reach(cell):
    """A is cut from the table and its peers but goes on renewing. B takes the
    shard over and can't reach the worker; however long it waits by its own
    clock, the job may run there still.
    """
    earlier = Owner(cell, "placer-a")
    start(cell, earlier)
    successor = Owner(cell, "placer-b", CutPool(cell.platform))
    # The worker has not heard of B: its fence is still at A's epoch.
    cell.platform.workers._workers[host_of(earlier)].epoch = earlier.shard.epoch
    successor.read_journal()
    successor.runner.recover(successor.shard, successor.shard.work_index.get("r"))
    for _ in range(8):
        cell.clock.advance(LEASE * 0.4)
        earlier.renew()
        successor.renew()
    assert places(cell) == 1
    assert not successor.is_rerun()


def host_of(owner):
    return owner.shard.work_index.get("r").started.places[0]["host"]


def test_a_job_whose_worker_is_off_the_list_waits(cell):
    """The list lags and names a worker no more that runs the job still; a stop
    can't be sent, and must not be taken for confirmed.
    """
    earlier = Owner(cell, "placer-a")
    start(cell, earlier)
    cell.entries = [entry for entry in cell.entries if entry.name != host_of(earlier)]
    successor = Owner(cell, "placer-b")
    successor.read_journal()
    successor.runner.recover(successor.shard, successor.shard.work_index.get("r"))
    for _ in range(8):
        cell.clock.advance(LEASE * 0.4)
        earlier.renew()
        successor.renew()
    assert places(cell) == 1
    assert not successor.is_rerun()
