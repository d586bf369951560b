"""How much work has come in the last seconds, with bounds.

Load pattern: jobs beyond their team's rate wait for room that no owed job wants. How
long depends less on the owed work that waits than on that which goes on coming.
"""

import collections
import math

__all__ = ["WINDOW_SECONDS", "Arrivals"]

# Contains some jobs of a slow queue, and follows the day's load.
WINDOW_SECONDS = 10.0
# Before, the work that came says nothing of what will come.
_MIN_SECONDS = 2.0
# Standard deviations between the mean and each bound.
_BOUND_DEVIATIONS = 3.0
# In the low bound a job counts for this multiple of the mean at most: a single very
# large one makes the next ones no likelier.
_CLIP_FACTOR = 2.0
# Bounds the memory; 400 jobs a second.
_MAX_JOBS = 4000


class Arrivals:
    """Sum up the work of the jobs that came within a window.

    The jobs of a burst differ in size, so the bounds are those of a sum of independent
    amounts: its variance is the sum of their squares.
    """

    __slots__ = ("_jobs", "_since")

    def __init__(self):
        self._since = None
        # Time, level and core-seconds of each job.
        self._jobs = collections.deque(maxlen=_MAX_JOBS)

    def note(self, jobs, now):
        """Record the jobs that came since the last call.

        Parameters
        ----------
        jobs : iterable of tuple
            Level and core-seconds of each.
        now : float
            Monotonic seconds.
        """
        if self._since is None:
            # What the first count finds came at any time before.
            self._since = now
            return
        self._jobs.extend((now, level, work) for level, work in jobs)
        while self._jobs and now - self._jobs[0][0] > WINDOW_SECONDS:
            self._jobs.popleft()

    def work_since(self, time):
        """Return the core-seconds that came after a time within the window."""
        return sum(work for at, _, work in self._jobs if at > time)

    def bounds(self, is_counted, now):
        """Return a low and a high bound of the cores that come a second.

        Parameters
        ----------
        is_counted : callable
            Takes a level; returns whether its work counts.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of float
            Core-seconds a second; 0 and 0 before there is anything to go by.
        """
        if self._since is None or now - self._since < _MIN_SECONDS:
            return 0.0, 0.0
        seconds = min(WINDOW_SECONDS, now - self._since)
        works = [work for _, level, work in self._jobs if is_counted(level)]
        limit = _CLIP_FACTOR * sum(works) / max(1, len(works))
        clipped = [min(work, limit) for work in works]
        low = sum(clipped) - _margin(clipped)
        return max(0.0, low) / seconds, (sum(works) + _margin(works)) / seconds


def _margin(works):
    return _BOUND_DEVIATIONS * math.sqrt(sum(work * work for work in works))
