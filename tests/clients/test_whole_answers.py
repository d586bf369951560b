"""Whole answers are kept, whatever happens to their connection afterwards."""

import socketserver

import pytest

from papayapick.clients.exceptions import AnswerInvalid
from papayapick.clients.http import HttpPool
from papayapick.clock import ManualClock
from tests.clients.servers import LateReader, close_with_reset, serving

BODY = b"x" * 20_000
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
TIMEOUT_SECONDS = 1.0


class Resetting(socketserver.BaseRequestHandler):
    """Answer, and reset the connection."""

    def handle(self):
        self.request.recv(4096)
        self.request.sendall(HEAD + BODY)
        close_with_reset(self.request)


class Unread(socketserver.BaseRequestHandler):
    """Answer, and close the connection with a part of the request unread."""

    def handle(self):
        self.request.recv(1)
        self.request.sendall(HEAD + BODY)
        self.request.close()


class TooLong(socketserver.BaseRequestHandler):
    """Send more than announced, and reset the connection."""

    def handle(self):
        self.request.recv(4096)
        self.request.sendall(HEAD + BODY + b"more")
        close_with_reset(self.request)


class Quiet(socketserver.BaseRequestHandler):
    """Answer, and keep the connection open."""

    def handle(self):
        while self.request.recv(4096):
            self.request.sendall(HEAD + BODY)


class SlowThread(HttpPool):
    """Let the time limit run out while the last part of the body is processed."""

    def _read_part(self, sock, response, limit):
        part = super()._read_part(sock, response, limit)
        if not response.length:
            self._clock.advance(TIMEOUT_SECONDS)
        return part


@pytest.mark.parametrize("handler", [Resetting, Unread])
def test_answer_is_kept_if_its_connection_is_reset_afterwards(handler):
    """Guards against the last ends of a worker that exits, thrown away with them."""
    with serving(handler) as address:
        pool = LateReader(5.0)
        assert pool.request("GET", f"http://{address}/").body == BODY
        assert pool.connections.idle_count == 0


def test_answer_longer_than_announced_is_refused_also_before_a_reset():
    """Guards against a truncated answer that looks complete."""
    with serving(TooLong) as address, pytest.raises(AnswerInvalid):
        LateReader(5.0).request("GET", f"http://{address}/")


def test_answer_is_kept_if_the_time_limit_runs_out_at_its_end():
    """Guards against an answer that arrived whole and counts as cut off."""
    with serving(Quiet) as address:
        pool = SlowThread(TIMEOUT_SECONDS, ManualClock())
        assert pool.request("GET", f"http://{address}/").body == BODY
        pool.close()
