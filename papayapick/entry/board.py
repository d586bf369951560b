"""Hold what this host knows of the states of jobs, to answer polls at once."""

import threading
from collections import OrderedDict

from papayapick.jobs.state import JobStatus

__all__ = ["StateBoard"]

# About 100 bytes each; at the target's 41,000 jobs a day, half a day's worth.
_STATES_LIMIT = 20_000


class StateBoard:
    """Hold the newest known state of jobs and the number that wait by queue."""

    __slots__ = ("_lock", "_loads", "_states")

    def __init__(self):
        self._states = OrderedDict()
        self._loads = {}
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

    def note_loads(self, pool, loads):
        """Take in how many jobs of each queue of a pool wait."""
        with self._lock:
            self._loads[pool] = loads

    def all_waiting(self):
        """Return how many jobs of each queue wait, as last told, where any does."""
        with self._lock:
            pools = list(self._loads.values())
        return {name: n for loads in pools for name, n in loads.items() if n}

    def waiting(self, queue):
        """Return how many jobs of a queue have not begun, as last told."""
        with self._lock:
            return self._loads.get(queue.pool, {}).get(queue.name, 0)
