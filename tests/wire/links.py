"""Connect two ends over loopback for the tests of the wire."""

import contextlib
import socket
from concurrent.futures import ThreadPoolExecutor

from papayapick.wire import Connection, PeerServer
from papayapick.wire.messages import Acknowledgement, Hello

KEY = b"k" * 32
WAIT_SECONDS = 30


def identity(host="listener"):
    return Hello(host=host, region="south", zone="hobart-a")


def socket_pair():
    """Return two connected TCP sockets."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    near.settimeout(WAIT_SECONDS)
    far.settimeout(WAIT_SECONDS)
    return near, far


@contextlib.contextmanager
def greeted(near_keys=KEY, far_keys=KEY):
    """Give two connections that have exchanged greetings, and their sockets."""
    near, far = socket_pair()
    caller = Connection(near, near_keys, identity("caller"))
    listener = Connection(far, far_keys, identity())
    with ThreadPoolExecutor(1) as executor:
        answered = executor.submit(listener.answer_greeting)
        try:
            caller.greet()
            answered.result(WAIT_SECONDS)
            yield caller, listener, near, far
        finally:
            caller.close()
            listener.close()


@contextlib.contextmanager
def serving(keys=KEY, handler=None, clock=None, tasks=8):
    """Give a running PeerServer; its handler's messages are listed."""
    seen = []

    def answer(payload, peer, traceparent):
        seen.append(payload)
        return handler(payload) if handler else Acknowledgement(bundle_sequence=7)

    executor = ThreadPoolExecutor(tasks)
    server = PeerServer(
        ("127.0.0.1", 0), keys, identity(), answer, executor, clock=clock
    )
    server.start()
    try:
        yield server, seen
    finally:
        server.close()
        executor.shutdown()


def is_closed_by_peer(sock):
    """Wait until the other side closes; return whether it sent nothing before."""
    sock.settimeout(WAIT_SECONDS)
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True
