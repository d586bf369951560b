"""Closing a server does not affect other connections of the process."""

import http.client
import os
import socket
import threading

import pytest

from papayapick.listening import create_listener

PAIRS = 16


@pytest.mark.parametrize("listeners", [1, 2])
def test_answer_after_close_does_not_write_to_another_connection(listeners):
    """An operator's command fails occasionally with "the table did not answer".

    A server in the same process was closed while it handled a request. Its thread
    then woke the server's loop through the descriptor number of the closed pipe,
    which was now the command's new connection: the table got a byte "x" in front of
    the request and rejected it.
    """
    is_requested, may_answer, has_answered = (threading.Event() for _ in range(3))

    def application(environ, start_response):
        is_requested.set()
        may_answer.wait(10)
        start_response("200 OK", [("Content-Length", "2")])
        has_answered.set()
        return [b"{}"]

    listen = " ".join(["127.0.0.1:0"] * listeners)
    server = create_listener(application, listen=listen, threads=1)
    loop = threading.Thread(target=server.run)
    loop.start()
    caller = threading.Thread(target=_send_request, args=(_port(server),))
    caller.start()
    assert is_requested.wait(10)
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
    port = getattr(server, "effective_port", None)
    return port or server.effective_listen[0][1]


def _close_listeners(server):
    """Close the listeners as the server does, without waiting for its threads."""
    for channel in list((getattr(server, "map", None) or {0: server}).values()):
        if hasattr(channel, "trigger"):
            channel.close()


def _send_request(port):
    connection = http.client.HTTPConnection("127.0.0.1", port)
    try:
        connection.request("GET", "/")
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        # The server was closed during the request; only what other connections
        # receive is checked.
        return
    finally:
        connection.close()


def _received(pairs):
    received = []
    for pair in pairs:
        for end in pair:
            end.setblocking(False)
            try:
                received.append(end.recv(100))
            except BlockingIOError:
                continue
            finally:
                end.setblocking(True)
    for pair in pairs:
        for end in pair:
            end.close()
    return received


def test_loop_survives_a_close_from_another_thread():
    """Pending answers are lost occasionally when a process shuts down.

    The server's loop had collected the sockets to wait for when another thread closed
    the listener. The loop then waited for a closed socket and ended with "bad file
    descriptor" before it had written the pending answers.
    """
    server = create_listener(lambda *args: [], listen="127.0.0.1:0", threads=1)
    is_collecting, may_continue = threading.Event(), threading.Event()
    readable = server.readable
    loop_errors = []

    def paused_readable():
        is_readable = readable()
        is_collecting.set()
        may_continue.wait(10)
        return is_readable

    def run():
        try:
            server.run()
        except OSError as error:
            loop_errors.append(error)

    server.readable = paused_readable
    loop = threading.Thread(target=run)
    loop.start()
    assert is_collecting.wait(10)
    closer = threading.Thread(target=server.close)
    closer.start()
    # Enough time for a close that does not wait for the loop.
    closer.join(0.3)
    may_continue.set()
    loop.join(10)
    closer.join(10)
    assert not (loop.is_alive() or closer.is_alive())
    assert loop_errors == []


def test_server_handles_descriptors_over_1023():
    """A host stops answering requests, without a log message.

    It had so many connections to workers, hosts and callers that the next one got a
    descriptor over 1023. select can't wait for such a descriptor, so the server's loop
    ended with a ValueError that was not handled.
    """
    headers = [("Content-Length", "2")]

    def application(environ, start_response):
        start_response("200 OK", headers)
        return [b"{}"]

    descriptors = [os.open(os.devnull, os.O_RDONLY) for _ in range(1100)]
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
        for descriptor in descriptors:
            os.close(descriptor)
