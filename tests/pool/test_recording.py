"""Whether a start may leave before its record."""

import pytest

from papayapick.clock import ManualClock
from papayapick.pool.recording import RecordingMode


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


def _tell(mode, *names):
    for name in names:
        mode.note_heartbeat_answer(name, mode.is_announced)


def test_starts_wait_while_the_store_is_quick(mode):
    mode.note_commit(0.008)
    _tell(mode, "h2", "h3")
    assert not mode.may_send(PEERS)


def test_no_start_leaves_before_each_host_was_told(mode):
    """A task runs twice after a takeover.

    Its start was not recorded, and the host that took over trusted the records: it
    had not been told that some may be missing.
    """
    mode.note_commit(0.3)
    _tell(mode, "h2")
    assert not mode.may_send(PEERS)
    _tell(mode, "h3")
    assert mode.may_send(PEERS)


def test_host_that_is_long_silent_need_not_be_told(mode, clock):
    mode.note_commit(0.3)
    _tell(mode, "h2")
    clock.advance(4.0)
    assert mode.may_send([Peer("h2", 103.9), Peer("h3", 100.0)])


@pytest.mark.parametrize("answered_at", [0.0, 96.0], ids=["never", "long ago"])
def test_host_that_a_new_owner_has_not_heard_yet_is_not_silent(
    mode, clock, answered_at
):
    """A task ran twice: a host trusted the word of the owner before this one."""
    peers = [Peer("h2", 100.0), Peer("h3", answered_at)]
    mode.note_commit(0.3)
    _tell(mode, "h2")
    assert not mode.may_send(peers)
    clock.advance(2.9)
    assert not mode.may_send(peers)
    clock.advance(0.2)
    assert mode.may_send(peers)


def test_outage_counts_as_slow(mode):
    mode.note_outage(True)
    _tell(mode, "h2", "h3")
    assert mode.may_send(PEERS)
    mode.note_commit(0.008)
    assert not mode.may_send(PEERS)


def test_hosts_stay_warned_until_all_is_recorded(mode, clock):
    mode.note_commit(0.3)
    _tell(mode, "h2", "h3")
    assert mode.may_send(PEERS)
    for _ in range(5):
        mode.note_commit(0.008)
    assert mode.is_announced
    clock.advance(1.1)
    assert not mode.is_announced


def test_one_quick_commit_is_no_sign_of_a_quick_store(mode):
    mode.note_commit(0.3)
    mode.note_commit(0.008)
    assert mode.is_announced


def test_commit_without_an_answer_counts_as_slow(mode):
    """Starts wait for half a second each while the store loses answers."""
    mode.note_failure()
    _tell(mode, "h2", "h3")
    assert mode.may_send(PEERS)


def test_host_whose_process_has_ended_need_not_be_told(mode):
    """Guards against starts that wait for a slow store as hosts restart in turn."""
    mode.note_commit(0.3)
    _tell(mode, "h2")
    mode.note_host_exit("h3")
    assert mode.may_send(PEERS)


def test_process_that_follows_is_told_before_a_start_leaves(mode):
    """Guards against a successor that trusts records which are not there."""
    mode.note_host_exit("h3")
    mode.note_heartbeat_answer("h3", was_announced=False)
    mode.note_commit(0.3)
    _tell(mode, "h2")
    assert not mode.may_send(PEERS)
    _tell(mode, "h3")
    assert mode.may_send(PEERS)
