"""Limit the time of an exchange by its progress.

Guards against long transfers over slow links that a fixed time limit cuts off: they
would be repeated from their first byte for ever, and keep the link full meanwhile.
"""

__all__ = ["MIN_BYTES_PER_SECOND", "TimeLimit"]

# Answers of up to megabytes come over links that many hosts share. They get more time,
# as long as they arrive at the rate that each of 200 hosts has behind 30 Mbit/s.
MIN_BYTES_PER_SECOND = 18_000


class TimeLimit:
    """Limit how long an exchange takes, and how long it makes no progress.

    Parameters
    ----------
    clock : Clock
    timeout : float
        Seconds for an exchange without a body, and for a pause between two parts.
    min_bytes_per_second : float or None
        A body of many bytes may take longer, as long as it arrives at this rate. With
        None the timeout is for the whole exchange, whatever its size.
    """

    __slots__ = ("_clock", "_min_rate", "_paused_since", "_timeout", "_until")

    def __init__(self, clock, timeout, min_bytes_per_second):
        self._clock = clock
        self._timeout = timeout
        self._min_rate = min_bytes_per_second
        self._paused_since = clock.monotonic()
        self._until = self._paused_since + timeout

    def remaining(self):
        """Return the seconds that are left for the next step.

        Raises
        ------
        TimeoutError
            If none are left.
        """
        until = min(self._until, self._paused_since + self._timeout)
        remaining = until - self._clock.monotonic()
        if remaining <= 0:
            raise TimeoutError
        return remaining

    def apply(self, sock):
        """Set the remaining time as the time limit of a socket."""
        sock.settimeout(self.remaining())

    @property
    def allows_more_for_long_bodies(self):
        """Return whether a body of many bytes may take longer than the timeout."""
        return self._min_rate is not None

    def note_progress(self, size):
        """Extend the limit by the time that a number of bytes may take."""
        if self._min_rate is not None:
            self._until += size / self._min_rate
            self._paused_since = self._clock.monotonic()
