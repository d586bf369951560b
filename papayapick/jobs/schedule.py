"""Open the occurrences of scheduled jobs at their times."""

__all__ = ["Schedule"]


class Schedule:
    """Hold the jobs that have occurrences to come."""

    __slots__ = ("_jobs",)

    def __init__(self):
        self._jobs = {}

    def add(self, job):
        """Add a job that runs at due times.

        Parameters
        ----------
        job : JobState
        """
        self._jobs[job.identifier] = job

    def remove(self, job):
        """Drop a job that is over."""
        self._jobs.pop(job.identifier, None)

    def open_due(self, wall_now, on_open):
        """Open the occurrences whose time has come.

        Parameters
        ----------
        wall_now : float
            Unix seconds.
        on_open : callable
            Called with the job and the number of an occurrence that was opened.

        Returns
        -------
        float or None
            Unix seconds of the next occurrence.
        """
        soonest = None
        for job in list(self._jobs.values()):
            due = self._open_due_of(job, wall_now, on_open)
            if due is not None and (soonest is None or due < soonest):
                soonest = due
        return soonest

    def _open_due_of(self, job, wall_now, on_open):
        document = job.document
        for number in range(document.occurrences):
            if number in job.finished_occurrences or number in job.occurrences:
                continue
            due = document.due_at(number)
            if due > wall_now:
                return due
            job.open_occurrence(number)
            on_open(job, number)
        self.remove(job)
        return None
