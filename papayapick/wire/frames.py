"""Send and receive authenticated frames over a TCP connection.

A frame consists of a length of 4 bytes, a message authentication code (MAC) of
16 bytes and the message. The MAC is a keyed BLAKE2b over a counter and the message,
so a frame that is forged, altered, replayed or reordered is refused. Each direction
has a session key, derived from the cell key and a nonce of each side. The caller uses
the first of its cell keys, and the listener answers under the key that the caller used.
"""

import contextlib
import hashlib
import hmac
import os
import socket
import struct
import threading

from papayapick.clock import SystemClock
from papayapick.wire.codec import decode, encode
from papayapick.wire.exceptions import FrameInvalid, HandshakeTimeout, PeerDisconnected
from papayapick.wire.keys import CellKeys
from papayapick.wire.messages import Hello

__all__ = ["FRAME_LIMIT_BYTES", "HANDSHAKE_LIMIT_BYTES", "Connection"]

FRAME_LIMIT_BYTES = 4 << 20
HANDSHAKE_LIMIT_BYTES = 1 << 10
_HANDSHAKE_SECONDS = 2.0
_SEND_SECONDS = 5
_TIMEVAL = struct.Struct("@ll")
# A silent peer is probed after the first time, then each second one, and is given up
# after this number of probes without an answer.
_PROBED_AFTER_SECONDS = 15
_PROBE_INTERVAL_SECONDS = 5
_PROBES = 3
_MAC_BYTES = 16
_NONCE_BYTES = 16
# A frame is read whole, with any that follow it, where it is no longer than this. In
# three reads, each received message would wait three times for the interpreter's lock.
_RECEIVED_AT_ONCE_BYTES = 4096
_HEADER = struct.Struct(">I")
_COUNTER = struct.Struct(">Q")


def _mac(key, counter, body):
    keyed = hashlib.blake2b(key=key, digest_size=_MAC_BYTES)
    keyed.update(_COUNTER.pack(counter))
    keyed.update(body)
    return keyed.digest()


