"""Finding the pools that need an owner by the jobs in the store."""

import threading
from types import SimpleNamespace

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clock import ManualClock
from papayapick.entry.watched_pools import WatchedPools


class Clock(ManualClock):
    """Pass time by waiting; end the process after a number of waits."""

    def __init__(self, stopping, waits):
        super().__init__(100.0)
        self._stopping = stopping
        self._waits = waits

    def wait(self, event, seconds):
        self.advance(seconds)
        self._waits -= 1
        if self._waits <= 0:
            self._stopping.set()
        return event.is_set()


class Host:
    """Stand in for an entry host whose store fails at first."""

    def __init__(self, failures=0, waits=1, parts=("pool-1/0", "pool-1/7", "p/q/3")):
        self.stopping = threading.Event()
        self.clock = Clock(self.stopping, waits)
        self.store = self
        self.listed_at = []
        self._failures = failures
        self._parts = parts
        self.candidacies = {}
        self.started = []
        self.watched = WatchedPools(
            self, self.candidacies, lambda name, step: self.started.append(name)
        )

    def partitions(self, table):
        assert table == "jobs"
        self.listed_at.append(self.clock.monotonic())
        if len(self.listed_at) <= self._failures:
            raise TableUnavailable()
        return list(self._parts)


def test_pools_of_stored_jobs_are_watched_once_each():
    """Guards against accepted jobs that nobody runs, as no queue uses their pool."""
    host = Host()
    host.watched.watch(["pool-1"])
    host.watched.run()
    host.watched.run()
    assert sorted(host.candidacies) == sorted(host.started) == ["p/q", "pool-1"]


def test_store_that_is_away_at_the_start_is_asked_until_it_answers():
    """Guards against pools without an owner after a restart in an outage."""
    host = Host(failures=3, waits=4)
    host.watched.run()
    assert len(host.listed_at) == 4
    assert "pool-1" in host.candidacies


def test_store_is_asked_twice_and_then_only_after_lost_history():
    """Guards against a billed call each second that finds nothing."""
    host = Host(waits=500)
    host.watched.run()
    assert len(host.listed_at) == 2
    assert host.listed_at[1] - host.listed_at[0] >= 10
    again = SimpleNamespace(called=False)

    def wait(event, seconds):
        host.stopping.set() if again.called else host.watched.look_again()
        again.called = True
        return event.is_set()

    host.stopping.clear()
    host.listed_at.clear()
    host.clock.wait = wait
    host.watched.look_again()
    host.watched.run()
    assert host.listed_at
