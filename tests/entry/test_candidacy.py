"""Noticing that a pool has no working owner."""

import socket
import threading
from types import SimpleNamespace

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clock import ManualClock
from papayapick.entry import candidacy as module
from papayapick.entry.candidacy import Candidacy
from papayapick.ownership.pools import PoolRow
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
        self.knows_cell = True
        self.asked = 0
        self.peers = SimpleNamespace(all=lambda: self.others)
        self.others = []
        # Addresses at which nobody owns the pool, though a process may listen.
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

    def take_and_claim(store, seen, owner, address):
        claims.append(found.owned_epoch)
        return take(store, seen, owner, address)

    claims = []
    monkeypatch.setattr(module, "read_pool", lambda store, pool: rows[0])
    monkeypatch.setattr(module, "take_pool", take_and_claim)
    monkeypatch.setattr(module, "check_readable", lambda host, pool: None)
    monkeypatch.setattr(Candidacy, "_own", lambda self, row: self.note_row(row))
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


def _look(candidacy, times=1):
    """Look at the pool as the endless task does."""
    for _ in range(times):
        if candidacy._is_needed():
            candidacy._try(candidacy.row)


def _beat(epoch=3, host="h2", **fields):
    return PoolBeat(pool="pool", epoch=epoch, host=host, **fields)


def test_pool_without_an_owner_is_taken(candidacy, taken):
    _look(candidacy)
    assert taken == [1]


def test_restarted_host_leaves_a_living_owner_alone(candidacy, rows, taken, listener):
    """Callers wait for a takeover that nobody needed, at each restart of a host.

    The restarted process had heard no beat yet, so it suspected the owner; its
    second look took the pool though the first had found the owner listening.
    """
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _look(candidacy, times=5)
    assert taken == []


def test_row_that_is_followed_first_is_no_evidence(candidacy, rows, taken, listener):
    """The same, when the follower of the table had read the row before the look."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    candidacy.note_row(rows[0])
    _look(candidacy, times=5)
    assert taken == []


@pytest.mark.parametrize("read", ["read_pool", "check_readable"])
def test_beat_that_comes_during_the_look_ends_it(
    monkeypatch, candidacy, rows, taken, read
):
    """A host that had just started took the pool from an owner that it had just heard.

    Its suspicion was of the row that it read first. The owner's first beat came while
    it read the row again, and made that row one whose owner is expected to beat: it was
    not asked any more whether it is at work. `owner suspected` 0.1 s after the start
    with `is_reported`, no `host unreached`, and `pool left` at the owner 0.04 s later.
    """
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(rows[0])
    candidacy._host.not_owning.add("127.0.0.1:9")

    def read_and_hear(*args):
        candidacy.note_beat(_beat())
        return rows[0]

    monkeypatch.setattr(module, read, read_and_hear)
    _look(candidacy)
    assert taken == []


def test_host_that_does_not_know_the_others_takes_no_pool(candidacy, rows, taken):
    """A host that has just started takes the pool from a working owner.

    It has read the pool's row, and not yet the rows of the other hosts: it can't ask
    the owner, and takes that for an owner that is gone.
    """
    host = candidacy._host
    host.knows_cell = False
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    host.not_owning.add("127.0.0.1:9")
    _look(candidacy, times=5)
    assert taken == []
    host.knows_cell = True
    _look(candidacy)
    assert taken == [4]


def test_restarted_host_takes_the_pool_of_a_dead_owner_at_once(candidacy, rows, taken):
    """After a power loss of all hosts, callers wait for beats that never come."""
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy._host.not_owning.add("127.0.0.1:9")
    _look(candidacy)
    assert taken == [4]


def test_own_row_of_an_earlier_life_is_no_owner(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h1", 3, listener, 7)
    _look(candidacy)
    assert taken == [4]


def test_silent_owner_is_replaced(candidacy, rows, taken, listener):
    """Jobs wait for an owner that is frozen: it listens, and beats no more."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _look(candidacy)
    candidacy.note_beat(_beat())
    candidacy._host.clock.advance(0.6)
    _look(candidacy)
    assert taken == []
    candidacy._host.clock.advance(0.1)
    _look(candidacy)
    assert taken == [4]


def test_beats_of_an_older_epoch_are_no_sign(candidacy, rows, taken, listener):
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _look(candidacy)
    assert not candidacy.note_beat(_beat(epoch=2, host="h3"))


def test_owner_that_gives_way_is_replaced(candidacy, rows, taken, listener):
    """New jobs wait for an owner that the store turns away, and it alone."""
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _look(candidacy)
    candidacy.note_beat(_beat(gives_way=True))
    _look(candidacy)
    assert taken == [4]


