"""Open the occurrences of scheduled jobs at their due times."""

__all__ = ["Schedule"]


class Schedule:
    """Hold the jobs that have future occurrences."""

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
        """Remove a job if it is in the schedule."""
        self._jobs.pop(job.identifier, None)

    def open_due(self, wall_now, on_open):
        """Open the occurrences that are due.

        Parameters
        ----------
        wall_now : float
            Unix seconds.
        on_open : callable
            Called with the job and the number of each occurrence that is opened.

        Returns
        -------
        float or None
            Unix seconds at which the next occurrence is due; None if there is none.
        """
        next_due = None
        for job in list(self._jobs.values()):
            due = self._open_due_of(job, wall_now, on_open)
            if due is not None and (next_due is None or due < next_due):
                next_due = due
        return next_due

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
