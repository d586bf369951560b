"""A connection whose opening packet is lost is tried again soon."""

import http.client
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from papayapick.clients import HttpPool
from papayapick.clients.exceptions import NotSent


class Answering(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


@pytest.fixture
def address():
    server = HTTPServer(("127.0.0.1", 0), Answering)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    thread.join()
    server.server_close()


def _lose(monkeypatch, opening_packets):
    """Let connecting time out so often; return the limits that were set."""
    limits = []
    connect = http.client.HTTPConnection.connect

    def lossy(connection):
        limits.append(connection.timeout)
        if len(limits) <= opening_packets:
            raise TimeoutError
        connect(connection)

    monkeypatch.setattr(http.client.HTTPConnection, "connect", lossy)
    return limits


def test_lost_opening_packet_costs_no_second(monkeypatch, address):
    """Guards against calls that wait for the system to send the packet again."""
    limits = _lose(monkeypatch, 2)
    assert HttpPool(5.0).request("GET", f"http://{address}/").status == 200
    assert sum(limits[:2]) < 1.0


def test_slow_way_is_given_more_time_with_each_try(monkeypatch, address):
    """Guards against tries that are each too short for a slow way."""
    limits = _lose(monkeypatch, 4)
    HttpPool(9.0).request("GET", f"http://{address}/")
    assert all(
        after == 2 * before
        for before, after in zip(limits[:4], limits[1:], strict=True)
    )


def test_no_try_outlasts_the_call(monkeypatch, address):
    limits = _lose(monkeypatch, 1)
    HttpPool(0.1).request("GET", f"http://{address}/")
    assert max(limits) <= 0.1


def test_refused_connection_is_told_at_once(monkeypatch):
    with pytest.raises(NotSent):
        HttpPool(5.0).request("GET", "http://127.0.0.1:1/")
