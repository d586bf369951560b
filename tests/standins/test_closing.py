"""Tests for closing a cluster while its server is running."""

import concurrent.futures
import threading
from concurrent.futures import ThreadPoolExecutor

from tests.standins.cluster import Cluster

SECONDS = 10.0
# Long enough for a close that does not wait for the server's thread.
CLOSE_SECONDS = 0.3


def test_close_does_not_close_sockets_in_use_by_the_server(thread_exceptions):
    """Guard against a server thread that occasionally dies of "bad file descriptor".

    The server had collected its sockets for select() when the test closed them from
    another thread, so the server waited on closed sockets.
    """
    cluster = Cluster()
    is_polled, may_continue = threading.Event(), threading.Event()
    readable = cluster._server.readable

    def poll():
        result = readable()
        is_polled.set()
        may_continue.wait(SECONDS)
        return result

    cluster._server.readable = poll
    cluster._server.pull_trigger()
    assert is_polled.wait(SECONDS)
    with ThreadPoolExecutor(1) as executor:
        closing = executor.submit(cluster.close)
        concurrent.futures.wait([closing], CLOSE_SECONDS)
        may_continue.set()
        closing.result(SECONDS)
    cluster._thread.join(SECONDS)
    assert not cluster._thread.is_alive()
    assert thread_exceptions == []
