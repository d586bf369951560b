"""Run times are measured from the sending of the order, not from the placement."""

import pytest

from papayapick.jobs import TaskKey
from papayapick.placement.runs.copies import stragglers
from papayapick.placement.runs.progress import (
    compare_runs,
    projected_remaining_seconds,
    stalled_runs,
)
from papayapick.pool.workers.reports import StartOutcome
from tests.pool.owners import ID, job, owner_with, report

# Time until the record of a start is durable while the store is slow.
RECORD_SECONDS = 2.0
# Time between two reports of a worker.
REPORT_INTERVAL_SECONDS = 0.05


class Client:
    """Confirm each start."""

    is_refused = False

    def start(self, *order):
        return StartOutcome.STARTED


class Pool:
    """Hold an owner whose placed tasks wait until their start records are durable."""

    def __init__(self, **step):
        self.host, self.owner = owner_with(job(**step))
        for link in self.owner.links():
            link.client = Client()
            link.lease.note_clock(50.0)
        with self.owner.lock:
            self.owner.decisions.place(self.now)
        self.starts = self.owner.decisions.take_unsent()

    @property
    def now(self):
        return self.host.clock.monotonic()

    @property
    def step(self):
        return self.owner.job_registry.step_of(TaskKey(ID, 0, 0, 0))

    def send(self, *starts):
        for start in starts:
            self.owner.ownership_status.note_confirmed(self.now)
            link = self.owner.links_by_worker[start.run.worker]
            self.owner.orders._start(link, start)

    def list(self, percent, *starts, seconds=REPORT_INTERVAL_SECONDS):
        """Report the runs of all workers after some time."""
        self.host.clock.advance(seconds)
        for worker in ("w1", "w2"):
            runs = [start.run.name for start in starts if start.run.worker == worker]
            report(self.owner, worker, runs, percent=percent)

    def end(self, seconds, *starts):
        """Report runs as done after some time."""
        self.host.clock.advance(seconds)
        for worker in ("w1", "w2"):
            runs = [start.run.name for start in starts if start.run.worker == worker]
            report(self.owner, worker, ends=[(*name, "done") for name in runs])


def test_run_is_not_stalled_after_a_slow_record():
    """Guards against stopping normal runs just after their start.

    If the wait for the record counts as time without progress, a run seems to have
    stalled 50 ms after its order was sent, and its worker is avoided.
    """
    pool = Pool()
    pool.host.clock.advance(RECORD_SECONDS)
    pool.send(*pool.starts)
    pool.list(0, *pool.starts)
    pool.list(0, *pool.starts)
    assert stalled_runs(pool.step) == []


def test_run_is_not_slow_after_a_slow_record():
    """Guards against adding the wait for the record to the time of a run."""
    pool = Pool(tasks=5)
    first, *quick = pool.starts
    pool.send(*quick)
    pool.end(1.0, *quick)
    pool.host.clock.advance(RECORD_SECONDS)
    pool.send(first)
    pool.list(40, first, seconds=0.4)
    slow, _ = compare_runs(pool.step)
    assert slow == []


def test_no_copy_is_started_after_a_slow_record():
    """Guards against second copies of normal runs, which take room from others."""
    pool = Pool(allows_copies=True, estimate_seconds=0.6)
    pool.host.clock.advance(RECORD_SECONDS)
    pool.send(*pool.starts)
    pool.host.clock.advance(0.1)
    assert stragglers(pool.step, pool.now) == []
    pool.host.clock.advance(2.0)
    assert stragglers(pool.step, pool.now) == [0]


def test_usual_time_of_a_step_excludes_the_wait_for_records():
    """Guards against missing slow runs because the usual time includes that wait."""
    pool = Pool()
    (start,) = pool.starts
    pool.host.clock.advance(RECORD_SECONDS)
    pool.send(start)
    pool.list(50, start, seconds=0.5)
    pool.end(0.5, start)
    assert pool.step.usual_seconds == pytest.approx(1.0)
    assert pool.step.done_seconds == pytest.approx([1.0])


def test_unsent_run_has_its_whole_estimate_left():
    """Guards against advice on the next step that is outdated when it is needed."""
    pool = Pool(estimate_seconds=3.0)
    pool.host.clock.advance(RECORD_SECONDS)
    run = pool.starts[0].run
    assert projected_remaining_seconds(pool.step, run, pool.now) == pytest.approx(3.0)
    pool.send(*pool.starts)
    pool.host.clock.advance(0.5)
    assert projected_remaining_seconds(pool.step, run, pool.now) == pytest.approx(2.5)


def test_run_is_not_stalled_until_it_was_listed_twice():
    """Guards against stopping a run that starts late on the first report of it."""
    pool = Pool()
    pool.send(*pool.starts)
    pool.list(0, *pool.starts, seconds=0.9)
    assert stalled_runs(pool.step) == []
    pool.list(0, *pool.starts)
    assert stalled_runs(pool.step) == [pool.starts[0].run]
