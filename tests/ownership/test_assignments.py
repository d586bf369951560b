from types import SimpleNamespace

import pytest

from papayapick.clients.hosts import HostEntry
from papayapick.ownership import candidates, preferred_owner
from papayapick.wire.messages import Heartbeat

SHARDS = [f"hobart-a.{number}" for number in range(64)]


def peer(name, zone="hobart-a", state="live", draining=False, sequence=1):
    return SimpleNamespace(
        entry=HostEntry(name, "placer", state, "127.0.0.1:1", "south-tas", zone),
        last_heartbeat=Heartbeat(
            host=name, draining=draining, bundle_sequence=sequence
        ),
    )


@pytest.mark.parametrize(
    "unfit",
    [{"draining": True}, {"sequence": 0}, {"state": "leaving"}],
    ids=["draining", "without a bundle", "leaving"],
)
def test_a_placer_that_claims_nothing_is_never_the_preferred_owner(unfit):
    """Guards against a shard that nobody claims: the unfit placer answers
    heartbeats, so the others would wait for it to claim the shard, and callers
    would wait as well.
    """
    found = candidates([peer("a", **unfit), peer("b")])
    assert {preferred_owner(shard, found) for shard in SHARDS} == {"b"}


def test_placers_are_eligible_if_the_list_marks_all_as_leaving():
    found = candidates([peer("a", state="leaving"), peer("b", state="leaving")])
    assert {preferred_owner(shard, found) for shard in SHARDS} == {"a", "b"}


def test_placers_of_the_shards_zone_take_precedence():
    """A placer that returns is preferred again for the shards of its zone."""
    others = [peer("b", zone="kingston-b"), peer("c", zone="kingston-b")]
    returned = peer("a")
    assert preferred_owner(SHARDS[0], candidates(others)) in ("b", "c")
    assert preferred_owner(SHARDS[0], candidates([*others, returned])) == "a"


def test_an_added_placer_moves_only_its_own_share():
    three = [peer(name) for name in "abc"]
    before = {shard: preferred_owner(shard, candidates(three)) for shard in SHARDS}
    four = candidates([*three, peer("d")])
    moved = [shard for shard in SHARDS if preferred_owner(shard, four) != before[shard]]
    assert moved
    assert {preferred_owner(shard, four) for shard in moved} == {"d"}
