"""Carry authenticated frames over one TCP connection.

A frame is a length of 4 bytes, a code of 16 bytes and the message. The code is
a keyed BLAKE2b over a counter and the message, so a frame that is forged,
altered, replayed or reordered is refused. The session key comes from the
cell's key and a nonce of each side. The caller takes the first of its cell keys
and the listener answers under the one that the caller used.
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
from papayapick.wire.exceptions import FrameInvalid, GreetingOverdue, PeerDisconnected
from papayapick.wire.keys import CellKeys
from papayapick.wire.messages import Hello

__all__ = ["FRAME_LIMIT_BYTES", "GREETING_LIMIT_BYTES", "Connection"]

FRAME_LIMIT_BYTES = 4 << 20
GREETING_LIMIT_BYTES = 1 << 10
_GREETING_SECONDS = 2.0
_SEND_SECONDS = 5
_TIMEVAL = struct.Struct("@ll")
_CODE_BYTES = 16
_NONCE_BYTES = 16
_HEADER = struct.Struct(">I")
_COUNTER = struct.Struct(">Q")


def _code(key, counter, body):
    keyed = hashlib.blake2b(key=key, digest_size=_CODE_BYTES)
    keyed.update(_COUNTER.pack(counter))
    keyed.update(body)
    return keyed.digest()


class Connection:
    """Send and receive messages on an open socket.

    Parameters
    ----------
    sock : socket.socket
    cell_keys : CellKeys or bytes
        Shared by the processes of the cell.
    identity : Hello
        Host, region and zone of this process; the nonce is filled in.
    meter : callable, optional
        Called with purpose, distance, direction and bytes of each frame.
    clock : Clock, optional
        Ends a greeting that takes too long.
    """

    __slots__ = (
        "_cell_key",
        "_cell_keys",
        "_clock",
        "_deadline",
        "_identity",
        "_meter",
        "_peer",
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
        """Return ``zone``, ``region`` or ``link``: how far the peer is away."""
        if self._peer is None or self._peer.region != self._identity.region:
            return "link"
        return "zone" if self._peer.zone == self._identity.zone else "region"

    def greet(self, seconds=_GREETING_SECONDS):
        """Exchange greetings as the side that connected.

        Parameters
        ----------
        seconds : float
            For the whole greeting.

        Raises
        ------
        FrameInvalid, GreetingOverdue, PeerDisconnected
        """
        self._deadline = self._clock.monotonic() + seconds
        nonce = self._send_hello()
        self._receive_hello(self._cell_keys.first)
        self._derive_keys(nonce, self._peer.nonce, is_caller=True)
        self._end_greeting()

    def answer_greeting(self, seconds=_GREETING_SECONDS):
        """Exchange greetings as the side that listened."""
        self._deadline = self._clock.monotonic() + seconds
        self._receive_hello(*self._cell_keys)
        nonce = self._send_hello()
        self._derive_keys(self._peer.nonce, nonce, is_caller=False)
        self._end_greeting()

    def send(self, identifier, payload, traceparent=""):
        """Send one message; callable from several threads."""
        body = encode(identifier, payload, traceparent)
        with self._send_lock:
            code = _code(self._send_key, self._send_counter, body)
            self._send_counter += 1
            frame = _HEADER.pack(len(body)) + code + body
            try:
                self._socket.sendall(frame)
            except OSError as error:
                # Part of a frame may have gone out; what came after it would be
                # read as the rest of it.
                self.close()
                raise PeerDisconnected(address=self._address()) from error
        self._meter(type(payload).__name__, self.distance, "sent", len(frame))

    def receive(self):
        """Wait for one message.

        Returns
        -------
        identifier : int
        payload : Payload
        traceparent : str
        """
        code, body = self._read_frame(FRAME_LIMIT_BYTES)
        if not self._is_authentic(self._receive_key, code, body):
            raise FrameInvalid(reason="the code does not match")
        return self._decoded(body)

    def _read_frame(self, limit):
        (length,) = _HEADER.unpack(self._read(_HEADER.size))
        if length > limit:
            raise FrameInvalid(reason=f"{length} bytes are over the limit")
        return self._read(_CODE_BYTES), self._read(length)

    def _is_authentic(self, key, code, body):
        expected = _code(key, self._receive_counter, body)
        return hmac.compare_digest(code, expected)

    def _decoded(self, body):
        self._receive_counter += 1
        identifier, payload, traceparent = decode(body)
        size = _HEADER.size + _CODE_BYTES + len(body)
        self._meter(type(payload).__name__, self.distance, "received", size)
        return identifier, payload, traceparent

    def close(self):
        """Close the socket; a reader blocked on it wakes up."""
        # The other side may be faster; then there is nothing left to shut down.
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
        # A stranger may send anything: a long frame would hold memory before
        # its code is checked, so a greeting is short.
        code, body = self._read_frame(GREETING_LIMIT_BYTES)
        matching = [key for key in keys if self._is_authentic(key, code, body)]
        if not matching:
            raise FrameInvalid(reason="the code does not match")
        self._cell_key = self._send_key = matching[0]
        _, payload, _ = self._decoded(body)
        if not isinstance(payload, Hello) or len(payload.nonce) != _NONCE_BYTES:
            raise FrameInvalid(reason="no greeting")
        self._peer = payload

    def _end_greeting(self):
        self._deadline = None
        self._socket.settimeout(None)
        # A frozen peer stops reading; without a limit, whoever answers it would
        # block here for good, with the lock that other answers need.
        limit = _TIMEVAL.pack(_SEND_SECONDS, 0)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)

    def _derive_keys(self, caller_nonce, listener_nonce, is_caller):
        nonces = caller_nonce + listener_nonce
        keys = [
            hashlib.blake2b(nonces, key=self._cell_key, person=label).digest()
            for label in (b"from-caller", b"from-listener")
        ]
        self._send_key, self._receive_key = keys if is_caller else reversed(keys)
        self._send_counter = self._receive_counter = 0

    def _read(self, size):
        parts = bytearray()
        while len(parts) < size:
            self._limit_wait()
            try:
                part = self._socket.recv(size - len(parts))
            except OSError as error:
                raise PeerDisconnected(address=self._address()) from error
            if not part:
                raise PeerDisconnected(address=self._address())
            parts += part
        return bytes(parts)

    def _limit_wait(self):
        # A timeout for each part alone would let a stranger that sends a byte
        # now and then hold a task for ever.
        if self._deadline is None:
            return
        rest = self._deadline - self._clock.monotonic()
        if rest <= 0:
            raise GreetingOverdue()
        self._socket.settimeout(rest)

    def _address(self):
        return self._peer.host if self._peer else "before its greeting"
