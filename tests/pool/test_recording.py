"""The choice whether starts may be sent before their records are durable."""

import pytest

from papayapick.clock import ManualClock
from papayapick.pool.records.recording import RecordingMode


class Peer:
    def __init__(self, name, answered_at):
        self.name = name
        self.answered_at = answered_at


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def mode(clock):
    return RecordingMode(clock)


PEERS = [Peer("h2", 99.9), Peer("h3", 99.9)]


def _announce(mode, *names):
    for name in names:
        mode.note_heartbeat_answer(name, mode.is_announced)


def test_starts_wait_while_the_store_is_fast(mode):
    mode.note_commit(0.008)
    _announce(mode, "h2", "h3")
    assert not mode.may_send(PEERS)


def test_no_start_is_sent_before_every_host_is_informed(mode):
    """A task must not run twice after a takeover because its start is not recorded.

    A host that takes over trusts the records unless it was informed that some may be
    missing.
    """
    mode.note_commit(0.3)
    _announce(mode, "h2")
    assert not mode.may_send(PEERS)
    _announce(mode, "h3")
    assert mode.may_send(PEERS)


def test_host_that_is_silent_for_long_need_not_be_informed(mode, clock):
    mode.note_commit(0.3)
    _announce(mode, "h2")
    clock.advance(4.0)
    assert mode.may_send([Peer("h2", 103.9), Peer("h3", 100.0)])


@pytest.mark.parametrize("answered_at", [0.0, 96.0], ids=["never", "long ago"])
def test_host_that_has_not_answered_a_new_owner_yet_is_not_silent(
    mode, clock, answered_at
):
    """A task must not run twice because a host trusts the previous owner's records."""
    peers = [Peer("h2", 100.0), Peer("h3", answered_at)]
    mode.note_commit(0.3)
    _announce(mode, "h2")
    assert not mode.may_send(peers)
    clock.advance(2.9)
    assert not mode.may_send(peers)
    clock.advance(0.2)
    assert mode.may_send(peers)


def test_outage_counts_as_slow(mode):
    mode.note_outage(True)
    _announce(mode, "h2", "h3")
    assert mode.may_send(PEERS)
    mode.note_commit(0.008)
    assert not mode.may_send(PEERS)


def test_announcement_lasts_until_all_starts_are_recorded(mode, clock):
    mode.note_commit(0.3)
    _announce(mode, "h2", "h3")
    assert mode.may_send(PEERS)
    for _ in range(5):
        mode.note_commit(0.008)
    assert mode.is_announced
    clock.advance(1.1)
    assert not mode.is_announced


def test_one_fast_commit_does_not_end_the_announcement(mode):
    mode.note_commit(0.3)
    mode.note_commit(0.008)
    assert mode.is_announced


def test_commit_without_an_answer_counts_as_slow(mode):
    """Starts must not wait for half a second each while the store loses answers."""
    mode.note_failure()
    _announce(mode, "h2", "h3")
    assert mode.may_send(PEERS)


def test_host_whose_process_has_exited_need_not_be_informed(mode):
    """Guards against starts that wait for a slow store while hosts restart in turn."""
    mode.note_commit(0.3)
    _announce(mode, "h2")
    mode.note_host_exit("h3")
    assert mode.may_send(PEERS)


def test_restarted_host_is_informed_before_a_start_is_sent(mode):
    """Guards against a successor that trusts incomplete records."""
    mode.note_host_exit("h3")
    mode.note_heartbeat_answer("h3", was_announced=False)
    mode.note_commit(0.3)
    _announce(mode, "h2")
    assert not mode.may_send(PEERS)
    _announce(mode, "h3")
    assert mode.may_send(PEERS)
