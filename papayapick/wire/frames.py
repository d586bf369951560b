"""Carry authenticated frames over one TCP connection.

A frame is a length of 4 bytes, a code of 16 bytes and the message. The code is
a keyed BLAKE2b over a counter and the message, so a frame that is forged,
altered, replayed or reordered is refused. The session key comes from the
cell's key and a nonce of each side.
"""

import contextlib
import hashlib
import hmac
import os
import socket
import struct
import threading

from papayapick.wire.codec import decode, encode
from papayapick.wire.exceptions import FrameInvalid, PeerDisconnected
from papayapick.wire.messages import Hello

__all__ = ["FRAME_LIMIT_BYTES", "Connection"]

FRAME_LIMIT_BYTES = 4 << 20
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
    cell_key : bytes
        At most 64 bytes, shared by the processes of the cell.
    identity : Hello
        Host, region and zone of this process; the nonce is filled in.
    meter : callable, optional
        Called with purpose, distance, direction and bytes of each frame.
    """

    __slots__ = (
        "_cell_key",
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

    def __init__(self, sock, cell_key, identity, meter=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._cell_key = cell_key
        self._send_key = self._receive_key = cell_key
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

    def greet(self):
        """Exchange greetings as the side that connected.

        Raises
        ------
        FrameInvalid, PeerDisconnected
        """
        nonce = self._send_hello()
        self._receive_hello()
        self._derive_keys(nonce, self._peer.nonce, is_caller=True)

    def answer_greeting(self):
        """Exchange greetings as the side that listened."""
        self._receive_hello()
        nonce = self._send_hello()
        self._derive_keys(self._peer.nonce, nonce, is_caller=False)

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
        (length,) = _HEADER.unpack(self._read(_HEADER.size))
        if length > FRAME_LIMIT_BYTES:
            raise FrameInvalid(reason=f"{length} bytes are over the limit")
        code = self._read(_CODE_BYTES)
        body = self._read(length)
        expected = _code(self._receive_key, self._receive_counter, body)
        if not hmac.compare_digest(code, expected):
            raise FrameInvalid(reason="the code does not match")
        self._receive_counter += 1
        identifier, payload, traceparent = decode(body)
        size = _HEADER.size + _CODE_BYTES + length
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

    def _receive_hello(self):
        _, payload, _ = self.receive()
        if not isinstance(payload, Hello) or len(payload.nonce) != _NONCE_BYTES:
            raise FrameInvalid(reason="no greeting")
        self._peer = payload

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
            try:
                part = self._socket.recv(size - len(parts))
            except OSError as error:
                raise PeerDisconnected(address=self._address()) from error
            if not part:
                raise PeerDisconnected(address=self._address())
            parts += part
        return bytes(parts)

    def _address(self):
        return self._peer.host if self._peer else "before its greeting"
