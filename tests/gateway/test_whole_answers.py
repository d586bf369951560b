"""Only complete answers to the same request are accepted, over real sockets.

In each case a backend server sends an invalid answer. The next request to it must
get its own complete answer, whatever state the invalid one left on the connection.
"""

import threading

import pytest

from papayapick.clients import AnswerInvalid, AnswerMissing, HttpPool, InstanceClient
from papayapick.clients.exceptions import HostLeaving
from papayapick.clients.instances import is_leaving
from tests.gateway.scripted import ScriptedServer

CLOSE = ScriptedServer.CLOSE
NEVER = threading.Event()
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
GOOD = HEAD + b"Content-Length: 5\r\n\r\nwhole"


@pytest.fixture
def server():
    found = ScriptedServer()
    yield found
    found.close()


@pytest.fixture
def client():
    pool = HttpPool(5.0)
    yield InstanceClient(pool)
    pool.close()


def call(client, server, request_id, seconds=5.0):
    answer = client.call(server.url, request_id, 1, b"{}", seconds, fresh=False)
    return answer.body


WRONG = [
    # The server closes after part of the body, which could be mistaken for a result.
    ("truncated", [HEAD + b"Content-Length: 9\r\n\r\nhalf", CLOSE], AnswerMissing),
    # The length is too short; the truncated body would look complete.
    ("length too short", [HEAD + b"Content-Length: 4\r\n\r\nwhole"], AnswerInvalid),
    # The length is too long; the rest of the body is never sent.
    ("length too long", [HEAD + b"Content-Length: 9\r\n\r\nwhole"], AnswerMissing),
    # Without a length, a closed connection looks like the end of the body.
    ("no length", [HEAD + b"\r\nwhole", CLOSE], AnswerInvalid),
    ("length no number", [HEAD + b"Content-Length: x\r\n\r\nwh", CLOSE], AnswerInvalid),
    (
        "two lengths",
        [HEAD + b"Content-Length: 2\r\nContent-Length: 5\r\n\r\nwh", CLOSE],
        AnswerInvalid,
    ),
    # This caller would get the answer to another caller's request.
    ("another's answer", [OTHER + b"Content-Length: 5\r\n\r\nother"], AnswerInvalid),
    ("no id", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"], AnswerInvalid),
    (
        "two ids",
        [HEAD + b"Request-Id: other\r\nContent-Length: 5\r\n\r\nwhole"],
        AnswerInvalid,
    ),
    ("closed before the head", [CLOSE], AnswerMissing),
    # The HTTP library accepts a truncated head as a complete one.
    ("closed in the head", [HEAD + b"Content-Le", CLOSE], AnswerInvalid),
    ("no HTTP", [b"whole\r\n\r\n", CLOSE], AnswerMissing),
    ("silent", [NEVER], AnswerMissing),
    (
        "chunks without the last",
        [HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", CLOSE],
        AnswerMissing,
    ),
    (
        "chunk cut",
        [HEAD + b"Transfer-Encoding: chunked\r\n\r\n9\r\nwhole", CLOSE],
        AnswerMissing,
    ),
]


@pytest.mark.parametrize(
    ("parts", "error"), [row[1:] for row in WRONG], ids=[row[0] for row in WRONG]
)
def test_invalid_answer_is_refused_and_does_not_affect_later_ones(
    client, server, parts, error
):
    """A backend server sends an invalid answer, then valid ones.

    The first caller must get an error and no part of a body. The second must get its
    own answer although the first left unread bytes or a broken connection.
    """
    server.answer(*parts)
    seconds = 0.3 if error is AnswerMissing else 5.0
    with pytest.raises(error):
        call(client, server, "first", seconds)
    server.answer(GOOD)
    assert call(client, server, "second") == b"whole"


def test_late_answer_is_discarded(client, server):
    """A caller times out; the server answers later, while another caller waits.

    On a shared connection the other caller would get the late answer.
    """
    late = threading.Event()
    server.answer(late, GOOD)
    with pytest.raises(AnswerMissing):
        call(client, server, "first", 0.2)
    late.set()
    server.answer(HEAD + b"Content-Length: 4\r\n\r\nmine")
    assert call(client, server, "second") == b"mine"


def test_answers_in_the_wrong_order_are_both_refused(client, server):
    """On a reused connection the server answers the previous request again.

    Each later request would get the previous request's answer. The connection is
    closed, and the next request uses a new one.
    """
    server.answer(GOOD)
    call(client, server, "first")
    server.answer(b"HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n")
    with pytest.raises(AnswerInvalid):
        call(client, server, "second")
    server.answer(GOOD)
    assert call(client, server, "third") == b"whole"
    assert server.connections == 2


def test_stray_bytes_on_an_idle_connection_are_detected(client, server):
    """After a complete answer the server sends a second, unrequested one.

    The next request would read it as its own answer.
    """
    sent = threading.Event()
    stray = threading.Event()
    server.answer(GOOD, stray, OTHER + b"Content-Length: 0\r\n\r\n", sent, CLOSE)
    assert call(client, server, "first") == b"whole"
    pool = client._pool
    (idle_connection,) = pool.connections._order
    stray.set()
    idle_connection.client.sock.settimeout(5)
    idle_connection.client.sock.recv(1, 2)  # MSG_PEEK: the bytes are there.
    server.answer(GOOD)
    assert call(client, server, "second") == b"whole"
    assert server.connections == 2
    sent.set()


def test_connection_closed_while_idle_fails_no_request(client, server):
    """A connection that the server closed while idle must not fail a request."""
    server.answer(GOOD, CLOSE)
    call(client, server, "first")
    (idle_connection,) = client._pool.connections._order
    idle_connection.client.sock.settimeout(5)
    assert idle_connection.client.sock.recv(1, 2) == b""
    server.answer(GOOD)
    assert call(client, server, "second") == b"whole"


def test_slow_stream_of_bytes_ends_at_the_deadline(server):
    """A server sends single bytes with short pauses.

    A time limit for each read alone would let it block the caller forever.
    """

    class AdvancingClock:
        """Advance by half a second at each reading."""

        now = 0.0

        def monotonic(self):
            self.now += 0.5
            return self.now

    client = InstanceClient(HttpPool(5.0, AdvancingClock()))
    body = [bytes([97 + number]) for number in range(20)]
    server.answer(HEAD + b"Content-Length: 20\r\n\r\n", *body)
    with pytest.raises(AnswerMissing):
        # Each reading of the clock reduces the remaining time. The socket itself never
        # times out, because the bytes are available.
        call(client, server, "first", 2.0)


def test_chunked_answer_is_complete_with_its_last_chunk(client, server):
    chunks = b"5\r\nwhole\r\n4\r\n one\r\n0\r\n\r\n"
    server.answer(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
    assert call(client, server, "first") == b"whole one"
    server.answer(GOOD)
    assert call(client, server, "second") == b"whole"


def test_same_request_through_another_gateway_gets_its_own_answer(server):
    """A caller repeats its request through another gateway after a timeout.

    Both answers arrive, the first one late. Each gateway uses its own request id,
    so that neither accepts the other's answer.
    """
    first, second = InstanceClient(HttpPool(5.0)), InstanceClient(HttpPool(5.0))
    late = threading.Event()
    server.answer(late, HEAD + b"Content-Length: 3\r\n\r\nold")
    with pytest.raises(AnswerMissing):
        call(first, server, "gateway-1", 0.2)
    server.answer(HEAD + b"Content-Length: 3\r\n\r\nnew")
    assert call(second, server, "gateway-2") == b"new"
    late.set()
    server.answer(GOOD)
    assert call(first, server, "gateway-1-again") == b"whole"


def test_leaving_is_read_from_any_answer(client, server):
    server.answer(HEAD + b"Leaving: 1\r\nContent-Length: 0\r\n\r\n")
    answer = client.call(server.url, "first", 1, b"{}", 5.0, fresh=False)
    assert is_leaving(answer)


def test_leaving_server_is_not_opened_but_reports_its_running_calls(client, server):
    """An outdated host list names a leaving server as live, and the placer polls it.

    If it were opened, it would get new work again. It must still report its running
    calls; otherwise the state of its slots is lost.
    """
    body = b'Leaving: 1\r\nContent-Length: 17\r\n\r\n{"running":["r"]}'
    for _ in range(2):
        server.answer(b"HTTP/1.1 200 OK\r\n" + body)
    with pytest.raises(HostLeaving):
        client.fence(server.url, 1, reject_leaving=True)
    assert client.fence(server.url, 1) == ["r"]
