"""Limit the number of requests that wait for a thread of the gateway."""

from waitress.task import ThreadedTaskDispatcher

__all__ = ["BoundedDispatcher", "arrived_at", "is_refused"]

# Stored among the headers that waitress parsed from the request. Headers of these
# names sent by a caller are overwritten or removed.
_ARRIVED = "PAPAYAPICK_ARRIVED"
_REFUSED = "PAPAYAPICK_REFUSED"


class BoundedDispatcher(ThreadedTaskDispatcher):
    """Dispatch requests to threads, and excess requests to a thread that refuses.

    Without a limit, requests of an overload wait in the queue until their
    deadlines expire. They are then served nevertheless and delay requests that
    could still be answered in time. Excess requests are refused immediately on a
    separate thread, because all others may be waiting for slots.

    Parameters
    ----------
    waiting_limit : int
        Maximum number of requests that wait for a thread.
    clock : Clock
    """

    def __init__(self, waiting_limit, clock):
        super().__init__()
        self._waiting_limit = waiting_limit
        self._clock = clock
        self._refusing = ThreadedTaskDispatcher()

    def set_thread_count(self, count):
        """Start or stop the threads, including the one that refuses requests."""
        super().set_thread_count(count)
        self._refusing.set_thread_count(1 if count else 0)

    def add_task(self, task):
        """Queue a channel whose request is to be served, or refused over the limit."""
        headers = task.requests[0].headers
        headers[_ARRIVED] = repr(self._clock.monotonic())
        headers.pop(_REFUSED, None)
        if len(self.queue) < self._waiting_limit:
            super().add_task(task)
        else:
            headers[_REFUSED] = "1"
            self._refusing.add_task(task)


def is_refused(environ):
    """Return whether a request exceeded the limit and must be refused.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    """
    return f"HTTP_{_REFUSED}" in environ


def arrived_at(environ, now):
    """Return the monotonic time at which a request was completely read.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    now : float
        Returned if the server does not use a BoundedDispatcher.
    """
    return float(environ.get(f"HTTP_{_ARRIVED}", now))
