"""Listen for callers and for health checks."""

import logging
import socket

from papayapick.entry.events import METRICS_UNSERVED
from papayapick.listening import create_listener

__all__ = ["FrontServer"]

_THREADS = 24
_CONNECTIONS = 1500
# Larger bodies than any configuration allows are refused by the library itself.
_BODY_LIMIT_BYTES = 4 << 20
_CHANNEL_SECONDS = 60


class FrontServer:
    """Serve one application on the front and the readiness address.

    Parameters
    ----------
    settings : PlatformSettings
    application : callable
    """

    __slots__ = ("_server",)

    def __init__(self, settings, application):
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        addresses = [settings.frontend_address, settings.readiness_address]
        metrics = (settings.peer_address[0], settings.metrics_port)
        if settings.metrics_port and _is_free(metrics):
            addresses.append(metrics)
        self._server = create_listener(
            application,
            listen=" ".join(f"{host}:{port}" for host, port in addresses),
            threads=_THREADS,
            connection_limit=_CONNECTIONS,
            max_request_body_size=_BODY_LIMIT_BYTES,
            channel_timeout=_CHANNEL_SECONDS,
            clear_untrusted_proxy_headers=False,
            ident=None,
        )

    def run(self):
        """Serve until closed."""
        self._server.run()

    def close(self):
        """Stop listening."""
        self._server.close()


def _is_free(address):
    """Return whether metrics can be served at an address.

    A host goes on without metrics where something else listens there: one that failed
    to start for them would serve nobody.
    """
    try:
        socket.create_server(address).close()
    except OSError as error:
        METRICS_UNSERVED.write(port=address[1], error=str(error))
        return False
    return True
