"""Machines in upkeep return to the cluster they left, and to no other."""

import threading

import pytest

from tests.standins.cluster import OK, Cluster

SECONDS = 10.0


@pytest.fixture
def cluster():
    cluster = Cluster()
    yield cluster
    cluster.close()


def _begin_upkeep(cluster, seconds):
    """Begin the upkeep of a new machine, and return its timer."""
    before = _timers()
    cluster.add_worker("w1")
    cluster.ask_for_wave(7, ["w1"])
    cluster.machines.upkeep_seconds = seconds
    order = {"machine": "m-w1", "wave": 7}
    assert cluster.machines.begin_upkeep(order, {}) == (OK, {})
    (timer,) = _timers() - before
    return timer


def _timers():
    return {one for one in threading.enumerate() if isinstance(one, threading.Timer)}


def _wait_for_end(timer):
    timer.join(SECONDS)
    assert not timer.is_alive()


def test_machine_returns_with_a_new_worker(cluster, deaths):
    _wait_for_end(_begin_upkeep(cluster, 0.05))
    assert deaths == []
    assert (list(cluster.workers), cluster.machines.in_upkeep) == (["w1.2"], {})


def test_machine_does_not_return_to_a_cluster_that_was_reset(cluster, deaths):
    """A test has a thread die that another one left behind a minute before.

    The other one began an upkeep and ended; the next test of its file got the cluster
    anew. Then the upkeep was over: its timer looked for the machine in a cluster that
    had none in upkeep, and died in whatever test ran by then.
    """
    timer = _begin_upkeep(cluster, 0.05)
    cluster.reset()
    _wait_for_end(timer)
    assert deaths == []
    assert cluster.workers == {}


def test_return_from_before_a_reset_ends_no_upkeep_after_it(cluster, deaths):
    """A machine is back long before its upkeep can be over.

    A test began an upkeep and ended. The next one begins that of a machine of the same
    name, and the first timer takes that machine for its own.
    """
    first = _begin_upkeep(cluster, 0.05)
    cluster.reset()
    second = _begin_upkeep(cluster, 60.0)
    _wait_for_end(first)
    assert deaths == []
    assert (list(cluster.workers), list(cluster.machines.in_upkeep)) == ([], ["w1"])
    cluster.close()
    _wait_for_end(second)


def test_machine_does_not_return_to_a_cluster_that_was_closed(cluster, deaths):
    """A test's last machine returns when the test is over.

    The cluster is closed while a machine is in upkeep, and a worker is added to it that
    nobody can reach.
    """
    timer = _begin_upkeep(cluster, 0.05)
    cluster.close()
    _wait_for_end(timer)
    assert deaths == []
    assert cluster.workers == {}


def test_timer_that_has_fired_already_ends_no_upkeep_of_a_closed_cluster(cluster):
    # Its thread waits for the lock that the close holds, so it can't be cancelled.
    timer = _begin_upkeep(cluster, 60.0)
    cluster.close()
    timer.function(*timer.args)
    assert cluster.workers == {}
    _wait_for_end(timer)
