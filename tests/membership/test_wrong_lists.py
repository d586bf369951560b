import pytest

from papayapick.clock import ManualClock
from papayapick.membership import PollGate, ShardUnserved
from papayapick.ownership import preferred_owner
from tests.membership.simulation import DEAD_AFTER, NORTH, SOUTH, Simulation


@pytest.fixture
def simulation():
    return Simulation.with_regions(north=2, south=2)


def test_a_dead_placer_on_the_list_gets_no_work(simulation):
    """The list still names a placer whose host has died."""
    dead = simulation.processes["placer-south-tas-0"]
    dead.is_down = True
    simulation.run(DEAD_AFTER + 0.5)
    gateway = simulation.processes["gateway-south-tas-0"].peers
    with pytest.raises(ShardUnserved):
        gateway.owner_of("south-tas.0")
    assert not gateway.is_alive(dead.name)


def test_a_live_placer_missing_from_the_list_keeps_its_shards(simulation):
    """The list drops a placer that works. If it were considered dead, its shards
    would move while callers use them.
    """
    gateway = simulation.processes["gateway-south-tas-0"]
    lost = "placer-south-tas-0"
    gateway.host_list.entries = [
        entry for entry in gateway.host_list.entries if entry.name != lost
    ]
    gateway.peers.refresh()
    simulation.run(60)
    gateway.peers.refresh()
    assert gateway.peers.owner_of("south-tas.0").name == lost


def test_an_unavailable_list_changes_nothing(simulation):
    for process in simulation.processes.values():
        process.host_list.is_down = True
        process.peers.refresh()
    simulation.run(60)
    assert (
        simulation.processes["gateway-south-tas-0"].live() == simulation.all_placers()
    )


def test_a_new_placer_is_known_once_the_outdated_list_names_it(simulation):
    newcomer = simulation.add(
        "placer-south-tas-9", "placer", SOUTH, [("south-tas.9", 1)]
    )
    simulation.run(10)
    gateway = simulation.processes["gateway-south-tas-0"]
    assert newcomer.name not in gateway.live()
    simulation.list_all()
    simulation.run(1)
    assert gateway.peers.owner_of("south-tas.9").name == newcomer.name


def test_of_two_owners_of_a_shard_the_one_with_the_higher_epoch_is_used(simulation):
    """An owner resumes after a pause and still reports a shard that was taken over."""
    simulation.processes["placer-south-tas-1"].shards.append(("south-tas.0", 2))
    simulation.run(2)
    gateway = simulation.processes["gateway-south-tas-0"].peers
    assert gateway.owner_of("south-tas.0").name == "placer-south-tas-1"


def test_a_silent_placer_is_never_the_preferred_owner(simulation):
    simulation.processes["placer-south-tas-0"].is_down = True
    simulation.run(DEAD_AFTER + 0.5)
    peers = simulation.processes["placer-south-tas-1"].peers
    live = [peer.entry for peer in peers.live()]
    for number in range(32):
        owner = preferred_owner(f"{SOUTH}.{number}", live)
        assert owner == "placer-south-tas-1"
        assert preferred_owner(f"{NORTH}.{number}", live).startswith("placer-north")


@pytest.mark.parametrize(
    ("has_store_contact", "has_changed", "waited", "is_due"),
    [
        (False, False, 1, True),
        (True, True, 1, True),
        (True, False, 1, False),
        (True, False, 19, False),
        (True, False, 21, True),
    ],
)
def test_a_far_process_polls_if_something_may_have_changed(
    has_store_contact, has_changed, waited, is_due
):
    clock = ManualClock()
    gate = PollGate(clock, lambda: has_store_contact)
    assert gate.is_due(False)
    clock.advance(waited)
    assert gate.is_due(has_changed) == is_due
