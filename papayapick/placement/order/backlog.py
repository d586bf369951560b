"""Decide whether a queue accepts jobs, and when rejected ones may be submitted again.

Under sustained load above the capacity of the pool, the backlog would grow without
bound: each waiting job takes memory and is examined in every scheduling round, and the
jobs submitted last would start long after their callers have given up. A queue whose
backlog takes longer than the limit to start rejects new jobs at once, and returns the
time after which the backlog, at the current start rate, is below the limit.
"""

import collections
import math

__all__ = ["BacklogMonitor", "QueueBacklog"]

# The start rate is measured over this window: long enough to contain some starts of a
# slow queue, short enough to follow a shrinking pool.
_WINDOW_SECONDS = 10.0
# Without a backlog, jobs start at the rate of their submission, which says nothing of
# the capacity of the pool. The rate is therefore measured since the backlog formed, and
# used only after this time.
_WARM_UP_SECONDS = 5.0
# A queue whose backlog takes longer to start rejects new jobs, however long these could
# wait; their callers submit them again.
_LIMIT_SECONDS = 60.0
# The limit is lower where jobs are useful to their callers for a shorter time, which is
# some seconds for urgent ones: jobs that start later only cost the owner time. It is
# never below this.
_MIN_LIMIT_SECONDS = 5.0
# The shorter the limit, the sooner the measured rate must be used.
_WARM_UP_SHARE = 1 / 3
# With fewer waiting jobs none is rejected, whatever the rate: after a restart, or while
# one wide job fills the pool, no job has started yet.
_MIN_WAITING_JOBS = 200
# Upper bound of the retry delay, since the rate changes in the meantime.
_MAX_RETRY_AFTER_SECONDS = 30
# Enough for 300 job starts per second over the window.
_MAX_STARTS = 3000


class QueueBacklog:
    """Backlog of one queue, as announced to the other hosts.

    Parameters
    ----------
    waiting : int
        Number of jobs that have not started.
    retry_after : int
        Seconds after which a new job may be submitted; 0 if it may be now.
    """

    __slots__ = ("retry_after", "waiting")

    def __init__(self, waiting, retry_after=0):
        self.waiting = waiting
        self.retry_after = retry_after


class BacklogMonitor:
    """Measure the rate at which the jobs of each queue start."""

    __slots__ = ("_backlog_since", "_starts")

    def __init__(self):
        self._starts = {}
        # Monotonic time at which the backlog of each queue formed.
        self._backlog_since = {}

    def note_first_start(self, queue, now):
        """Record that the first task of a job of a queue was placed."""
        times = self._starts.setdefault(queue, collections.deque(maxlen=_MAX_STARTS))
        times.append(now)

    def backlog(self, queue, waiting, now, useful_seconds=_LIMIT_SECONDS):
        """Return the backlog of a queue to announce to the other hosts.

        Parameters
        ----------
        queue : str
        waiting : int
            Number of its jobs that are ready and have not started.
        now : float
            Monotonic seconds.
        useful_seconds : float, optional
            Time after acceptance for which a job of the queue is useful to its caller.

        Returns
        -------
        QueueBacklog
        """
        limit = min(_LIMIT_SECONDS, max(_MIN_LIMIT_SECONDS, useful_seconds))
        return QueueBacklog(waiting, self._retry_after(queue, waiting, now, limit))

    def _retry_after(self, queue, waiting, now, limit):
        if waiting < _MIN_WAITING_JOBS:
            self._backlog_since.pop(queue, None)
            return 0
        elapsed = now - self._backlog_since.setdefault(queue, now)
        if elapsed < min(_WARM_UP_SECONDS, _WARM_UP_SHARE * limit):
            return 0
        rate = self._rate(queue, now, min(elapsed, _WINDOW_SECONDS))
        if waiting <= limit * rate:
            return 0
        if not rate:
            return _MAX_RETRY_AFTER_SECONDS
        seconds = waiting / rate - limit
        return min(_MAX_RETRY_AFTER_SECONDS, math.ceil(seconds))

    def _rate(self, queue, now, window):
        """Return the job starts per second of a queue within a window of seconds."""
        times = self._starts.get(queue, ())
        while times and now - times[0] > _WINDOW_SECONDS:
            times.popleft()
        return sum(now - time <= window for time in times) / window
