"""Answers of which only a part arrives."""

import socketserver

import pytest

from papayapick.clients.exceptions import AnswerCut, TableAnswerCut
from papayapick.clients.http import HttpPool
from papayapick.platform.store import Store
from tests.clients.servers import serving

BODY = b"x" * 1000


class HalfAnswer(socketserver.BaseRequestHandler):
    """Send half of a body and close the connection."""

    def handle(self):
        self.request.recv(4096)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        self.request.sendall(head + BODY[:500])


@pytest.fixture
def address():
    with serving(HalfAnswer) as address:
        yield address


def test_cut_answer_tells_how_much_of_it_arrived(address):
    """Guards against a slow link that the log can't tell from a silent server."""
    with pytest.raises(AnswerCut) as caught:
        HttpPool(5.0).request("GET", f"http://{address}/rows")
    assert caught.value.details["received_bytes"] == 500
    assert caught.value.details["missing_bytes"] == 500


def test_store_reports_a_cut_answer_and_counts_it_apart(address):
    outcomes = []
    store = Store(
        address,
        HttpPool(5.0),
        observe=lambda operation, outcome, seconds: outcomes.append(outcome),
    )
    with pytest.raises(TableAnswerCut, match="500 bytes, 500 more"):
        store.read("op", "")
    assert outcomes == ["cut"]
