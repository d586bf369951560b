"""Connections to workers are counted, and a worker that refuses one is logged."""

import logging
import socket
import struct
import threading

import pytest

from papayapick.clients.connections import Connections
from papayapick.clients.exceptions import AnswerMissing
from papayapick.clients.http import HttpPool
from papayapick.pool.metrics import WORKER_CONNECTIONS
from papayapick.pool.workers.connections import WorkerConnectionMonitor

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FullWorker:
    """Answer the calls on a number of connections, and reset all others.

    Parameters
    ----------
    accepts : int
        Number of connections that it has at once.
    """

    def __init__(self, accepts):
        self.accepts = accepts
        self.open = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        for sock in list(self.open):
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self.open) >= self.accepts:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                sock.close()
                continue
            self.open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            while sock.recv(4096):
                sock.sendall(ANSWER)
        except OSError:
            pass
        self.open.discard(sock)
        sock.close()


@pytest.fixture
def worker():
    worker = FullWorker(accepts=1)
    yield worker
    worker.close()


@pytest.fixture
def pool():
    pool = HttpPool(5.0, connections=Connections(monitor=WorkerConnectionMonitor()))
    yield pool
    pool.close()


def count(outcome):
    return WORKER_CONNECTIONS.labels(outcome)._value.get()


def test_refused_connection_is_counted_and_logged(worker, pool, caplog):
    """Guards against a worker whose orders are all reset, of which no line tells."""
    caplog.set_level(logging.INFO)
    url = f"http://{worker.address}/"
    before = {name: count(name) for name in ("opened", "closed", "refused")}
    assert pool.request("GET", url).status == 200
    with pytest.raises(AnswerMissing):
        pool.request("GET", url, fresh=True)
    changes = {name: count(name) - number for name, number in before.items()}
    assert changes == {"opened": 2, "closed": 1, "refused": 1}
    assert pool.connections.most_open() == 1
    lines = [one for one in caplog.records if "refused" in one.getMessage()]
    assert [one.fields["is_open"] for one in lines] == [1]
    assert lines[0].fields["address"] == worker.address


def test_connection_that_ends_later_does_not_count_as_refused(worker, pool):
    """Guards against crashes of workers that are counted as refusals."""
    url = f"http://{worker.address}/"
    before = count("refused")
    pool.request("GET", url)
    for sock in list(worker.open):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    pool.request("GET", url)
    assert count("refused") == before
