"""Queue of a shard's jobs, which chooses the next starts and pauses."""

import heapq
import itertools
import threading

from papayapick.ledger import LedgerError
from papayapick.placement.requests.jobs import DeadlineOrder
from papayapick.placement.requests.pauses import choose_pauses
from papayapick.placement.requests.starts import Backfill
from papayapick.placement.requests.team_queues import TeamQueues
from papayapick.quotas import QuotaTracker

__all__ = ["JobQueue"]

# Maximum number of jobs for which one pass makes room.
_MAX_CLAIMS = 16
# Time for which a deferred job waits for runs to end before others are paused for it.
_CLAIM_AFTER_SECONDS = 60.0


class JobQueue:
    """Waiting and running jobs of a shard.

    Parameters
    ----------
    ledger : HostLedger
    policy : StartPolicy, optional
    order : JobOrder, optional
    quotas : QuotaTracker, optional
    """

    __slots__ = (
        "_added",
        "_deadlines",
        "_ledger",
        "_lock",
        "_policy",
        "_quotas",
        "_running",
        "_seen_due_count",
        "_seen_version",
        "_waiting",
    )

    def __init__(self, ledger, policy=None, order=None, quotas=None):
        self._ledger = ledger
        self._policy = policy or Backfill()
        self._quotas = quotas or QuotaTracker()
        self._waiting = TeamQueues(order or DeadlineOrder(), self._quotas)
        self._deadlines = []
        self._running = {}
        self._added = []
        self._seen_due_count = 0
        self._seen_version = None
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, name):
        return name in self._waiting

    @property
    def running(self):
        """Return the running jobs."""
        with self._lock:
            return list(self._running.values())

    @property
    def promised(self):
        """Return the name of the job for which room is held, or None."""
        promised = getattr(self._policy, "promised", None)
        return promised[0] if promised else None

    def use_bundle(self, bundle):
        """Apply the quotas of the teams in a bundle.

        Parameters
        ----------
        bundle : Bundle
        """
        with self._lock:
            self._quotas.set_quotas(bundle.digest, bundle.teams, len(bundle.shards()))

    def is_running(self, name):
        """Return whether a job is running."""
        return name in self._running

    def add(self, job):
        """Add a waiting job, unless a job of its name waits or runs already.

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
        """Remove all waiting jobs that are over.

        Parameters
        ----------
        is_over : callable
            Takes the name of a job; returns whether to remove it.
        """
        with self._lock:
            for name in [name for name in self._waiting if is_over(name)]:
                self._waiting.discard(name)
            # Room may have been held for one of them: choose anew in the next pass.
            self._seen_version = None

    def adopt(self, running):
        """Add a job that an earlier owner started.

        Parameters
        ----------
        running : RunningJob
            Its room must be reserved already.
        """
        with self._lock:
            if running.job.name not in self._running:
                self._add_running(running)

    def choose_starts(self, now):
        """Return the jobs to start now, with their room reserved.

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
                self._add_running(start)
            self._added.clear()
            self._seen_version = self._ledger.version
            return starts

    def choose_pauses(self, now):
        """Return the running jobs to pause for jobs with a claim to their room.

        Each is marked as pausing. Its room stays reserved until ``finish``.

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
                for job in itertools.islice(self._waiting.walk(now), _MAX_CLAIMS)
                if self._has_claim(job, now)
            ]
            if not claims:
                return []
            chosen = choose_pauses(
                self._ledger, self._quotas, claims, self._running.values(), now
            )
            for running in chosen:
                running.is_pausing = True
            return chosen

    def finish(self, name):
        """Release the room of a job whose members have all ended."""
        with self._lock:
            finished = self._running.pop(name, None)
            if finished is not None:
                job = finished.job
                self._quotas.remove_usage(job.team, job.demand, job.members)
        for place in finished.places if finished else ():
            try:
                self._ledger.release(place.task)
            except LedgerError:
                # The inventory did not find the task, so no room is reserved for it.
                continue

    def take_overdue(self, now):
        """Remove the waiting jobs past their deadline, and return their names."""
        overdue = []
        with self._lock:
            while self._deadlines and self._deadlines[0][0] < now:
                deadline, name = heapq.heappop(self._deadlines)
                job = self._waiting.get(name)
                if job is not None and job.deadline == deadline:
                    self._waiting.discard(name)
                    overdue.append(name)
        return overdue

    def _add_running(self, running):
        job = running.job
        self._running[job.name] = running
        self._quotas.add_usage(job.team, job.demand, job.members)

    def _has_claim(self, job, now):
        if job.is_borrowing:
            return False
        return job.is_urgent or now - job.arrival >= _CLAIM_AFTER_SECONDS

    def _choose(self, now):
        due = len(self._waiting.due(now))
        is_unchanged = (
            self._seen_version == self._ledger.version and due == self._seen_due_count
        )
        self._seen_due_count = due
        running = self._running.values()
        added = [self._waiting.get(name) for name in self._added]
        added = [job for job in added if job is not None]
        # If no other jobs wait, the first of the added jobs is the first of all.
        is_unchanged = is_unchanged and len(self._waiting) > len(added)
        if is_unchanged and all(self._follows_promised(job) for job in added):
            # Neither the room nor the jobs that waited have changed, so only the added
            # jobs may fit.
            added.sort(key=lambda job: self._waiting.key(job.name))
            if not added:
                return []
            return self._policy.choose_added(self._ledger, added, running, now)
        return self._policy.choose(self._ledger, self._waiting.walk(now), running, now)

    def _follows_promised(self, job):
        """Set whether a job borrows; return whether it follows the promised job.

        If no job has a promised start, no waiting job can start or get a promise before
        a run ends, and the order does not matter.
        """
        job.is_borrowing = self._quotas.would_borrow(job.team, job.demand, job.members)
        first = self._waiting.get(self.promised)
        if first is None:
            return self.promised is None
        if first.is_borrowing != job.is_borrowing:
            return job.is_borrowing
        return self._waiting.key(job.name) > self._waiting.key(first.name)
