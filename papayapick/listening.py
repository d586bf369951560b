"""Create waitress servers that can be closed while requests are served."""

import threading

from waitress.server import BaseWSGIServer, create_server

__all__ = ["create_listener"]


def create_listener(application, **options):
    """Return a waitress server that can be closed while requests are served.

    Parameters
    ----------
    application : callable
        WSGI application.
    **options
        Options of ``waitress.server.create_server``.

    Returns
    -------
    waitress.server.BaseWSGIServer or waitress.server.MultiSocketServer
    """
    # select raises an error for a descriptor over 1023 and for one that another thread
    # has closed. This would end the server's loop, and the process would keep running
    # without answering requests; poll has neither problem.
    server = create_server(application, asyncore_use_poll=True, **options)
    listeners = (
        [server]
        if isinstance(server, BaseWSGIServer)
        else [
            channel
            for channel in server.map.values()
            if isinstance(channel, BaseWSGIServer)
        ]
    )
    for listener in listeners:
        _GuardedTrigger(listener.trigger)
    return server


class _GuardedTrigger:
    """Write to a trigger's pipe only while it is open.

    A thread that answers a request wakes the server's loop by writing a byte to a pipe,
    whose descriptor number it has stored. Once the server is closed, the number may be
    reused: a new connection of the process then sends a stray byte in front of a
    request, and its peer rejects the request as malformed. A lock serializes waking and
    closing, and nothing is written after the close.
    """

    __slots__ = ("_close", "_is_closed", "_lock", "_pull")

    def __init__(self, trigger):
        self._lock = threading.Lock()
        self._is_closed = False
        self._pull, self._close = trigger.pull_trigger, trigger.close
        trigger.pull_trigger, trigger.close = self.pull, self.close

    def pull(self, thunk=None):
        """Wake the server's loop, unless the pipe is closed."""
        with self._lock:
            if not self._is_closed:
                self._pull(thunk)

    def close(self):
        """Close the pipe."""
        with self._lock:
            self._is_closed = True
            self._close()
