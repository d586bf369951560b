"""Detection of stalled and slow runs, and of the workers that cause them.

A run that stalls or falls far behind is stopped, so that its task starts on another
worker, and its worker is marked as suspected and used last.
"""

from papayapick.placement.runs.progress import (
    REPLACED_LIMIT,
    compare_runs,
    ended_within_usual_time,
    project_runs,
    stalled_runs,
)
from papayapick.placement.runs.suspicion import (
    SUSPECT_SECONDS,
    FailingWorkerDetector,
    SlowWorkerDetector,
)
from papayapick.pool.events import RUN_REPLACED, WORKER_SUSPECTED
from papayapick.pool.workers.reports import EndOutcome, run_fields
from papayapick.speeds.events import SPEEDS_DIFFER
from papayapick.speeds.metrics import SPEED_ERROR, WORKERS_BY_TIER
from papayapick.speeds.types import SpeedTier

__all__ = ["RunMonitor"]

_COUNT_SECONDS = 1.0


class RunMonitor:
    """Watch the progress and outcome of runs, and act on slow or failing workers.

    Parameters
    ----------
    owner : PoolOwner
        Its lock must be held by the caller of every method.
    """

    __slots__ = ("_counted_at", "_failures", "_owner", "_slowness")

    def __init__(self, owner):
        self._owner = owner
        self._failures = FailingWorkerDetector()
        self._slowness = SlowWorkerDetector()
        self._counted_at = float("-inf")

    def replace_slow_runs(self, now):
        """Stop runs that are stalled or far too slow, to start them elsewhere.

        If the step allows copies, the run is not stopped: ``Decisions.start_copies``
        starts a second copy on another worker.
        """
        for room in self._owner.rooms:
            room.expire_suspicion(now)
        self._refresh_speeds(now)
        speeds = self._owner.knowledge.speeds
        for job in self._owner.job_registry.live_jobs():
            for step in job.steps():
                for run in stalled_runs(step, speeds):
                    self._replace(step, run, now)
                projections = project_runs(step)
                speeds.note_progress(step, projections, now)
                slow, normal = compare_runs(step, speeds, projections)
                for run in normal:
                    self._slowness.note_normal(run, now)
                for run in slow:
                    is_worker_slow = self._slowness.note_slow(run, now, speeds)
                    if is_worker_slow and self._may_be_moved(step, run, speeds):
                        self._replace(step, run, now)

    @staticmethod
    def _may_be_moved(step, run, speeds):
        """Return whether a slow run may be due to its worker.

        A task that is slow again, on another worker, is long by itself.
        """
        return not (speeds.differ and step.tasks[run.key.index].replaced)

    def _refresh_speeds(self, now):
        """Derive the speeds of workers from what was learned, and count classes."""
        if self._owner.is_stopped:
            return
        speeds = self._owner.knowledge.speeds
        has_changed = speeds.refresh(now)
        if has_changed:
            SPEEDS_DIFFER.write(
                pool=self._owner.pool,
                differ=speeds.differ,
                tiers={
                    tier.name.lower(): count
                    for tier, count in speeds.tier_counts().items()
                },
            )
        is_due = speeds.differ and now - self._counted_at >= _COUNT_SECONDS
        if has_changed or is_due:
            self._counted_at = now
            for tier, count in speeds.tier_counts().items():
                WORKERS_BY_TIER.labels(self._owner.pool, tier.name.lower()).set(count)

    def stop(self):
        """Stop showing metrics of the pool, which another owner has from now on."""
        if self._counted_at > float("-inf"):
            for tier in SpeedTier:
                WORKERS_BY_TIER.remove(self._owner.pool, tier.name.lower())

    def note_end(self, step, run, end, room, now):
        """Update the failure and slowness statistics after the end of a run.

        Parameters
        ----------
        step : StepState or None
            None if the job is unknown.
        run : Run or None
            None if this owner did not know the run.
        end : EndReport
        room : WorkerRoom
            Of the worker that reported the end.
        now : float
        """
        is_failed = end.outcome == EndOutcome.FAILED
        if end.outcome not in (EndOutcome.DONE, EndOutcome.FAILED):
            return
        if self._failures.note_end(room.worker, end.key.job, is_failed):
            self._suspect(room, "failures", now, is_failing=True)
        if step is None or run is None or is_failed:
            return
        speeds = self._owner.knowledge.speeds
        if ended_within_usual_time(step, run, now, speeds):
            self._slowness.note_normal(run, now)
        for error in speeds.note_done(step, run, now):
            if speeds.differ:
                SPEED_ERROR.observe(error)

    def forget(self, worker):
        """Drop the statistics of a worker that was removed."""
        self._failures.forget(worker)
        self._slowness.forget(worker)
        self._owner.knowledge.speeds.forget(worker)

    def _replace(self, step, run, now):
        room = self._owner.rooms.get(run.worker)
        if room is None:
            return
        self._suspect(room, "progress", now)
        task = step.tasks[run.key.index]
        task.avoid.add(run.worker)
        if step.step.allows_copies or task.replaced >= REPLACED_LIMIT:
            return
        if not self._has_alternative(step, run):
            return
        task.replaced += 1
        RUN_REPLACED.write(
            **run_fields(run),
            percent=run.percent,
            seconds=round(run.worked_seconds(now), 3),
            still_seconds=round(run.percent_at - run.progressed_at, 3),
        )
        self._owner.orders.stop_once(run, now)

    def _suspect(self, room, reason, now, is_failing=False):
        """Use a worker last for some time, or not at all if it fails all its runs."""
        if not room.is_suspected:
            WORKER_SUSPECTED.write(
                worker=room.worker, reason=reason, seconds=SUSPECT_SECONDS
            )
        room.mark_suspected(now, SUSPECT_SECONDS, is_failing)

    def _has_alternative(self, step, run):
        """Return whether another healthy worker has room for a run's task now."""
        allowed = None
        if step.job.queue.advice is not None:
            allowed = self._owner.advice_manager.tickets(step, now=self._owner.now())
            if allowed is None:
                self._owner.advice_manager.request_if_useful(step, self._owner.now())
                return False
        room = self._owner.rooms.choose(step, run.key.index, allowed)
        return room is not None and not room.is_suspected and room.worker != run.worker
