import pytest

from papayapick.membership.relays import relay_of
from tests.membership.simulation import DEAD_AFTER, NORTH, SOUTH, Simulation

FAR_DEAD_AFTER = 1.25 * DEAD_AFTER


@pytest.fixture
def simulation():
    return Simulation.with_regions()


def relay(simulation, region):
    return simulation.processes[relay_of(region, simulation.names(region))]


def test_one_pair_of_placers_per_direction_uses_the_link(simulation):
    """Without relays each of the eleven processes would contact each far placer."""
    simulation.link_requests.clear()
    simulation.run(10)
    assert len(set(simulation.link_requests)) == 2
    for process in simulation.processes.values():
        assert process.live() == simulation.all_placers()


def test_an_unchanged_summary_is_sent_as_its_version(simulation):
    simulation.link_bytes = 0
    simulation.run(30)
    unchanged = simulation.link_bytes
    for number in range(30):
        relay(simulation, NORTH).shards = [("north.0", number + 2)]
        simulation.run(1)
    assert simulation.link_bytes - unchanged > 2 * unchanged


def test_a_dead_relay_is_replaced_before_far_placers_seem_dead(simulation):
    """The relay of a region is killed. If no other placer replaced it in time, each
    region would consider the other dead and claim its shards.
    """
    dead = relay(simulation, NORTH)
    dead.is_down = True
    others = [name for name in simulation.all_placers() if name != dead.name]
    for _ in range(40):
        simulation.run(0.5)
        for process in simulation.processes.values():
            if not process.is_down:
                assert set(others) <= set(process.live())


def test_a_dead_relay_of_the_other_region_is_skipped(simulation):
    """If the dead far relay were still contacted, its whole region would seem dead."""
    dead = simulation.processes[relay_of("", simulation.names(SOUTH))]
    dead.is_down = True
    peers = simulation.processes["gateway-north-tas-0"].peers
    others = [
        peer for peer in peers.peers() if peers.is_far(peer) and peer.name != dead.name
    ]
    for _ in range(40):
        simulation.run(0.5)
        assert max(peers.silence(peer) for peer in others) <= DEAD_AFTER


def test_a_dead_placer_is_detected_in_both_regions(simulation):
    dead = "placer-north-tas-0"
    if relay(simulation, NORTH).name == dead:
        dead = "placer-north-tas-1"
    simulation.processes[dead].is_down = True
    simulation.run(DEAD_AFTER + 0.5)
    near = [name for name in simulation.names(NORTH) if name != dead]
    assert all(dead not in simulation.processes[name].live() for name in near)
    simulation.run(FAR_DEAD_AFTER + 1)
    assert dead not in simulation.processes["gateway-south-tas-0"].live()


def test_a_failed_region_is_detected_in_time_for_a_takeover(simulation):
    """A whole region fails; its shards stay unserved until the other one detects it."""
    for process in simulation.processes.values():
        if process.entry.region == NORTH:
            process.is_down = True
    simulation.run(FAR_DEAD_AFTER + 0.5)
    for name in simulation.names(SOUTH):
        assert simulation.processes[name].live() == simulation.names(SOUTH)


def test_regions_reconnect_after_a_network_partition(simulation):
    simulation.is_partitioned = True
    simulation.run(60)
    assert simulation.processes["gateway-north-tas-0"].live() == simulation.names(NORTH)
    simulation.is_partitioned = False
    simulation.run(6)
    for process in simulation.processes.values():
        assert process.live() == simulation.all_placers()


def test_without_a_near_placer_each_process_contacts_far_placers():
    """A region with only gateways has no relay."""
    simulation = Simulation.with_regions(north=0, south=3, gateways=2)
    assert simulation.processes["gateway-north-tas-0"].live() == simulation.names(SOUTH)


def test_a_relay_detects_a_changed_list_despite_its_own_summary(simulation):
    """The list changes near the store. The relay also receives its own summary over
    loopback, with its own old list tag. Applied to the far placers, that tag
    would hide the change, and the region would keep using the old list.
    """
    for name in simulation.processes:
        if simulation.processes[name].entry.region == SOUTH:
            simulation.processes[name].host_list.tag = "new"
        else:
            simulation.processes[name].host_list.tag = "old"
    north_relay = relay(simulation, NORTH)
    for _ in range(8):
        simulation.run(0.5)
    assert north_relay.peers._list_has_changed()


def test_a_relayed_summary_keeps_its_age(simulation):
    """Two placers have both been relays when the link fails, and each sends its
    summary to the other. Without the age of the summaries, the placers of the
    other region would seem alive forever.
    """
    first = relay(simulation, NORTH)
    first.is_down = True
    simulation.run(5)
    first.is_down = False
    simulation.run(5)
    simulation.is_partitioned = True
    for _ in range(20):
        simulation.run(0.5)
    for process in simulation.processes.values():
        assert process.live() == simulation.names(process.entry.region)
