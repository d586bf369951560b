"""Registering a host in the cell, and again after its row was removed."""

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.cell.joining import cell_key, register
from papayapick.entry.cell.peers import HOSTS_PARTITION
from papayapick.ownership.pools import CELL_TABLE
from tests.entry.hosts import SETTINGS, make_host
from tests.standins.clocks import AdvancingClock

OWN_NAME = SETTINGS["node"]


class TableStore:
    """Hold the rows of hosts by name, and record which hosts register."""

    def __init__(self, *names):
        self.names = names
        self.registered = []

    def read_all(self, table, partition):
        names = self.names if partition == HOSTS_PARTITION else ()
        return [_row(name, {"processors": 1.0}) for name in names], 7

    def transact(self, expectations, writes):
        self.registered += [write.key for write in writes]


class ImmediateExecutor:
    """Run each task when it is submitted."""

    def submit(self, task, *arguments):
        task(*arguments)


class NoPeers:
    """Hold no other hosts."""

    def note_row(self, row):
        pass

    def all(self):
        return []


def _row(name, value):
    return StoredRow(CELL_TABLE, HOSTS_PARTITION, name, value, 7)


@pytest.fixture
def host(monkeypatch):
    host = make_host(monkeypatch, ManualClock(100.0), None)
    host.executor = ImmediateExecutor()
    return host


def test_host_without_a_row_in_a_whole_read_registers_again(host):
    """Guards against a host that stays without heartbeats for ever.

    Its row was removed before it first read the cell, or while it was cut off for
    longer than the store keeps changes: no change tells it of the removal.
    """
    host.store = TableStore("h2", "h3")
    host._read_cell()
    assert host.store.registered == [OWN_NAME]


def test_host_whose_row_is_read_does_not_register_again(host):
    host.store = TableStore("h2", OWN_NAME)
    host._read_cell()
    assert host.store.registered == []


def test_draining_host_does_not_register_again(host):
    host.store = TableStore("h2")
    host.peers = NoPeers()
    host.is_draining = True
    host._read_cell()
    host._note_cell_rows([_row(OWN_NAME, None)])
    assert host.store.registered == []


def test_host_registers_again_when_its_row_is_removed(host):
    host.store = TableStore()
    host.peers = NoPeers()
    host._note_cell_rows([_row(OWN_NAME, None)])
    assert host.store.registered == [OWN_NAME]


class UnavailableStore:
    """Refuse each call; request the stop of the host at the third."""

    def __init__(self, host):
        self._host = host
        self.calls = 0

    def transact(self, expectations, writes):
        self.calls += 1
        if self.calls == 3:
            self._host.stopping.set()
        if self.calls > 9:
            raise ValueError("called without a pause")
        raise TableUnavailable()

    def read(self, table, partition):
        self.transact([], [])


@pytest.mark.parametrize("step", [register, cell_key])
def test_host_that_stops_while_the_store_is_away_calls_it_no_more(host, step):
    """Guards against a stopping host that calls the store without a pause."""
    host.clock = AdvancingClock(100.0)
    host.store = UnavailableStore(host)
    assert step(host) is None
    assert host.store.calls == 3


def test_host_that_stops_before_it_has_the_key_listens_nowhere(host):
    host.store = UnavailableStore(host)
    host.clock = AdvancingClock(100.0)
    host._join()
    assert host.peers is None
