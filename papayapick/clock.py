"""Provide injectable clocks, so that tests can control time."""

import threading
import time
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


_MIN_POLL_SECONDS = 0.01
_MAX_POLL_SECONDS = 0.16


class Clock(Protocol):
    """Provide monotonic and wall-clock time, and wait for events."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def time(self) -> float:
        """Return seconds since the epoch."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for the event for at most ``seconds``; return whether it is set."""


class SystemClock:
    """Read the clocks of the operating system."""

    __slots__ = ()

    def monotonic(self):
        """Return the seconds of the monotonic clock."""
        return time.monotonic()

    def time(self):
        """Return the seconds since the epoch."""
        return time.time()

    def wait(self, event, seconds):
        """Block on the event for at most ``seconds``."""
        return event.wait(seconds)


class BootClock(SystemClock):
    """Include the time for which the machine was suspended.

    The monotonic clock stops while a machine is suspended, so a lease that expired
    in the meantime would seem to be valid.
    """

    __slots__ = ()

    def monotonic(self):
        """Return the seconds since the machine booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Change time only when a test advances it.

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
        """Advance time and wake waiting threads.

        Parameters
        ----------
        seconds : float
        """
        with self._condition:
            self._now += seconds
            self._condition.notify_all()

    def wait(self, event, seconds):
        """Return whether the event is set, once it is or the time has passed."""
        deadline = self._now + seconds
        interval = _MIN_POLL_SECONDS
        with self._condition:
            while self._now < deadline and not event.is_set():
                # Setting the event does not notify this condition, so the event is
                # polled, less and less often: a thousand waiting threads would else
                # take the processor time of the one that is to advance time.
                self._condition.wait(interval)
                interval = min(2 * interval, _MAX_POLL_SECONDS)
        return event.is_set()
