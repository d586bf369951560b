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
    GreetingOverdue,
    PeerDisconnected,
    WireError,
)
from papayapick.wire import frames as wire_frames
from papayapick.wire.frames import FRAME_LIMIT_BYTES, GREETING_LIMIT_BYTES
from papayapick.wire.messages import Heartbeat, WorkQuery
from tests.wire.links import KEY, WAIT_SECONDS, greeted, identity, socket_pair

QUERY = WorkQuery(shard="hobart-a.0", request_id="r1")
HEADER = struct.Struct(">I")
CODE_BYTES = 16


class Recorder:
    """Stand between two ends: keep the frames that one sends, unsent."""

    def __init__(self, connection):
        self.frames = []
        connection._socket = self

    def sendall(self, data):
        self.frames.append(data)

    def shutdown(self, how):
        """A recorder has nothing to shut down."""

    def close(self):
        """A recorder has nothing to close."""


def _altered(frames):
    return frames[0][:-1] + bytes([frames[0][-1] ^ 1])


HOSTILE = [
    ("too long", lambda frames: HEADER.pack(FRAME_LIMIT_BYTES + 1), "over the limit"),
    ("altered", _altered, "code"),
    ("wrong code", lambda f: f[0][:4] + b"0" * CODE_BYTES + f[0][20:], "code"),
    ("replayed", lambda frames: frames[0] * 2, "code"),
    ("reordered", lambda frames: frames[1] + frames[0], "code"),
    ("one left out", lambda frames: frames[1], "code"),
    ("empty", lambda frames: HEADER.pack(0) + b"0" * CODE_BYTES, "code"),
]


@pytest.mark.parametrize(
    ("forge", "reason"), [row[1:] for row in HOSTILE], ids=[row[0] for row in HOSTILE]
)
def test_hostile_frame_is_refused(forge, reason):
    with greeted() as (caller, listener, near, _):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        caller.send(2, QUERY)
        near.sendall(forge(recorder.frames))
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(FrameInvalid, match=reason):
            for _ in range(2):
                listener.receive()


def test_frame_sent_back_to_its_sender_is_refused():
    with greeted() as (caller, _, near, far):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        caller._socket = near
        far.sendall(recorder.frames[0])
        with pytest.raises(FrameInvalid, match="code"):
            caller.receive()


@pytest.mark.parametrize("kept", [1, 3, 4, 10, 20, 25])
def test_truncated_frame_ends_the_connection(kept):
    with greeted() as (caller, listener, near, _):
        recorder = Recorder(caller)
        caller.send(1, QUERY)
        near.sendall(recorder.frames[0][:kept])
        near.shutdown(socket.SHUT_WR)
        with pytest.raises(PeerDisconnected):
            listener.receive()


def test_authentic_frame_without_a_message_is_refused():
    with greeted() as (caller, listener, near, _):
        body = b"\xff" * 40
        code = wire_frames._code(caller._send_key, 0, body)
        near.sendall(HEADER.pack(len(body)) + code + body)
        with pytest.raises(FrameInvalid, match="schema"):
            listener.receive()


def test_packed_zeros_that_stand_for_much_memory_are_refused():
    """
    A placer dies for want of memory on one short message.
    Order: a peer gone wrong sends a packed message that stands for gigabytes.
    Cause: packing shortens runs of zeros a thousandfold.
    """
    # A segment of 4 Mi words, all of them zero: 32 KiB stand for 32 MiB.
    body = b"\x40\x40" + b"\x00\xff" * (1 << 14)
    with greeted() as (caller, listener, near, _):
        code = wire_frames._code(caller._send_key, 0, body)
        near.sendall(HEADER.pack(len(body)) + code + body)
        with pytest.raises(FrameInvalid, match="schema"):
            listener.receive()


def _greeting_of(key):
    near, far = socket_pair()
    connection = Connection(near, key, identity("stranger"))
    recorder = Recorder(connection)
    connection._send_hello()
    near.close()
    far.close()
    return recorder.frames[0]


def _authentic(body):
    return HEADER.pack(len(body)) + wire_frames._code(KEY, 0, body) + body


GREETINGS = [
    ("other key", lambda: _greeting_of(b"x" * 32), "code"),
    ("no frame", lambda: b"GET / HTTP/1.1\r\n\r\n", "over the limit"),
    ("long", lambda: HEADER.pack(GREETING_LIMIT_BYTES + 1), "over the limit"),
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
        listener.answer_greeting()
    near.close()
    far.close()


def test_greeting_of_a_byte_now_and_then_ends_in_time():
    """
    Placers hear each other no more, though their hosts are idle.
    Order: strangers connect and send a byte a second; each holds a task.
    Cause: a timeout for each part alone never ends the whole greeting.
    """
    near, far = socket_pair()
    clock = ManualClock()
    listener = Connection(far, KEY, identity(), clock=clock)
    with ThreadPoolExecutor(1) as executor:
        near.sendall(b"\0")
        answered = executor.submit(listener.answer_greeting, 60.0)
        clock.advance(61.0)
        near.sendall(b"\0")
        with pytest.raises(GreetingOverdue):
            answered.result(WAIT_SECONDS)
    near.close()
    far.close()


def test_peer_that_stops_reading_does_not_hold_its_sender():
    """
    Urgent requests through every gateway wait although slots are free.
    Order: one gateway is frozen; the placer goes on answering it until the
    socket is full, then blocks in the send and with it the task of others.
    Cause: a send without a time limit.
    """
    with greeted() as (caller, _, near, _):
        short = wire_frames._TIMEVAL.pack(0, 20000)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, short)
        with pytest.raises(PeerDisconnected):
            for _ in range(10000):
                caller.send(1, Heartbeat(host="h" * 60000))


def test_sending_has_a_time_limit():
    with greeted() as (_, _, near, far):
        for sock in (near, far):
            limit = sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_SNDTIMEO, wire_frames._TIMEVAL.size
            )
            assert wire_frames._TIMEVAL.unpack(limit)[0] > 0


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_any_bytes_after_the_greeting_are_refused(data):
    with greeted() as (_, listener, near, _):
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
        Connection(far, KEY, identity()).answer_greeting()
    near.close()
    far.close()
