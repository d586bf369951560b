"""Run jobs on workers: all members at once or none."""

import base64
import json

from papayapick.journal import Ended, JournalError, JournalUnsettled, Started
from papayapick.ledger import Amounts, LedgerError
from papayapick.observability import get_logger
from papayapick.ownership import LeaseBook
from papayapick.platforms import (
    PlatformError,
    StaleEpoch,
    TaskRefused,
    WorkerUnreachable,
)

__all__ = ["JobRunner"]

_LOG = get_logger(__name__)
DONE, FAILED, UNKNOWN, NOT_RUN = "done", "failed", "unknown", "not_run"
_RETRY_SECONDS = 0.2
_ATTEMPTS = 3
# Clocks of workers and placers drift apart by at most this share.
_DRIFT = 0.02


class JobRunner:
    """Reserve all members, journal the places, start, renew and collect.

    Parameters
    ----------
    process : Process
    workers : WorkerClient
    desk : WorkDesk
    """

    __slots__ = ("_desk", "_leases", "_process", "_workers")

    def __init__(self, process, workers, desk):
        self._process = process
        self._workers = workers
        self._desk = desk
        self._leases = LeaseBook(
            process.clock, process.settings.task_lease_seconds, _DRIFT
        )

    def run(self, shard, item):
        """Start a job if all its members fit now; else put it back."""
        if item.ended is not None or shard.is_closed:
            return
        if self._process.clock.time() > item.accepted.deadline:
            self.end(shard, item, item.refusal, "work.deadline-over")
            return
        places = self._reserve(shard, item)
        if places is None:
            self._desk.enqueue(shard, item, _RETRY_SECONDS)
            return
        if self._journal_start(shard, item, places):
            self._start_members(shard, item)
        else:
            self._release(shard, places)

    def recover(self, shard, item):
        """Take over a started job: its inventory is in the ledger already."""

    def renew(self, shard):
        """Renew the leases of a shard's tasks and collect what has ended."""
        reports = {}
        for worker, tasks in self._running(shard).items():
            reports.update(self._renew_worker(shard, worker, tasks))
        for item in shard.book.items:
            if item.state == "running" and item.accepted.work == "job":
                self._collect(shard, item, reports)

    def end(self, shard, item, outcome, detail="", results=None):
        """Journal the outcome of a job and answer those who wait for it."""
        body = json.dumps(results or {})
        ended = Ended(
            item.request_id,
            outcome,
            self._process.clock.time(),
            status=200 if outcome == DONE else 0,
            content_type="application/json",
            result=_text_of(body),
            detail=detail,
        )
        try:
            entry = shard.journal.append(ended, must_last=True)
        except JournalError:
            return
        entry.settled.add_done_callback(lambda done: self._desk.finish(item))

    def _reserve(self, shard, item):
        demand = Amounts.from_mapping(item.accepted.job["demand"])
        members = item.accepted.job["members"]
        attempt = item.attempts + 1
        places = []
        for number in range(members):
            task = f"{item.request_id}.{attempt}.{number}"
            name = shard.hosts.tightest(demand)
            if name is None:
                self._release(shard, places)
                return None
            shard.hosts.reserve(name, task, demand)
            places.append({"host": name, "task": task})
        return places

    @staticmethod
    def _release(shard, places):
        for place in places:
            try:
                shard.hosts.release(place["task"])
            except LedgerError:
                # A task that the inventory did not find holds nothing.
                continue

    def _journal_start(self, shard, item, places):
        started = Started(
            item.request_id, item.attempts + 1, places, self._process.clock.time()
        )
        try:
            entry = shard.journal.append(started)
            entry.written.result()
        except JournalUnsettled:
            entry.settled.add_done_callback(
                lambda done: self._desk.enqueue(shard, item, _RETRY_SECONDS)
            )
            return False
        except JournalError:
            self._desk.enqueue(shard, item, _RETRY_SECONDS)
            return False
        return item.ended is None and item.started == started

    def _start_members(self, shard, item):
        # From here on a member may run, whatever becomes of the others.
        item.may_have_run = True
        demand = item.accepted.job["demand"]
        lease = self._process.settings.task_lease_seconds
        work = item.accepted.job.get("work", {})
        for task in _tasks(item):
            self._leases.note_start(task)
        for place in item.started.places:
            entry = shard.entries[place["host"]]
            self._leases.note_start(place["task"])
            try:
                self._workers.start(
                    entry, shard.epoch, place["task"], demand, lease, work
                )
            except (StaleEpoch, TaskRefused, WorkerUnreachable) as error:
                _LOG.info("member not started", extra={"error": str(error)})
                self._give_up(shard, item)
                return

    def _running(self, shard):
        found = {}
        for item in shard.book.items:
            if item.state == "running" and item.accepted.work == "job":
                for place in item.started.places:
                    found.setdefault(place["host"], []).append(place["task"])
        return found

    def _renew_worker(self, shard, worker, tasks):
        entry = shard.entries.get(worker)
        if entry is None:
            return {}
        try:
            reports = self._renew_or_ask(entry, shard.epoch, tasks)
        except PlatformError:
            return {}
        self._leases.note_answer(tasks)
        return {report.task: report for report in reports}

    def _renew_or_ask(self, entry, epoch, tasks):
        if self._leases.are_silent(tasks):
            # Each renewal may reach the worker and be answered into the void;
            # only once they end can the lease be known to be over. A fence
            # tells whether the worker is back and prolongs nothing.
            return self._workers.fence(entry, epoch)
        self._leases.note_renewal(tasks)
        lease = self._process.settings.task_lease_seconds
        return self._workers.renew(entry, epoch, tasks, lease)

    def _collect(self, shard, item, reports):
        found = [reports.get(place["task"]) for place in item.started.places]
        if all(report and report.state == "done" for report in found):
            self._release(shard, item.started.places)
            self._leases.forget(_tasks(item))
            results = {report.task: report.result for report in found}
            self.end(shard, item, DONE, results=results)
            return
        bad = [one for one in found if one and one.state in ("failed", "lapsed")]
        if bad or None in found and self._leases_are_over(item):
            self._give_up(shard, item)

    def _leases_are_over(self, item):
        return self._leases.are_over(_tasks(item))

    def _give_up(self, shard, item):
        # No member may run on while the others are started elsewhere: a stop
        # that is not confirmed is waited for until the lease is over.
        if not self._stop_all(shard, item) and not self._leases_are_over(item):
            return
        self._release(shard, item.started.places)
        if item.accepted.repeatable and item.attempts < _ATTEMPTS:
            self._desk.enqueue(shard, item, _RETRY_SECONDS)
        else:
            self.end(shard, item, FAILED, "work.member-failed")

    def _stop_all(self, shard, item):
        confirmed = True
        for place in item.started.places:
            entry = shard.entries.get(place["host"])
            if entry is None:
                confirmed = False
                continue
            try:
                self._workers.stop(entry, shard.epoch, [place["task"]])
            except PlatformError:
                confirmed = False
        return confirmed


def _tasks(item):
    return [place["task"] for place in item.started.places]


def _text_of(body):
    return base64.b64encode(body.encode()).decode()
