"""Answers and requests that are long for the link over which they are sent."""

import socketserver

import pytest

from papayapick.clients.exceptions import AnswerCut, AnswerMissing
from papayapick.clients.http import HttpPool
from papayapick.clients.objects import ObjectStore
from papayapick.clock import ManualClock
from tests.clients.servers import serving
from tests.standins.links import SharedLink

BODY = b"x" * 600_000
TIMEOUT_SECONDS = 1.0
MIN_BYTES_PER_SECOND = 64_000


class WholeAnswer(socketserver.BaseRequestHandler):
    """Send a long body at once; the pool makes the link slow."""

    def handle(self):
        self.request.recv(4096)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        self.request.sendall(head + BODY)


class SlowLinkPool(HttpPool):
    """Advance the clock by the time that a link needs for each part of a body."""

    def __init__(self, clock, bytes_per_second):
        super().__init__(TIMEOUT_SECONDS, clock)
        self._bytes_per_second = bytes_per_second
        self.received = 0

    def _read_part(self, sock, response, limit):
        part = super()._read_part(sock, response, limit)
        self.received += len(part)
        self._clock.advance(len(part) / self._bytes_per_second)
        return part


class StallingPool(SlowLinkPool):
    """Let nothing arrive for longer than the timeout after half of the body."""

    def _read_part(self, sock, response, limit):
        if self.received > len(BODY) / 2:
            self._clock.advance(TIMEOUT_SECONDS + 0.01)
        return super()._read_part(sock, response, limit)


@pytest.fixture
def url():
    with serving(WholeAnswer) as address:
        yield f"http://{address}/rows"


def fetch(pool, url, **options):
    return pool.request("GET", url, **options).body


def test_long_answer_that_keeps_arriving_is_read_to_its_end(url):
    """Guards against a transfer that is cut off and repeated for ever."""
    clock = ManualClock()
    pool = SlowLinkPool(clock, bytes_per_second=100_000)
    assert fetch(pool, url, min_bytes_per_second=MIN_BYTES_PER_SECOND) == BODY
    assert clock.monotonic() == pytest.approx(6.0)


def test_call_without_a_minimum_rate_ends_within_its_timeout(url):
    """Guards against callers that wait past their deadline for a slow instance."""
    with pytest.raises(AnswerCut):
        fetch(SlowLinkPool(ManualClock(), bytes_per_second=100_000), url)


def test_long_object_that_keeps_arriving_is_read_to_its_end(url):
    """Guards against a bundle or journal that no host behind a slow link can read."""
    pool = SlowLinkPool(ManualClock(), bytes_per_second=100_000)
    assert ObjectStore(url, pool).get("journal") == BODY


def test_answer_below_the_minimum_rate_is_cut_off(url):
    """Guards against a server that sends single bytes slowly for ever."""
    pool = SlowLinkPool(ManualClock(), bytes_per_second=MIN_BYTES_PER_SECOND / 2)
    with pytest.raises(AnswerCut):
        fetch(pool, url, min_bytes_per_second=MIN_BYTES_PER_SECOND)


def test_connection_that_goes_silent_in_a_long_answer_is_noticed_in_the_timeout(url):
    """Guards against a dead connection that is kept for the time of a whole answer."""
    pool = StallingPool(ManualClock(), bytes_per_second=1e9)
    with pytest.raises(AnswerCut):
        fetch(pool, url, min_bytes_per_second=MIN_BYTES_PER_SECOND)


class Receiver(socketserver.StreamRequestHandler):
    """Answer each request once its whole body has arrived."""

    def handle(self):
        while (line := self.rfile.readline()).strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        self.rfile.read(length)
        self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.fixture
def upload_url():
    with serving(Receiver) as target:
        # The body takes 2 s, and no pause is longer than a few milliseconds.
        link = SharedLink(target, bytes_per_second=300_000, is_upload=True)
        yield f"http://{link.address}/rows"
        link.close()


def test_long_request_that_keeps_being_sent_is_sent_to_its_end(upload_url):
    """Guards against a batch of records that is cut off and repeated for ever."""
    pool = HttpPool(TIMEOUT_SECONDS)
    answer = pool.request(
        "POST", upload_url, BODY, min_bytes_per_second=MIN_BYTES_PER_SECOND
    )
    assert answer.status == 200


def test_long_request_without_a_minimum_rate_ends_within_its_timeout(upload_url):
    with pytest.raises(AnswerMissing):
        HttpPool(TIMEOUT_SECONDS).request("POST", upload_url, BODY)
