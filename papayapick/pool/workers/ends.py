"""Apply the ends of runs that workers list to an owner's jobs and rooms."""

from papayapick.jobs.outcomes import EndEffect
from papayapick.pool.events import END_NOT_APPLIED, END_OF_GIVEN_UP_RUN, RUN_ENDED
from papayapick.pool.metrics import ENDS, ENDS_NOT_APPLIED, FORECAST_ERROR_SECONDS
from papayapick.pool.workers.reports import EndOutcome

__all__ = ["EndHandler"]

_UNKNOWN = (EndEffect.UNKNOWN_JOB, EndEffect.UNKNOWN_TASK)


class EndHandler:
    """Apply listed ends, and log those that come too early or too late.

    Parameters
    ----------
    owner : PoolOwner
        Its lock must be held by the caller of every method.
    """

    __slots__ = ("_owner",)

    def __init__(self, owner):
        self._owner = owner

    def apply(self, link, end, now):
        """Apply an end to its task, job and room, and learn from it.

        Parameters
        ----------
        link : WorkerLink
        end : EndReport
        now : float
            Monotonic seconds.
        """
        room = self._owner.rooms.get(link.worker)
        # A kept end may be applied after its worker was removed.
        run = None if room is None else room.runs.get((end.key, end.attempt))
        step = self._owner.job_registry.listed_step(end.key)
        over = None if step is None else step.tasks[end.key.index].last_ended
        effect = self._owner.job_registry.end_run(
            end.key, end.attempt, end.outcome, end.checkpoint, link.worker, now
        )
        if effect == EndEffect.COUNTED_AS_OVER:
            self._log_given_up(step.tasks[end.key.index], over, end, link.worker, now)
        elif effect in _UNKNOWN:
            self._log_unknown(effect, end, link.worker, now)
        if run is not None:
            room.release(run)
            if step is not None and end.outcome == EndOutcome.DONE:
                self._note_done(step, run, now)
        ENDS.labels(end.outcome).inc()
        if room is not None:
            self._owner.run_monitor.note_end(step, run, end, room, now)
        if step is not None and end.outcome != EndOutcome.DONE:
            self._log_run_end(step, end, run, link.worker, now)

    def _log_unknown(self, effect, end, worker, now):
        reason = effect.value
        if self._owner.store_sync.is_refused(end.key.job):
            reason = "unreadable-job"
        ENDS_NOT_APPLIED.labels(reason).inc()
        END_NOT_APPLIED.write(
            **_end_fields(end, worker),
            reason=reason,
            epoch=self._owner.row.epoch,
            taken_seconds_ago=round(now - self._owner.taken_at, 3),
        )

    def _log_given_up(self, task, over, end, worker, now):
        """Log the end of a run that counted as over; ``over`` is its EndedRun."""
        ENDS_NOT_APPLIED.labels(EndEffect.COUNTED_AS_OVER.value).inc()
        END_OF_GIVEN_UP_RUN.write(
            **_end_fields(end, worker),
            over_reason=over.reason.value,
            over_for_seconds=round(now - over.counted_at, 3),
            active_workers=[run.worker for run in task.runs],
            epoch=self._owner.row.epoch,
        )

    def _note_done(self, step, run, now):
        """Compare a run that is done with what was expected, and learn from it."""
        knowledge = self._owner.knowledge
        expected = knowledge.task_times.expected_seconds(step)
        is_whole = run.shows_worker_speed and not run.is_resumed
        if knowledge.speeds.differ and is_whole and expected:
            expected /= knowledge.speeds.speed(run.worker)
            FORECAST_ERROR_SECONDS.observe(abs(run.worked_seconds(now) - expected))
        knowledge.task_times.note_done(step, run, now)

    @staticmethod
    def _log_run_end(step, end, run, worker, now):
        task = step.tasks[end.key.index]
        RUN_ENDED.write(
            **_end_fields(end, worker),
            failures=task.failures,
            failure_limit=step.job.queue.failure_limit,
            seconds=None if run is None else round(run.worked_seconds(now), 3),
            is_retried=not (step.job.is_final or task.is_done),
        )


def _end_fields(end, worker):
    """Return the fields that identify an end in a log event."""
    return {
        "request_id": end.key.job,
        "step": end.key.step,
        "task": end.key.index,
        "attempt": end.attempt,
        "worker": worker,
        "outcome": end.outcome,
    }
