"""The operator's rows: read quickly, shared between hosts, or read alone."""

import random
import threading
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.clients.exceptions import ConditionFailed
from papayapick.clients.rows import Page, StoredRow
from papayapick.entry.cell.peers import Peer
from papayapick.entry.configuration.announcements import Announcements
from papayapick.entry.configuration.exchange import (
    ConfigurationExchange,
    preferred_peers,
)
from papayapick.entry.configuration.operator_rows import (
    OperatorRows,
    decode_rows,
    encode_rows,
)
from papayapick.entry.configuration.operator_source import OperatorSource
from papayapick.executors import ElasticExecutor
from papayapick.wire.exceptions import FrameInvalid, PeerTimeout
from papayapick.wire.messages import ConfigurationQuery, ConfigurationReply
from tests.standins.clocks import AdvancingClock


def row(key, version, value=None):
    return StoredRow("op", "", key, value, version, value is None)


CONFIG = row("config", 7, {"version": 2})
STORE_VERSION = 7


def keys_and_versions(encoded):
    return [(one.key, one.version) for one in decode_rows(encoded)]


def test_rows_changed_since_a_version_include_deletions():
    rows = OperatorRows()
    rows.update([row("config", 3, {"version": 1}), row("wave/1", 5, {})], 6)
    rows.update([row("wave/1", 8)], 9)
    encoded, version = rows.changed_since(4)
    assert keys_and_versions(encoded) == [("wave/1", 8)]
    assert decode_rows(encoded)[0].is_deleted
    assert version == 9
    assert rows.changed_since(8) == (b"", 9)


def test_older_row_that_arrives_later_replaces_no_newer_one():
    """Guards against a version that comes back, by way of a host that is behind."""
    rows = OperatorRows()
    assert rows.update([row("config", 8, {"version": 3})], 8)
    assert rows.update([CONFIG], 7) == []
    assert rows.replace([CONFIG], 7) == []
    assert keys_and_versions(rows.changed_since(0)[0]) == [("config", 8)]
    assert rows.version == 8


def test_row_deleted_in_lost_history_is_passed_on_as_deleted():
    """Guards against an upkeep wave that goes on after the operator has removed it."""
    rows = OperatorRows()
    rows.update([row("wave/1", 5, {})], 5)
    found = rows.replace([CONFIG], 9)
    assert [(one.key, one.is_deleted) for one in found] == [
        ("config", False),
        ("wave/1", True),
    ]
    assert [key for key, _ in keys_and_versions(rows.changed_since(7)[0])] == ["wave/1"]


@given(st.binary(max_size=200))
def test_any_bytes_are_rows_or_raise_frame_invalid(data):
    try:
        decode_rows(data)
    except FrameInvalid:
        return


class Client:
    """Answer each query with one reply, or raise it."""

    def __init__(self, reply):
        self.reply = reply
        self.asked = 0

    def ask(self, query, seconds):
        self.asked += 1
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply

    def close(self):
        pass


class Store:
    """Hold one row of the operator, and the announcement of its version."""

    def __init__(self, change):
        self._change = change
        self.calls = 0
        self.announced = None

    def follow(self, table, version, wait_seconds):
        self.calls += 1
        rows = [self._change] if self._change.version > version else []
        return Page(rows, STORE_VERSION)

    def read(self, table, partition):
        return Page([self.announced] if self.announced else [], 1)

    def read_all(self, table, partition):
        self.calls += 1
        return [self._change], STORE_VERSION

    def transact(self, expectations, writes):
        version = self.announced.version if self.announced else 0
        if expectations[0].version != version:
            raise ConditionFailed([self.announced] if self.announced else [])
        self.announced = announcement(writes[0].value, version + 1)


def announcement(value, version):
    return StoredRow("cell", "configuration", "newest", value, version)


class Host:
    """Stand in for an entry host with other hosts beside it."""

    has_read_hosts = True

    def __init__(self, replies=(), mbps=1000, store_seconds=0.005, change=None):
        self.clock = AdvancingClock(100.0)
        self.store = Store(change or LONG)
        self.store_seconds = store_seconds
        self.settings = SimpleNamespace(
            host_name="h1",
            region="south",
            bytes_per_second=mbps * 1e6 / 8,
            configuration_seconds=4.0,
        )
        self.executor = ElasticExecutor(8, "test")
        self.stopping = threading.Event()
        self.store_health = SimpleNamespace(
            note_answer=lambda: None, is_lost=lambda: False
        )
        self.others = [
            Peer(f"o{number}", "a:1", "z1", "south", Client(reply))
            for number, reply in enumerate(replies)
        ]
        self.peers = SimpleNamespace(all=lambda: self.others)
        self.rows = OperatorRows()
        self.exchange = ConfigurationExchange(self, self.rows)
        self.announcements = Announcements(self)
        self.source = OperatorSource(self, self.rows, self.exchange, self.announcements)

    def announce(self, version, long_version):
        value = {"version": version, "long": long_version}
        self.announcements.note_row(announcement(value, 1))

    def follow(self):
        page = self.source.follow("op", 3, 0.4)
        return [(one.key, one.version) for one in page.rows]

    def asked(self):
        return sum(other.client.asked for other in self.others)


def routes(count):
    names = random.Random(count)
    return {"routes": [f"{names.randrange(16**8):08x}" for _ in range(count)]}


