"""Detecting that a pool has no working owner and taking it over."""

import socket
import threading
from types import SimpleNamespace

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clock import ManualClock
from papayapick.entry import candidacy as module
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.cell.beat_senders import beat_seconds
from papayapick.ownership.pools import OwnershipLost, PoolRow
from papayapick.wire.messages import Hello, PoolBeat


class _Clock(ManualClock):
    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class Settings:
    host_name = "h1"
    peer_address = ("127.0.0.1", 1)
    processors = 1.0


class Host:
    def __init__(self):
        self.clock = _Clock(100.0)
        self.settings = Settings()
        self.stopping = threading.Event()
        self.store = object()
        self.store_seconds = 0.01
        self.is_draining = False
        self.has_read_hosts = True
        self.asked = 0
        self.peers = SimpleNamespace(all=lambda: self.others)
        self.others = []
        # Addresses at which no process owns the pool, though one may listen.
        self.not_owning = set()

    @property
    def store_health(self):
        return self

    def is_lost(self):
        return False

    def is_owned_by(self, row):
        self.asked += 1
        return row.address not in self.not_owning


@pytest.fixture
def taken():
    return []


@pytest.fixture
def rows():
    """The pool's row in the store, as the only item."""
    return [PoolRow("pool")]


@pytest.fixture
def candidacy(monkeypatch, rows, taken):
    def take(store, seen, owner, address):
        taken.append(seen.epoch + 1)
        row = PoolRow("pool", owner, seen.epoch + 1, address, seen.version + 1)
        rows[0] = row
        return row

    def record_claim_and_take(store, seen, owner, address):
        claims.append(found.owned_epoch)
        return take(store, seen, owner, address)

    claims = []
    monkeypatch.setattr(module, "read_pool", lambda store, pool: rows[0])
    monkeypatch.setattr(module, "claim_pool", record_claim_and_take)
    monkeypatch.setattr(module, "check_readable", lambda host, pool: None)
    monkeypatch.setattr(Candidacy, "_start_owner", lambda self, row: self.note_row(row))
    found = Candidacy(Host(), "pool")
    found._host.claims = claims
    return found


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def _dead_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def _check_owner(candidacy, times=1):
    """Check the pool's owner as the candidacy's task does."""
    for _ in range(times):
        if candidacy._needs_owner():
            candidacy._try_takeover(candidacy.row)


def _beat(epoch=3, host="h2", **fields):
    return PoolBeat(pool="pool", epoch=epoch, host=host, **fields)


def test_pool_without_an_owner_is_taken(candidacy, taken):
    _check_owner(candidacy)
    assert taken == [1]


def test_restarted_host_does_not_replace_a_working_owner(
    candidacy, rows, taken, listener
):
    """Guards against a needless takeover at each restart of a host.

    The restarted process had received no heartbeat yet, so it suspected the owner; its
    second check took the pool though the first had found the owner listening.
    """
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _check_owner(candidacy, times=5)
    assert taken == []


def test_row_read_before_the_first_check_causes_no_takeover(
    candidacy, rows, taken, listener
):
    """Guards against the same failure if the row was read before the first check."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    candidacy.note_row(rows[0])
    _check_owner(candidacy, times=5)
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
        candidacy.note_beat(_beat())
        return rows[0]

    monkeypatch.setattr(module, read, read_and_receive_beat)
    _check_owner(candidacy)
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
    _check_owner(candidacy, times=5)
    assert taken == []
    host.has_read_hosts = True
    _check_owner(candidacy)
    assert taken == [4]


def test_restarted_host_takes_the_pool_of_a_dead_owner_at_once(candidacy, rows, taken):
    """Guards against waiting for an owner's heartbeats after all hosts lost power."""
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy._host.not_owning.add("127.0.0.1:9")
    _check_owner(candidacy)
    assert taken == [4]


