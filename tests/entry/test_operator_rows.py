"""The operator's rows: read quickly, shared between hosts, or read alone."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.clients.exceptions import AnswerTooLarge
from papayapick.clients.rows import Page, StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.configuration_exchange import (
    ConfigurationExchange,
    preferred_peers,
)
from papayapick.entry.operator_rows import OperatorRows, decode_rows, encode_rows
from papayapick.entry.operator_source import OperatorSource
from papayapick.entry.peers import Peer
from papayapick.executors import ElasticExecutor
from papayapick.wire.exceptions import FrameInvalid, PeerTimeout
from papayapick.wire.messages import ConfigurationQuery, ConfigurationReply

LONG_BYTES = 1_000_000


def row(key, version, value=None):
    return StoredRow("op", "", key, value, version, value is None)


CONFIG = row("config", 7, {"version": 2})


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
    rows.update([row("config", 8, {"version": 3})], 8)
    rows.update([CONFIG], 7)
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
    """Hold the configuration in an answer of some length."""

    def __init__(self, body_bytes):
        self._body_bytes = body_bytes
        self.read_bytes = 0

    def follow(self, table, version, wait_seconds, max_bytes=None):
        if max_bytes is not None and self._body_bytes > max_bytes:
            raise AnswerTooLarge(url=table, body_bytes=self._body_bytes)
        self.read_bytes += self._body_bytes
        return Page([CONFIG], 7)


class AdvancingClock(ManualClock):
    """Advance by the time to wait instead of waiting."""

    def wait(self, event, seconds):
        self.advance(seconds)
        return event.is_set()


class Host:
    """Stand in for an entry host with other hosts beside it."""

    def __init__(self, body_bytes, replies=(), mbps=1000, store_seconds=0.005):
        self.clock = AdvancingClock(100.0)
        self.store = Store(body_bytes)
        self.store_seconds = store_seconds
        self.settings = SimpleNamespace(
            host_name="h1", region="south", bytes_per_second=mbps * 1e6 / 8
        )
        self.executor = ElasticExecutor(8, "test")
        self.stopping = SimpleNamespace(is_set=lambda: False)
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
        self.source = OperatorSource(self, self.rows, self.exchange)

    def follow(self):
        return self.source.follow("op", 3, 0.4)


NEWER = ConfigurationReply(version=7, rows=encode_rows([CONFIG]), is_current=True)
NOTHING = ConfigurationReply(version=3, rows=b"", is_current=True)


def test_host_with_a_wide_link_reads_a_long_answer_at_once():
    host = Host(LONG_BYTES, [NEWER])
    assert host.follow().rows == [CONFIG]
    assert host.others[0].client.asked == 0


@pytest.mark.parametrize("place", [{"mbps": 5}, {"store_seconds": 0.045}])
def test_host_with_a_slow_way_gets_a_long_answer_from_another_host(place):
    host = Host(LONG_BYTES, [NEWER], **place)
    page = host.follow()
    assert [(one.key, one.version) for one in page.rows] == [("config", 7)]
    assert page.version == host.rows.version == 7
    assert host.store.read_bytes == 0


@pytest.mark.parametrize("place", [{"mbps": 5}, {"store_seconds": 0.045}])
def test_short_answer_is_read_from_the_store_by_every_host(place):
    host = Host(10_000, [NEWER], **place)
    host.follow()
    assert host.others[0].client.asked == 0


@pytest.mark.parametrize(
    "replies", [[], [NOTHING], [PeerTimeout(address="a", seconds=1), NOTHING]]
)
def test_host_reads_alone_what_no_other_host_has(replies):
    """Guards against a version that no host reads, as each waits for the others."""
    host = Host(LONG_BYTES, replies, mbps=5)
    host.follow()
    assert host.store.read_bytes == LONG_BYTES
    assert host.clock.monotonic() - 100.0 < 2.0


def test_reply_tells_whether_its_sender_reaches_the_store():
    """Guards against a host cut off from the store that confirms removed keys."""
    host = Host(0)
    host.rows.update([CONFIG], 7)
    query = ConfigurationQuery(known_version=7)
    assert host.exchange.answer(query).is_current
    host.store_health.is_lost = lambda: True
    reply = host.exchange.answer(query)
    assert (reply.is_current, reply.rows, reply.version) == (False, b"", 7)


def test_host_without_the_store_asks_on_until_a_host_that_reaches_it_answers():
    stale = ConfigurationReply(version=3, rows=b"", is_current=False)
    host = Host(0, [stale, stale, NEWER, stale])
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
