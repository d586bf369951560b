"""Distinguish workers that are slow, or that fail their tasks, from a task's own fault.

Guards against runs that are moved, and begin anew, because their tasks are long or fail
wherever they run.
"""

from papayapick.speeds.types import UnknownSpeeds

__all__ = ["SUSPECT_SECONDS", "FailingWorkerDetector", "SlowWorkerDetector"]

# A worker is slow with this number of slow runs and no normal run for this time.
_MIN_SLOW_RUNS = 2
_NO_NORMAL_SECONDS = 0.8
# Where speeds are known to differ. Long tasks are a fifth of the active runs although
# one task in thirty is long, so two of them are often all that a worker runs.
_MIN_SLOW_RUNS_COMPARED = 3
# A worker on which a stalled or slow run was found is used last for this time.
SUSPECT_SECONDS = 3.0
# Consecutive failed runs, of different jobs, after which a worker is suspected. On
# healthy workers one run in fifty fails.
_FAILURES_IN_A_ROW = 2
_NO_SPEEDS = UnknownSpeeds()


class SlowWorkerDetector:
    """Distinguish a slow worker, on which all runs are slow, from a long task.

    If a single slow run were enough to move it, a task three times as long as others of
    its step would lose its progress, and its caller would wait longer.
    """

    __slots__ = ("_normal", "_slow")

    def __init__(self):
        # By worker: each slow run with the last time at which it was seen, by its name,
        # and the last time at which any normal run was.
        self._slow = {}
        self._normal = {}

    def note_normal(self, run, now):
        """Record a run at the usual speed.

        A run that seems slow although it began earlier is a long task: for most of its
        time its worker was not slow.
        """
        self._normal[run.worker] = now
        for _, slow_run in self._slow.get(run.worker, {}).values():
            if slow_run.since is not None and run.since is not None:
                slow_run.is_long = slow_run.is_long or slow_run.since <= run.since

    def note_slow(self, run, now, speeds=_NO_SPEEDS):
        """Record a slow run; return whether its worker is slow.

        Parameters
        ----------
        run : Run
        now : float
        speeds : SpeedSource, optional
        """
        seen = self._slow.setdefault(run.worker, {})
        seen[run.name] = now, run
        old = [name for name, (at, _) in seen.items() if now - at > SUSPECT_SECONDS]
        for name in old:
            del seen[name]
        if now - self._normal.get(run.worker, float("-inf")) <= _NO_NORMAL_SECONDS:
            return False
        if not speeds.differ:
            return len(seen) >= _MIN_SLOW_RUNS
        count = sum(not one.is_long for _, one in seen.values())
        return count >= _MIN_SLOW_RUNS_COMPARED and not run.is_long

    def forget(self, worker):
        """Delete the records of a worker."""
        self._slow.pop(worker, None)
        self._normal.pop(worker, None)


class FailingWorkerDetector:
    """Detect workers on which runs of different jobs fail one after the other."""

    __slots__ = ("_failed_jobs",)

    def __init__(self):
        self._failed_jobs = {}

    def note_end(self, worker, job, is_failed):
        """Record the end of a run; return whether its worker is to be suspected.

        Parameters
        ----------
        worker, job : str
        is_failed : bool
            False for a run that ended as done.
        """
        if not is_failed:
            self._failed_jobs.pop(worker, None)
            return False
        # A job that fails on every worker counts once here.
        jobs = self._failed_jobs.setdefault(worker, set())
        if len(jobs) < _FAILURES_IN_A_ROW:
            jobs.add(job)
        return len(jobs) >= _FAILURES_IN_A_ROW

    def forget(self, worker):
        """Delete the record of a worker."""
        self._failed_jobs.pop(worker, None)