def test_own_row_of_an_earlier_process_is_no_owner(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h1", 3, listener, 7)
    _check_owner(candidacy)
    assert taken == [4]


def test_silent_owner_is_replaced(candidacy, rows, taken, listener):
    """Guards against jobs that wait for a frozen owner.

    Its connections are still accepted, but it sends no more heartbeats.
    """
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _check_owner(candidacy)
    candidacy.note_beat(_beat())
    candidacy._host.clock.advance(0.6)
    _check_owner(candidacy)
    assert taken == []
    candidacy._host.clock.advance(0.1)
    _check_owner(candidacy)
    assert taken == [4]


def test_beats_of_an_older_epoch_are_ignored(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _check_owner(candidacy)
    assert not candidacy.note_beat(_beat(epoch=2, host="h3"))


def test_owner_that_gives_way_is_replaced(candidacy, rows, taken, listener):
    """Guards against jobs that wait for an owner that alone is refused by the store."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _check_owner(candidacy)
    candidacy.note_beat(_beat(gives_way=True))
    _check_owner(candidacy)
    assert taken == [4]


@pytest.mark.parametrize("is_listening", [True, False])
def test_ended_connection_is_checked(candidacy, rows, taken, listener, is_listening):
    address = listener if is_listening else _dead_address()
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _check_owner(candidacy)
    rows[0] = PoolRow("pool", "h2", 3, address, 8)
    candidacy.note_row(rows[0])
    candidacy.note_disconnect(Hello(host="h2"))
    _check_owner(candidacy)
    assert taken == ([] if is_listening else [4])


def test_disconnect_of_another_host_is_ignored(candidacy, rows, taken):
    rows[0] = PoolRow("pool", "h2", 3, _dead_address(), 7)
    candidacy.note_row(rows[0])
    candidacy._expect_beats()
    candidacy.note_disconnect(Hello(host="h3"))
    _check_owner(candidacy)
    assert taken == []


def test_records_are_trusted_only_after_a_recent_beat(candidacy):
    assert not candidacy._trusts_records()
    candidacy.note_beat(_beat())
    assert candidacy._trusts_records()
    candidacy._host.clock.advance(3.0)
    assert not candidacy._trusts_records()
    candidacy.note_beat(_beat(may_lack_records=True))
    assert not candidacy._trusts_records()


def test_pool_that_cannot_be_read_is_not_taken(monkeypatch, candidacy, taken):
    """Guards against hosts that take a pool in turn without placing any job.

    While some partitions of the store are unavailable, each host can take the pool, but
    cannot read it and gives it up, and the next one takes it.
    """

    def fail(host, pool):
        raise TableUnavailable()

    monkeypatch.setattr(module, "check_readable", fail)
    _check_owner(candidacy, times=3)
    assert taken == []


def test_claim_is_reported_before_it_is_answered(candidacy, taken):
    """Guards against hosts that take a pool from each other after a store outage.

    One host reads the row of the other before that one knows that it is the owner. If
    that one denied it when queried, the pool would be taken from it.
    """
    _check_owner(candidacy)
    assert candidacy._host.claims == taken == [1]


def test_pool_taken_by_another_during_the_check_is_not_taken(candidacy, rows, taken):
    """Guards against hosts that take a pool from each other after a store outage.

    While a host that suspects the owner reads the row, another host takes the pool, and
    the new row arrives through the followed table before the read is answered.
    """
    suspected = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(suspected)
    rows[0] = PoolRow("pool", "h3", 4, "127.0.0.1:8", 8)
    candidacy.note_row(rows[0])
    candidacy._try_takeover(suspected)
    assert taken == []


def test_host_near_the_store_takes_a_pool_without_waiting(candidacy):
    # Guards against 0.2 s without placements when all hosts restart at once. A call of
    # the store takes a little longer then, and each host near it waited for a nearer
    # one.
    candidacy._host.store_seconds = 0.019
    assert candidacy._delay() < 0.07
    candidacy._host.store_seconds = 0.045
    assert candidacy._delay() >= 0.25


def test_beat_of_a_newer_owner_ends_the_suspicion_of_the_old_one(candidacy, rows):
    # An owner that the store refuses asks for a successor and is replaced. A host that
    # is refused too cannot read the new row. It must not go on suspecting the old owner
    # and calling the store, 60 times in eight seconds.
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:1", 5)
    candidacy.note_row(rows[0])
    candidacy.note_beat(_beat(epoch=3, gives_way=True))
    assert candidacy._needs_owner()
    candidacy.note_beat(_beat(epoch=4, host="h3"))
    assert not candidacy._needs_owner()


def test_larger_host_is_first_to_take_a_pool(candidacy):
    """Guards against an owner that cannot place jobs as fast as they arrive.

    Hosts have from half a core to two cores. The smallest must not take the pool while
    larger hosts are idle.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=2.0), SimpleNamespace(processors=0.5)]
    small = [candidacy._delay() for _ in range(50)]
    host.settings = SimpleNamespace(processors=2.0)
    large = [candidacy._delay() for _ in range(50)]
    assert max(large) < min(small)


