"""Apply the reports of workers to an owner's jobs: runs, ends, missing answers."""

from papayapick.jobs.outcomes import EndEffect
from papayapick.jobs.runs import RunPhase
from papayapick.placement.pace import Pacer
from papayapick.placement.progress import may_be_stalled
from papayapick.pool.events import END_NOT_APPLIED, END_OF_GIVEN_UP_RUN, RUN_ENDED
from papayapick.pool.metrics import (
    ENDS,
    ENDS_NOT_APPLIED,
    FORECAST_ERROR_SECONDS,
    REPORT_DELAY_SECONDS,
)
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from papayapick.pool.workers.events import (
    REPORT_DELAYED,
    RUN_FOUND,
    START_FOUND,
    WORKER_FENCED,
)
from papayapick.pool.workers.reports import EndOutcome, run_fields

__all__ = ["WorkerReportHandler"]

# A report that waits longer than this is logged: what the owner decides meanwhile goes
# by older ones.
_LONG_DELAY_SECONDS = 0.05
_UNKNOWN = (EndEffect.UNKNOWN_JOB, EndEffect.UNKNOWN_TASK)


class WorkerReportHandler:
    """Listen to the links to workers and keep the owner's jobs and rooms up to date.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_owner", "_pacer")

    def __init__(self, owner):
        self._owner = owner
        self._pacer = Pacer()

    def may_act(self):
        """Return whether leases may be renewed."""
        return self._owner.may_act()

    def needs_pacing(self, link):
        """Return whether a worker runs fillers beside tasks with a response time limit.

        The fillers are slowed down as needed so that the others keep their limits.
        """
        room = self._owner.rooms.get(link.worker)
        return room is not None and room.filler_runs and room.serving_runs

    def may_have_stalled_run(self, link):
        """Return whether a run of a worker may have stalled."""
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            return room is not None and may_be_stalled(room.runs.values())

    def note_report(self, link, report, requested_at):
        """Apply a worker's lists of runs and ends.

        Parameters
        ----------
        link : WorkerLink
        report : WorkerReport
        requested_at : float
            Monotonic seconds at which the report was requested; it reflects everything
            that the worker confirmed before.
        """
        arrived_at = self._owner.now()
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            if room is None or self._is_of_other_incarnation(link, report):
                return
            now = self._owner.now()
            self._note_delay(link, report, now - arrived_at)
            for end in report.ends:
                if end.number > link.processed:
                    self._apply_end(link, room, end, now)
            if requested_at >= link.last_report_requested_at:
                link.last_report_requested_at = requested_at
                self._apply_runs(link, room, report, now)
                if not report.has_more_ends:
                    self._owner.lost_runs.drop_vanished(room, report, requested_at, now)
            if not link.has_reported:
                link.has_reported = True
                self._owner.kinds.note_incarnation(link, report.born)
                self._owner.knowledge.speeds.note_incarnation(link.worker, report.born)
                # Runs that an earlier owner started there are covered by its lease.
                link.lease.extend_to(self._owner.taken_at + PREDECESSOR_LEASE_SECONDS)
                # A late call of an earlier owner to the worker's previous incarnation
                # may have lengthened the lease to the maximum. From this report on,
                # the worker refuses such calls.
                link.lease.note_longest(now)
                self._owner.reconciliation.release_safe_tasks(now)
            self.update_availability(link)
            if not report.has_more_ends:
                self._owner.lost_runs.drop_never_started(
                    room, report, requested_at, now
                )
            for run, percent in self._pacer.decide(room, now):
                self._owner.orders.pace(link, run, percent)
            self._owner.orders.stop_unneeded()
            has_ends = link.processed > link.acknowledged
        self._owner.wake()
        if has_ends or self._owner.job_registry.changed:
            self._owner.journal.wake()

    def _note_delay(self, link, report, seconds):
        REPORT_DELAY_SECONDS.observe(seconds)
        if seconds > _LONG_DELAY_SECONDS:
            REPORT_DELAYED.write(
                worker=link.worker,
                ends=len(report.ends),
                seconds=round(seconds, 3),
                epoch=self._owner.row.epoch,
            )

    @staticmethod
    def _is_of_other_incarnation(link, report):
        """Return whether a report is of another incarnation than the current one.

        A report requested by ``WorkerLink.refresh`` may wait for the lock while the
        link finds that the worker restarted. The restarted worker numbers its ends from
        the start; the old report's last number would mark them as processed already.
        """
        return link.born is not None and report.born != link.born

    def note_silence(self, link):
        """Place no more tasks on a worker that did not answer."""
        with self._owner.lock:
            self.update_availability(link)

    def note_fenced(self, link):
        """Check the ownership of the pool, as a worker has seen a newer epoch."""
        WORKER_FENCED.write(worker=link.worker, epoch=self._owner.row.epoch)
        self._owner.ownership_status.invalidate()
        self._owner.host.verify_ownership(self._owner)

    def note_restart(self, link, born, listed=frozenset(), requested_at=None):
        """Mark the runs of a restarted worker as lost and track its new incarnation.

        Parameters
        ----------
        link : WorkerLink
        born : int or None
            New incarnation; None if another worker answers at the address.
        listed : set of tuple, optional
            Names of the runs, ended ones included, that the new incarnation has
            started. If they were marked as lost before its report is applied, they
            would be placed again and run twice.
        requested_at : float, optional
            Monotonic seconds at which the report of the new incarnation was requested.
            By default no run is kept, as another worker answers: it refuses all orders.
        """
        with self._owner.lock:
            reason = "other worker at its address" if born is None else "began anew"
            self._owner.lost_runs.mark_for_restart(link, reason, listed, requested_at)
            link.begin_incarnation(born)
            self._owner.kinds.note_incarnation(link, born)
            self._owner.knowledge.speeds.note_incarnation(link.worker, born)
            if not link.has_reported and self._has_current_address(link):
                self._owner.reconciliation.note_worker_gone(
                    link.worker, self._owner.now(), reason
                )
        self._owner.wake()

    def _has_current_address(self, link):
        """Return whether the address is the last one that the worker had.

        The recorded one of a worker without an entry may be older than starts that an
        earlier owner sent without a record. If the worker has moved since, another
        one at that address doesn't show that its runs have ended.
        """
        return link.is_listed or self._owner.reconciliation.is_journal_exact

    def update_availability(self, link):
        """Update whether tasks may be placed on a worker."""
        room = self._owner.rooms.get(link.worker)
        if room is not None:
            room.is_open = (
                link.has_reported
                and not link.is_silent
                and not link.registration.is_leaving
                and not room.is_draining
            )

    def _apply_end(self, link, room, end, now):
        run = room.runs.get((end.key, end.attempt))
        step = self._owner.job_registry.step(end.key)
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
        link.processed = end.number
        ENDS.labels(end.outcome).inc()
        self._owner.run_monitor.note_end(step, run, end, room, now)
        if step is not None and end.outcome != EndOutcome.DONE:
            self._log_run_end(step, end, run, link.worker, now)

    def _log_unknown(self, effect, end, worker, now):
        ENDS_NOT_APPLIED.labels(effect.value).inc()
        END_NOT_APPLIED.write(
            **_end_fields(end, worker),
            reason=effect.value,
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

    def _apply_runs(self, link, room, report, now):
        for found in report.runs:
            run = room.runs.get((found.key, found.attempt))
            if run is None:
                run = self._owner.job_registry.adopt_run(found, link.worker, now)
                room.reserve(run)
                RUN_FOUND.write(
                    **run_fields(run),
                    is_needed=run not in self._owner.job_registry.to_stop,
                    percent=found.percent,
                )
            if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
                if run.phase == RunPhase.UNSURE:
                    START_FOUND.write(**run_fields(run))
                self._owner.job_registry.note_started(run)
            run.was_listed, run.was_listed_again = True, run.was_listed
            if run.percent != found.percent:
                run.progressed_at = now
            run.percent, run.percent_at = found.percent, now
            run.measurement = found.measurement
            if found.checkpoint != run.checkpoint:
                run.checkpoint = found.checkpoint
                self._owner.job_registry.note_checkpoint(run)


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
