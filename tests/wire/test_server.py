"""The server answers peers with the cell key and withstands unauthenticated ones."""

import errno
import socket
import threading
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from papayapick.clock import ManualClock
from papayapick.entry import process
from papayapick.wire import Connection, PeerClient, PeerRefused, PeerUnreachable
from papayapick.wire import server as wire_server
from papayapick.wire.exceptions import PeerNotListening, PeerTimeout
from papayapick.wire.messages import WorkQuery
from tests.wire.connections import (
    KEY,
    WAIT_SECONDS,
    identity,
    is_closed_by_peer,
    serving,
    socket_pair,
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


def test_calls_that_timed_out_are_forgotten(executor):
    """Guards against memory that grows with calls to a peer that never answers them."""
    with serving(handler=lambda payload: Future()) as (server, _):
        client = PeerClient(server.address, KEY, identity("caller"), executor)
        for _ in range(3):
            with pytest.raises(PeerTimeout):
                client.ask(QUERY, 0.01)
        assert client._pending == {}
        client.close()


def test_socket_of_a_failed_handshake_is_closed(executor, monkeypatch):
    """Guards against a host that runs out of descriptors beside one with another key.

    The sockets were kept for as long as the errors that named them.
    """
    opened, connect = [], socket.create_connection

    def record(*arguments):
        opened.append(connect(*arguments))
        return opened[-1]

    monkeypatch.setattr(socket, "create_connection", record)
    with serving() as (server, _):
        with pytest.raises(PeerUnreachable):
            _call(server, b"x" * 32, executor)
    assert [sock.fileno() for sock in opened] == [-1]


def test_connection_accepted_while_the_server_closes_is_closed(monkeypatch):
    """Guards against a closed server that answers on one more connection."""
    monkeypatch.setattr(wire_server, "_HANDSHAKE_SECONDS", 3600.0)
    near, far = socket_pair()
    with serving() as (server, _):
        pass
    connection = Connection(far, KEY, identity())
    server._handshakes.acquire()
    serve = threading.Thread(target=server._serve, args=(connection,), daemon=True)
    serve.start()
    assert is_closed_by_peer(near)
    serve.join(WAIT_SECONDS)
    near.close()


class CountingClock(ManualClock):
    """Count the waits; set the event at the third."""

    waits = 0

    def wait(self, event, seconds):
        self.waits += 1
        if self.waits == 3:
            event.set()
        return event.is_set()


class FailingListener:
    """Fail to accept, as a process without descriptors does."""

    accepts = 0

    def accept(self):
        self.accepts += 1
        if self.accepts > 99:
            raise ValueError("accepted without a pause")
        raise OSError(errno.EMFILE, "too many open files")


def test_server_without_descriptors_pauses_before_it_accepts_again(executor):
    """Guards against a thread that takes a whole core while accepting fails."""
    clock = CountingClock()
    with serving(clock=clock) as (server, _):
        pass
    server._stopping = threading.Event()
    server._listener = FailingListener()
    clock.waits = 0
    server._accept()
    assert (clock.waits, server._listener.accepts) == (3, 3)
