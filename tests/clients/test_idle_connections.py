"""Idle connections of a pool are bounded, whatever the number of addresses."""

import http.server
import threading

import pytest

from papayapick.clients.connections import Connections
from papayapick.clients.http import HttpPool

ADDRESSES = 6


class Quiet(http.server.BaseHTTPRequestHandler):
    """Answer each request, and keep the connection open."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


@pytest.fixture
def urls():
    servers = [
        http.server.ThreadingHTTPServer(("127.0.0.1", 0), Quiet)
        for _ in range(ADDRESSES)
    ]
    for server in servers:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    yield [f"http://127.0.0.1:{server.server_port}/" for server in servers]
    for server in servers:
        server.shutdown()
        server.server_close()


def test_longest_idle_connections_are_closed(urls):
    """Guards against an owner that has no descriptor left for its heartbeats.

    It keeps connections to hundreds of workers, of which each burst of orders opens
    more. Without a bound, it can't accept or open any others.
    """
    pool = HttpPool(5.0, connections=Connections(max_idle=4))
    for url in urls:
        assert pool.request("GET", url).status == 200
    assert pool.connections.idle_count == 4
    kept = next(reversed(pool.connections._order))
    assert kept.address == urls[-1].split("/")[2]
    assert pool.request("GET", urls[-1]).status == 200
    assert next(reversed(pool.connections._order)) is kept
    assert pool.connections.open_count(urls[0].split("/")[2]) == 0
    pool.close()
    assert pool.connections.idle_count == 0


def test_connection_that_was_used_again_counts_as_recent(urls):
    pool = HttpPool(5.0, connections=Connections(max_idle=2))
    for url in (urls[0], urls[1], urls[0], urls[2]):
        pool.request("GET", url)
    assert sorted(one.address for one in pool.connections._order) == sorted(
        u.split("/")[2] for u in (urls[0], urls[2])
    )
    pool.close()


def test_addresses_that_are_gone_leave_nothing_behind(urls):
    """Guards against a pool that grows with each address it was ever used for."""
    pool = HttpPool(5.0, connections=Connections(max_idle=1))
    for url in urls:
        pool.request("GET", url)
    assert len(pool.connections._addresses) == 1
    pool.close()
