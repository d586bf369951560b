"""Connecting is attempted again soon after a lost SYN packet."""

import http.client
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from papayapick.clients import HttpPool
from papayapick.clients.exceptions import NotSent


class EmptyAnswerHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


@pytest.fixture
def address():
    server = HTTPServer(("127.0.0.1", 0), EmptyAnswerHandler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    thread.join()
    server.server_close()


def _fail_connects(monkeypatch, count):
    """Let the first attempts to connect time out; return the limits of all attempts."""
    limits = []
    connect = http.client.HTTPConnection.connect

    def lossy(connection):
        limits.append(connection.timeout)
        if len(limits) <= count:
            raise TimeoutError
        connect(connection)

    monkeypatch.setattr(http.client.HTTPConnection, "connect", lossy)
    return limits


def test_lost_syn_packet_delays_less_than_a_second(monkeypatch, address):
    """Guards against waiting until the operating system repeats the packet."""
    limits = _fail_connects(monkeypatch, 2)
    assert HttpPool(5.0).request("GET", f"http://{address}/").status == 200
    assert sum(limits[:2]) < 1.0


def test_time_limit_doubles_with_each_attempt(monkeypatch, address):
    """Guards against attempts that are all too short for a slow route."""
    limits = _fail_connects(monkeypatch, 4)
    HttpPool(9.0).request("GET", f"http://{address}/")
    assert all(
        after == 2 * before
        for before, after in zip(limits[:4], limits[1:], strict=True)
    )


def test_attempt_does_not_exceed_the_time_limit_of_the_call(monkeypatch, address):
    limits = _fail_connects(monkeypatch, 1)
    HttpPool(0.1).request("GET", f"http://{address}/")
    assert max(limits) <= 0.1


def test_refused_connection_is_reported_without_retry(monkeypatch):
    with pytest.raises(NotSent):
        HttpPool(5.0).request("GET", "http://127.0.0.1:1/")
