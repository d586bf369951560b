"""Keep the jobs of a shard that wait and run, and choose the next starts."""

import heapq
import itertools
import threading

from papayapick.ledger import LedgerError
from papayapick.placement.jobs import DeadlineOrder
from papayapick.placement.pauses import choose_pauses
from papayapick.placement.starts import Backfill
from papayapick.placement.team_queues import TeamQueues
from papayapick.quotas import QuotaBook

__all__ = ["JobQueue"]

# Jobs that one look makes room for.
_CLAIMS = 16
# A deferred job waits so long for runs to end before it has others paused.
_PATIENCE_SECONDS = 60.0


class JobQueue:
    """Hold jobs in their order and start them by a policy.

    Parameters
    ----------
    ledger : HostLedger
    policy : StartPolicy, optional
    order : JobOrder, optional
    quotas : QuotaBook, optional
    """

    __slots__ = (
        "_added",
        "_deadlines",
        "_due_seen",
        "_ledger",
        "_lock",
        "_policy",
        "_quotas",
        "_running",
        "_seen",
        "_waiting",
    )

    def __init__(self, ledger, policy=None, order=None, quotas=None):
        self._ledger = ledger
        self._policy = policy or Backfill()
        self._quotas = quotas or QuotaBook()
        self._waiting = TeamQueues(order or DeadlineOrder(), self._quotas)
        self._deadlines = []
        self._running = {}
        self._added = []
        self._due_seen = 0
        self._seen = None
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, name):
        return name in self._waiting

    @property
    def running(self):
        """Return the jobs that hold room."""
        with self._lock:
            return list(self._running.values())

    @property
    def promised(self):
        """Return the name of the job that room is held for, or None."""
        found = getattr(self._policy, "promised", None)
        return found[0] if found else None

    def use_bundle(self, bundle):
        """Take the teams' quotas of a bundle.

        Parameters
        ----------
        bundle : Bundle
        """
        with self._lock:
            self._quotas.use(bundle.digest, bundle.teams, len(bundle.shards()))

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
            self._waiting.add(job)
            heapq.heappush(self._deadlines, (job.deadline, job.name))
            self._added.append(job.name)

    def discard_where(self, is_over):
        """Let jobs wait no longer, all in one go.

        Parameters
        ----------
        is_over : callable
            Tells by the name of a job.
        """
        with self._lock:
            for name in [name for name in self._waiting if is_over(name)]:
                self._waiting.discard(name)
            # One of them may have held room for itself.
            self._seen = None

    def adopt(self, running):
        """Count a job that an earlier owner started; its room is reserved.

        Parameters
        ----------
        running : RunningJob
        """
        with self._lock:
            if running.job.name not in self._running:
                self._count(running)

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
                self._waiting.discard(start.job.name)
                self._count(start)
            self._added.clear()
            self._seen = self._ledger.version
            return starts

    def choose_pauses(self, now):
        """Return running jobs to checkpoint for jobs with a claim to their room.

        Each is marked as pausing; its room counts as taken until ``finish``.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of RunningJob
        """
        with self._lock:
            claims = [
                job
                for job in itertools.islice(self._waiting.walk(now), _CLAIMS)
                if self._has_claim(job, now)
            ]
            if not claims:
                return []
            chosen = choose_pauses(
                self._ledger, self._quotas, claims, self._running.values(), now
            )
            for one in chosen:
                one.is_pausing = True
            return chosen

    def finish(self, name):
        """Give back the room of a job whose members have all ended."""
        with self._lock:
            found = self._running.pop(name, None)
            if found is not None:
                job = found.job
                self._quotas.finish(job.team, job.demand, job.members)
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
                job = self._waiting.get(name)
                if job is not None and job.deadline == deadline:
                    self._waiting.discard(name)
                    overdue.append(name)
        return overdue

    def _count(self, running):
        job = running.job
        self._running[job.name] = running
        self._quotas.start(job.team, job.demand, job.members)

    def _has_claim(self, job, now):
        if job.is_borrowing:
            return False
        return job.is_urgent or now - job.arrival >= _PATIENCE_SECONDS

    def _choose(self, now):
        due = len(self._waiting.due(now))
        is_same = self._seen == self._ledger.version and due == self._due_seen
        self._due_seen = due
        running = self._running.values()
        added = [self._waiting.get(name) for name in self._added]
        added = [job for job in added if job is not None]
        # Where none but these wait, the first of them has its turn.
        is_same = is_same and len(self._waiting) > len(added)
        if is_same and all(self._is_behind(job) for job in added):
            # The room and what waits for it are as they were: only what came
            # behind the first that waits may still fit.
            added.sort(key=lambda job: self._waiting.key(job.name))
            if not added:
                return []
            return self._policy.choose_added(self._ledger, added, running, now)
        return self._policy.choose(self._ledger, self._waiting.walk(now), running, now)

    def _is_behind(self, job):
        """Note whether a job borrows; return whether it is behind the promised.

        Where nothing is promised, no job that waits can start or be promised room
        before something ends, and the order does not matter.
        """
        job.is_borrowing = self._quotas.borrows(job.team, job.demand, job.members)
        first = self._waiting.get(self.promised)
        if first is None:
            return self.promised is None
        if first.is_borrowing != job.is_borrowing:
            return job.is_borrowing
        return self._waiting.key(job.name) > self._waiting.key(first.name)
