"""Apply the reports of workers to an owner's jobs: runs, ends, missing answers."""

from papayapick.jobs.runs import RunPhase
from papayapick.placement.runs.pace import Pacer
from papayapick.placement.runs.progress import may_be_stalled
from papayapick.pool.metrics import REPORT_DELAY_SECONDS
from papayapick.pool.takeover.reconciliation import PREDECESSOR_LEASE_SECONDS
from papayapick.pool.workers.ends import EndHandler
from papayapick.pool.workers.events import (
    REPORT_DELAYED,
    RUN_FOUND,
    START_FOUND,
    WORKER_FENCED,
)
from papayapick.pool.workers.reports import run_fields
from papayapick.pool.workers.unknown_jobs import UnknownJobs

__all__ = ["WorkerReportHandler"]

# A report that waits longer than this is logged: what the owner decides meanwhile goes
# by older ones.
_LONG_DELAY_SECONDS = 0.05


class WorkerReportHandler:
    """Listen to the links to workers and keep the owner's jobs and rooms up to date.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_ends", "_owner", "_pacer", "_unknown_jobs")

    def __init__(self, owner):
        self._owner = owner
        self._pacer = Pacer()
        self._ends = EndHandler(owner)
        self._unknown_jobs = UnknownJobs(owner, self._ends.apply, self._adopt_run)

    def may_act(self):
        """Return whether leases may be renewed."""
        return self._owner.may_act()

    def needs_pacing(self, link):
        """Return whether a worker runs fillers beside tasks with a response time limit.

        The fillers are slowed down as needed so that the others keep their limits.
        """
        room = self._owner.rooms.get(link.worker)
        return room is not None and room.filler_runs and room.serving_runs

    def has_runs(self, link):
        """Return whether runs are active on a worker, as far as its reports tell."""
        room = self._owner.rooms.get(link.worker)
        return room is not None and bool(room.runs)

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
                link.log_dropped(report)
                return
            now = self._owner.now()
            self._note_delay(link, report, now - arrived_at)
            self._note_ends(link, report, arrived_at, now)
            if requested_at >= link.last_report_requested_at:
                link.last_report_requested_at = requested_at
                self._apply_runs(link, room, report, arrived_at, now)
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
            if not (link.has_listed_all or report.has_more_ends):
                link.has_listed_all = True
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

    def settle_unknown(self):
        """Apply or drop what was kept of unknown jobs; the caller holds the lock."""
        if self._unknown_jobs.settle(self._owner.now()):
            self._owner.orders.stop_unneeded()
            self._owner.journal.wake()

    def _note_ends(self, link, report, arrived_at, now):
        for end in report.ends:
            if end.number <= link.read:
                continue
            if self._unknown_jobs.must_keep_end(end.key.job, arrived_at):
                self._unknown_jobs.keep_end(link, end, arrived_at)
            else:
                self._ends.apply(link, end, now)
            # Not before: an end whose handling fails must not be acknowledged.
            link.read = end.number
        if report.has_more_ends:
            self._unknown_jobs.note_full_list(link)
        self._unknown_jobs.update_processed(link)

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
            if not link.has_listed_all and self._has_current_address(link):
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
        is_exact = self._owner.reconciliation.is_journal_exact
        return link.has_reported or link.is_listed or is_exact

    def update_availability(self, link):
        """Update whether tasks may be placed on a worker."""
        room = self._owner.rooms.get(link.worker)
        if room is not None:
            room.is_open = (
                link.has_reported
                and not link.is_silent
                and not link.order_refusals.are_recent
                and not link.registration.is_leaving
                and not room.is_draining
            )

    def _apply_runs(self, link, room, report, arrived_at, now):
        for found in report.runs:
            run = room.runs.get((found.key, found.attempt))
            if run is not None:
                self._note_listed(run, found, now)
            elif self._unknown_jobs.is_undecided(found.key.job, arrived_at):
                run = self._unknown_jobs.keep_run(link, found, arrived_at, now)
                self._note_listed(run, found, now)
            else:
                self._adopt_run(link, found, now)

    def _adopt_run(self, link, found, now):
        job_registry = self._owner.job_registry
        run = job_registry.adopt_run(found, link.worker, now)
        self._owner.rooms.get(link.worker).reserve(run)
        is_needed = run not in job_registry.to_stop
        RUN_FOUND.write(
            **run_fields(run),
            is_needed=is_needed,
            reason=None if is_needed else self._reason_to_stop(found.key.job),
            percent=found.percent,
        )
        self._note_listed(run, found, now)

    def _reason_to_stop(self, identifier):
        job = self._owner.job_registry.get(identifier)
        if job is None:
            return "unknown-job"
        return "job-over" if job.is_final else "task-done-or-elsewhere"

    def _note_listed(self, run, found, now):
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
