"""Listen for HTTP with waitress, and stop without harm to other connections."""

import threading

from waitress.server import BaseWSGIServer, create_server

__all__ = ["create_listener"]


def create_listener(application, **options):
    """Return a server of waitress that may be closed while requests are served.

    Parameters
    ----------
    application : callable
        Of WSGI.
    **options
        As ``waitress.server.create_server`` takes them.

    Returns
    -------
    waitress.server.BaseWSGIServer or waitress.server.MultiSocketServer
    """
    # With select, the loop ends at a descriptor over 1023, and at one that another
    # thread has closed: the process would go on and answer nobody.
    server = create_server(application, asyncore_use_poll=True, **options)
    listeners = (
        [server]
        if isinstance(server, BaseWSGIServer)
        else [one for one in server.map.values() if isinstance(one, BaseWSGIServer)]
    )
    for listener in listeners:
        _GuardedTrigger(listener.trigger)
    return server


class _GuardedTrigger:
    """Write to a trigger's pipe only while it is open.

    A thread that answers a request wakes the server's loop by a byte on a pipe whose
    number it has kept. Once the server is closed, that number belongs to whatever was
    opened next: a connection of this process got a stray byte in front of a request,
    and its other side refused the request as malformed. Closing and waking take turns
    under a lock, and nothing is written after the close.
    """

    __slots__ = ("_close", "_is_closed", "_lock", "_pull")

    def __init__(self, trigger):
        self._lock = threading.Lock()
        self._is_closed = False
        self._pull, self._close = trigger.pull_trigger, trigger.close
        trigger.pull_trigger, trigger.close = self.pull, self.close

    def pull(self, thunk=None):
        """Wake the loop; do nothing once it is closed."""
        with self._lock:
            if not self._is_closed:
                self._pull(thunk)

    def close(self):
        """Close the pipe."""
        with self._lock:
            self._is_closed = True
            self._close()
