"""Excess requests are refused immediately and do not wait for threads."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.cells import http_call
from papayapick.clock import ManualClock
from papayapick.gateway.dispatcher import BoundedDispatcher, arrived_at, is_refused
from papayapick.listening import create_listener

SECONDS = 5


class BlockingApplication:
    """Answer 503 to refused requests, and others after the test releases them."""

    def __init__(self):
        self.started = threading.Event()
        self.may_continue = threading.Event()
        self.arrivals = []

    def __call__(self, environ, start_response):
        status = "503 refused"
        if not is_refused(environ):
            self.arrivals.append(arrived_at(environ, None))
            self.started.set()
            self.may_continue.wait(SECONDS)
            status = "200 ok"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class Server:
    """Serve with one thread and a queue of one request."""

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
        """Send a request in a separate task; return the future of its status."""
        return self._callers.submit(
            lambda: http_call(self.address, "GET", "/", None, headers, SECONDS)[0]
        )

    def close(self):
        self._server.close()
        self._callers.shutdown()


@pytest.fixture
def application():
    return BlockingApplication()


@pytest.fixture
def server(application):
    found = Server(application)
    yield found
    application.may_continue.set()
    found.close()


def test_excess_request_is_refused_while_the_threads_are_busy(application, server):
    """The only thread is busy, a second request is queued, and a third arrives.

    If it were queued as well, it would be served after its deadline, in place of a
    request that could still be answered in time. Under overload callers would get
    no answer until their deadlines expire.
    """
    first = server.call()
    assert application.started.wait(SECONDS)
    second = server.call()
    while not server.dispatcher.queue:
        assert not second.done()
    assert server.call().result(SECONDS) == 503
    assert not first.done()
    assert not second.done()
    application.may_continue.set()
    assert [first.result(SECONDS), second.result(SECONDS)] == [200, 200]


def test_a_caller_cannot_set_the_headers_of_the_dispatcher(application, server):
    """A request with forged dispatcher headers is served with its true arrival time."""
    application.may_continue.set()
    forged = {"Papayapick-Refused": "1", "Papayapick-Arrived": "1e9"}
    assert server.call(forged).result(SECONDS) == 200
    assert application.arrivals == [7.0]
