"""The delays of candidates, by which one of them is the first to take a pool."""

from types import SimpleNamespace

from papayapick.entry.takeover_order import JITTER_SECONDS, takeover_delay


def test_host_near_the_store_takes_a_pool_without_waiting(candidacy):
    # Guards against 0.2 s without placements when all hosts restart at once. A call of
    # the store takes a little longer then, and each host near it waited for a nearer
    # one.
    candidacy._host.store_seconds = 0.019
    assert takeover_delay(candidacy._host) < 0.07
    candidacy._host.store_seconds = 0.045
    assert takeover_delay(candidacy._host) >= 0.25


def test_larger_host_is_first_to_take_a_pool(candidacy):
    """Guards against an owner that cannot place jobs as fast as they arrive.

    Hosts have from half a core to two cores. The smallest must not take the pool while
    larger hosts are idle.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=2.0), SimpleNamespace(processors=0.5)]
    small = [takeover_delay(candidacy._host) for _ in range(50)]
    host.settings = SimpleNamespace(processors=2.0)
    large = [takeover_delay(candidacy._host) for _ in range(50)]
    assert max(large) < min(small)


def test_hosts_of_equal_size_are_delayed_by_the_jitter_only(candidacy):
    candidacy._host.others = [SimpleNamespace(processors=1.0)] * 8
    assert max(takeover_delay(candidacy._host) for _ in range(50)) <= JITTER_SECONDS
