"""Call workers to start, renew, checkpoint and stop the members of jobs."""

from papayapick.clients import PlatformError
from papayapick.ledger import Amounts
from papayapick.ownership import LeaseTracker

__all__ = ["JobMembers", "in_parallel"]

# Concurrent calls to workers; the executor's threads also serve peers.
_PARALLEL_CALLS = 32
# Largest relative drift between the clocks of workers and placers.
_CLOCK_DRIFT = 0.02


class JobMembers:
    """Call the workers of a job and track the leases of its tasks.

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
        self._leases = LeaseTracker(self._clock, self._lease_seconds, _CLOCK_DRIFT)

    def start(self, shard, running, work):
        """Start the members sequentially, up to the first failure.

        Parameters
        ----------
        shard : Shard
        running : RunningJob
        work : dict
            Description of the work that each worker receives.

        Returns
        -------
        str or None
            The host whose start call failed; its member and those started before
            may be running. None if all members were started.
        """
        job = running.job
        demand = job.demand.as_mapping()
        running.last_report_at = self._clock.monotonic()
        for task in running.tasks:
            self._leases.note_start(task)
        for index, place in enumerate(running.places):
            task_work = dict(work)
            if job.checkpoints:
                task_work["checkpoint"] = job.checkpoints[index]
            entry = shard.entries[place.host]
            self._leases.note_start(place.task)
            try:
                self._workers.start(
                    entry,
                    shard.epoch,
                    place.task,
                    demand,
                    self._lease_seconds,
                    task_work,
                )
            except PlatformError:
                return place.host
        return None

    def renew(self, shard, jobs):
        """Renew the leases of jobs that are not given up.

        Workers are called concurrently. If a rack fails, each of its workers
        answers only by a timeout, and sequential calls would take longer than the
        leases of all other workers.

        Returns
        -------
        dict of str to TaskReport
            Reports by task; tasks of workers that did not answer are missing.
        """
        reports = {}

        def renew_worker(call):
            worker, tasks = call
            reports.update(self._renew_worker(shard, worker, tasks))

        calls = list(_tasks_by_worker(jobs).items())
        in_parallel(self._executor, renew_worker, calls)
        for running in jobs:
            if all(task in reports for task in running.tasks):
                running.last_report_at = self._clock.monotonic()
            for task in running.tasks:
                self._apply_usage(shard, reports.get(task))
        return reports

    def checkpoint(self, shard, running):
        """Checkpoint and stop all members.

        Raises
        ------
        PlatformError
            Some members may still run.
        """
        for place in running.places:
            entry = shard.entries[place.host]
            self._workers.checkpoint(entry, shard.epoch, [place.task])

    def stop(self, shard, running):
        """Stop all members; return whether it is certain that none runs.

        If a worker does not confirm the stop, the lease must have expired, counted
        from its last renewal. Counted from the start, the lease would seem to have
        expired while the task of an unreachable worker still runs under the last
        renewal.
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
        return confirmed or self._leases.have_expired(running.tasks)

    def is_silent(self, running):
        """Return whether some member was not reported for a whole lease."""
        lease_end = running.last_report_at + self._lease_seconds * (1 + _CLOCK_DRIFT)
        return self._clock.monotonic() > lease_end

    def forget(self, running):
        """Drop the leases of a job that has no running member."""
        self._leases.remove(running.tasks)

    @staticmethod
    def _apply_usage(shard, report):
        if report is not None and report.is_running and report.usage:
            shard.hosts.grow(report.task, Amounts.from_mapping(report.usage))

    def _renew_worker(self, shard, worker, tasks):
        entry = shard.entries.get(worker)
        if entry is None:
            return {}
        try:
            reports = self._renew_or_fence(entry, shard.epoch, tasks)
        except PlatformError:
            return {}
        self._leases.note_answer(tasks)
        return {report.task: report for report in reports}

    def _renew_or_fence(self, entry, epoch, tasks):
        if self._leases.has_unanswered(tasks):
            # Each renewal may reach the worker while its answer is lost, so the
            # lease can be known to have expired only after renewals stop. A fence
            # call shows whether the worker is reachable and extends no lease.
            return self._workers.fence(entry, epoch)
        self._leases.note_renewal(tasks)
        return self._workers.renew(entry, epoch, tasks, self._lease_seconds)


def in_parallel(executor, call, items):
    """Call a function with each item, at most 32 concurrently, and wait for all.

    Parameters
    ----------
    executor : concurrent.futures.Executor
    call : callable
        Called with one item.
    items : list
    """

    def call_each(part):
        for item in part:
            call(item)

    parts = [
        items[start::_PARALLEL_CALLS]
        for start in range(min(_PARALLEL_CALLS, len(items)))
    ]
    futures = [executor.submit(call_each, part) for part in parts]
    for future in futures:
        future.result()


def _tasks_by_worker(jobs):
    by_worker = {}
    for running in jobs:
        for place in running.places if not running.is_given_up else ():
            by_worker.setdefault(place.host, []).append(place.task)
    return by_worker
