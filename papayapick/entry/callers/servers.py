"""Listen for callers and for health checks."""

import logging
import socket

from papayapick.entry.events import METRICS_UNSERVED
from papayapick.listening import create_listener

__all__ = ["FrontendServer"]

_THREADS = 24
_CONNECTIONS = 1500
# The library itself refuses bodies larger than any configuration allows.
_BODY_LIMIT_BYTES = 4 << 20
_IDLE_TIMEOUT_SECONDS = 60


class FrontendServer:
    """Serve one application on the frontend, readiness and metrics addresses.

    Parameters
    ----------
    settings : PlatformSettings
    application : callable
    """

    __slots__ = ("_server",)

    def __init__(self, settings, application):
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        addresses = [settings.frontend_address, settings.readiness_address]
        metrics_address = (settings.peer_address[0], settings.metrics_port)
        if settings.metrics_port and _can_listen(metrics_address):
            addresses.append(metrics_address)
        self._server = create_listener(
            application,
            listen=" ".join(f"{host}:{port}" for host, port in addresses),
            threads=_THREADS,
            connection_limit=_CONNECTIONS,
            max_request_body_size=_BODY_LIMIT_BYTES,
            channel_timeout=_IDLE_TIMEOUT_SECONDS,
            clear_untrusted_proxy_headers=False,
            ident=None,
        )

    def run(self):
        """Serve until closed."""
        self._server.run()

    def close(self):
        """Stop listening."""
        self._server.close()


def _can_listen(address):
    """Return whether the metrics address is free.

    If another process listens there, the host goes on without metrics: it must not fail
    to serve callers because of them.
    """
    try:
        socket.create_server(address).close()
    except OSError as error:
        METRICS_UNSERVED.write(port=address[1], error=str(error))
        return False
    return True
