"""Keep the jobs of a shard that wait and run, and choose the next starts."""

import heapq
import threading

from sortedcontainers import SortedList

from papayapick.ledger import LedgerError
from papayapick.placement.jobs import DeadlineOrder
from papayapick.placement.pauses import choose_pauses
from papayapick.placement.starts import Backfill

__all__ = ["JobQueue"]

# Urgent jobs that one look makes room for.
_URGENT_LOOKS = 16


class JobQueue:
    """Hold jobs in their order and start them by a policy.

    Parameters
    ----------
    ledger : HostLedger
    policy : StartPolicy, optional
    order : JobOrder, optional
    """

    __slots__ = (
        "_added",
        "_deadlines",
        "_due",
        "_due_seen",
        "_first_refused",
        "_ledger",
        "_lock",
        "_order",
        "_policy",
        "_running",
        "_seen",
        "_sorted",
        "_waiting",
    )

    def __init__(self, ledger, policy=None, order=None):
        self._ledger = ledger
        self._policy = policy or Backfill()
        self._order = order or DeadlineOrder()
        self._waiting = {}
        self._sorted = SortedList()
        self._deadlines = []
        self._due = SortedList()
        self._due_seen = 0
        self._running = {}
        self._added = []
        self._first_refused = None
        self._seen = None
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._waiting)

    @property
    def running(self):
        """Return the jobs that hold room."""
        with self._lock:
            return list(self._running.values())

    def is_running(self, name):
        """Return whether a job holds room."""
        return name in self._running

    def add(self, job):
        """Let a job wait; one that waits or runs stays as it is.

        Parameters
        ----------
        job : WaitingJob
        """
        with self._lock:
            if job.name in self._waiting or job.name in self._running:
                return
            key = (self._order.key(job), job.name)
            self._waiting[job.name] = (key, job)
            self._sorted.add(key)
            self._due.add((self._order.due(job), job.name))
            heapq.heappush(self._deadlines, (job.deadline, job.name))
            self._added.append(key)

    def discard(self, name):
        """Let a job wait no longer."""
        with self._lock:
            self._discard(name)
            # It may have held room for itself.
            self._seen = None

    def adopt(self, running):
        """Count a job that an earlier owner started; its room is reserved.

        Parameters
        ----------
        running : RunningJob
        """
        with self._lock:
            self._running.setdefault(running.job.name, running)

    def choose_starts(self, now):
        """Reserve room for what starts now.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of RunningJob
        """
        with self._lock:
            starts = self._choose(now)
            for start in starts:
                self._discard(start.job.name)
                self._running[start.job.name] = start
            self._added.clear()
            self._first_refused = self._sorted[0] if self._sorted else None
            self._seen = self._ledger.version
            return starts

    @property
    def promised(self):
        """Return the name of the job that room is held for, or None."""
        found = getattr(self._policy, "promised", None)
        return found[0] if found else None

    def choose_pauses(self, now):
        """Return running jobs to checkpoint for urgent jobs that must wait.

        Each is marked as pausing; its room counts as taken until ``finish``.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of RunningJob
        """
        with self._lock:
            urgent = []
            for _, name in self._sorted.islice(0, _URGENT_LOOKS):
                job = self._waiting[name][1]
                if not job.is_urgent:
                    break
                urgent.append(job)
            if not urgent:
                return []
            chosen = choose_pauses(self._ledger, urgent, self._running.values(), now)
            for one in chosen:
                one.is_pausing = True
            return chosen

    def finish(self, name):
        """Give back the room of a job whose members have all ended."""
        with self._lock:
            found = self._running.pop(name, None)
        for place in found.places if found else ():
            try:
                self._ledger.release(place.task)
            except LedgerError:
                # A task that the inventory did not find holds nothing.
                continue

    def take_overdue(self, now):
        """Remove and return the names of waiting jobs past their deadline."""
        overdue = []
        with self._lock:
            while self._deadlines and self._deadlines[0][0] < now:
                deadline, name = heapq.heappop(self._deadlines)
                found = self._waiting.get(name)
                if found is not None and found[1].deadline == deadline:
                    self._discard(name)
                    overdue.append(name)
        return overdue

    def _choose(self, now):
        added = [key for key in self._added if key in self._sorted]
        first = self._first_refused
        due = [name for _, name in self._due.irange(maximum=(now, ""))]
        is_same = first is not None and self._seen == self._ledger.version
        is_same = is_same and len(due) == self._due_seen
        self._due_seen = len(due)
        if is_same and all(key > first for key in added):
            # The room and what waits for it are as they were: only what came
            # behind the first that waits may still fit.
            jobs = [self._waiting[key[1]][1] for key in sorted(added)]
            return self._policy.choose_added(self._ledger, jobs, now) if jobs else []
        waiting = (self._waiting[name][1] for name in self._in_order(due))
        running = self._running.values()
        return self._policy.choose(self._ledger, waiting, running, now)

    def _in_order(self, due):
        yield from due
        first = set(due)
        yield from (name for _, name in self._sorted if name not in first)

    def _discard(self, name):
        found = self._waiting.pop(name, None)
        if found is not None:
            key, job = found
            self._sorted.remove(key)
            self._due.remove((self._order.due(job), name))
