"""The first heartbeats after a takeover, and to a new host."""

import itertools

import pytest

from papayapick.entry.cell.beat_senders import BeatSender, beat_seconds
from papayapick.entry.cell.peers import Peer
from papayapick.wire.messages import StateBatch
from tests.entry.relayed_cell import STATES, Cell, Client


@pytest.fixture
def cell():
    return Cell()


def test_new_sender_in_a_large_zone_sends_all_states_if_no_relay_does(cell):
    """Guards against a host that registers late and never learns of earlier jobs."""
    cell.owner.status_feed.all_states = lambda: dict(STATES)
    late = Peer("b77", ("h", 1), "b", "r", Client())
    sender = BeatSender(cell, cell.owner, late)
    sender._beat()
    assert late.client.states() == ["job-1"]


def first_second(zones, jobs):
    """Take a pool over, read its state after 0.1 s; return the cell after a second.

    Heartbeats are sent when they are due, and zones are looked at each 0.2 s.
    """
    cell = Cell(zones)
    for peer in cell.list:
        peer.answered_at = 0.0
    began_at, step = cell.clock.monotonic(), 0.01
    senders = list(cell.broadcaster._senders.values())
    due = {one: began_at + one._first_delay for one in senders}
    for number in range(100):
        now = cell.clock.monotonic()
        if number == 10:
            cell.owner.has_read_state = True
            cell.change({f"job-{index}": "running" for index in range(jobs)})
        if number % 20 == 0:
            cell.relay()
        for sender in senders:
            if due[sender] <= now or sender._wakeup.is_set():
                sender._wakeup.clear()
                sender._beat()
                due[sender] = now + beat_seconds(len(senders))
        cell.clock.advance(step)
    return cell


def test_new_owner_of_hundreds_of_hosts_sends_all_states_once_a_zone():
    """Guards against a new owner that is replaced, as its heartbeats come too late.

    The first ones went to all hosts before any relay had answered, so each of them
    carried the states of all jobs.
    """
    cell = first_second(dict.fromkeys("abcdef", 50), 400)
    beats = [
        len(message.news)
        for peer in cell.list
        for message in peer.client.sent
        if not isinstance(message, StateBatch)
    ]
    assert len(beats) >= 300
    assert sum(beats) == 0
    batches = cell.batches()
    assert len(batches) == 6
    assert {len(batch.hosts) for batch in batches} == {49}


def test_first_heartbeats_to_hundreds_of_hosts_are_spread_near_ones_first():
    """Guards against hundreds of connections that are opened at the same moment."""
    cell = Cell(dict.fromkeys("bcaefg", 50))
    senders = cell.broadcaster._senders.values()
    delays = sorted((one._first_delay, one.peer.zone) for one in senders)
    assert {zone for _, zone in delays[:50]} == {"a"}
    steps = [later - one for (one, _), (later, _) in itertools.pairwise(delays)]
    assert delays[0][0] == 0.0
    assert delays[-1][0] < beat_seconds(300)
    assert min(steps) == pytest.approx(max(steps))


def test_first_heartbeats_to_few_hosts_are_sent_together(cell):
    delays = {one._first_delay for one in cell.broadcaster._senders.values()}
    assert delays == {beat_seconds(1)}
