"""Hold what this host knows of the states of jobs, to answer polls at once."""

import math
import threading
from collections import OrderedDict

from papayapick.entry.exceptions import CountUnknown
from papayapick.jobs.state import JobStatus

__all__ = ["StateBoard"]

# About 100 bytes each; at the target's 41,000 jobs a day, half a day's worth.
_STATES_LIMIT = 20_000
# Callers are promised that a number of waiting jobs is not older.
_COUNT_AGE_SECONDS = 2.0


class _PoolWord:
    """Hold what owners last told of the queues of one pool.

    Attributes
    ----------
    epoch : int
        The newest that was heard.
    counts : dict of str to QueueBacklog
        By queue, as of ``known_at``; of those where nothing waited, nothing.
    known_at : float
        Monotonic seconds.
    refusals : dict of str to QueueBacklog
        By queue, as told at ``told_at``.
    told_at : float
        Monotonic seconds.
    """

    __slots__ = ("counts", "epoch", "known_at", "refusals", "told_at")

    def __init__(self):
        self.epoch = 0
        self.counts = {}
        self.known_at = float("-inf")
        self.refusals = {}
        self.told_at = float("-inf")


class StateBoard:
    """Hold the newest known state of jobs and the number that wait by queue.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_lock", "_pools", "_states")

    def __init__(self, clock):
        self._clock = clock
        self._states = OrderedDict()
        self._pools = {}
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

    def note_backlogs(self, pool, epoch, backlogs, known_at=None):
        """Take in what an owner tells of the queues of a pool.

        Messages arrive late: that of an owner that was replaced counts for nothing,
        and no number replaces one that was true later.

        Parameters
        ----------
        pool : str
        epoch : int
            Of the owner.
        backlogs : dict of str to QueueBacklog
            By queue; of those where nothing waits, nothing.
        known_at : float, optional
            Monotonic time as of which the numbers are true; None where the owner
            does not know them.
        """
        with self._lock:
            word = self._pools.setdefault(pool, _PoolWord())
            if epoch < word.epoch:
                return
            word.epoch = epoch
            word.refusals = backlogs
            word.told_at = self._clock.monotonic()
            if known_at is not None and known_at >= word.known_at:
                word.counts = backlogs
                word.known_at = known_at

    def all_waiting(self):
        """Return how many jobs of each queue wait, where any does and that is known."""
        now = self._clock.monotonic()
        with self._lock:
            fresh = [
                word.counts
                for word in self._pools.values()
                if now - word.known_at <= _COUNT_AGE_SECONDS
            ]
        return {
            name: backlog.waiting
            for counts in fresh
            for name, backlog in counts.items()
            if backlog.waiting
        }

    def waiting(self, queue):
        """Return how many jobs of a queue have not begun.

        Raises
        ------
        CountUnknown
            No owner of the pool has told that, or not lately: a queue that was not
            told of is one where nothing waits only within a fresh word.
        """
        with self._lock:
            word = self._pools.get(queue.pool, _PoolWord())
            age = self._clock.monotonic() - word.known_at
            backlog = word.counts.get(queue.name)
        if age > _COUNT_AGE_SECONDS:
            shown = None if math.isinf(age) else round(age, 3)
            raise CountUnknown(pool=queue.pool, age_seconds=shown)
        return backlog.waiting if backlog is not None else 0

    def retry_after(self, pool, queue):
        """Return the seconds for which a queue takes no new jobs; 0 where it does.

        A refusal holds for its own time from when it was told: what an owner that is
        gone once said would else turn callers away for ever.
        """
        with self._lock:
            word = self._pools.get(pool, _PoolWord())
            backlog = word.refusals.get(queue)
            elapsed = self._clock.monotonic() - word.told_at
        if backlog is None:
            return 0
        return max(0, math.ceil(backlog.retry_after - elapsed))
