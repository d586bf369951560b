"""Track task leases and determine when they have certainly expired."""

import threading

__all__ = ["LeaseTracker"]


class _Lease:
    __slots__ = ("last_answered_at", "last_sent_at")

    def __init__(self, now):
        self.last_sent_at = now
        self.last_answered_at = now


class LeaseTracker:
    """Track when this process last requested each task's lease.

    A worker that is unreachable may run a task until the lease expires by the
    worker's own clock. Each start or renewal that was sent may have reached the
    worker even if its answer was lost, so the lease is measured from the last
    request, recorded before it is sent. Renewals to an unresponsive worker must
    therefore stop; otherwise its leases would never count as expired.

    A task that an earlier owner started has no recorded lease: that owner may
    still be alive, disconnected from the table, and continue to renew. Only an
    answer of the worker, which also fences the earlier owner, starts the lease
    of such a task here.

    Parameters
    ----------
    clock : Clock
    lease_seconds : float
    drift : float
        Maximum relative drift between the clocks of workers and placers.

    Examples
    --------
    >>> from papayapick.clock import ManualClock
    >>> clock = ManualClock()
    >>> leases = LeaseTracker(clock, 10.0, 0.02)
    >>> leases.note_start("task-1")
    >>> clock.advance(10.1)
    >>> leases.have_expired(["task-1"])
    False
    >>> clock.advance(0.2)
    >>> leases.have_expired(["task-1"]), leases.have_expired(["inherited"])
    (True, False)
    """

    __slots__ = ("_clock", "_leases", "_lock", "_seconds")

    def __init__(self, clock, lease_seconds, drift):
        self._clock = clock
        self._seconds = lease_seconds * (1 + drift)
        self._leases = {}
        self._lock = threading.Lock()

    def note_start(self, task):
        """Record that the start of a task is about to be sent."""
        with self._lock:
            self._leases[task] = _Lease(self._clock.monotonic())

    def note_renewal(self, tasks):
        """Record that a renewal is about to be sent."""
        now = self._clock.monotonic()
        with self._lock:
            for task in tasks:
                if task in self._leases:
                    self._leases[task].last_sent_at = now

    def note_answer(self, tasks):
        """Record that the worker answered this owner about the tasks."""
        now = self._clock.monotonic()
        with self._lock:
            for task in tasks:
                lease = self._leases.setdefault(task, _Lease(now))
                lease.last_answered_at = now

    def remove(self, tasks):
        """Remove tasks that have ended."""
        with self._lock:
            for task in tasks:
                self._leases.pop(task, None)

    def has_unanswered(self, tasks):
        """Return whether any of the tasks had no answer for half a lease."""
        now = self._clock.monotonic()
        with self._lock:
            return any(
                task in self._leases
                and now - self._leases[task].last_answered_at > self._seconds / 2
                for task in tasks
            )

    def have_expired(self, tasks):
        """Return whether the leases of all tasks have certainly expired."""
        now = self._clock.monotonic()
        with self._lock:
            return all(
                task in self._leases
                and now - self._leases[task].last_sent_at > self._seconds
                for task in tasks
            )
