"""Reports of a worker on their way from its answer to the owner's books."""

import contextlib
import threading

__all__ = ["Arrivals"]

# A thread that waits for an answer may read it this long after it arrived. A call to a
# worker that is gone may stay unanswered for much longer, and its runs must not wait.
_UNREAD_SECONDS = 0.05
# A report that was read waits for the owner's lock only. Longer than this, the thread
# that has it doesn't run.
_UNAPPLIED_SECONDS = 1.0


class Arrivals:
    """Follow the reports of one worker from their call until they are applied.

    Guards against a run that one thread takes for over while another one has its end in
    hand and waits for the lock, or is about to read it. Whoever infers from silence,
    from a lease or from a list that runs are over asks before if a report is awaited.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_calls", "_clock", "_lock")

    def __init__(self, clock):
        self._clock = clock
        self._calls = []
        self._lock = threading.Lock()

    @property
    def has_unapplied(self):
        """Return whether a report was read and is not applied yet."""
        return any(call.has_arrived for call in self._others(None))

    @contextlib.contextmanager
    def call(self):
        """Follow a call, until its report is applied or it has failed.

        Yields
        ------
        Call
        """
        call = Call()
        with self._lock:
            self._calls.append(call)
        try:
            yield call
        finally:
            with self._lock:
                self._calls.remove(call)
            call.is_over.set()

    def is_awaited(self, since, now):
        """Return whether a report is to be applied before anything is inferred.

        Parameters
        ----------
        since : float
            Monotonic seconds at which it could first be inferred. An answer that had
            arrived by then has been read some time later.
        now : float
        """
        may_be_unread = now - since < _UNREAD_SECONDS
        return self.has_unapplied or (may_be_unread and bool(self._others(None)))

    def wait_until_read(self, since):
        """Wait until the answers that arrived by a time are applied, or just read.

        The caller must not hold the owner's lock.
        """
        self._wait(since + _UNREAD_SECONDS, self._others(None))

    def wait_until_applied(self, own=None):
        """Wait until the answers to other calls that have arrived are applied.

        The caller must not hold the owner's lock.

        Parameters
        ----------
        own : Call, optional
            The call that is not waited for.
        """
        now = self._clock.monotonic()
        self._wait(now + _UNREAD_SECONDS, self._others(own))
        arrived = [call for call in self._others(own) if call.has_arrived]
        self._wait(now + _UNAPPLIED_SECONDS, arrived)

    def _others(self, own):
        with self._lock:
            return [call for call in self._calls if call is not own]

    def _wait(self, until, calls):
        for call in calls:
            seconds = until - self._clock.monotonic()
            if seconds > 0:
                self._clock.wait(call.is_over, seconds)


class Call:
    """One call to a worker for its report.

    Attributes
    ----------
    has_arrived : bool
        Whether its answer was read.
    is_over : threading.Event
        Set when its report is applied or it has failed.
    """

    __slots__ = ("has_arrived", "is_over")

    def __init__(self):
        self.has_arrived = False
        self.is_over = threading.Event()
