"""A worker that accepts a limited number of connections, and answers each call."""

import json
import socket
import struct
import threading
import time

__all__ = ["FullWorker", "reset_on_close", "wait_until"]

_BODY = json.dumps({"clock_ms": 1000, "born": 1, "running": [], "finished": []})
_ANSWER = f"HTTP/1.1 200 OK\r\nContent-Length: {len(_BODY)}\r\n\r\n{_BODY}".encode()
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_OF_HEAD = b"\r\n\r\n"


def reset_on_close(sock):
    """Let the end of a connection look like a reset to the other side."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


class FullWorker:
    """Answer calls on a number of connections, and reset each further one.

    Parameters
    ----------
    accepts : int
        Number of connections that it has at once.
    """

    def __init__(self, accepts):
        self.accepts = accepts
        self.open = set()
        self.refused = 0
        # Answers wait for it.
        self.may_answer = threading.Event()
        self.may_answer.set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        self.may_answer.set()
        for sock in list(self.open):
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                is_accepted = len(self.open) < self.accepts
                if is_accepted:
                    self.open.add(sock)
            if is_accepted:
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
                continue
            self.refused += 1
            reset_on_close(sock)
            sock.close()

    def _serve(self, sock):
        try:
            while _read_request(sock):
                self.may_answer.wait()
                sock.sendall(_ANSWER)
        except OSError:
            pass
        with self._lock:
            self.open.discard(sock)
        sock.close()


def _read_request(sock):
    """Read one request; return whether there was one."""
    data = b""
    while _END_OF_HEAD not in data:
        part = sock.recv(4096)
        if not part:
            return False
        data += part
    head, _, body = data.partition(_END_OF_HEAD)
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        part = sock.recv(4096)
        if not part:
            return False
        body += part
    return True


def wait_until(condition, seconds=5.0):
    """Wait for a condition that another thread brings about; return it."""
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.005)
    return condition()
