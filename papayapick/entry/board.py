"""Hold what this host knows of the states of jobs, to answer polls at once."""

import threading
from collections import OrderedDict

from papayapick.jobs.state import JobStatus

__all__ = ["StateBoard"]

# About 100 bytes each; at the target's 41,000 jobs a day, half a day's worth.
_STATES_LIMIT = 20_000


class StateBoard:
    """Hold the newest known state of jobs and the number that wait by queue."""

    __slots__ = ("_lock", "_backlogs", "_states")

    def __init__(self):
        self._states = OrderedDict()
        self._backlogs = {}
        self._lock = threading.Lock()

    def state(self, identifier):
        """Return the status of a job, or None where it isn't known here."""
        with self._lock:
            return self._states.get(identifier)

    def note(self, states):
        """Take in statuses by job; a final one never changes.

        Messages of an owner that was replaced may arrive late: what has once been
        told as final must stay so.
        """
        with self._lock:
            for identifier, status in states.items():
                if self._states.get(identifier) in JobStatus.FINAL:
                    continue
                self._states[identifier] = status
                self._states.move_to_end(identifier)
            while len(self._states) > _STATES_LIMIT:
                self._states.popitem(last=False)

    def note_accepted(self, identifier):
        """Note a job that was just stored."""
        with self._lock:
            self._states.setdefault(identifier, JobStatus.WAITING)

    def note_backlogs(self, pool, backlogs):
        """Take in what waits in the queues of a pool.

        Parameters
        ----------
        pool : str
        backlogs : dict of str to QueueBacklog
            By queue; of those where nothing waits, nothing.
        """
        with self._lock:
            self._backlogs[pool] = backlogs

    def all_waiting(self):
        """Return how many jobs of each queue wait, as last told, where any does."""
        with self._lock:
            pools = list(self._backlogs.values())
        return {
            name: backlog.waiting
            for backlogs in pools
            for name, backlog in backlogs.items()
            if backlog.waiting
        }

    def waiting(self, queue):
        """Return how many jobs of a queue have not begun, as last told."""
        with self._lock:
            backlog = self._backlogs.get(queue.pool, {}).get(queue.name)
        return backlog.waiting if backlog is not None else 0

    def retry_after(self, pool, queue):
        """Return the seconds for which a queue takes no new jobs; 0 where it does."""
        with self._lock:
            backlog = self._backlogs.get(pool, {}).get(queue)
        return backlog.retry_after if backlog is not None else 0
