"""Frames that a hostile or broken peer sends are refused with typed errors."""

import socket
import struct
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.clock import ManualClock
from papayapick.wire import (
    Connection,
    FrameInvalid,
    HandshakeTimeout,
    PeerDisconnected,
    WireError,
)
from papayapick.wire import frames as wire_frames
from papayapick.wire.frames import FRAME_LIMIT_BYTES, HANDSHAKE_LIMIT_BYTES
from papayapick.wire.messages import Heartbeat, WorkQuery
from tests.wire.connections import (
    KEY,
    WAIT_SECONDS,
    connected_pair,
    identity,
    socket_pair,
)

QUERY = WorkQuery(shard="hobart-a.0", request_id="r1")
HEADER = struct.Struct(">I")
MAC_BYTES = 16
# Some ten hosts may be lost in a day; each may keep a thread busy for this long.
LONGEST_SILENCE_SECONDS = 60


class Recorder:
    """Replace the socket of a connection and record its frames instead of sending."""

    def __init__(self, connection):
        self.frames = []
        connection._socket = self

    def sendall(self, data):
        self.frames.append(data)

    def shutdown(self, how):
        """Do nothing; a recorder has no connection."""

    def close(self):
        """Do nothing; a recorder has no connection."""


def _tampered(frames):
    return frames[0][:-1] + bytes([frames[0][-1] ^ 1])


HOSTILE = [
    ("too long", lambda frames: HEADER.pack(FRAME_LIMIT_BYTES + 1), "over the limit"),
    ("altered", _tampered, "code"),
    ("wrong code", lambda f: f[0][:4] + b"0" * MAC_BYTES + f[0][20:], "code"),
    ("replayed", lambda frames: frames[0] * 2, "code"),
    ("reordered", lambda frames: frames[1] + frames[0], "code"),
    ("one left out", lambda frames: frames[1], "code"),
    ("empty", lambda frames: HEADER.pack(0) + b"0" * MAC_BYTES, "code"),
]


@pytest.mark.parametrize(
    ("forge", "reason"), [row[1:] for row in HOSTILE], ids=[row[0] for row in HOSTILE]
)
def test_hostile_frame_is_refused(forge, reason):
    with connected_pair() as (caller, listener, near, _):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        caller.send(2, QUERY)
        near.sendall(forge(recorder.frames))
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(FrameInvalid, match=reason):
            for _ in range(2):
                listener.receive()


def test_frame_sent_back_to_its_sender_is_refused():
    with connected_pair() as (caller, _, near, far):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        caller._socket = near
        far.sendall(recorder.frames[0])
        with pytest.raises(FrameInvalid, match="code"):
            caller.receive()


@pytest.mark.parametrize("kept", [1, 3, 4, 10, 20, 25])
def test_truncated_frame_ends_the_connection(kept):
    with connected_pair() as (caller, listener, near, _):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        near.sendall(recorder.frames[0][:kept])
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(PeerDisconnected):
            listener.receive()


def test_authentic_frame_without_a_message_is_refused():
    with connected_pair() as (caller, listener, near, _):
        body = b"\xff" * 40
        mac = wire_frames._mac(caller._send_key, 0, body)
        near.sendall(HEADER.pack(len(body)) + mac + body)
        with pytest.raises(FrameInvalid, match="schema"):
            listener.receive()


def test_message_that_expands_beyond_the_limit_is_refused():
    """Guards against a placer that runs out of memory on one short message.

    Packing shortens runs of zeros a thousandfold, so a faulty peer can send a packed
    message that expands to gigabytes.
    """
    # A segment of 4 Mi words, all of them zero: 32 KiB expand to 32 MiB.
    body = b"\x40\x40" + b"\x00\xff" * (1 << 14)
    with connected_pair() as (caller, listener, near, _):
        mac = wire_frames._mac(caller._send_key, 0, body)
        near.sendall(HEADER.pack(len(body)) + mac + body)
        with pytest.raises(FrameInvalid, match="schema"):
            listener.receive()


def _hello_frame(key):
    near, far = socket_pair()
    connection = Connection(near, key, identity("stranger"))
    recorder = Recorder(connection)
    connection._send_hello()
    near.close()
    far.close()
    return recorder.frames[0]


def _authentic(body):
    return HEADER.pack(len(body)) + wire_frames._mac(KEY, 0, body) + body