@pytest.mark.parametrize("is_listening", [True, False])
def test_ended_connection_is_checked(candidacy, rows, taken, listener, is_listening):
    address = listener if is_listening else _dead_address()
    rows[0] = PoolRow("pool", "h2", 3, listener, 7)
    _look(candidacy)
    rows[0] = PoolRow("pool", "h2", 3, address, 8)
    candidacy.note_row(rows[0])
    candidacy.note_disconnect(Hello(host="h2"))
    _look(candidacy)
    assert taken == ([] if is_listening else [4])


def test_end_of_another_host_is_no_matter(candidacy, rows, taken):
    rows[0] = PoolRow("pool", "h2", 3, _dead_address(), 7)
    candidacy.note_row(rows[0])
    candidacy._expect_beats()
    candidacy.note_disconnect(Hello(host="h3"))
    _look(candidacy)
    assert taken == []


def test_records_are_trusted_only_after_a_recent_word(candidacy):
    assert not candidacy._trusts_records()
    candidacy.note_beat(_beat())
    assert candidacy._trusts_records()
    candidacy._host.clock.advance(3.0)
    assert not candidacy._trusts_records()
    candidacy.note_beat(_beat(may_lack_records=True))
    assert not candidacy._trusts_records()


def test_pool_that_cannot_be_read_is_not_taken(monkeypatch, candidacy, taken):
    """Hosts take the pool from each other, and none of them decides.

    Some partitions of the store were away: each host could take the pool and could
    not read it, gave it up, and the next one took it.
    """

    def fail(host, pool):
        raise TableUnavailable()

    monkeypatch.setattr(module, "check_readable", fail)
    _look(candidacy, times=3)
    assert taken == []


def test_claim_is_told_before_its_answer_has_come(candidacy, taken):
    """Hosts take the pool from each other as the store comes back.

    One had read the row of the other before that one knew that it was the owner,
    asked it, and heard "no".
    """
    _look(candidacy)
    assert candidacy._host.claims == taken == [1]


def test_pool_taken_by_another_while_looking_is_left_alone(candidacy, rows, taken):
    """Hosts take the pool from each other as the store comes back.

    A host suspected the owner; while its reading was under way another one took
    the pool, and that row came here by the feed before the reading was answered.
    """
    suspected = PoolRow("pool", "h2", 3, "127.0.0.1:9", 7)
    candidacy.note_row(suspected)
    rows[0] = PoolRow("pool", "h3", 4, "127.0.0.1:8", 8)
    candidacy.note_row(rows[0])
    candidacy._try(suspected)
    assert taken == []


def test_host_near_the_store_takes_a_pool_without_waiting(candidacy):
    # All hosts start again at once. A call of the store takes a little longer then,
    # and each host near it waited for another that would be nearer: 0.2 s in which
    # nothing was placed.
    candidacy._host.store_seconds = 0.019
    assert candidacy._delay() < 0.07
    candidacy._host.store_seconds = 0.045
    assert candidacy._delay() >= 0.25


def test_beat_of_a_newer_owner_ends_the_suspicion_of_the_one_before(candidacy, rows):
    # An owner that the store turns away asks for a successor, and gets one. A host that
    # is turned away too can't read the new row; it went on suspecting the old owner and
    # asked the store again and again, 60 times in eight seconds.
    rows[0] = PoolRow("pool", "h2", 3, "127.0.0.1:1", 5)
    candidacy.note_row(rows[0])
    candidacy.note_beat(_beat(epoch=3, gives_way=True))
    assert candidacy._is_needed()
    candidacy.note_beat(_beat(epoch=4, host="h3"))
    assert not candidacy._is_needed()


def test_larger_host_is_first_to_take_a_pool(candidacy):
    """Hosts have from half a core to two, and the smallest took the pool.

    It could not decide as fast as jobs came, while larger hosts idled.
    """
    host = candidacy._host
    host.others = [SimpleNamespace(processors=2.0), SimpleNamespace(processors=0.5)]
    small = [candidacy._delay() for _ in range(50)]
    host.settings = SimpleNamespace(processors=2.0)
    large = [candidacy._delay() for _ in range(50)]
    assert max(large) < min(small)


def test_hosts_of_one_size_wait_for_each_other_no_longer_than_before(candidacy):
    candidacy._host.others = [SimpleNamespace(processors=1.0)] * 8
    assert max(candidacy._delay() for _ in range(50)) <= module._SPREAD_SECONDS
