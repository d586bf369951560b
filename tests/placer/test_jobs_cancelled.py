"""Waves of cancellations are told in time and cost a constant each."""

import threading
from concurrent.futures import wait

from papayapick.clients.types import Row
from papayapick.clock import ManualClock
from papayapick.journal import Cancelled, Journal
from papayapick.limits import TokenBucket
from papayapick.ownership.queries import ShardRow
from tests.placer.test_jobs import cell_of
from tests.standins import MemoryTable

PATIENCE_SECONDS = 20


def test_a_wave_is_written_without_a_pause_between_segments():
    """Ten thousand callers who cancelled wait for most of a minute.

    A segment holds 256 records. The journal slept for a second after each, as it
    took the wake-up of the whole wave for that of the first segment. The clock of
    the test never moves, so a journal that sleeps writes nothing more.
    """
    table, clock = MemoryTable(), ManualClock()
    row = ShardRow("zone-a.0", "host-1", 1, 1)
    table.rows[row.key] = Row(row.key, {}, 1)
    journal = Journal(table, row, clock, 0.0, TokenBucket(1e9, 1e9, clock))
    entries = [journal.append(Cancelled(f"job-{n}", 0.0)) for n in range(600)]
    thread = threading.Thread(target=journal.run)
    thread.start()
    wait([entry.written for entry in entries], PATIENCE_SECONDS)
    journal.close()
    thread.join()
    assert all(entry.written.exception() is None for entry in entries)
    assert table.writes == 3


class CountingQueue:
    """Count the whole passes that a queue's policy makes."""

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


def test_jobs_that_come_to_a_full_shard_cost_no_pass_each():
    """The placer is busy with jobs that can't start, and grants slots late."""
    cell = full_cell()
    for number in range(300):
        cell.submit(f"job-{number}", processors=4000)
    cell.step()
    assert cell.shard.jobs._policy.passes <= 2


def test_a_wave_of_cancels_costs_no_pass_each():
    """Each cancelled job makes the queue look at all the others."""
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


def test_a_shard_that_no_job_fits_still_takes_what_fits():
    """Small jobs wait behind one that no open host could hold."""
    cell = cell_of(1)
    cell.submit("huge", processors=9000)
    cell.step()
    cell.submit("small", processors=1000, work={"run_seconds": 1})
    cell.run_for(2)
    assert cell.ended("small") == ("done", "")
