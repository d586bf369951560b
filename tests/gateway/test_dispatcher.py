"""A flood of requests is refused at once and does not wait for threads."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.cells import http_call
from papayapick.clock import ManualClock
from papayapick.gateway.dispatcher import BoundedDispatcher, arrived_at, is_refused
from papayapick.listening import create_listener

SECONDS = 5


class Slow:
    """Answer 503 to what is refused, and the rest once it is let go."""

    def __init__(self):
        self.started = threading.Event()
        self.go_on = threading.Event()
        self.arrivals = []

    def __call__(self, environ, start_response):
        status = "503 refused"
        if not is_refused(environ):
            self.arrivals.append(arrived_at(environ, None))
            self.started.set()
            self.go_on.wait(SECONDS)
            status = "200 ok"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class Server:
    """Serve with one thread and room for one request that waits."""

    def __init__(self, application):
        self.clock = ManualClock(7.0)
        self.dispatcher = BoundedDispatcher(1, self.clock)
        self.dispatcher.set_thread_count(1)
        self._server = create_listener(
            application, host="127.0.0.1", port=0, _dispatcher=self.dispatcher
        )
        self.address = f"127.0.0.1:{self._server.effective_port}"
        self._callers = ThreadPoolExecutor(8)
        self._task = self._callers.submit(self._server.run)

    def call(self, headers=None):
        """Send a request from a task of its own."""
        return self._callers.submit(
            lambda: http_call(self.address, "GET", "/", None, headers, SECONDS)[0]
        )

    def close(self):
        self._server.close()
        self._callers.shutdown()


@pytest.fixture
def slow():
    return Slow()


@pytest.fixture
def server(slow):
    found = Server(slow)
    yield found
    slow.go_on.set()
    found.close()


def test_what_is_over_the_limit_is_refused_while_the_threads_are_busy(slow, server):
    """At opening time callers hear nothing until their deadlines are over.

    The only thread waits for a slot, a second request waits for the thread, and
    a third comes. Waiting behind them, it would be served when nobody wants the
    answer any more, in place of one that is still in time.
    """
    first = server.call()
    assert slow.started.wait(SECONDS)
    second = server.call()
    while not server.dispatcher.queue:
        assert not second.done()
    assert server.call().result(SECONDS) == 503
    assert not first.done()
    assert not second.done()
    slow.go_on.set()
    assert [first.result(SECONDS), second.result(SECONDS)] == [200, 200]


def test_a_caller_cannot_set_the_marks_of_the_dispatcher(slow, server):
    """A request that names the marks as headers is served, with its true age."""
    slow.go_on.set()
    forged = {"Papayapick-Refused": "1", "Papayapick-Arrived": "1e9"}
    assert server.call(forged).result(SECONDS) == 200
    assert slow.arrivals == [7.0]