GREETINGS = [
    ("other key", lambda: _hello_frame(b"x" * 32), "code"),
    ("no frame", lambda: b"GET / HTTP/1.1\r\n\r\n", "over the limit"),
    ("long", lambda: HEADER.pack(HANDSHAKE_LIMIT_BYTES + 1), "over the limit"),
    (
        "another message",
        lambda: _authentic(wire_frames.encode(0, Heartbeat(host="h"))),
        "no greeting",
    ),
    (
        "short nonce",
        lambda: _authentic(wire_frames.encode(0, identity())),
        "no greeting",
    ),
]


@pytest.mark.parametrize(
    ("forge", "reason"),
    [row[1:] for row in GREETINGS],
    ids=[row[0] for row in GREETINGS],
)
def test_hostile_greeting_is_refused(forge, reason):
    near, far = socket_pair()
    listener = Connection(far, KEY, identity())
    near.sendall(forge())
    near.shutdown(socket.SHUT_WR)
    with pytest.raises(FrameInvalid, match=reason):
        listener.accept_handshake()
    near.close()
    far.close()


def test_greeting_sent_byte_by_byte_times_out():
    """Guards against placers that can't connect to each other on idle hosts.

    Unauthenticated connections that send one byte a second each occupy a task. A
    timeout per read only would never end their handshakes.
    """
    near, far = socket_pair()
    clock = ManualClock()
    listener = Connection(far, KEY, identity(), clock=clock)
    with ThreadPoolExecutor(1) as executor:
        near.sendall(b"\0")
        accepted = executor.submit(listener.accept_handshake, 60.0)
        clock.advance(61.0)
        near.sendall(b"\0")
        with pytest.raises(HandshakeTimeout):
            accepted.result(WAIT_SECONDS)
    near.close()
    far.close()


def test_sending_to_a_peer_that_stops_reading_fails():
    """Guards against urgent requests that wait although slots are free.

    The placer answers a frozen gateway until the socket's buffer is full. Without a
    time limit, the next send would block, and with it the tasks of other gateways.
    """
    with connected_pair() as (caller, _, near, _):
        short = wire_frames._TIMEVAL.pack(0, 20000)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, short)
        with pytest.raises(PeerDisconnected):
            for _ in range(10000):
                caller.send(1, Heartbeat(host="h" * 60000))


def test_sending_has_a_time_limit():
    with connected_pair() as (_, _, near, far):
        for sock in (near, far):
            limit = sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_SNDTIMEO, wire_frames._TIMEVAL.size
            )
            assert wire_frames._TIMEVAL.unpack(limit)[0] > 0


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_any_bytes_after_the_handshake_are_refused(data):
    with connected_pair() as (_, listener, near, _):
        near.sendall(data)
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(WireError):
            listener.receive()


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_any_bytes_in_place_of_the_greeting_are_refused(data):
    near, far = socket_pair()
    near.sendall(data)
    near.shutdown(socket.SHUT_WR)
    with pytest.raises(WireError):
        Connection(far, KEY, identity()).accept_handshake()
    near.close()
    far.close()


class CountingSocket:
    """Count the reads from a socket."""

    def __init__(self, sock):
        self._socket = sock
        self.reads = 0

    def recv(self, size):
        self.reads += 1
        return self._socket.recv(size)

    def __getattr__(self, name):
        return getattr(self._socket, name)


def test_short_messages_are_read_at_once():
    """Guards against threads that wait for the interpreter's lock three times a frame.

    Beside a thread that computes, a new owner's connections to hundreds of hosts then
    took so long that the hosts took the pool from it.
    """
    with connected_pair() as (caller, listener, _, _):
        listener._socket = counting = CountingSocket(listener._socket)
        for number in range(5):
            caller.send(number, QUERY)
        received = [listener.receive() for _ in range(5)]
        assert [identifier for identifier, *_ in received] == list(range(5))
        assert {payload.request_id for _, payload, _ in received} == {"r1"}
        assert counting.reads <= 5


def test_long_message_between_short_ones_is_read_whole():
    long_query = WorkQuery(shard="hobart-a.0", request_id="r" * 300_000)
    with connected_pair() as (caller, listener, _, _), ThreadPoolExecutor(1) as pool:
        sent = (QUERY, long_query, QUERY)
        sending = pool.submit(lambda: [caller.send(1, query) for query in sent])
        received = [listener.receive()[1].request_id for _ in sent]
        sending.result(WAIT_SECONDS)
        assert received == [query.request_id for query in sent]


def test_silent_peer_is_probed_by_both_sides():
    """Guards against threads and descriptors that hosts without power leave in use."""
    with connected_pair() as (_, _, *sockets):
        for sock in sockets:
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            first, interval, count = (
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            )
            assert first + interval * count <= LONGEST_SILENCE_SECONDS
