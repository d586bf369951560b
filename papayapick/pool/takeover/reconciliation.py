"""Reconciliation after a takeover: which tasks may still run, and on which worker."""

from papayapick.pool.events import POOL_SETTLED
from papayapick.pool.metrics import TAKEOVER_SECONDS
from papayapick.pool.takeover.events import TASK_RELEASED, WORKER_ABSENT
from papayapick.pool.takeover.ownership_status import CONFIRMATION_VALID_SECONDS
from papayapick.pool.workers.leases import LEASE_SECONDS

__all__ = ["PREDECESSOR_LEASE_SECONDS", "Reconciliation"]

# A worker that has not reported to a new owner may run what the previous owner started
# there, until the longest lease that the previous owner may have granted has ended.
PREDECESSOR_LEASE_SECONDS = CONFIRMATION_VALID_SECONDS + LEASE_SECONDS / 0.98
# The runs that were found on the workers are recorded by this time after the last
# worker reported.
_RECORDED_SECONDS = 1.0


class Reconciliation:
    """Hold tasks that may already run on a worker that has not reported yet.

    Such tasks are not placed until the reports of the workers, or the end of all
    earlier leases, show whether they run; placed at once, they could run twice.

    Parameters
    ----------
    owner : PoolOwner
    is_journal_exact : bool
        Whether every start ordered by earlier owners is known to be recorded.
    """

    __slots__ = (
        "_completed_at",
        "_gone_workers",
        "_is_complete",
        "_is_journal_exact",
        "_owner",
    )

    def __init__(self, owner, is_journal_exact):
        self._owner = owner
        self._is_journal_exact = is_journal_exact
        self._is_complete = False
        self._completed_at = None
        # Workers that have crashed or left, according to the list of machines.
        self._gone_workers = set()

    @property
    def is_journal_exact(self):
        """Return whether every start of earlier owners is known to be recorded."""
        return self._is_journal_exact

    @property
    def is_complete(self):
        """Return whether it is known where all tasks of earlier owners run."""
        return self._is_complete

    @property
    def knows_starts(self):
        """Return whether it is known for each earlier job if it has begun."""
        return self._is_journal_exact or self._is_complete

    def hold_tasks(self):
        """Hold all tasks that may already run.

        An exact journal names the worker of each start before the start is sent.
        Without one, any task may run on any worker that has not reported.
        """
        self._owner.job_registry.held.activate(
            lambda task: bool(task.place) or not self._is_journal_exact
        )

    def note_new_job(self, identifier, now):
        """Hold the tasks of a new job if a replaced owner may start them too.

        It acts until its last confirmation has expired, reads the job as this owner
        does, and may start tasks without records on workers that this owner has not
        reached. Placed at once, they would run twice.
        """
        may_be_started = now < self._owner.taken_at + CONFIRMATION_VALID_SECONDS
        if may_be_started and not (self._is_journal_exact or self._is_complete):
            self._owner.job_registry.held.cover(identifier)

    def waits_for(self, worker):
        """Return whether tasks are held because a worker has not reported."""
        return not self._is_complete and worker not in self._gone_workers

    def note_worker_gone(self, worker, now, reason):
        """Stop holding tasks because of a worker that has crashed or left.

        If it were treated as silent, all tasks of earlier owners would wait for
        the longest lease that it may have, although other workers are free.

        Parameters
        ----------
        worker : str
        now : float
            Monotonic seconds.
        reason : str
            For the log.
        """
        WORKER_ABSENT.write(
            worker=worker,
            reason=reason,
            epoch=self._owner.row.epoch,
            taken_seconds_ago=round(now - self._owner.taken_at, 3),
        )
        self._gone_workers.add(worker)
        self.release_safe_tasks(now)

    def release_safe_tasks(self, now):
        """Release the held tasks that can't run on any worker that is still silent.

        Completes the reconciliation once no task is held and no worker is silent, or
        once all leases of earlier owners have ended.
        """
        if self._is_complete:
            return
        silent = sorted(
            link.worker
            for link in self._owner.links_by_worker.values()
            if not (link.has_listed_ends or link.worker in self._gone_workers)
        )
        is_over = now > self._owner.taken_at + PREDECESSOR_LEASE_SECONDS
        released = self._owner.job_registry.held.release_tasks(
            lambda task: is_over or self._is_safe_to_place(task, bool(silent)), now
        )
        for step, index in released:
            self._log_released(step, index, is_over, now)
        if is_over or not (silent or self._owner.job_registry.held):
            self._owner.job_registry.held.release_all(now)
            self._is_complete = True
            self._completed_at = now
            TAKEOVER_SECONDS.observe(now - self._owner.taken_at)
            POOL_SETTLED.write(
                pool=self._owner.pool,
                epoch=self._owner.row.epoch,
                seconds=round(now - self._owner.taken_at, 3),
                silent=silent,
            )

    def _log_released(self, step, index, is_over, now):
        attempt = step.tasks[index].attempt
        if not attempt:
            # No start of it is known, as of most tasks that are held.
            return
        TASK_RELEASED.write(
            request_id=step.key.job,
            occurrence=step.key.occurrence,
            step=step.key.step,
            task=index,
            attempt=attempt,
            reason="leases over" if is_over else "no run",
            epoch=self._owner.row.epoch,
            taken_seconds_ago=round(now - self._owner.taken_at, 3),
        )

    def _is_safe_to_place(self, task, has_silent):
        """Return whether a held task can't run on a worker that has not reported.

        A draining worker may have left the platform's list and still run its tasks.
        They remain held even if all listed workers have reported.
        """
        if task.place:
            link = self._owner.links_by_worker.get(task.place)
            # One of the ends that it has yet to list may say that the task is done.
            is_known = link is not None and link.has_listed_ends
            if not (is_known or task.place in self._gone_workers):
                return False
            if self._is_journal_exact:
                return True
        # The last start of the task may have been sent to any worker without a record,
        # even if an earlier start is recorded.
        return not has_silent

    def may_lack_records(self):
        """Return whether starts may be missing from the records a successor reads.

        An owner that took over without an exact journal knows the running tasks only
        once all workers have reported, and then records what it found. An owner with
        an exact journal lacks no records, even while a worker is silent: otherwise one
        dead worker would make its successor hold all tasks, and the next one again.
        """
        if self._is_journal_exact:
            return False
        if self._completed_at is None:
            return True
        return self._owner.now() - self._completed_at < _RECORDED_SECONDS
