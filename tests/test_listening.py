"""A server that is closed leaves the other connections of its process alone."""

import http.client
import os
import socket
import threading

import pytest

from papayapick.listening import create_listener

PAIRS = 16


@pytest.mark.parametrize("listeners", [1, 2])
def test_answer_after_the_close_writes_into_no_other_connection(listeners):
    """An operator's command ends with "the table did not answer", once in a while.

    A server in the same process had been closed while it still worked on a request.
    Its thread then woke the server's loop through the number of a pipe that was
    closed, and that number was the command's new connection: the table got a byte
    "x" in front of the request and refused it.
    """
    is_asked, may_answer, has_answered = (threading.Event() for _ in range(3))

    def application(environ, start_response):
        is_asked.set()
        may_answer.wait(10)
        start_response("200 OK", [("Content-Length", "2")])
        has_answered.set()
        return [b"{}"]

    listen = " ".join(["127.0.0.1:0"] * listeners)
    server = create_listener(application, listen=listen, threads=1)
    loop = threading.Thread(target=server.run)
    loop.start()
    caller = threading.Thread(target=_ask, args=(_port(server),))
    caller.start()
    assert is_asked.wait(10)
    _close_listeners(server)
    pairs = [socket.socketpair() for _ in range(PAIRS)]
    may_answer.set()
    assert has_answered.wait(10)
    server.task_dispatcher.shutdown()
    assert _received(pairs) == []
    caller.join(10)
    loop.join(10)
    assert not (caller.is_alive() or loop.is_alive())


def _port(server):
    found = getattr(server, "effective_port", None)
    return found or server.effective_listen[0][1]


def _close_listeners(server):
    """Close what listens, as the server does, without waiting for its threads."""
    for one in list((getattr(server, "map", None) or {0: server}).values()):
        if hasattr(one, "trigger"):
            one.close()


def _ask(port):
    connection = http.client.HTTPConnection("127.0.0.1", port)
    try:
        connection.request("GET", "/")
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        # The server was closed under it; what matters is what others get.
        return
    finally:
        connection.close()


def _received(pairs):
    found = []
    for pair in pairs:
        for one in pair:
            one.setblocking(False)
            try:
                found.append(one.recv(100))
            except BlockingIOError:
                continue
            finally:
                one.setblocking(True)
    for pair in pairs:
        for one in pair:
            one.close()
    return found


def test_loop_outlives_a_close_from_another_thread():
    """Answers that wait to be written are lost as a process ends, once in a while.

    The server's loop had gathered what to wait for when another thread closed the
    listener. It then waits for a socket that is closed, and ends with "bad file
    descriptor" before it has written what callers are still owed.
    """
    server = create_listener(lambda *args: [], listen="127.0.0.1:0", threads=1)
    is_gathering, may_go_on = threading.Event(), threading.Event()
    readable = server.readable
    ended_with = []

    def gather():
        found = readable()
        is_gathering.set()
        may_go_on.wait(10)
        return found

    def run():
        try:
            server.run()
        except OSError as error:
            ended_with.append(error)

    server.readable = gather
    loop = threading.Thread(target=run)
    loop.start()
    assert is_gathering.wait(10)
    closer = threading.Thread(target=server.close)
    closer.start()
    # More than enough for a close that waits for nobody.
    closer.join(0.3)
    may_go_on.set()
    loop.join(10)
    closer.join(10)
    assert not (loop.is_alive() or closer.is_alive())
    assert ended_with == []


def test_server_with_a_thousand_descriptors_goes_on_serving():
    """A host answers nobody any more, and nothing in its log tells why.

    It had so many connections open, to workers, hosts and callers, that the next one
    got a number over 1023. The server's loop can't wait for such a number with select:
    it ended with a ValueError that nobody looked at.
    """
    answer = [("Content-Length", "2")]

    def application(environ, start_response):
        start_response("200 OK", answer)
        return [b"{}"]

    held = [os.open(os.devnull, os.O_RDONLY) for _ in range(1100)]
    try:
        server = create_listener(application, listen="127.0.0.1:0", threads=1)
        loop = threading.Thread(target=server.run)
        loop.start()
        connection = http.client.HTTPConnection("127.0.0.1", _port(server), timeout=10)
        connection.request("GET", "/")
        assert connection.getresponse().read() == b"{}"
        connection.close()
        _close_listeners(server)
        server.task_dispatcher.shutdown()
        loop.join(10)
        assert not loop.is_alive()
    finally:
        for descriptor in held:
            os.close(descriptor)
