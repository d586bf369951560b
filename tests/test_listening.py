"""A server that is closed leaves the other connections of its process alone."""

import http.client
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
