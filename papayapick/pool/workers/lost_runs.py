"""Runs that end, or never began, without an end that their worker lists."""

from papayapick.jobs.runs import RequeueReason, RunPhase
from papayapick.pool.workers.events import RUN_NEVER_STARTED, RUN_VANISHED, RUNS_LOST
from papayapick.pool.workers.leases import LATE_CALL_SECONDS
from papayapick.pool.workers.reports import EndOutcome, run_fields

__all__ = ["LostRuns"]


class LostRuns:
    """Infer from reports, leases and the list of machines which runs have ended.

    Parameters
    ----------
    owner : PoolOwner
        Its lock must be held by the caller of every method.
    """

    __slots__ = ("_owner",)

    def __init__(self, owner):
        self._owner = owner

    def drop_vanished(self, room, report, requested_at, now):
        """Treat runs as lapsed that a worker confirmed earlier and no longer lists.

        Reports requested on two connections may overtake each other. An old one then
        adds a run again whose end was processed already, and its task would wait for
        another end for ever. The caller skips this while the worker has more ends to
        list: one of them may say that the run is done, and it would run again.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            if run.ran_before(requested_at) and run.name not in listed:
                RUN_VANISHED.write(
                    **run_fields(run),
                    epoch=self._owner.row.epoch,
                    requested_seconds_ago=round(now - requested_at, 3),
                )
                self._end_inferred(room, run, RequeueReason.VANISHED, now)

    def drop_never_started(self, room, report, requested_at, now):
        """Release runs that were stopped before they started.

        A worker that has confirmed a stop refuses a later start of the run. If a report
        requested after the confirmation lists neither the run nor its end, the run
        never started. The caller skips this while the worker has more ends to list: the
        run may have ended as done.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            confirmed = run.stop_confirmed
            if confirmed is None or confirmed > requested_at or run.name in listed:
                continue
            RUN_NEVER_STARTED.write(
                **run_fields(run),
                epoch=self._owner.row.epoch,
                requested_seconds_ago=round(now - requested_at, 3),
            )
            room.release(run)
            self._owner.job_registry.drop_run(run, now, RequeueReason.NEVER_STARTED)

    def _end_inferred(self, room, run, reason, now):
        """End a run without an end that its worker listed."""
        room.release(run)
        self._owner.job_registry.end_run(
            run.key, run.attempt, EndOutcome.LAPSED, "", run.worker, now, reason
        )

    def mark_started(self, link):
        """Mark the runs that had started on a worker as lost, since it is gone.

        A start order without an answer may still be executed, also by a restarted
        worker under the same id: such a run is kept until its lease has expired.
        """
        self._mark_lost(link, "no such worker", lambda run: run.has_begun)

    def mark_all(self, link, reason):
        """Mark all runs of a worker as lost, since none of them can still run."""
        self._mark_lost(link, reason, lambda run: True)

    def mark_lapsed(self, link, now):
        """Mark the runs of a silent worker as lost, since all its leases are over.

        A start without an answer is kept while it may still be executed. The worker
        may have restarted under its id, unseen, with its clock set back: the end of the
        lease that the order names is far away there, and the task would run twice.
        """
        self._mark_lost(link, "lease over", lambda run: not _may_start_late(run, now))

    def _mark_lost(self, link, reason, is_lost):
        room = self._owner.rooms.get(link.worker)
        if room is None:
            return
        now = self._owner.now()
        lost = [run for run in room.runs.values() if is_lost(run)]
        if lost:
            RUNS_LOST.write(
                worker=link.worker,
                runs=len(lost),
                request_ids=sorted({run.key.job for run in lost}),
                silent_seconds=round(now - (link.failed_since or now), 3),
                reason=reason,
                epoch=self._owner.row.epoch,
                lapse_in_seconds=round(link.lease.lapse_at - now, 3),
                answered_seconds_ago=round(now - link.answered_at, 3),
                is_leaving=link.registration.is_leaving,
            )
        for run in lost:
            self._end_inferred(room, run, RequeueReason.LOST, now)
        self._owner.orders.stop_unneeded()

    def mark_for_restart(self, link, reason, listed, requested_at):
        """Mark the runs of a restarted worker as lost, but for starts on their way.

        A call names the id of the worker, which it keeps, so that its new incarnation
        may execute such an order after it has made the report. Placed again at once,
        the task would run twice. The report requested next shows whether a confirmed
        run goes on; an unanswered start is stopped at the new incarnation first.

        Parameters
        ----------
        link : WorkerLink
        reason : str
        listed : set of tuple
            Names of the runs that the report of the new incarnation has.
        requested_at : float or None
            Monotonic seconds at which that report was requested. None if another
            worker answers, which refuses all orders.
        """
        if requested_at is None:
            self.mark_all(link, reason)
            return
        self._mark_lost(
            link,
            reason,
            lambda run: (
                run.name not in listed and not _is_on_its_way(run, requested_at)
            ),
        )
        self._repeat_stops(link)

    def _repeat_stops(self, link):
        """Send stops again, which bind only the incarnation that confirmed them."""
        room = self._owner.rooms.get(link.worker)
        for run in () if room is None else room.runs.values():
            if run.phase in (RunPhase.UNSURE, RunPhase.STOPPING):
                run.phase = RunPhase.STOPPING
                run.stop_requested = self._owner.now()
                run.stop_confirmed = None
                self._owner.orders.stop(link, run)


def _may_start_late(run, now):
    """Return whether a start without an answer may still be executed."""
    if run.has_begun or run.start_confirmed_at is not None or run.since is None:
        return False
    return now < run.since + LATE_CALL_SECONDS


def _is_on_its_way(run, requested_at):
    """Return whether a start may be executed after a report was requested."""
    is_sent = run.since is not None
    return is_sent and not run.ran_before(requested_at)
