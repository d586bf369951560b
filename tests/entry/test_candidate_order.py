"""The delays of candidates, by which one of them is the first to take a pool."""

from types import SimpleNamespace

from papayapick.entry import candidacy as module


def test_host_near_the_store_takes_a_pool_without_waiting(candidacy):
    # Guards against 0.2 s without placements when all hosts restart at once. A call of
    # the store takes a little longer then, and each host near it waited for a nearer
    # one.
    candidacy._host.store_seconds = 0.019
    assert candidacy._delay() < 0.07
    candidacy._host.store_seconds = 0.045
    assert candidacy._delay() >= 0.25


def test_larger_host_is_first_to_take_a_pool(candidacy):
    """Guards against an owner that cannot place jobs as fast as they arrive.

    Hosts have from half a core to two cores. The smallest must not take the pool while
    larger hosts are idle.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=2.0), SimpleNamespace(processors=0.5)]
    small = [candidacy._delay() for _ in range(50)]
    host.settings = SimpleNamespace(processors=2.0)
    large = [candidacy._delay() for _ in range(50)]
    assert max(large) < min(small)


def test_hosts_of_equal_size_are_delayed_by_the_jitter_only(candidacy):
    candidacy._host.others = [SimpleNamespace(processors=1.0)] * 8
    assert max(candidacy._delay() for _ in range(50)) <= module._JITTER_SECONDS
