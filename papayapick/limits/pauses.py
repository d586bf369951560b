"""Notice that the process was paused."""

import threading

__all__ = ["PauseDetector"]


class PauseDetector:
    """Count the pauses of a process.

    A process that was frozen and woken still believes in the shards, grants
    and bundle it had. Whoever depends on such a belief compares ``count()``
    with the count at which it was last confirmed, and confirms it again before
    it decides anything. Either the ticker or the decision itself sees the gap,
    whichever runs first after the pause, so no decision slips through.

    Parameters
    ----------
    clock : Clock
    pause_seconds : float
        A gap between two ticks that counts as a pause.

    Examples
    --------
    >>> from papayapick.clock import ManualClock
    >>> clock = ManualClock()
    >>> detector = PauseDetector(clock, 1.0)
    >>> clock.advance(5)
    >>> detector.count()
    1
    """

    __slots__ = ("_clock", "_count", "_lock", "_pause_seconds", "_then")

    def __init__(self, clock, pause_seconds):
        self._clock = clock
        self._pause_seconds = pause_seconds
        self._then = clock.monotonic()
        self._count = 0
        self._lock = threading.Lock()

    @property
    def tick_seconds(self):
        """Return how often ``count`` must be called while nothing decides."""
        return self._pause_seconds / 4

    def count(self):
        """Note the present moment and return the pauses so far."""
        with self._lock:
            now = self._clock.monotonic()
            if now - self._then > self._pause_seconds:
                self._count += 1
            self._then = now
            return self._count
