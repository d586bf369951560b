"""The server answers peers with the cell key and withstands unauthenticated ones."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.entry import process
from papayapick.wire import PeerClient, PeerRefused, PeerUnreachable
from papayapick.wire import server as wire_server
from papayapick.wire.exceptions import PeerNotListening
from papayapick.wire.messages import WorkQuery
from tests.wire.connections import (
    KEY,
    WAIT_SECONDS,
    identity,
    is_closed_by_peer,
    serving,
)

QUERY = WorkQuery(shard="hobart-a.0", request_id="r1")


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as pool:
        yield pool


def _call(server, key, executor):
    client = PeerClient(server.address, key, identity("caller"), executor)
    try:
        return client.ask(QUERY, WAIT_SECONDS)
    finally:
        client.close()


def test_messages_of_a_peer_without_the_key_are_not_handled(executor):
    with serving() as (server, received):
        with pytest.raises(PeerUnreachable):
            _call(server, b"x" * 32, executor)
        assert received == []


def test_connection_that_sends_http_is_closed():
    with serving() as (server, received):
        with socket.create_connection(server.address) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert is_closed_by_peer(sock)
        assert received == []


def test_hundreds_of_hosts_may_be_in_their_handshake_at_once(executor):
    """Guards against a new owner that closes the connections of hosts that ask it.

    A host whose connection was closed took the pool from it.
    """
    with serving(tasks=310, max_handshakes=process._MAX_HANDSHAKES) as (server, _):
        silent = [socket.create_connection(server.address) for _ in range(300)]
        assert _call(server, KEY, executor) is not None
        for sock in silent:
            sock.setblocking(False)
            with pytest.raises(BlockingIOError):
                sock.recv(1)
            sock.close()


def test_silent_connections_leave_tasks_for_peers(executor, monkeypatch):
    """Guards against peers that can't connect while silent connections are open.

    Without a bound on concurrent handshakes, hundreds of connections that send nothing
    occupy all tasks until their handshakes time out. Placers then count as dead while
    they run, and gateways get no slots.
    """
    monkeypatch.setattr(wire_server, "_MAX_CONCURRENT_HANDSHAKES", 2)
    monkeypatch.setattr(wire_server, "_HANDSHAKE_SECONDS", 3600.0)
    with serving(tasks=4) as (server, _):
        connections = [socket.create_connection(server.address) for _ in range(6)]
        refused = [sock for sock in connections[2:] if is_closed_by_peer(sock)]
        assert len(refused) == 4
        for sock in connections:
            sock.close()
        # The two accepted connections are closed; a peer can connect again.
        answer = None
        while answer is None:
            try:
                answer = _call(server, b"k" * 32, executor)
            except PeerUnreachable:
                continue
        assert answer.bundle_sequence == 7


def test_unexpected_error_of_the_handler_becomes_a_refusal(executor):
    def fail(payload):
        raise ZeroDivisionError("secret of the handler")

    with serving(handler=fail) as (server, _):
        with pytest.raises(PeerRefused) as caught:
            _call(server, b"k" * 32, executor)
    assert caught.value.outcome == "unknown"
    assert "secret" not in str(caught.value)


def test_address_where_no_process_listens_has_its_own_error(executor):
    """Guards against mistaking an ended process for an unreachable one."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        client = PeerClient(
            unused.getsockname(), b"k" * 32, identity("caller"), executor
        )
        with pytest.raises(PeerNotListening):
            client.call(QUERY)
