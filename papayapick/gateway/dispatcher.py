"""Bound the requests that wait for a thread of the gateway."""

from waitress.task import ThreadedTaskDispatcher

__all__ = ["BoundedDispatcher", "arrived_at", "is_refused"]

# In the place where waitress keeps a request's headers; what a caller sends under
# these names is overwritten or removed.
_ARRIVED = "PAPAYAPICK_ARRIVED"
_REFUSED = "PAPAYAPICK_REFUSED"


class BoundedDispatcher(ThreadedTaskDispatcher):
    """Hand requests to threads, and those over a limit to one that refuses.

    Without a limit the requests of a flood wait unseen until their deadlines are
    over, are served all the same, and so keep out those that still could be. A
    thread of its own answers at once what is over the limit: the others may all
    be waiting for slots.

    Parameters
    ----------
    waiting_limit : int
        Most requests that wait for a thread.
    clock : Clock
    """

    def __init__(self, waiting_limit, clock):
        super().__init__()
        self._waiting_limit = waiting_limit
        self._clock = clock
        self._refusing = ThreadedTaskDispatcher()

    def set_thread_count(self, count):
        """Start or end threads, and with them the one that refuses."""
        super().set_thread_count(count)
        self._refusing.set_thread_count(1 if count else 0)

    def add_task(self, task):
        """Queue a channel with a request, or have the request refused."""
        headers = task.requests[0].headers
        headers[_ARRIVED] = repr(self._clock.monotonic())
        headers.pop(_REFUSED, None)
        if len(self.queue) < self._waiting_limit:
            super().add_task(task)
        else:
            headers[_REFUSED] = "1"
            self._refusing.add_task(task)


def is_refused(environ):
    """Return whether a request came over the limit.

    Parameters
    ----------
    environ : dict
        Of WSGI.
    """
    return f"HTTP_{_REFUSED}" in environ


def arrived_at(environ, now):
    """Return the monotonic seconds at which a request was read whole.

    Parameters
    ----------
    environ : dict
        Of WSGI.
    now : float
        Taken where no dispatcher of this kind is in use.
    """
    return float(environ.get(f"HTTP_{_ARRIVED}", now))
