import pytest

from papayapick.membership.relays import relay_of
from tests.membership.parts import DEAD_AFTER, NORTH, SOUTH, World

FAR_DEAD_AFTER = 1.25 * DEAD_AFTER


@pytest.fixture
def world():
    return World.of()


def relay(world, region):
    return world.members[relay_of(region, world.names(region))]


def test_one_pair_a_region_crosses_the_link_and_all_know_all(world):
    """Without relays each of eleven processes asks each far placer."""
    world.crossings.clear()
    world.run(10)
    assert len(set(world.crossings)) == 2
    for member in world.members.values():
        assert member.live() == world.all_placers()


def test_an_unchanged_summary_crosses_as_its_version(world):
    world.link_bytes = 0
    world.run(30)
    unchanged = world.link_bytes
    for number in range(30):
        relay(world, NORTH).shards = [("north.0", number + 2)]
        world.run(1)
    assert world.link_bytes - unchanged > 2 * unchanged


def test_a_dead_relay_is_replaced_before_far_placers_seem_dead(world):
    """The placer that speaks for the region is killed. Were nobody to take its
    part in time, each region would hold the other for dead and take its shards.
    """
    dead = relay(world, NORTH)
    dead.is_down = True
    others = [name for name in world.all_placers() if name != dead.name]
    for _ in range(40):
        world.run(0.5)
        for member in world.members.values():
            if not member.is_down:
                assert set(others) <= set(member.live())


def test_a_dead_partner_is_passed_over(world):
    """The far relay dies: asked on and on, it would hide its whole region."""
    dead = world.members[relay_of("", world.names(SOUTH))]
    dead.is_down = True
    peers = world.members["gateway-north-tas-0"].peers
    others = [
        peer for peer in peers.peers() if peers.is_far(peer) and peer.name != dead.name
    ]
    for _ in range(40):
        world.run(0.5)
        assert max(peers.silence(peer) for peer in others) <= DEAD_AFTER


def test_a_dead_placer_is_known_in_its_region_at_once_and_beyond_soon(world):
    dead = "placer-north-tas-0"
    if relay(world, NORTH).name == dead:
        dead = "placer-north-tas-1"
    world.members[dead].is_down = True
    world.run(DEAD_AFTER + 0.5)
    near = [name for name in world.names(NORTH) if name != dead]
    assert all(dead not in world.members[name].live() for name in near)
    world.run(FAR_DEAD_AFTER + 1)
    assert dead not in world.members["gateway-south-tas-0"].live()


def test_a_lost_region_is_silent_in_time_for_a_takeover(world):
    """A whole region goes; its shards wait for the other region to notice."""
    for member in world.members.values():
        if member.entry.region == NORTH:
            member.is_down = True
    world.run(FAR_DEAD_AFTER + 0.5)
    for name in world.names(SOUTH):
        assert world.members[name].live() == world.names(SOUTH)


def test_regions_that_lose_each_other_find_each_other_again(world):
    world.is_link_cut = True
    world.run(60)
    assert world.members["gateway-north-tas-0"].live() == world.names(NORTH)
    world.is_link_cut = False
    world.run(6)
    for member in world.members.values():
        assert member.live() == world.all_placers()


def test_without_a_near_placer_each_process_asks_for_itself():
    """A region with gateways only has nobody to speak for it."""
    world = World.of(north=0, south=3, gateways=2)
    assert world.members["gateway-north-tas-0"].live() == world.names(SOUTH)


def test_a_relay_hears_of_a_changed_list_though_it_asks_itself_too(world):
    """The list changes near the store. The relay hears its own word again over
    loopback, with its own old tag; taken for the far placers', it hides the
    change, and the region goes on with the old list.
    """
    for name in world.members:
        if world.members[name].entry.region == SOUTH:
            world.members[name].host_list.tag = "new"
        else:
            world.members[name].host_list.tag = "old"
    speaker = relay(world, NORTH)
    for _ in range(8):
        world.run(0.5)
    assert speaker.peers._list_has_changed()


def test_a_word_told_again_does_not_grow_younger(world):
    """Two placers have both been relays when the link is cut. Each tells the
    other what it knows; told without its age, the other region would live on
    between them for ever.
    """
    first = relay(world, NORTH)
    first.is_down = True
    world.run(5)
    first.is_down = False
    world.run(5)
    world.is_link_cut = True
    for _ in range(20):
        world.run(0.5)
    for member in world.members.values():
        assert member.live() == world.names(member.entry.region)
