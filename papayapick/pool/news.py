"""Tell what callers may know of the jobs of a pool."""

from papayapick.jobs.state import JobStatus

__all__ = ["News"]


class News:
    """Read an owner's book for the hosts that answer callers.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_owner",)

    def __init__(self, owner):
        self._owner = owner

    def take(self):
        """Return what callers may be told now, by job.

        Returns
        -------
        dict of str to str
        """
        with self._owner.lock:
            news, self._owner.book.news = self._owner.book.news, set()
            jobs = [self._owner.book.get(identifier) for identifier in news]
            return {job.identifier: _shown(job) for job in jobs if job is not None}

    def all_states(self):
        """Return what callers may be told of each job."""
        with self._owner.lock:
            return {job.identifier: _shown(job) for job in self._owner.book.jobs()}

    def waiting_jobs(self):
        """Return how many jobs of each queue have not begun."""
        counts = {}
        with self._owner.lock:
            for job in self._owner.book.live_jobs():
                if job.status == JobStatus.WAITING:
                    queue = job.document.queue
                    counts[queue] = counts.get(queue, 0) + 1
        return counts


def _shown(job):
    if job.status in JobStatus.FINAL and job.durable_status != job.status:
        return JobStatus.RUNNING
    return job.status
