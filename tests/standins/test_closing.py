"""A cluster is closed while its server is at work."""

import concurrent.futures
import threading
from concurrent.futures import ThreadPoolExecutor

from tests.standins.cluster import Cluster

SECONDS = 10.0
# More than enough for a close that waits for nobody.
CLOSE_SECONDS = 0.3


def test_close_takes_no_socket_from_under_the_server(deaths):
    """The thread of a test's server dies with "bad file descriptor", once in a while.

    The server had gathered what to wait for when the test closed the cluster from its
    own thread. Then the server waited for sockets that were closed.
    """
    cluster = Cluster()
    is_gathering, may_go_on = threading.Event(), threading.Event()
    readable = cluster._server.readable

    def gather():
        found = readable()
        is_gathering.set()
        may_go_on.wait(SECONDS)
        return found

    cluster._server.readable = gather
    cluster._server.pull_trigger()
    assert is_gathering.wait(SECONDS)
    with ThreadPoolExecutor(1) as executor:
        closing = executor.submit(cluster.close)
        concurrent.futures.wait([closing], CLOSE_SECONDS)
        may_go_on.set()
        closing.result(SECONDS)
    cluster._thread.join(SECONDS)
    assert not cluster._thread.is_alive()
    assert deaths == []
