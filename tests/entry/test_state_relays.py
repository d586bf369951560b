"""Job states that one host of a zone passes on to the others."""

import pytest

from papayapick.entry.cell.beat_senders import _RELAY_SECONDS
from papayapick.entry.cell.state_relays import relayed_zones
from papayapick.wire.exceptions import PeerTimeout, PeerUnreachable
from tests.entry.relayed_cell import HOSTS_PER_ZONE, STATES, Cell


@pytest.fixture
def cell():
    return Cell()


def test_owner_tells_one_host_of_each_large_zone(cell):
    """Guards against calls of the owner that grow with hosts times changes."""
    for number in range(10):
        cell.change({f"job-{number}": "running"})
        cell.relay()
    assert len(cell.batches()) == 2 * 10
    (first, *_) = cell.batches()
    assert len(first.hosts) == HOSTS_PER_ZONE - 1


def test_small_zone_is_told_directly(cell):
    cell.change(STATES)
    woken = {
        sender.peer.zone
        for sender in cell.broadcaster._senders.values()
        if sender._wakeup.is_set()
    }
    assert woken == {"c"}
    assert relayed_zones(cell.list) == {"a", "b"}


def test_states_that_a_relay_delivered_are_not_sent_again(cell):
    """Guards against a relay that saves no bytes on the link between regions."""
    cell.change(STATES)
    cell.relay()
    cell.clock.advance(2 * _RELAY_SECONDS)
    cell.beat()
    told = [one for one in cell.list if "job-1" in one.client.states()]
    assert {one.zone for one in told if not one.client.batches()} == {"c"}


@pytest.mark.parametrize(
    "error",
    [
        PeerUnreachable(address=("h", 1)),
        PeerTimeout(address=("h", 1), seconds=0.4),
    ],
    ids=["killed", "frozen or cut off"],
)
def test_hosts_of_a_relay_that_failed_are_told_directly(cell, error):
    """Guards against callers who see no progress since a relay has ended."""
    for peer in cell.list:
        peer.client.error = error if peer.zone == "b" else None
    cell.change(STATES)
    cell.relay()
    failed = cell.relay_of("b")
    senders = cell.broadcaster._senders.values()
    assert all(one._wakeup.is_set() for one in senders if one.peer.zone == "b")
    for peer in cell.list:
        peer.client.error = None
    cell.beat()
    others = [one for one in cell.list if one.zone == "b" and one is not failed]
    assert all("job-1" in one.client.states() for one in others)
    cell.change({"job-2": "running"})
    cell.relay()
    assert failed.client.batches()[-1].news[0].identifier == "job-1"


def test_host_that_its_relay_did_not_reach_is_told_directly(cell):
    cell.change(STATES)
    for peer in cell.list:
        peer.client.missed = ["b03"]
    cell.relay()
    cell.beat()
    assert "job-1" in cell.get("b03").client.states()
    assert "job-1" not in cell.get("b04").client.states()


def test_host_that_does_not_answer_is_told_once_it_does(cell):
    """Guards against a host that is back after a cut and never learns of the changes.

    A relay passes states on to live hosts only.
    """
    cell.get("b03").answered_at = 0.0
    cell.change(STATES)
    cell.relay()
    cell.clock.advance(2 * _RELAY_SECONDS)
    cell.beat()
    assert "job-1" in cell.get("b03").client.states()


def test_states_wait_for_a_heartbeat_while_no_host_is_live(cell):
    """Guards against states that are lost just after a takeover."""
    for peer in cell.list:
        peer.answered_at = 0.0
    cell.change(STATES)
    cell.relay()
    assert cell.batches() == []
    for peer in cell.list:
        peer.answered_at = cell.clock.monotonic()
    cell.relay()
    assert len(cell.batches()) == 2
