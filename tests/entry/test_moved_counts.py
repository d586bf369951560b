"""Counts of waiting jobs of queues that have had other pools."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.callers.queue_pools import QueuePools
from papayapick.entry.exceptions import CountUnknown
from papayapick.entry.watched_pools import WatchedPools
from papayapick.jobs import Queue
from papayapick.placement.order.backlog import QueueBacklog

OLD, NEW = "pool-1", "pool-2"
QUEUE = Queue("q", "h", "/q/", NEW, 0, 2, 1.5, 0.5, 3.0, False, None)


class Clock(ManualClock):
    """End the process at its first wait."""

    def wait(self, event, seconds):
        event.set()


def host_of(pools=(OLD, NEW), stored=(), has_looked=True, has_read_rows=True):
    """Return a host that knows the pools of the queue, and looked for stored jobs."""
    host = SimpleNamespace(
        clock=Clock(100.0),
        stopping=threading.Event(),
        queue_pools=QueuePools(None, None),
    )
    host.store = SimpleNamespace(
        partitions=lambda table: [f"{one}/0" for one in stored]
    )
    host.job_states = JobStateCache(host.clock)
    host.queue_pools.note_row(StoredRow("cell", "queues", "q", {"pools": pools}, 1))
    if has_read_rows:
        host.queue_pools.note_complete()
    host.watched_pools = WatchedPools(host, {}, lambda name, step: None)
    host.watched_pools.watch([NEW])
    if has_looked:
        host.watched_pools.run()
    return host


def report(host, pool, waiting):
    backlogs = {"q": QueueBacklog(waiting, 0)} if waiting else {}
    host.job_states.note_backlogs(pool, 1, backlogs, host.clock.monotonic())


def count(host):
    return host.job_states.waiting(QUEUE, host.watched_pools.former_pools(QUEUE))


def test_jobs_of_all_pools_are_counted():
    """Guards against counts that leave out jobs stored before their queue moved."""
    host = host_of(stored=[OLD])
    report(host, OLD, 3)
    report(host, NEW, 4)
    assert count(host) == 7
    assert host.job_states.all_waiting() == {"q": 7}


def test_former_pool_without_a_recent_report_makes_the_count_unknown():
    host = host_of(stored=[OLD])
    report(host, NEW, 4)
    with pytest.raises(CountUnknown):
        count(host)
    report(host, OLD, 0)
    assert count(host) == 4
    host.clock.advance(2.1)
    report(host, NEW, 4)
    with pytest.raises(CountUnknown):
        count(host)


def test_former_pool_without_stored_jobs_needs_no_report():
    """Guards against queues without a count as nobody owns an empty former pool."""
    host = host_of(stored=[])
    report(host, NEW, 4)
    assert count(host) == 4


@pytest.mark.parametrize("missing", ["has_looked", "has_read_rows"])
def test_host_that_does_not_know_the_former_pools_yet_tells_no_number(missing):
    """Guards against too low a number just after a restart of all hosts."""
    host = host_of(stored=[OLD], **{missing: False})
    report(host, NEW, 4)
    with pytest.raises(CountUnknown):
        count(host)


def test_queue_with_one_pool_has_a_count_before_stored_jobs_were_looked_for():
    host = host_of(pools=[NEW], has_looked=False)
    report(host, NEW, 4)
    assert count(host) == 4