class Connection:
    """Exchange messages with a peer over a connected socket.

    Parameters
    ----------
    sock : socket.socket
    cell_keys : CellKeys or bytes
        Shared by all processes of the cell.
    identity : Hello
        Host, region and zone of this process; each handshake adds a new nonce.
    meter : callable, optional
        Called with the message type, distance, direction and size in bytes of each
        frame.
    clock : Clock, optional
        Measures the time limit of the handshake.
    """

    __slots__ = (
        "_cell_key",
        "_cell_keys",
        "_clock",
        "_deadline",
        "_identity",
        "_meter",
        "_peer",
        "_receive_buffer",
        "_receive_counter",
        "_receive_key",
        "_send_counter",
        "_send_key",
        "_send_lock",
        "_socket",
    )

    def __init__(self, sock, cell_keys, identity, meter=None, clock=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._cell_keys = CellKeys.of(cell_keys)
        self._cell_key = self._cell_keys.first
        self._clock = clock or SystemClock()
        self._deadline = None
        self._send_key = self._receive_key = self._cell_key
        self._send_counter = self._receive_counter = 0
        self._receive_buffer = bytearray()
        self._send_lock = threading.Lock()
        self._identity = identity
        self._meter = meter or (lambda *ignored: None)
        self._peer = None

    @property
    def peer(self):
        """Return the other side's ``Hello``, or None before the handshake."""
        return self._peer

    @property
    def distance(self):
        """Return whether the peer is in the same zone, the same region or neither.

        Returns
        -------
        {"zone", "region", "link"}
            ``link`` also before the handshake.
        """
        if self._peer is None or self._peer.region != self._identity.region:
            return "link"
        return "zone" if self._peer.zone == self._identity.zone else "region"

    def initiate_handshake(self, seconds=_HANDSHAKE_SECONDS):
        """Perform the handshake as the side that connected.

        Parameters
        ----------
        seconds : float
            Time limit of the whole handshake.

        Raises
        ------
        FrameInvalid, HandshakeTimeout, PeerDisconnected
        """
        self._deadline = self._clock.monotonic() + seconds
        nonce = self._send_hello()
        self._receive_hello(self._cell_keys.first)
        self._derive_keys(nonce, self._peer.nonce, is_caller=True)
        self._finish_handshake()

    def accept_handshake(self, seconds=_HANDSHAKE_SECONDS):
        """Perform the handshake as the side that accepted the connection.

        Raises
        ------
        FrameInvalid, HandshakeTimeout, PeerDisconnected
        """
        self._deadline = self._clock.monotonic() + seconds
        self._receive_hello(*self._cell_keys)
        nonce = self._send_hello()
        self._derive_keys(self._peer.nonce, nonce, is_caller=False)
        self._finish_handshake()

    def send(self, identifier, payload, traceparent=""):
        """Send one message; safe to call from several threads.

        Raises
        ------
        PeerDisconnected
        """
        body = encode(identifier, payload, traceparent)
        with self._send_lock:
            mac = _mac(self._send_key, self._send_counter, body)
            self._send_counter += 1
            frame = _HEADER.pack(len(body)) + mac + body
            try:
                self._socket.sendall(frame)
            except OSError as error:
                # Part of the frame may have been sent. The peer would read the next
                # frame as the rest of it, so the connection can't be used again. What
                # a peer sent before it ended is still to be read, up to the end.
                if not isinstance(error, ConnectionError):
                    self.close()
                raise PeerDisconnected(address=self._address()) from error
        self._meter(type(payload).__name__, self.distance, "sent", len(frame))

    def receive(self):
        """Wait for the next message.

        Returns
        -------
        identifier : int
        payload : Payload
        traceparent : str

        Raises
        ------
        FrameInvalid, PeerDisconnected
        """
        mac, body = self._read_frame(FRAME_LIMIT_BYTES)
        if not self._is_authentic(self._receive_key, mac, body):
            raise FrameInvalid(reason="the authentication code does not match")
        return self._decoded(body)

    def _read_frame(self, limit):
        (length,) = _HEADER.unpack(self._read(_HEADER.size))
        if length > limit:
            raise FrameInvalid(reason=f"{length} bytes are over the limit")
        return self._read(_MAC_BYTES), self._read(length)

    def _is_authentic(self, key, mac, body):
        expected = _mac(key, self._receive_counter, body)
        return hmac.compare_digest(mac, expected)

    def _decoded(self, body):
        self._receive_counter += 1
        identifier, payload, traceparent = decode(body)
        size = _HEADER.size + _MAC_BYTES + len(body)
        self._meter(type(payload).__name__, self.distance, "received", size)
        return identifier, payload, traceparent

    def close(self):
        """Close the socket; this also wakes a thread that is blocked reading it."""
        # Fails if the peer has closed the connection already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _send_hello(self):
        nonce = os.urandom(_NONCE_BYTES)
        identity = self._identity
        self.send(
            0,
            Hello(
                nonce=nonce,
                host=identity.host,
                region=identity.region,
                zone=identity.zone,
            ),
        )
        return nonce

    def _receive_hello(self, *keys):
        # The peer is not authenticated yet. A long frame would take up memory before
        # its MAC is checked, so a greeting may be much shorter than other frames.
        mac, body = self._read_frame(HANDSHAKE_LIMIT_BYTES)
        matching = [key for key in keys if self._is_authentic(key, mac, body)]
        if not matching:
            raise FrameInvalid(reason="the authentication code does not match")
        self._cell_key = self._send_key = matching[0]
        _, payload, _ = self._decoded(body)
        if not isinstance(payload, Hello) or len(payload.nonce) != _NONCE_BYTES:
            raise FrameInvalid(reason="the first message is no greeting")
        self._peer = payload

    def _finish_handshake(self):
        self._deadline = None
        self._socket.settimeout(None)
        # A frozen peer stops reading. Without a time limit, a thread that sends to it
        # would block for ever while it holds the lock that other senders need.
        limit = _TIMEVAL.pack(_SEND_SECONDS, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)
        self._probe_if_silent()

    def _probe_if_silent(self):
        """Let the operating system end the connection once the peer is gone.

        A host that loses power closes no connection. Each loss would leave a thread
        that reads from it, and a descriptor, at every other host for good.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, _PROBED_AFTER_SECONDS),
            (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, _PROBES),
        ):
            self._socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def _derive_keys(self, caller_nonce, listener_nonce, is_caller):
        nonces = caller_nonce + listener_nonce
        keys = [
            hashlib.blake2b(nonces, key=self._cell_key, person=label).digest()
            for label in (b"from-caller", b"from-listener")
        ]
        self._send_key, self._receive_key = keys if is_caller else reversed(keys)
        self._send_counter = self._receive_counter = 0

    def _read(self, size):
        received = self._receive_buffer
        while len(received) < size:
            self._apply_deadline()
            missing = size - len(received)
            try:
                part = self._socket.recv(max(missing, _RECEIVED_AT_ONCE_BYTES))
            except OSError as error:
                raise PeerDisconnected(address=self._address()) from error
            if not part:
                raise PeerDisconnected(address=self._address())
            received += part
        found = bytes(received[:size])
        del received[:size]
        return found

    def _apply_deadline(self):
        # With a timeout per read only, an unauthenticated peer that sends single bytes
        # slowly would occupy a thread for ever.
        if self._deadline is None:
            return
        remaining = self._deadline - self._clock.monotonic()
        if remaining <= 0:
            raise HandshakeTimeout()
        self._socket.settimeout(remaining)

    def _address(self):
        return self._peer.host if self._peer else "unknown (before its greeting)"
