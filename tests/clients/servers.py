"""Serve single connections of a test on loopback."""

import contextlib
import socketserver
import threading

__all__ = ["serving"]


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
