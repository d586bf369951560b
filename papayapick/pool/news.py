"""Tell what callers may know of the jobs of a pool."""

import collections
import math

from papayapick.jobs.state import JobStatus
from papayapick.placement.timeliness import useful_seconds

__all__ = ["News"]

# Callers may be told a number that is two seconds old.
_COUNT_SECONDS = 0.1


class News:
    """Read an owner's book for the hosts that answer callers.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_backlogs", "_counted_at", "_known_at", "_owner")

    def __init__(self, owner):
        self._owner = owner
        self._backlogs = {}
        self._counted_at = float("-inf")
        self._known_at = None

    @property
    def known_at(self):
        """Return the monotonic time as of which the last count is true, or None.

        Read beside ``backlogs``, under the owner's lock.
        """
        return self._known_at

    def take(self):
        """Return what callers may be told now, by job.

        Returns
        -------
        dict of str to str
        """
        with self._owner.lock:
            news, self._owner.book.status_changes = (
                self._owner.book.status_changes,
                set(),
            )
            jobs = [self._owner.book.get(identifier) for identifier in news]
            return {job.identifier: _shown(job) for job in jobs if job is not None}

    def all_states(self):
        """Return what callers may be told of each job."""
        with self._owner.lock:
            return {job.identifier: _shown(job) for job in self._owner.book.jobs()}

    def backlogs(self):
        """Return what is to be told of each queue with jobs that have not begun.

        Counted anew some times a second only, however many hosts are told: each count
        looks at all jobs.

        Returns
        -------
        dict of str to QueueBacklog
        """
        with self._owner.lock:
            now = self._owner.now()
            if now - self._counted_at >= _COUNT_SECONDS:
                self._counted_at = now
                self._backlogs = self._count(now)
                self._known_at = self._now_known_at()
            return self._backlogs

    def _now_known_at(self):
        """Return the time as of which the book holds who waits, or None.

        An owner whose feed of jobs is silent counts too few, one that was replaced
        without knowing counts jobs that another one has begun, and one that took over
        without records counts jobs that may run at a worker not heard yet.
        """
        owner = self._owner
        if not (owner.has_read_state and owner.settling.knows_starts):
            return None
        known_at = min(owner.sources.complete_at, owner.standing.confirmed_at)
        return None if math.isinf(known_at) else known_at

    def _count(self, now):
        counts, ready = collections.Counter(), collections.Counter()
        useful = collections.Counter()
        for job in self._owner.book.live_jobs():
            if job.status == JobStatus.WAITING:
                queue = job.document.queue
                counts[queue] += 1
                useful[queue] += useful_seconds(job)
                # One that waits for its due time is no load.
                ready[queue] += not job.document.is_timed
        gauge = self._owner.decisions.backlog
        found = {}
        for queue, count in counts.items():
            backlog = gauge.backlog(queue, ready[queue], now, useful[queue] / count)
            backlog.waiting = count
            found[queue] = backlog
        return found


def _shown(job):
    """Return the status that callers may be told: a final one once it is stored.

    Told before, while the store was away, a completed job ran again: all hosts lost
    power in the outage, and the worker that had listed the end was replaced, so that
    nobody knew of it any more. Callers wait until the store is back instead.
    """
    if job.status in JobStatus.FINAL and job.durable_status != job.status:
        return JobStatus.RUNNING
    return job.status
