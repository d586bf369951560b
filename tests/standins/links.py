"""Stand-in for a slow network link that several hosts share."""

import contextlib
import socket
import threading
import time

# Small, so that what was sent but not read yet is a small part of an answer.
_BUFFER_BYTES = 16 << 10
_PART_BYTES = 4 << 10


class SharedLink:
    """Forward connections to a server at a common rate.

    Parameters
    ----------
    target : str
        Address of the server, ``IP:PORT``.
    bytes_per_second : float
        Of all connections together, from the server to its callers.
    is_upload : bool, optional
        Limit the other direction in place of this one.
    """

    def __init__(self, target, bytes_per_second, is_upload=False):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_upload = is_upload
        self._seconds_per_byte = 1 / bytes_per_second
        self._lock = threading.Lock()
        self._free_at = 0.0
        self._carried_bytes = 0
        # The sizes are inherited by the accepted connections.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        self._connections = [self._listener]
        _start(self._accept)

    @property
    def address(self):
        """Return the address for callers, as ``IP:PORT``."""
        return "{}:{}".format(*self._listener.getsockname())

    @property
    def carried_bytes(self):
        """Return how many bytes were carried in the limited direction so far."""
        return self._carried_bytes

    def close(self):
        """Close the listener and all connections."""
        with self._lock:
            connections, self._connections = self._connections, None
        for one in connections:
            _hang_up(one)
            one.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                server = socket.socket()
                server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
                server.connect(self._target)
                with self._lock:
                    if self._connections is None:
                        return
                    self._connections += [caller, server]
                _start(self._forward, caller, server, self._is_upload)
                _start(self._forward, server, caller, not self._is_upload)

    def _forward(self, source, target, is_limited):
        with contextlib.suppress(OSError):
            while part := source.recv(_PART_BYTES):
                if is_limited:
                    self._wait_for_turn(len(part))
                target.sendall(part)
        _hang_up(source)
        _hang_up(target)

    def _wait_for_turn(self, size):
        with self._lock:
            self._carried_bytes += size
            begin = max(self._free_at, time.monotonic())
            self._free_at = begin + size * self._seconds_per_byte
            wait = self._free_at - time.monotonic()
        if wait > 0:
            time.sleep(wait)


def _start(step, *args):
    threading.Thread(target=step, args=args, daemon=True).start()


def _hang_up(connection):
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
