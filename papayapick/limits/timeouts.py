"""Timeouts of single attempts of a call, derived from observed latencies."""

import threading
from collections import deque

__all__ = ["AttemptTimeouts"]

_WINDOW_SIZE = 256
_MIN_SAMPLES = 32
_UPDATE_INTERVAL = 16
_HIGH_QUANTILE, _USUAL_QUANTILE = 0.99, 0.9
_HIGH_LATENCY_FACTOR = 2.0
_MAX_SHARE_OF_REMAINING = 0.7
_MIN_SECONDS = 0.05
_DEFAULT_SHARE_OF_REMAINING = 0.5


class _Latencies:
    __slots__ = ("count", "high", "usual", "window")

    def __init__(self):
        self.window = deque(maxlen=_WINDOW_SIZE)
        self.count = 0
        self.high = None
        self.usual = None

    def add(self, seconds):
        self.window.append(seconds)
        self.count += 1
        if len(self.window) >= _MIN_SAMPLES and self.count % _UPDATE_INTERVAL == 0:
            ordered = sorted(self.window)
            self.high = ordered[int(_HIGH_QUANTILE * (len(ordered) - 1))]
            self.usual = ordered[int(_USUAL_QUANTILE * (len(ordered) - 1))]


class AttemptTimeouts:
    """Track the latest latencies of each service and derive attempt timeouts.

    Without such a timeout, the first attempt at a backend server that does not answer
    would use up the time to the deadline, and leave none for another server.

    Examples
    --------
    >>> timeouts = AttemptTimeouts()
    >>> timeouts.first_attempt_seconds("counts", remaining_seconds=2.0)
    1.0
    >>> for _ in range(32):
    ...     timeouts.observe("counts", 0.1)
    >>> round(timeouts.first_attempt_seconds("counts", remaining_seconds=2.0), 3)
    0.2
    >>> timeouts.usual_seconds("counts")
    0.1
    """

    __slots__ = ("_lock", "_services")

    def __init__(self):
        self._services = {}
        self._lock = threading.Lock()

    def observe(self, service, seconds):
        """Record the latency of an answer, or the duration of a timed-out attempt.

        If the attempts that timed out were left out, only fast answers would be seen.
        The timeout would shrink with each update, and ever more attempts would time
        out.
        """
        with self._lock:
            self._of(service).add(seconds)

    def first_attempt_seconds(self, service, remaining_seconds):
        """Return the timeout of a first attempt that may be followed by another.

        Parameters
        ----------
        service : str
        remaining_seconds : float
            Seconds to the deadline.

        Returns
        -------
        float
            Seconds.
        """
        with self._lock:
            high = self._of(service).high
        if high is None:
            return remaining_seconds * _DEFAULT_SHARE_OF_REMAINING
        return min(
            remaining_seconds * _MAX_SHARE_OF_REMAINING,
            max(_MIN_SECONDS, _HIGH_LATENCY_FACTOR * high),
        )

    def usual_seconds(self, service):
        """Return the 90th percentile of the latencies, or None if not known yet."""
        with self._lock:
            return self._of(service).usual

    def _of(self, service):
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Latencies()
        return found
