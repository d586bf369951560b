"""Detecting that a pool has no working owner."""

import socket

import pytest

from papayapick.entry import candidacy as module
from papayapick.entry.cell.beat_senders import beat_seconds
from papayapick.ownership.pools import PoolRow
from papayapick.wire.messages import Hello
from tests.entry.candidates import beat, check_owner


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def _dead_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_restarted_host_does_not_replace_a_working_owner(
    candidacy, rows, taken, listener
):
    """Guards against a needless takeover at each restart of a host.

    The restarted process had received no heartbeat yet, so it suspected the owner; its
    second check took the pool though the first had found the owner listening.
    """
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    check_owner(candidacy, times=5)
    assert taken == []


def test_row_read_before_the_first_check_causes_no_takeover(
    candidacy, rows, taken, listener
):
    """Guards against the same failure if the row was read before the first check."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    candidacy.note_row(rows[0])
    check_owner(candidacy, times=5)
    assert taken == []


@pytest.mark.parametrize("read", ["read_pool", "check_readable"])
def test_beat_that_arrives_during_the_check_ends_it(
    monkeypatch, candidacy, rows, taken, read
):
    """Guards against a takeover from an owner that has just sent its first heartbeat.

    A host that has just started suspects the owner in the first row that it reads. If
    the owner's heartbeat arrives while the row is read again, the row becomes one whose
    owner is expected to send heartbeats, so the owner was not queried. In the log this
    shows as `owner suspected` with `is_reported` 0.1 s after the start, without `host
    unreached`, and `pool left` at the owner 0.04 s later.
    """
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(rows[0])
    candidacy._host.not_owning.add("127.0.0.1:9")

    def read_and_receive_beat(*args):
        candidacy.note_beat(beat())
        return rows[0]

    monkeypatch.setattr(module, read, read_and_receive_beat)
    check_owner(candidacy)
    assert taken == []


def test_host_that_has_not_read_the_other_hosts_takes_no_pool(candidacy, rows, taken):
    """Guards against a takeover from a working owner by a host that has just started.

    It has read the pool's row, but not yet the rows of the other hosts. It cannot query
    the owner, which must not count as an owner that is gone.
    """
    host = candidacy._host
    host.has_read_hosts = False
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    host.not_owning.add("127.0.0.1:9")
    check_owner(candidacy, times=5)
    assert taken == []
    host.has_read_hosts = True
    check_owner(candidacy)
    assert taken == [4]


def test_restarted_host_takes_the_pool_of_a_dead_owner_at_once(candidacy, rows, taken):
    """Guards against waiting for an owner's heartbeats after all hosts lost power."""
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy._host.not_owning.add("127.0.0.1:9")
    check_owner(candidacy)
    assert taken == [4]


def test_own_row_of_an_earlier_process_is_no_owner(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h1", 3, listener, 7)
    check_owner(candidacy)
    assert taken == [4]


def test_silent_owner_is_replaced(candidacy, rows, taken, listener):
    """Guards against jobs that wait for a frozen owner.

    Its connections are still accepted, but it sends no more heartbeats.
    """
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    check_owner(candidacy)
    candidacy.note_beat(beat())
    candidacy._host.clock.advance(0.6)
    check_owner(candidacy)
    assert taken == []
    candidacy._host.clock.advance(0.1)
    check_owner(candidacy)
    assert taken == [4]


def test_beats_of_an_older_epoch_are_ignored(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    check_owner(candidacy)
    assert not candidacy.note_beat(beat(epoch=2, host="h3"))


def test_owner_that_gives_way_is_replaced(candidacy, rows, taken, listener):
    """Guards against jobs that wait for an owner that alone is refused by the store."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    check_owner(candidacy)
    candidacy.note_beat(beat(gives_way=True))
    check_owner(candidacy)
    assert taken == [4]


@pytest.mark.parametrize("is_listening", [True, False])
def test_ended_connection_is_checked(candidacy, rows, taken, listener, is_listening):
    address = listener if is_listening else _dead_address()
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    check_owner(candidacy)
    rows[0] = PoolRow("pool", "h2", 3, address, 8)
    candidacy.note_row(rows[0])
    candidacy.note_disconnect(Hello(host="h2"))
    check_owner(candidacy)
    assert taken == ([] if is_listening else [4])


def test_disconnect_of_another_host_is_ignored(candidacy, rows, taken):
    rows[0] = PoolRow("pool", "h2", 3, _dead_address(), 7)
    candidacy.note_row(rows[0])
    candidacy._expect_beats()
    candidacy.note_disconnect(Hello(host="h3"))
    check_owner(candidacy)
    assert taken == []


def test_records_are_trusted_only_after_a_recent_beat(candidacy):
    assert not candidacy._trusts_records()
    candidacy.note_beat(beat())
    assert candidacy._trusts_records()
    candidacy._host.clock.advance(3.0)
    assert not candidacy._trusts_records()
    candidacy.note_beat(beat(may_lack_records=True))
    assert not candidacy._trusts_records()


def test_beat_of_a_newer_owner_ends_the_suspicion_of_the_old_one(candidacy, rows):
    # An owner that the store refuses asks for a successor and is replaced. A host that
    # is refused too cannot read the new row. It must not go on suspecting the old owner
    # and calling the store, 60 times in eight seconds.
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:1", 5)
    candidacy.note_row(rows[0])
    candidacy.note_beat(beat(epoch=3, gives_way=True))
    assert candidacy._needs_owner()
    candidacy.note_beat(beat(epoch=4, host="h3"))
    assert not candidacy._needs_owner()


@pytest.mark.parametrize("hosts", [0, 40, 133, 300, 1000])
def test_owner_is_given_time_for_three_heartbeats(hosts):
    """Guards against hundreds of hosts that replace a working owner again and again.

    It sends fewer heartbeats to each of them, and they take it for silent.
    """
    seconds = module._SILENT_AFTER_BEATS * beat_seconds(hosts)
    assert seconds >= 3 * beat_seconds(hosts)
    assert seconds == pytest.approx(0.65) or hosts > 133
    assert hosts / beat_seconds(hosts) <= 670
