"""Whether jobs beyond their teams' rate get any room.

Load pattern: teams that send several times their usual, on a pool that what is owed
just fills. Little owed work waits at any moment, so there seems to be room soon; but
each core that becomes free goes to owed work that has come meanwhile.
"""

import collections

__all__ = ["SurplusRoom"]

# Longer than the gaps between starts while there is room.
_CLOSED_SECONDS = 2.0


class SurplusRoom:
    """Note since when the waiting jobs of each level have not been served."""

    __slots__ = ("_closed_since", "_waiting")

    def __init__(self):
        # Tasks that wait, by job.
        self._waiting = {}
        # Monotonic seconds by level; levels without waiting jobs are left out.
        self._closed_since = {}

    def note(self, jobs, now):
        """Record a count.

        Parameters
        ----------
        jobs : dict of str to tuple
            Level and number of the tasks that wait, by job.
        now : float
            Monotonic seconds.
        """
        waiting = collections.Counter()
        served = set()
        for identifier, (level, tasks) in jobs.items():
            waiting[level] += tasks
            if tasks < self._waiting.get(identifier, (level, 0))[1]:
                served.add(level)
        self._waiting = jobs
        self._closed_since = {
            level: now if level in served else self._closed_since.get(level, now)
            for level, tasks in waiting.items()
            if tasks
        }

    def is_closed(self, level, now):
        """Return whether jobs of a level have waited for long and none was served.

        Parameters
        ----------
        level : Level
        now : float
            Monotonic seconds.
        """
        since = self._closed_since.get(level)
        return since is not None and now - since >= _CLOSED_SECONDS
