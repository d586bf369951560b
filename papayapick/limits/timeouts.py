"""Bound one try of a call by the latencies that were seen."""

import threading
from collections import deque

__all__ = ["AttemptTimeouts"]

_WINDOW = 256
_LEAST_SAMPLES = 32
_RENEW_EVERY = 16
_HIGH_SHARE, _USUAL_SHARE = 0.99, 0.9
_FACTOR = 2.0
_LARGEST_SHARE = 0.7
_LEAST_SECONDS = 0.05
_UNKNOWN_SHARE = 0.5


class _Latencies:
    __slots__ = ("count", "high", "usual", "window")

    def __init__(self):
        self.window = deque(maxlen=_WINDOW)
        self.count = 0
        self.high = None
        self.usual = None

    def add(self, seconds):
        self.window.append(seconds)
        self.count += 1
        if len(self.window) >= _LEAST_SAMPLES and self.count % _RENEW_EVERY == 0:
            ordered = sorted(self.window)
            self.high = ordered[int(_HIGH_SHARE * (len(ordered) - 1))]
            self.usual = ordered[int(_USUAL_SHARE * (len(ordered) - 1))]


class AttemptTimeouts:
    """Keep the latest latencies of each service.

    A silent backend server would otherwise eat the whole deadline in the first
    try, and leave no time for another server to answer.

    Examples
    --------
    >>> timeouts = AttemptTimeouts()
    >>> timeouts.first_attempt_seconds("counts", rest=2.0)
    1.0
    >>> for _ in range(32):
    ...     timeouts.observe("counts", 0.1)
    >>> round(timeouts.first_attempt_seconds("counts", rest=2.0), 3)
    0.2
    >>> timeouts.usual_seconds("counts")
    0.1
    """

    __slots__ = ("_lock", "_services")

    def __init__(self):
        self._services = {}
        self._lock = threading.Lock()

    def observe(self, service, seconds):
        """Note the latency of an answer, or the time after which a try was cut.

        Without the cut ones only the fast answers would be seen, the limit
        would shrink with each look, and more and more tries be cut.
        """
        with self._lock:
            self._of(service).add(seconds)

    def first_attempt_seconds(self, service, rest):
        """Return the seconds of a try after which another may follow.

        Parameters
        ----------
        service : str
        rest : float
            Seconds to the deadline.
        """
        with self._lock:
            high = self._of(service).high
        if high is None:
            return rest * _UNKNOWN_SHARE
        return min(rest * _LARGEST_SHARE, max(_LEAST_SECONDS, _FACTOR * high))

    def usual_seconds(self, service):
        """Return what nine of ten answers stay under, or None if not known."""
        with self._lock:
            return self._of(service).usual

    def _of(self, service):
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Latencies()
        return found