def test_hosts_of_equal_size_are_delayed_by_the_jitter_only(candidacy):
    candidacy._host.others = [SimpleNamespace(processors=1.0)] * 8
    assert max(candidacy._delay() for _ in range(50)) <= module._JITTER_SECONDS


@pytest.mark.parametrize("hosts", [0, 40, 133, 300, 1000])
def test_owner_is_given_time_for_three_heartbeats(hosts):
    """Guards against hundreds of hosts that replace a working owner again and again.

    It sends fewer heartbeats to each of them, and they take it for silent.
    """
    seconds = module._SILENT_AFTER_BEATS * beat_seconds(hosts)
    assert seconds >= 3 * beat_seconds(hosts)
    assert seconds == pytest.approx(0.65) or hosts > 133
    assert hosts / beat_seconds(hosts) <= 670


def test_owner_that_took_the_pool_during_the_check_is_not_asked(candidacy, rows, taken):
    """Guards against a new owner that answers queries in place of its heartbeats.

    Hundreds of hosts suspected the same owner, found the pool taken and asked the new
    one whether it works. Those that it did not answer in time took the pool from it.
    """
    host = candidacy._host
    suspected = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(suspected)
    rows[0] = PoolRow("pool", "h3", 4, "127.0.0.1:8", 8)
    host.not_owning.add("127.0.0.1:8")
    candidacy._try_takeover(suspected)
    assert (host.asked, taken) == (0, [])
    host.clock.advance(0.6)
    assert not candidacy._needs_owner()
    host.clock.advance(0.1)
    assert candidacy._needs_owner()


@pytest.fixture
def hundreds(candidacy):
    """Have the candidacy's host be one of three hundred."""
    candidacy._host.others = [SimpleNamespace(processors=1.0, name="x")] * 299
    return 299


def test_host_that_lost_the_race_for_a_pool_expects_the_winners_heartbeats(
    monkeypatch, candidacy, hundreds, rows, taken
):
    """Guards against the same when all hosts of a new cell claim its pool at once."""
    host = candidacy._host

    def lose(store, seen, owner, address):
        rows[0] = PoolRow("pool", "h3", 1, "127.0.0.1:8", 1)
        raise OwnershipLost(pool="pool")

    monkeypatch.setattr(module, "claim_pool", lose)
    host.not_owning.add("127.0.0.1:8")
    _check_owner(candidacy)
    assert candidacy.row.owner == "h3"
    host.clock.advance(3 * beat_seconds(hundreds))
    assert not candidacy._needs_owner()
    host.clock.advance(0.5 * beat_seconds(hundreds))
    assert candidacy._needs_owner()
    assert (host.asked, taken) == (0, [])


@pytest.mark.parametrize("others", [0, 39])
def test_winner_of_a_small_cell_that_ended_is_replaced_at_once(
    monkeypatch, candidacy, rows, taken, others
):
    """Guards against a small cell that waits for the heartbeats of a dead process.

    A host that found out by losing the race asks the winner when it tries again.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=1.0, name="x")] * others

    def lose(store, seen, owner, address):
        rows[0] = PoolRow("pool", "h3", 1, "127.0.0.1:8", 1)
        raise OwnershipLost(pool="pool")

    with monkeypatch.context() as patched:
        patched.setattr(module, "claim_pool", lose)
        _check_owner(candidacy)
    host.not_owning.add("127.0.0.1:8")
    _check_owner(candidacy)
    assert taken == [2]


def test_released_pool_is_taken_at_once_by_a_host_that_lost_a_race(
    monkeypatch, candidacy, rows, taken
):
    claim = module.claim_pool

    def lose(store, seen, owner, address):
        rows[0] = PoolRow("pool", "", 4, "", 8)
        raise OwnershipLost(pool="pool")

    with monkeypatch.context() as patched:
        patched.setattr(module, "claim_pool", lose)
        _check_owner(candidacy)
    assert module.claim_pool is claim
    _check_owner(candidacy)
    assert taken == [5]
