"""Calling the store through another host."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clients.exceptions import ConditionFailed, StoreRefused
from papayapick.clients.rows import Expectation, Page, RowWrite, StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.store.relays import RelayedStore, StoreRelay
from papayapick.wire.exceptions import PeerTimeout, PeerUnreachable

EXPECTATION = Expectation("jobs", "pool", "j1", 0)
WRITE = RowWrite("jobs", "pool", "j1", {"n": 1})


class Store:
    """Apply transactions, or fail as scripted."""

    def __init__(self):
        self.failures = []
        self.written = []

    def transact(self, expectations, writes, seconds=1.0):
        if self.failures:
            raise self.failures.pop(0)
        self.written += [write.key for write in writes]
        return 7

    def read(self, table, partition, first, end, limit):
        if self.failures:
            raise self.failures.pop(0)
        return Page([StoredRow(table, partition, first, {"n": 1}, 7)], 7)


class Executor:
    def submit(self, step, *args):
        from concurrent.futures import Future

        future = Future()
        future.set_result(step(*args))
        return future


class Health:
    """Report the store as lost or not, as set by the test."""

    def __init__(self):
        self.is_down = False

    def is_lost(self):
        return self.is_down

    def note_failure(self):
        self.is_down = True

    def note_answer(self):
        self.is_down = False


class Host:
    """Stand in for an entry host with its store and its peers."""

    def __init__(self, peers=()):
        self.clock = ManualClock(100.0)
        self.store = Store()
        self.executor = Executor()
        self.peers = self
        self.store_health = Health()
        self.stopping = threading.Event()
        self._peers = [Peer(peer) for peer in peers]

    def all(self):
        return list(self._peers)


class Peer:
    def __init__(self, host):
        self.host = host
        self.client = self
        self.asked = 0
        self.relay_failed_at = float("-inf")
        self.is_unreachable = False
        self.is_silent = False

    def ask(self, call, seconds):
        self.asked += 1
        if self.is_unreachable:
            raise PeerUnreachable(address="a:1")
        if self.is_silent:
            raise PeerTimeout(address="a:1", seconds=seconds)
        return StoreRelay(self.host).answer(call).result()


@pytest.fixture
def other():
    return Host()


@pytest.fixture
def host(other):
    return Host([other])


def test_write_goes_through_another_host(host, other):
    """Guards against refusing callers' jobs while the store refuses only this host."""
    host.store.failures = [StoreRefused()]
    assert RelayedStore(host).transact([EXPECTATION], [WRITE]) == 7
    assert other.store.written == ["j1"]


def test_write_without_an_answer_is_settled_by_another_host(host, other):
    """Guards against an unknown outcome for a job that is stored.

    The first attempt had no answer and may have been applied. The second, through
    another host, finds the row, so that the job can be reported as accepted.
    """
    row = StoredRow("jobs", "pool", "j1", {"n": 1}, 5)
    host.store.failures = [TableUnavailable()]
    other.store.failures = [ConditionFailed([row])]
    with pytest.raises(ConditionFailed) as caught:
        RelayedStore(host).transact([EXPECTATION], [WRITE])
    assert [(one.key, one.version) for one in caught.value.rows] == [("j1", 5)]


def test_lost_store_is_not_called_directly(host, other):
    host.store_health.is_down = True
    RelayedStore(host).transact([EXPECTATION], [WRITE])
    assert host.store.written == []


def test_rows_are_read_through_another_host(host):
    host.store_health.is_down = True
    (row,) = RelayedStore(host).read("jobs", "pool", "j1", "j1~", 3)
    assert (row.key, row.value, row.version) == ("j1", {"n": 1}, 7)


def test_write_refused_by_all_hosts_is_refused(host, other):
    host.store.failures = [StoreRefused()]
    other.store.failures = [StoreRefused()]
    with pytest.raises(StoreRefused):
        RelayedStore(host).transact([EXPECTATION], [WRITE])


@pytest.mark.parametrize("first", [StoreRefused, TableUnavailable])
def test_relay_without_an_answer_is_unknown(host, first):
    """Guards against reporting a job as not accepted that then runs.

    The other host may have written the row before its answer was lost.
    """
    host.store.failures = [first()]
    host.all()[0].is_silent = True
    with pytest.raises(TableUnavailable) as caught:
        RelayedStore(host).transact([EXPECTATION], [WRITE])
    assert not isinstance(caught.value, StoreRefused)


def test_unknown_stays_unknown_when_the_relay_is_refused(host, other):
    host.store.failures = [TableUnavailable()]
    other.store_health.is_down = True
    with pytest.raises(TableUnavailable) as caught:
        RelayedStore(host).transact([EXPECTATION], [WRITE])
    assert not isinstance(caught.value, StoreRefused)


def test_others_are_not_asked_again_at_once(host, other):
    other.store_health.is_down = True
    host.store_health.is_down = True
    store = RelayedStore(host)
    for _ in range(3):
        with pytest.raises(StoreRefused):
            store.transact([EXPECTATION], [WRITE])
    assert host.all()[0].asked == 1


def test_unreachable_host_counts_as_a_refusal(host):
    """Guards against a caller that waits two seconds to be refused.

    While the store is down, the row of a removed host can still exist. A failed
    connection to it must not be treated as a lost answer.
    """
    host.store_health.is_down = True
    host.all()[0].is_unreachable = True
    with pytest.raises(StoreRefused):
        RelayedStore(host).transact([EXPECTATION], [WRITE])


def test_unreachable_host_is_not_asked_again_for_a_while(host):
    host.store_health.is_down = True
    host.all()[0].is_unreachable = True
    store = RelayedStore(host)
    for _ in range(3):
        with pytest.raises(StoreRefused):
            store.transact([EXPECTATION], [WRITE])
        host.clock.advance(1.0)
    assert host.all()[0].asked == 1


def test_unavailable_partition_does_not_affect_the_others(host, other):
    """Guards against refusing callers whose partition of the store answers."""
    host.store.failures = [StoreRefused()]
    other.store_health.is_down = True
    store = RelayedStore(host)
    with pytest.raises(StoreRefused):
        store.transact([EXPECTATION], [WRITE])
    write = RowWrite("jobs", "other", "j2", {})
    expectation = Expectation("jobs", "other", "j2", 0)
    assert store.transact([expectation], [write]) == 7
    assert host.store.written == ["j2"]
