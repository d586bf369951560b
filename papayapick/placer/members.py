"""Start, renew, checkpoint and stop the members of jobs on their workers."""

from papayapick.clients import PlatformError
from papayapick.ledger import Amounts
from papayapick.ownership import LeaseBook

__all__ = ["JobMembers", "in_parallel"]

# Calls of workers under way at once; the executor serves peers as well.
_CALLS = 32
# Clocks of workers and placers drift apart by at most this share.
_DRIFT = 0.02


class JobMembers:
    """Call the workers of a job, and know when their leases are over.

    Parameters
    ----------
    process : Process
    workers : WorkerClient
    """

    __slots__ = ("_clock", "_executor", "_lease_seconds", "_leases", "_workers")

    def __init__(self, process, workers):
        self._clock = process.clock
        self._executor = process.executor
        self._workers = workers
        self._lease_seconds = process.settings.task_lease_seconds
        self._leases = LeaseBook(self._clock, self._lease_seconds, _DRIFT)

    def start(self, shard, running, work):
        """Start all members, one after the other.

        Parameters
        ----------
        shard : Shard
        running : RunningJob
        work : dict

        Returns
        -------
        str or None
            The host that did not take its member; the others may run.
        """
        job = running.job
        demand = job.demand.as_mapping()
        running.last_report_at = self._clock.monotonic()
        for task in running.tasks:
            self._leases.note_start(task)
        for number, place in enumerate(running.places):
            found = dict(work)
            if job.checkpoints:
                found["checkpoint"] = job.checkpoints[number]
            entry = shard.entries[place.host]
            self._leases.note_start(place.task)
            try:
                self._workers.start(
                    entry, shard.epoch, place.task, demand, self._lease_seconds, found
                )
            except PlatformError:
                return place.host
        return None

    def renew(self, shard, jobs):
        """Renew the leases of jobs that are not given up.

        Workers are called side by side: those of a rack that went answer only
        after a timeout each, and one after the other they would outlast the leases
        of all other workers.

        Returns
        -------
        dict of str to TaskReport
            By task; a worker that did not answer is missing.
        """
        reports = {}

        def renew_worker(found):
            worker, tasks = found
            reports.update(self._renew_worker(shard, worker, tasks))

        calls = list(_tasks_by_worker(jobs).items())
        in_parallel(self._executor, renew_worker, calls)
        for running in jobs:
            if all(task in reports for task in running.tasks):
                running.last_report_at = self._clock.monotonic()
            for task in running.tasks:
                self._note_use(shard, reports.get(task))
        return reports

    def checkpoint(self, shard, running):
        """Save and stop all members.

        Raises
        ------
        PlatformError
            Some may run on.
        """
        for place in running.places:
            entry = shard.entries[place.host]
            self._workers.checkpoint(entry, shard.epoch, [place.task])

    def stop(self, shard, running):
        """Stop all members; return whether none runs any more.

        Where a stop is not confirmed, the lease must be over, counted from its
        last renewal. Counted from the start, the task of a worker that was cut off
        would still run under the lease it was given last.
        """
        confirmed = True
        for place in running.places:
            entry = shard.entries.get(place.host)
            if entry is None:
                confirmed = False
                continue
            try:
                self._workers.stop(entry, shard.epoch, [place.task])
            except PlatformError:
                confirmed = False
        return confirmed or self._leases.are_over(running.tasks)

    def is_silent(self, running):
        """Return whether some member was not heard of for a whole lease."""
        bound = running.last_report_at + self._lease_seconds * (1 + _DRIFT)
        return self._clock.monotonic() > bound

    def forget(self, running):
        """Drop the leases of a job none of whose members runs."""
        self._leases.forget(running.tasks)

    @staticmethod
    def _note_use(shard, report):
        if report is not None and report.is_running and report.usage:
            shard.hosts.grow(report.task, Amounts.from_mapping(report.usage))

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
        return self._workers.renew(entry, epoch, tasks, self._lease_seconds)


def in_parallel(executor, call, items):
    """Call with each item, at most 32 at once; return when all are done.

    Parameters
    ----------
    executor : concurrent.futures.Executor
    call : callable
    items : list
    """

    def call_each(part):
        for item in part:
            call(item)

    parts = [items[start::_CALLS] for start in range(min(_CALLS, len(items)))]
    futures = [executor.submit(call_each, part) for part in parts]
    for future in futures:
        future.result()


def _tasks_by_worker(jobs):
    found = {}
    for running in jobs:
        for place in running.places if not running.is_given_up else ():
            found.setdefault(place.host, []).append(place.task)
    return found
