"""Serve single connections of a test on loopback."""

import contextlib
import select
import socket
import socketserver
import struct
import threading

from papayapick.clients.http import HttpPool

__all__ = ["LateReader", "close_with_reset", "serving"]

_RESET_MILLISECONDS = 5000
# Discard what is not sent yet, and send a reset instead of the usual end.
_LINGER_NONE = struct.pack("ii", 1, 0)


@contextlib.contextmanager
def serving(handler):
    """Serve each connection by a request handler; give the address, ``IP:PORT``.

    Parameters
    ----------
    handler : type
        Subclass of ``socketserver.BaseRequestHandler``.
    """
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), handler) as server:
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        yield "{}:{}".format(*server.server_address)
        server.shutdown()


def close_with_reset(sock):
    """Close a connection as a process does that ends at once."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    # The server shuts down a connection before it closes it, which would end it
    # without a reset.
    socket.socket(fileno=sock.detach()).close()


class LateReader(HttpPool):
    """Read the body of an answer, and go on once the server has reset the connection.

    A thread that waits for the interpreter's lock is as late.
    """

    def _read_body(self, sock, *args):
        body = super()._read_body(sock, *args)
        poller = select.poll()
        poller.register(sock, select.POLLERR)
        assert poller.poll(_RESET_MILLISECONDS), "the server did not reset"
        return body
