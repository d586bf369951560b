"""Run jobs on workers, starting either all members of a job or none."""

import base64
import json

from papayapick.clients import PlatformError
from papayapick.journal import Ended, JournalError, JournalUnsettled, Started
from papayapick.ledger import Amounts
from papayapick.observability import get_logger
from papayapick.placement.requests import Place, RunningJob, WaitingJob
from papayapick.placer.members import JobMembers, in_parallel
from papayapick.placer.outcomes import journal_outcome

__all__ = ["JobRunner"]

_LOG = get_logger(__name__)
DONE, FAILED = "done", "failed"
_URGENT = "urgent"
_RETRY_SECONDS = 0.2
# Task states that are not an outcome of the work: the lease expired, or a former
# owner stopped some members before it was replaced.
_ENDED_EARLY = ("lapsed", "stopped", "checkpointed")
_DEFAULT_RUN_SECONDS = 3600.0


class JobRunner:
    """Queue jobs, journal and start those that fit, and collect their results.

    Parameters
    ----------
    process : Process
    workers : WorkerClient
    dispatcher : WorkDispatcher
    """

    __slots__ = ("_dispatcher", "_members", "_process")

    def __init__(self, process, workers, dispatcher):
        self._process = process
        self._dispatcher = dispatcher
        self._members = JobMembers(process, workers)

    def run(self, shard, item):
        """Queue a job and start the queued jobs that fit now."""
        if item.ended is not None or shard.is_closed:
            return
        shard.jobs.add(self._waiting_job(shard, item))
        self.start_waiting(shard)

    def recover(self, shard, item):
        """Take over a job that a former owner started.

        Its tasks were added to the ledger when the workers were fenced.
        """
        job = self._waiting_job(shard, item)
        places = [Place(place["host"], place["task"]) for place in item.started.places]
        running = RunningJob(job, places, item.started.time + job.run_seconds)
        running.last_report_at = self._process.clock.monotonic()
        shard.jobs.adopt(running)

    def renew(self, shard):
        """Renew the leases of a shard's tasks and end the jobs that have finished."""
        jobs = shard.jobs.running
        reports = self._members.renew(shard, jobs)

        def settle(running):
            self._settle(shard, running, reports)

        in_parallel(self._process.executor, settle, jobs)
        shard.failures.readmit_due(self._process.clock.time())
        self._process.executor.submit(self.start_waiting, shard)

    def _settle(self, shard, running, reports):
        item = shard.work_index.get(running.job.name)
        if item.started is None or item.ended is not None:
            return
        if running.is_given_up:
            self._give_up(shard, item, running)
        elif not running.is_pausing:
            self._collect(shard, item, running, reports)

    def start_waiting(self, shard):
        """Start the waiting jobs that the queue selects, and pause jobs for others."""
        if shard.is_closed or shard.is_handing_over:
            return
        now = self._process.clock.time()
        shard.jobs.use_bundle(self._process.watcher.bundle)
        for name in shard.jobs.take_overdue(now):
            self._end_overdue(shard, shard.work_index.get(name))
        starts = self._choose_starts(shard, now)
        # All starts are journaled before any is waited for, so that they share a
        # segment and thus one write.
        entries = [(start, self._journal_start(shard, start)) for start in starts]

        def start_one(journaled):
            start, entry = journaled
            if entry is not None and self._wait_until_durable(shard, start, entry):
                self._start_members(shard, shard.work_index.get(start.job.name), start)

        in_parallel(self._process.executor, start_one, entries)
        for running in shard.jobs.choose_pauses(now):
            self._process.executor.submit(self._pause, shard, running)

    @staticmethod
    def _choose_starts(shard, now):
        def is_ended(name):
            return shard.work_index.get(name).ended is not None

        starts = shard.jobs.choose_starts(now)
        name = shard.jobs.promised
        if name is not None and is_ended(name):
            # The job with the reservation was cancelled, so its room is free for
            # others. All cancelled jobs are removed together, since one pass over the
            # queue for each would delay all other decisions of the process.
            shard.jobs.discard_where(is_ended)
            starts += shard.jobs.choose_starts(now)
        return starts

    def end(self, shard, item, outcome, detail="", results=None):
        """Journal the outcome of a job and answer the callers that wait for it."""
        body = json.dumps(results or {})
        ended = Ended(
            item.request_id,
            outcome,
            self._process.clock.time(),
            status=200 if outcome == DONE else 0,
            content_type="application/json",
            result=_base64_of(body),
            detail=detail,
        )
        shard.failures.forget(item.request_id)
        journal_outcome(self._dispatcher, shard, item, ended)

    def _waiting_job(self, shard, item):
        policy = self._process.watcher.bundle.jobs.get(item.accepted.name)
        is_urgent = policy is not None and policy.urgency == _URGENT
        declared = Amounts.from_mapping(item.accepted.job["demand"])
        return WaitingJob(
            item.request_id,
            shard.estimates.estimate(item.accepted.name, declared),
            item.accepted.job["members"],
            policy.run_seconds if policy else _DEFAULT_RUN_SECONDS,
            self._process.clock.time(),
            item.accepted.deadline,
            is_urgent,
            can_pause=item.accepted.repeatable and not is_urgent,
            team=policy.team if policy else "",
            attempt=item.attempts + 1,
            avoid=shard.failures.hosts_to_avoid(item.request_id),
        )

    def _end_overdue(self, shard, item):
        if item.ended is not None:
            return
        self.end(shard, item, item.refusal_outcome, "work.deadline-over")

    def _journal_start(self, shard, start):
        item = shard.work_index.get(start.job.name)
        if item.ended is not None:
            shard.jobs.finish(item.request_id)
            return None
        places = [{"host": place.host, "task": place.task} for place in start.places]
        now = self._process.clock.time()
        started = Started(item.request_id, start.job.attempt, places, now)
        try:
            return shard.journal.append(started)
        except JournalError:
            self._requeue(shard, item)
            return None

    def _wait_until_durable(self, shard, start, entry):
        item = shard.work_index.get(start.job.name)
        try:
            entry.written.result()
        except JournalUnsettled:
            shard.jobs.finish(item.request_id)
            entry.settled.add_done_callback(
                lambda done: self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)
            )
            return False
        except JournalError:
            self._requeue(shard, item)
            return False
        if item.ended is None and item.started == entry.record:
            return True
        # A cancellation precedes the start in the journal.
        shard.jobs.finish(item.request_id)
        return False

    def _requeue(self, shard, item):
        shard.jobs.finish(item.request_id)
        self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)

    def _start_members(self, shard, item, running):
        # From here on a member may run, even if the start of another one fails.
        item.may_have_run = True
        work = item.accepted.job.get("work", {})
        refused_by = self._members.start(shard, running, work)
        if refused_by is not None:
            _LOG.info("member not started", extra={"host": refused_by})
            now = self._process.clock.time()
            shard.failures.note_refusal(refused_by, item.request_id, now)
            self._give_up(shard, item, running)

    def _pause(self, shard, running):
        item = shard.work_index.get(running.job.name)
        try:
            self._members.checkpoint(shard, running)
        except PlatformError as error:
            # Some members may still run. The job is given up and, if it is
            # repeatable, run again from its start.
            _LOG.info("job not paused", extra={"error": str(error)})
            self._give_up(shard, item, running)
            return
        self._queue_paused(shard, item, running)

    def _queue_paused(self, shard, item, running):
        self._members.forget(running)
        shard.jobs.finish(item.request_id)
        shard.jobs.add(running.job.requeued())
        self._process.executor.submit(self.start_waiting, shard)

    def _collect(self, shard, item, running, reports):
        reported = [reports.get(place.task) for place in running.places]
        if all(report and report.state == "done" for report in reported):
            for place, report in zip(running.places, reported, strict=True):
                shard.failures.note_success(place.host)
                if report.usage:
                    used = Amounts.from_mapping(report.usage)
                    shard.estimates.observe(item.accepted.name, used)
            shard.jobs.finish(item.request_id)
            self._members.forget(running)
            results = {report.task: report.result for report in reported}
            self.end(shard, item, DONE, results=results)
            return
        if all(report and report.state == "checkpointed" for report in reported):
            # A former owner paused the job and was replaced before it queued the
            # job again.
            self._queue_paused(shard, item, running)
            return
        now = self._process.clock.time()
        failed = [
            place.host
            for place, report in zip(running.places, reported, strict=True)
            if report and report.state == "failed"
        ]
        for host in failed:
            shard.failures.note_failure(host, item.request_id, now)
        lapsed = any(report and report.state in _ENDED_EARLY for report in reported)
        if failed or lapsed:
            self._give_up(shard, item, running)
        elif self._members.is_silent(running):
            for place, report in zip(running.places, reported, strict=True):
                if report is None:
                    shard.failures.note_refusal(place.host, item.request_id, now)
            self._give_up(shard, item, running)
        elif now > running.end:
            # A run beyond its upper bound would delay the job for which its room
            # is reserved.
            self._give_up(shard, item, running, "work.run-time-over")

    def _give_up(self, shard, item, running, detail=""):
        # No member may still run when the job is started again elsewhere. Until all
        # members have ended, the job holds its room and its leases are no longer
        # renewed.
        running.is_given_up = True
        if not self._members.stop(shard, running):
            return
        self._members.forget(running)
        shard.jobs.finish(item.request_id)
        if detail:
            self.end(shard, item, FAILED, detail)
        elif not item.accepted.repeatable:
            self.end(shard, item, FAILED, "work.member-failed")
        elif shard.failures.fails_everywhere(item.request_id):
            self.end(shard, item, FAILED, "work.fails-everywhere")
        else:
            self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)


def _base64_of(body):
    return base64.b64encode(body.encode()).decode()
