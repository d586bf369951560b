"""Tell what callers may know of the jobs of a pool."""

import collections

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
            return {job.identifier: self._shown(job) for job in jobs if job is not None}

    def all_states(self):
        """Return what callers may be told of each job."""
        with self._owner.lock:
            return {job.identifier: self._shown(job) for job in self._owner.book.jobs()}

    def backlogs(self):
        """Return what is to be told of each queue with jobs that have not begun.

        Returns
        -------
        dict of str to QueueBacklog
        """
        counts, ready = collections.Counter(), collections.Counter()
        with self._owner.lock:
            for job in self._owner.book.live_jobs():
                if job.status == JobStatus.WAITING:
                    queue = job.document.queue
                    counts[queue] += 1
                    # One that waits for its due time is no load.
                    ready[queue] += not job.document.is_timed
            gauge, now = self._owner.decisions.backlog, self._owner.now()
            found = {queue: gauge.backlog(queue, ready[queue], now) for queue in counts}
        for queue, backlog in found.items():
            backlog.waiting = counts[queue]
        return found

    def tell_completed(self, jobs):
        """Tell callers of jobs that are completed, and whose record was not taken.

        Parameters
        ----------
        jobs : list of JobState
        """
        if self._owner.recording.is_announced:
            self._owner.book.news.update(
                job.identifier for job in jobs if job.status == JobStatus.COMPLETED
            )

    def _shown(self, job):
        """Return the status that callers may be told.

        A final one once it is stored; a completed one also while the store takes no
        records. Callers waited for their answer until the store was back, up to 4.9 s,
        though all tasks were done. What says so lasts without the store: the ends stand
        in the workers' lists until they are acknowledged, and each host keeps what it
        was told, also for the case that it is the next owner (``Sources``).
        """
        if job.status not in JobStatus.FINAL or job.durable_status == job.status:
            return job.status
        if job.status == JobStatus.COMPLETED and self._owner.recording.is_announced:
            return job.status
        return JobStatus.RUNNING
