"""Grant leases to a worker, and count until when one may be in force."""

import threading

__all__ = ["LATE_CALL_SECONDS", "LEASE_SECONDS", "ClockReading", "WorkerLease"]

# Covers a takeover, which takes 2 s after an owner freezes, and one lost renewal. A
# longer lease would delay rescheduling the tasks of a partitioned worker.
LEASE_SECONDS = 3.6
# A worker's monotonic clock may run 2% slow.
_CLOCK_RATE = 0.98
_LAPSE_SLACK_SECONDS = 0.1
# A call without an answer may be executed late, by up to this time.
LATE_CALL_SECONDS = 12.0


class ClockReading:
    """A reading of a worker's clock.

    Parameters
    ----------
    shown : float
        Seconds on the worker's clock.
    read_at : float
        Monotonic seconds at which the answer with this time had arrived.
    """

    __slots__ = ("read_at", "shown")

    def __init__(self, shown, read_at):
        self.shown = shown
        self.read_at = read_at


class WorkerLease:
    """Grant leases on a worker's clock; any thread may do so at any time.

    Parameters
    ----------
    clock : Clock
    limit_seconds : float
        Maximum length of a lease; the worker shortens a longer one to it.

    Attributes
    ----------
    lapse_at : float
        Monotonic seconds after which no granted lease is in force, also to an earlier
        incarnation of the worker.
    reading : ClockReading or None
        None until the worker has answered. Replaced as a whole: with the time of one
        reading and the clock of another, a lease would last longer than counted, and a
        run that is cut off with it would go on beside the next one.
    """

    __slots__ = (
        "_clock",
        "_granted_at",
        "_limit_seconds",
        "_lock",
        "lapse_at",
        "reading",
    )

    def __init__(self, clock, limit_seconds):
        self._clock = clock
        self._limit_seconds = limit_seconds
        self._lock = threading.Lock()
        # Monotonic seconds of the last lease; None before the first one.
        self._granted_at = None
        self.lapse_at = 0.0
        self.reading = None

    def note_clock(self, shown):
        """Note what the worker's clock showed when its last answer arrived."""
        self.reading = ClockReading(shown, self._clock.monotonic())

    def grant(self, permitted_at=None):
        """Grant a lease and return its end.

        Also extends ``lapse_at``, since the worker may run what it was ordered until
        the lease ends.

        Parameters
        ----------
        permitted_at : float, optional
            Monotonic seconds before which the owner was asked whether it may act; the
            lease counts from then, by default from now. If the process were suspended
            after the question and the lease counted from when it goes on, it would last
            longer than a successor waits for a worker that it can't reach.

        Returns
        -------
        float or None
            Seconds on the worker's clock; None if that clock was not read yet.
        """
        reading = self.reading
        if reading is None:
            return None
        now = self._granted_at = self._clock.monotonic()
        begin = now if permitted_at is None else permitted_at
        end = reading.shown + (begin - reading.read_at) + LEASE_SECONDS
        longest = (end - reading.shown) / _CLOCK_RATE
        self.extend_to(reading.read_at + longest + _LAPSE_SLACK_SECONDS)
        return end

    def extend_to(self, until):
        """Count with leases until a time, in monotonic seconds."""
        # Two threads that read the same end would keep the earlier of their own.
        with self._lock:
            self.lapse_at = max(self.lapse_at, until)

    def note_longest(self, begins_at):
        """Count with the longest lease from a time, in monotonic seconds."""
        longest = self._limit_seconds / _CLOCK_RATE + _LAPSE_SLACK_SECONDS
        self.extend_to(begins_at + longest)

    def begin_incarnation(self):
        """Count with late calls after a restart of the worker.

        A call names the worker's id, which a restarted worker keeps, so that a late
        call to the previous incarnation is executed by the new one. Its lease ends at a
        time on the previous clock, and may count as the longest lease on the new one.
        If the worker were cut off then, its runs would go on after the end of the
        leases granted since, and run twice.
        """
        if self._granted_at is not None:
            self.note_longest(self._granted_at + LATE_CALL_SECONDS)
