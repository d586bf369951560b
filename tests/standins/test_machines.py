"""Tests for the return of machines in upkeep to their cluster."""

import threading

import pytest

from tests.standins.cluster import OK, Cluster

SECONDS = 10.0


class ManualTimer(threading.Thread):
    """Replace threading.Timer by a timer that fires when the test calls it."""

    def __init__(self, seconds, function, args):
        super().__init__(target=function, args=args)
        self.is_cancelled = False

    def start(self):
        """Do nothing; the test calls ``fire`` or ``run_now``."""

    def cancel(self):
        self.is_cancelled = True

    def fire(self):
        """Run the function unless the timer was cancelled."""
        if not self.is_cancelled:
            self.run_now()

    def run_now(self):
        """Run the function even if cancelled, as if the cancel had come too late."""
        super().start()
        self.join(SECONDS)
        assert not self.is_alive()


@pytest.fixture
def timers(monkeypatch):
    """Return the list of the created timers, oldest first."""
    timers = []

    def create_timer(*arguments):
        timers.append(ManualTimer(*arguments))
        return timers[-1]

    monkeypatch.setattr(threading, "Timer", create_timer)
    return timers


@pytest.fixture
def cluster(timers):
    cluster = Cluster()
    yield cluster
    cluster.close()


def _begin_upkeep(cluster):
    """Add a worker and begin the upkeep of its machine."""
    cluster.add_worker("w1")
    cluster.request_wave(7, ["w1"])
    order = {"machine": "m-w1", "wave": 7}
    assert cluster.machines.begin_upkeep(order, {}) == (OK, {})
    assert list(cluster.machines.in_upkeep) == ["w1"]


def test_machine_returns_with_a_new_worker(cluster, timers, thread_exceptions):
    _begin_upkeep(cluster)
    timers[0].fire()
    assert thread_exceptions == []
    assert (list(cluster.workers), cluster.machines.in_upkeep) == (["w1.2"], {})


def test_machine_does_not_return_to_a_cluster_that_was_reset(
    cluster, timers, thread_exceptions
):
    """Guard against a thread of an earlier test that dies in a later one.

    The earlier test began an upkeep and ended, and the cluster was reset. When the
    timer of the upkeep fired, the cluster had no machine in upkeep, and the timer's
    thread raised in whichever test was running.
    """
    _begin_upkeep(cluster)
    cluster.reset()
    timers[0].fire()
    assert thread_exceptions == []
    assert cluster.workers == {}


def test_return_from_before_a_reset_ends_no_upkeep_after_it(
    cluster, timers, thread_exceptions
):
    """Guard against a machine that returns before the end of its upkeep.

    One test began an upkeep and ended; the next one began the upkeep of a machine of
    the same name, and the timer of the first test returned that machine.
    """
    _begin_upkeep(cluster)
    cluster.reset()
    _begin_upkeep(cluster)
    timers[0].fire()
    assert thread_exceptions == []
    assert (list(cluster.workers), list(cluster.machines.in_upkeep)) == ([], ["w1"])


def test_machine_does_not_return_to_a_cluster_that_was_closed(
    cluster, timers, thread_exceptions
):
    """Guard against a machine that returns after its test has ended.

    The cluster was closed while a machine was in upkeep, and the timer then added an
    unreachable worker to it.
    """
    _begin_upkeep(cluster)
    cluster.close()
    timers[0].fire()
    assert thread_exceptions == []
    assert cluster.workers == {}


def test_timer_that_has_fired_already_changes_no_closed_cluster(
    cluster, timers, thread_exceptions
):
    # The timer's thread waits for the lock that close() holds, so the cancel is late.
    _begin_upkeep(cluster)
    cluster.close()
    timers[0].run_now()
    assert thread_exceptions == []
    assert cluster.workers == {}
