"""Decide whether a queue still takes jobs, and when those turned away may return.

Answers a load above what the pool can do that lasts. What waits then grows without
bound: each job costs memory and a look in every round, and those handed in last would
begin when their callers have long given up. A queue whose backlog takes longer to begin
than the limit turns new jobs away at once, with the time after which, at the rate at
which jobs begin, it has shrunk below the limit.
"""

import collections
import math

__all__ = ["BacklogMonitor", "QueueBacklog"]

# Jobs that began within this time give the rate: long enough for some jobs of a slow
# queue, short enough to follow a pool that shrinks.
_WINDOW_SECONDS = 10.0
# Before a backlog came, jobs began as they were handed in, which is no sign of what the
# pool can do: the rate is that of the time since, and is believed only after this.
_SETTLE_SECONDS = 5.0
# A backlog that takes longer is not added to, however patient its work is: it is handed
# in again.
_LIMIT_SECONDS = 60.0
# Nor one that takes longer than its jobs are of use to their callers, which for urgent
# ones is some seconds: what is accepted then takes the owner's time for nothing.
_LEAST_LIMIT_SECONDS = 5.0
# The sooner work is of no use, the sooner the rate must be believed.
_SETTLE_SHARE = 1 / 3
# Fewer waiting jobs are no load, however slowly they begin: after a start, or while one
# wide job fills the pool, nothing has begun yet.
_LEAST_JOBS = 200
# Nobody is sent away for longer: the rate changes meanwhile.
_LONGEST_PAUSE_SECONDS = 30
# Holds 300 starts of jobs a second for the window.
_TIMES_KEPT = 3000


class QueueBacklog:
    """Hold what other hosts are told of one queue.

    Parameters
    ----------
    waiting : int
        Jobs that have not begun.
    retry_after : int
        Seconds after which a new job may be handed in; 0 where it may now.
    """

    __slots__ = ("retry_after", "waiting")

    def __init__(self, waiting, retry_after=0):
        self.waiting = waiting
        self.retry_after = retry_after


class BacklogMonitor:
    """Observe how fast the jobs of each queue begin."""

    __slots__ = ("_begun", "_since")

    def __init__(self):
        self._begun = {}
        # Since when a queue has had a backlog, in monotonic seconds.
        self._since = {}

    def note_first_start(self, queue, now):
        """Note that a job of a queue has its first task placed."""
        times = self._begun.setdefault(queue, collections.deque(maxlen=_TIMES_KEPT))
        times.append(now)

    def backlog(self, queue, waiting, now, useful_seconds=_LIMIT_SECONDS):
        """Return what is to be told of a queue.

        Parameters
        ----------
        queue : str
        waiting : int
            Its jobs that could begin and have not.
        now : float
            Monotonic seconds.
        useful_seconds : float, optional
            So long after it was accepted a job of the queue is of use to its caller.

        Returns
        -------
        QueueBacklog
        """
        limit = min(_LIMIT_SECONDS, max(_LEAST_LIMIT_SECONDS, useful_seconds))
        return QueueBacklog(waiting, self._retry_after(queue, waiting, now, limit))

    def _retry_after(self, queue, waiting, now, limit):
        if waiting < _LEAST_JOBS:
            self._since.pop(queue, None)
            return 0
        elapsed = now - self._since.setdefault(queue, now)
        if elapsed < min(_SETTLE_SECONDS, _SETTLE_SHARE * limit):
            return 0
        rate = self._rate(queue, now, min(elapsed, _WINDOW_SECONDS))
        if waiting <= limit * rate:
            return 0
        if not rate:
            return _LONGEST_PAUSE_SECONDS
        seconds = waiting / rate - limit
        return min(_LONGEST_PAUSE_SECONDS, math.ceil(seconds))

    def _rate(self, queue, now, window):
        """Return the jobs of a queue that began in a second, of so many seconds."""
        times = self._begun.get(queue, ())
        while times and now - times[0] > _WINDOW_SECONDS:
            times.popleft()
        return sum(now - one <= window for one in times) / window