LONG = row("config", 7, routes(1400))
SHORT = row("config", 7, routes(40))
NEWER = ConfigurationReply(version=7, rows=encode_rows([LONG]), is_current=True)
NOTHING = ConfigurationReply(version=3, rows=b"", is_current=True)
SLOW = [{"mbps": 5}, {"store_seconds": 0.045}, {"store_seconds": None}]


def test_host_with_a_quick_way_waits_at_the_store_and_announces_what_it_reads():
    host = Host([NEWER])
    assert host.follow() == [("config", 7)]
    assert host.asked() == 0
    host.executor.shutdown(wait=True)
    assert host.store.announced.value == {"version": 7, "long": 7}


def test_short_change_is_not_announced_as_long():
    host = Host(change=SHORT)
    host.announce(4, 2)
    host.store.announced = announcement({"version": 4, "long": 2}, 1)
    host.follow()
    host.executor.shutdown(wait=True)
    assert host.store.announced.value == {"version": 7, "long": 2}


@pytest.mark.parametrize("place", SLOW)
def test_host_with_a_slow_way_gets_a_long_change_from_another_host(place):
    """Guards against a link that is full, as each host behind it reads all routes."""
    host = Host([NEWER], **place)
    host.announce(7, 7)
    assert host.follow() == [("config", 7)]
    assert host.store.calls == 0
    assert host.rows.version == 7


@pytest.mark.parametrize("place", SLOW)
def test_host_with_a_slow_way_reads_a_short_change_from_the_store(place):
    """Guards against small changes that depend on other hosts."""
    host = Host([NEWER], change=SHORT, **place)
    host.rows.update([row("config", 3, routes(30))], 3)
    host.announce(7, 2)
    assert host.follow() == [("config", 7)]
    assert host.asked() == 0
    assert host.clock.monotonic() == 100.0


@pytest.mark.parametrize(
    "replies", [[], [NOTHING], [PeerTimeout(address="a", seconds=1), NOTHING]]
)
def test_host_reads_from_the_store_what_no_other_host_sends(replies):
    """Guards against a version that no host reads, as each waits for the others."""
    host = Host(replies, mbps=5)
    host.announce(7, 7)
    assert host.follow() == [("config", 7)]
    assert host.store.calls == 1
    assert host.clock.monotonic() - 100.0 < 0.55 * 4.0


def test_change_that_nobody_announces_is_found_in_less_than_half_of_its_time():
    """Guards against a version that comes too late where no host has a quick way."""
    host = Host([NOTHING], mbps=5)
    assert host.follow() == [("config", 7)]
    assert host.clock.monotonic() - 100.0 < 0.5 * 4.0
    host.executor.shutdown(wait=True)
    assert host.store.announced.value["version"] == 7


def test_restarted_host_with_a_slow_way_gets_long_rows_from_another_host():
    """Guards against a link that is full after all hosts have restarted."""
    host = Host([NEWER], mbps=5)
    host.store.announced = announcement({"version": 7, "long": 7}, 4)
    rows, version = host.source.read_all()
    assert [(one.key, one.version) for one in rows] == [("config", 7)]
    assert (version, host.store.calls) == (7, 0)


def test_announced_row_that_is_gone_again_is_not_looked_for_for_ever():
    """Guards against a host that calls the store without a pause.

    The operator removed an upkeep wave before the host read the rows, which are then
    all older than the announcement.
    """
    host = Host([NOTHING], mbps=5, change=row("config", 3, routes(30)))
    host.store.announced = announcement({"version": 6, "long": 2}, 4)
    host.source.read_all()
    began_at = host.clock.monotonic()
    host.follow()
    assert host.clock.monotonic() > began_at


def test_first_start_reads_the_store_at_once():
    host = Host([NOTHING], mbps=5)
    host.source.read_all()
    assert host.clock.monotonic() == 100.0


def test_announcement_never_goes_back():
    """Guards against a slow host that reads a version which has been replaced."""
    host = Host()
    host.store.announced = announcement({"version": 9, "long": 5}, 6)
    host.announcements.announce(7, True)
    assert host.store.announced.value == {"version": 9, "long": 5}
    assert (host.announcements.version, host.announcements.long_version) == (9, 5)


def test_reply_tells_whether_its_sender_reaches_the_store():
    """Guards against a host cut off from the store that confirms removed keys."""
    host = Host()
    host.rows.update([CONFIG], 7)
    query = ConfigurationQuery(known_version=7)
    assert host.exchange.answer(query).is_current
    host.store_health.is_lost = lambda: True
    reply = host.exchange.answer(query)
    assert (reply.is_current, reply.rows, reply.version) == (False, b"", 7)


def test_host_without_the_store_asks_on_until_a_host_that_reaches_it_answers():
    stale = ConfigurationReply(version=3, rows=b"", is_current=False)
    host = Host([stale, stale, NEWER, stale])
    page = host.exchange.fetch_current(3)
    assert [one.key for one in page.rows] == ["config"]


def test_hosts_ask_few_others_and_large_ones_more_often():
    """Guards against a connection between each pair of a hundred hosts."""
    drawn = random.Random(3)
    peers = [
        Peer(f"o{number}", "a:1", "z1", "south", None, drawn.choice([0.5, 0.5, 2.0]))
        for number in range(96)
    ]
    large = 0
    for number in range(50):
        chosen = preferred_peers(f"h{number}", peers, 4)
        assert chosen == preferred_peers(f"h{number}", peers[::-1], 4)
        large += sum(peer.processors == 2.0 for peer in chosen)
    assert large > 0.6 * 50 * 4
