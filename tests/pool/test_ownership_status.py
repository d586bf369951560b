"""When an owner goes on, gives way, or orders nothing."""

import pytest

from tests.pool.owners import (
    host_with_two_workers,
    owner_of,
)


@pytest.fixture
def host():
    return host_with_two_workers()


class FakePeer:
    region = "south"

    def __init__(self, answered_at, store_age, processors=1.0):
        self.name = "h2"
        self.processors = processors
        self.answered_at = answered_at
        self.store_age = store_age


def test_owner_gives_way_only_if_others_have_the_store(host):
    """Nobody decides while the store is down for all: the owner had given way."""
    owner = owner_of(host)
    now = host.clock.monotonic()
    assert not owner.ownership_status.gives_way()
    host.lost_since = now - 1.0
    host.live_peers = [FakePeer(now, 1000.0)]
    assert not owner.ownership_status.gives_way()
    host.live_peers = [FakePeer(now, 0.9)]
    assert not owner.ownership_status.gives_way()
    host.live_peers = [FakePeer(now, 0.2)]
    assert owner.ownership_status.gives_way()


@pytest.mark.parametrize(
    ("processors", "region", "store_age", "since_start", "gives_way"),
    [
        (2.0, "south", 0.1, 2.0, True),
        (1.4, "south", 0.1, 2.0, False),
        (2.0, "north", 0.1, 2.0, False),
        (2.0, "south", 5.0, 2.0, False),
        (2.0, "south", 0.1, 0.5, False),
        (2.0, "south", 0.1, 11.0, False),
    ],
    ids=["larger", "like", "far", "without store", "unheard", "later"],
)
def test_owner_gives_way_to_a_much_larger_host_at_the_start(
    host, processors, region, store_age, since_start, gives_way
):
    """The smallest host started first and owned the pool for the rest of the day."""
    owner = owner_of(host)
    host.clock.advance(since_start)
    peer = FakePeer(host.clock.monotonic(), store_age, processors)
    peer.region = region
    host.live_peers = [peer]
    assert owner.ownership_status.gives_way() is gives_way


def test_owner_that_heard_nothing_for_long_orders_nothing(host):
    owner = owner_of(host)
    assert owner.may_act()
    host.clock.advance(2.1)
    assert not owner.may_act()
    owner.ownership_status.note_confirmed(host.clock.monotonic() - 0.1)
    assert owner.may_act()


def test_owner_that_leaves_goes_on_until_it_is_replaced(host):
    """Jobs wait for seconds at each planned restart while the store is slow.

    The owner gave the pool up as it was told to stop; the next one had to take it
    and read its state first.
    """
    owner = owner_of(host)
    owner.request_successor()
    assert owner.ownership_status.gives_way()
    assert owner.may_act()
    assert not owner.is_stopped
