"""Open the occurrences of scheduled jobs at their due times."""

__all__ = ["Schedule"]

# Further occurrences of a job that are due wait until some are over. Thousands that are
# due at once would exhaust the memory of the owner, and of each next one.
_OPEN_TASKS_LIMIT = 10_000


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

    def open_due(self, wall_now, on_open, on_failure):
        """Open the occurrences that are due.

        A job for which that fails is removed from the schedule. It must not end the
        owner, and each next one: no job of the pool would run any more.

        Parameters
        ----------
        wall_now : float
            Unix seconds.
        on_open : callable
            Called with the job and the number of each occurrence that is opened.
        on_failure : callable or None
            Called with a job while the exception that it has raised is handled. None
            to let it through.

        Returns
        -------
        float or None
            Unix seconds at which the next occurrence is due; None if there is none.
        """
        next_due = None
        for job in list(self._jobs.values()):
            try:
                due = self._open_due_of(job, wall_now, on_open)
            except Exception:
                if on_failure is None:
                    raise
                self.remove(job)
                on_failure(job)
                continue
            if due is not None and (next_due is None or due < next_due):
                next_due = due
        return next_due

    @staticmethod
    def open_listed(job, key):
        """Open the occurrence of a task that a worker lists, if it is not open.

        An earlier owner has opened it, whose clock may be ahead, or which had no record
        of it. Its ends would be dropped otherwise and its runs stopped, and all of its
        tasks would run again. Those that no worker lists wait for the due time.

        Parameters
        ----------
        job : JobState
        key : TaskKey
        """
        number, steps = key.occurrence, job.document.steps
        if (
            job.is_final
            or number in job.occurrences
            or number in job.finished_occurrences
            or not 0 <= number < job.document.occurrences
            or not 0 <= key.step < len(steps)
            or not 0 <= key.index < steps[key.step].tasks
        ):
            return
        job.early_occurrences.add(number)
        job.open_occurrence(number)

    def _open_due_of(self, job, wall_now, on_open):
        document = job.document
        for number in range(document.occurrences):
            is_early = number in job.early_occurrences
            is_open = number in job.occurrences and not is_early
            if is_open or number in job.finished_occurrences:
                continue
            due = document.due_at(number)
            if due > wall_now:
                return due
            if not is_early and _is_full(job):
                return wall_now
            job.early_occurrences.discard(number)
            if not is_early:
                job.open_occurrence(number)
            on_open(job, number)
        self.remove(job)
        return None


def _is_full(job):
    """Return whether a job has as many tasks of open occurrences as it may have."""
    tasks = sum(step.tasks for step in job.document.steps)
    return tasks * len(job.occurrences) >= _OPEN_TASKS_LIMIT
