"""Connections and servers over loopback for the tests of papayapick.wire."""

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
def connected_pair(near_keys=KEY, far_keys=KEY):
    """Yield two connections after their handshake, and their sockets."""
    near, far = socket_pair()
    caller = Connection(near, near_keys, identity("caller"))
    listener = Connection(far, far_keys, identity())
    with ThreadPoolExecutor(1) as executor:
        accepted = executor.submit(listener.accept_handshake)
        try:
            caller.initiate_handshake()
            accepted.result(WAIT_SECONDS)
            yield caller, listener, near, far
        finally:
            caller.close()
            listener.close()


@contextlib.contextmanager
def serving(keys=KEY, handler=None, clock=None, tasks=8, **options):
    """Yield a running PeerServer and the list of messages that it received."""
    received = []

    def answer(payload, peer, traceparent):
        received.append(payload)
        return handler(payload) if handler else Acknowledgement(bundle_sequence=7)

    executor = ThreadPoolExecutor(tasks)
    server = PeerServer(
        ("127.0.0.1", 0), keys, identity(), answer, executor, clock=clock, **options
    )
    server.start()
    try:
        yield server, received
    finally:
        server.close()
        executor.shutdown()


def is_closed_by_peer(sock):
    """Return whether the peer closes the connection without sending anything."""
    sock.settimeout(WAIT_SECONDS)
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True
