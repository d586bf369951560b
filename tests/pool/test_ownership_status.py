"""Whether an owner may act, and whether it should be replaced."""

from types import SimpleNamespace

import pytest

from tests.pool.owners import (
    owner_of,
)


class FakePeer:
    region = "south"

    def __init__(self, answered_at, store_age, processors=1.0):
        self.name = "h2"
        self.processors = processors
        self.answered_at = answered_at
        self.store_age = store_age


def test_owner_gives_way_only_if_others_can_reach_the_store(host):
    """An owner must not give way while the store is down for all hosts."""
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
    """A small host that starts first must not keep the pool from much larger ones."""
    owner = owner_of(host)
    host.clock.advance(since_start)
    peer = FakePeer(host.clock.monotonic(), store_age, processors)
    peer.region = region
    host.live_peers = [peer]
    assert owner.ownership_status.gives_way() is gives_way


@pytest.mark.parametrize(("others", "looks"), [(40, 300), (300, 2)])
def test_heartbeats_to_hundreds_of_hosts_share_a_look_at_all_hosts(
    host, monkeypatch, others, looks
):
    """Guards against heartbeats whose work grows with the square of the hosts.

    Each of them went over all hosts to say whether the owner gives way.
    """
    owner = owner_of(host)
    host.clock.advance(2.0)
    peers = [FakePeer(host.clock.monotonic(), 0.1) for _ in range(others)]
    seen = []

    def live():
        seen.append(host.clock.monotonic())
        return peers

    monkeypatch.setattr(host, "peers", SimpleNamespace(all=lambda: peers, live=live))
    for _ in range(150):
        assert not owner.ownership_status.gives_way()
    peers[-1].processors = 2.0
    host.clock.advance(0.1)
    for _ in range(150):
        assert owner.ownership_status.gives_way()
    assert len(seen) == looks


def test_owner_without_a_recent_confirmation_sends_no_orders(host):
    owner = owner_of(host)
    assert owner.may_act()
    host.clock.advance(2.1)
    assert not owner.may_act()
    owner.ownership_status.note_confirmed(host.clock.monotonic() - 0.1)
    assert owner.may_act()


def test_leaving_owner_continues_until_it_is_replaced(host):
    """Jobs must not wait for seconds at each planned restart while the store is slow.

    If the owner released the pool as soon as it is asked to stop, the next one would
    have to take the pool and read its state first.
    """
    owner = owner_of(host)
    owner.request_successor()
    assert owner.ownership_status.gives_way()
    assert owner.may_act()
    assert not owner.is_stopped
