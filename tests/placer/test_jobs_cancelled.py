"""Bursts of cancellations are answered in time and at constant cost each."""

import threading
from concurrent.futures import wait

from papayapick.clients.types import Row
from papayapick.clock import ManualClock
from papayapick.journal import Cancelled, Journal
from papayapick.limits import TokenBucket
from papayapick.ownership.queries import ShardRow
from tests.placer.test_jobs import cell_of
from tests.standins import MemoryTable

WRITE_TIMEOUT_SECONDS = 20


def test_burst_is_written_without_a_pause_between_segments():
    """Guards against a journal that sleeps between the segments of one burst.

    A segment holds 256 records. If the wake-up for the whole burst is consumed by
    its first segment, the journal sleeps for a second after each segment, and ten
    thousand cancellations take most of a minute. The clock of the test does not
    advance, so a journal that sleeps writes nothing more.
    """
    table, clock = MemoryTable(), ManualClock()
    row = ShardRow("zone-a.0", "host-1", 1, 1)
    table.rows[row.key] = Row(row.key, {}, 1)
    journal = Journal(table, row, clock, 0.0, TokenBucket(1e9, 1e9, clock))
    entries = [journal.append(Cancelled(f"job-{n}", 0.0)) for n in range(600)]
    thread = threading.Thread(target=journal.run)
    thread.start()
    wait([entry.written for entry in entries], WRITE_TIMEOUT_SECONDS)
    journal.close()
    thread.join()
    assert all(entry.written.exception() is None for entry in entries)
    assert table.writes == 3


class CountingQueue:
    """Count the full passes of a start policy over the queue."""

    def __init__(self, policy):
        self.policy = policy
        self.passes = 0

    @property
    def promised(self):
        return self.policy.promised

    def choose(self, *arguments):
        self.passes += 1
        return self.policy.choose(*arguments)

    def choose_added(self, *arguments):
        return self.policy.choose_added(*arguments)


def full_cell():
    cell = cell_of(1)
    cell.submit("running", processors=4000, work={"run_seconds": 500})
    cell.step()
    cell.shard.jobs._policy = CountingQueue(cell.shard.jobs._policy)
    return cell


def test_jobs_submitted_to_a_full_shard_cost_no_pass_each():
    """Guards against late slot grants while many jobs that can't start arrive."""
    cell = full_cell()
    for number in range(300):
        cell.submit(f"job-{number}", processors=4000)
    cell.step()
    assert cell.shard.jobs._policy.passes <= 2


def test_cancellations_of_a_burst_cost_no_pass_each():
    """Guards against one pass over the whole queue for each cancelled job."""
    cell = full_cell()
    for number in range(300):
        cell.submit(f"job-{number}", processors=4000)
    cell.step()
    cell.shard.jobs._policy.passes = 0
    for number in range(300):
        answer = cell.dispatcher.cancel(cell.shard, f"job-{number}")
        assert answer.result().outcome == "not_run"
    cell.step()
    assert len(cell.shard.jobs) == 0
    assert cell.shard.jobs._policy.passes <= 2


def test_small_job_starts_despite_a_job_that_fits_no_host():
    """Guards against small jobs waiting behind one that fits no open host."""
    cell = cell_of(1)
    cell.submit("huge", processors=9000)
    cell.step()
    cell.submit("small", processors=1000, work={"run_seconds": 1})
    cell.run_for(2)
    assert cell.ended("small") == ("done", "")
