"""Detection of pauses of the process."""

import threading

__all__ = ["PauseDetector"]


class PauseDetector:
    """Count the pauses of a process.

    A process that was suspended and resumed still holds its shards, grants and bundle,
    which may have become invalid meanwhile. Code that depends on one of these compares
    ``count()`` with the count at its last confirmation, and confirms it again before it
    makes a decision. Either the periodic call of ``count()`` or that of the decision
    sees the gap, whichever runs first after the pause, so no decision after a pause
    relies on an earlier confirmation.

    Parameters
    ----------
    clock : Clock
    pause_seconds : float
        A longer gap between two calls of ``count()`` counts as a pause.

    Examples
    --------
    >>> from papayapick.clock import ManualClock
    >>> clock = ManualClock()
    >>> detector = PauseDetector(clock, 1.0)
    >>> clock.advance(5)
    >>> detector.count()
    1
    """

    __slots__ = ("_clock", "_count", "_counted_at", "_lock", "_pause_seconds")

    def __init__(self, clock, pause_seconds):
        self._clock = clock
        self._pause_seconds = pause_seconds
        self._counted_at = clock.monotonic()
        self._count = 0
        self._lock = threading.Lock()

    @property
    def tick_seconds(self):
        """Return the interval at which to call ``count`` periodically, in seconds."""
        return self._pause_seconds / 4

    def count(self):
        """Record the present time and return the number of pauses so far."""
        with self._lock:
            now = self._clock.monotonic()
            if now - self._counted_at > self._pause_seconds:
                self._count += 1
            self._counted_at = now
            return self._count
