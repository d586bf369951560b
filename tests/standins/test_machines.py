"""Machines in upkeep return to the cluster they left, and to no other."""

import threading

import pytest

from tests.standins.cluster import OK, Cluster

SECONDS = 10.0


class HeldTimer(threading.Thread):
    """Fire when the test says so."""

    def __init__(self, seconds, function, args):
        super().__init__(target=function, args=args)
        self.is_cancelled = False

    def start(self):
        """Wait for ``fire``."""

    def cancel(self):
        self.is_cancelled = True

    def fire(self):
        """Let the time be over, which changes nothing once it was cancelled."""
        if not self.is_cancelled:
            self.run_now()

    def run_now(self):
        """Do what is due, as if the cancel had come too late."""
        super().start()
        self.join(SECONDS)
        assert not self.is_alive()


@pytest.fixture
def timers(monkeypatch):
    """Return the timers that were started, first the oldest."""
    found = []

    def make(*arguments):
        found.append(HeldTimer(*arguments))
        return found[-1]

    monkeypatch.setattr(threading, "Timer", make)
    return found


@pytest.fixture
def cluster(timers):
    cluster = Cluster()
    yield cluster
    cluster.close()


def _begin_upkeep(cluster):
    """Begin the upkeep of a new machine."""
    cluster.add_worker("w1")
    cluster.ask_for_wave(7, ["w1"])
    order = {"machine": "m-w1", "wave": 7}
    assert cluster.machines.begin_upkeep(order, {}) == (OK, {})
    assert list(cluster.machines.in_upkeep) == ["w1"]


def test_machine_returns_with_a_new_worker(cluster, timers, deaths):
    _begin_upkeep(cluster)
    timers[0].fire()
    assert deaths == []
    assert (list(cluster.workers), cluster.machines.in_upkeep) == (["w1.2"], {})


def test_machine_does_not_return_to_a_cluster_that_was_reset(cluster, timers, deaths):
    """A test has a thread die that another one left behind a minute before.

    The other one began an upkeep and ended; the next test of its file got the cluster
    anew. Then the upkeep was over: its timer looked for the machine in a cluster that
    had none in upkeep, and died in whatever test ran by then.
    """
    _begin_upkeep(cluster)
    cluster.reset()
    timers[0].fire()
    assert deaths == []
    assert cluster.workers == {}


def test_return_from_before_a_reset_ends_no_upkeep_after_it(cluster, timers, deaths):
    """A machine is back long before its upkeep can be over.

    A test began an upkeep and ended. The next one begins that of a machine of the same
    name, and the first timer takes that machine for its own.
    """
    _begin_upkeep(cluster)
    cluster.reset()
    _begin_upkeep(cluster)
    timers[0].fire()
    assert deaths == []
    assert (list(cluster.workers), list(cluster.machines.in_upkeep)) == ([], ["w1"])


def test_machine_does_not_return_to_a_cluster_that_was_closed(cluster, timers, deaths):
    """A test's last machine returns when the test is over.

    The cluster is closed while a machine is in upkeep, and a worker is added to it that
    nobody can reach.
    """
    _begin_upkeep(cluster)
    cluster.close()
    timers[0].fire()
    assert deaths == []
    assert cluster.workers == {}


def test_timer_that_has_fired_already_changes_no_closed_cluster(
    cluster, timers, deaths
):
    # Its thread waits for the lock that the close holds, so the cancel comes too late.
    _begin_upkeep(cluster)
    cluster.close()
    timers[0].run_now()
    assert deaths == []
    assert cluster.workers == {}
