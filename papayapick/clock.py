"""Supply time by injection, so that tests pause and advance it."""

import threading
import time
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Tell monotonic and calendar time, and wait on events."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def time(self) -> float:
        """Return seconds since the epoch."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for the event at most so many seconds; return whether it is set."""


class SystemClock:
    """Read the clock of the runtime."""

    __slots__ = ()

    def monotonic(self):
        """Return the runtime's monotonic seconds."""
        return time.monotonic()

    def time(self):
        """Return the runtime's seconds since the epoch."""
        return time.time()

    def wait(self, event, seconds):
        """Block on the event for at most ``seconds``."""
        return event.wait(seconds)


class BootClock(SystemClock):
    """Count the time of a suspended machine too.

    The plain monotonic clock stands still while a machine is suspended; a lease
    that ran out meanwhile would seem to be in force.
    """

    __slots__ = ()

    def monotonic(self):
        """Return seconds since the machine started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Stand still until a test advances it.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    __slots__ = ("_condition", "_now")

    def __init__(self, now=0.0):
        self._now = now
        self._condition = threading.Condition()

    def monotonic(self):
        """Return the seconds advanced so far."""
        return self._now

    def time(self):
        """Return the seconds advanced so far."""
        return self._now

    def advance(self, seconds):
        """Move time forward and wake the waiters.

        Parameters
        ----------
        seconds : float
        """
        with self._condition:
            self._now += seconds
            self._condition.notify_all()

    def wait(self, event, seconds):
        """Return once the event is set or the time has been advanced past."""
        deadline = self._now + seconds
        with self._condition:
            while self._now < deadline and not event.is_set():
                # The event may be set by a thread that knows nothing of this
                # condition, so the wait is cut into short pieces.
                self._condition.wait(0.01)
        return event.is_set()
