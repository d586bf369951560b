"""Prompt detection of the store's return."""

import threading

import pytest

from papayapick.clients import TableUnavailable
from papayapick.clients.exceptions import StoreRefused
from papayapick.clients.rows import Expectation, Page, RowWrite
from papayapick.clock import ManualClock
from papayapick.entry.store.health import StoreHealth
from papayapick.entry.store.probing import StoreProbe
from papayapick.entry.store.relays import RelayedStore

EXPECTATION = Expectation("jobs", "pool/1", "j1", 0)
WRITE = RowWrite("jobs", "pool/1", "j1", {"n": 1})


class Store:
    """Refuse all calls while ``is_down`` is set."""

    def __init__(self):
        self.is_down = False
        self.asked = 0

    def read(self, table, partition, first="", end="", limit=500, seconds=1.0):
        self.asked += 1
        if self.is_down:
            raise StoreRefused()
        return Page([], 1)

    def transact(self, expectations, writes, seconds=1.0):
        if self.is_down:
            raise StoreRefused()
        return 1


class StoppingClock:
    """Set the stop event after a number of waits."""

    def __init__(self, stopping, looks):
        self._stopping = stopping
        self._looks = looks

    def wait(self, event, seconds):
        self._looks -= 1
        if not self._looks:
            self._stopping.set()


class Host:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.store = Store()
        self.store_health = StoreHealth(self.clock)
        self.stopping = threading.Event()
        self.peers = self

    def all(self):
        return []


@pytest.fixture
def host():
    return Host()


@pytest.fixture
def relayed(host):
    return RelayedStore(host)


@pytest.fixture
def probe(host, relayed):
    return StoreProbe(
        host.store, host.store_health, host.clock, host.stopping, relayed.note_return
    )


def lose(host):
    host.store_health.note_answer()
    host.clock.advance(0.1)
    host.store.is_down = True
    host.store_health.note_failure()


def test_callers_are_served_as_soon_as_the_store_answers(host, relayed, probe):
    # Guards against refusing callers after the store has returned. A refused caller
    # retries for three seconds. The calls that follow tables run into their time limits
    # for up to 0.8 s after the return, and the callers' last attempts were refused
    # meanwhile although the store was available.
    lose(host)
    with pytest.raises(TableUnavailable):
        relayed.transact([EXPECTATION], [WRITE])
    host.store.is_down = False
    assert host.store_health.is_lost()
    assert probe.probe_once()
    assert not host.store_health.is_lost()
    assert relayed.transact([EXPECTATION], [WRITE]) == 1


def test_store_that_does_not_answer_stays_lost(host, probe):
    lose(host)
    assert not probe.probe_once()
    assert host.store_health.is_lost()


def test_store_that_answers_is_not_probed(host):
    # The probe must make no calls while the store answers, since each call costs money.
    host.store_health.note_answer()
    clock = StoppingClock(host.stopping, looks=4)
    probe = StoreProbe(host.store, host.store_health, clock, host.stopping, int)
    probe.run()
    assert host.store.asked == 0
