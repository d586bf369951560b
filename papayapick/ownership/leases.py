"""Tell when the leases of tasks are over for certain."""

import threading

__all__ = ["LeaseTracker"]


class _Lease:
    __slots__ = ("answered", "sent")

    def __init__(self, now):
        self.sent = now
        self.answered = now


class LeaseTracker:
    """Remember when each task's lease was last asked for by this process.

    A worker that can't be reached may run a task until its lease lapses by the
    worker's own clock. Each start and renewal that was sent may have reached
    it, also where its answer was lost; so the time counts from the last one
    sent, noted before it leaves. Renewals to a silent worker must therefore
    end, or the lease would never be over.

    A task that an earlier owner started has no time here: that owner may live
    on, cut from the table, and go on renewing. Only the worker's own answer,
    which also fences the earlier owner, starts the time of such a task.

    Parameters
    ----------
    clock : Clock
    lease_seconds : float
    drift : float
        Share by which clocks of workers and placers drift apart at most.

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
        """Note that the start of a task is about to be sent."""
        with self._lock:
            self._leases[task] = _Lease(self._clock.monotonic())

    def note_renewal(self, tasks):
        """Note that a renewal is about to be sent."""
        now = self._clock.monotonic()
        with self._lock:
            for task in tasks:
                if task in self._leases:
                    self._leases[task].sent = now

    def note_answer(self, tasks):
        """Note that the worker answered this owner about tasks."""
        now = self._clock.monotonic()
        with self._lock:
            for task in tasks:
                lease = self._leases.setdefault(task, _Lease(now))
                lease.answered = now

    def remove(self, tasks):
        """Drop tasks that have ended."""
        with self._lock:
            for task in tasks:
                self._leases.pop(task, None)

    def has_unanswered(self, tasks):
        """Return whether no answer came for half a lease about any of the tasks."""
        now = self._clock.monotonic()
        with self._lock:
            return any(
                task in self._leases
                and now - self._leases[task].answered > self._seconds / 2
                for task in tasks
            )

    def have_expired(self, tasks):
        """Return whether no lease of the tasks can be in force any more."""
        now = self._clock.monotonic()
        with self._lock:
            return all(
                task in self._leases and now - self._leases[task].sent > self._seconds
                for task in tasks
            )
