"""Load the state of a pool from the store, and follow its jobs and workers."""

from papayapick.jobs.documents import JobDocument
from papayapick.jobs.state import JobStatus
from papayapick.jobs.stored_values import RecordInvalid
from papayapick.placement.rooms.rooms import WorkerRoom
from papayapick.platform.registrations import WORKERS_TABLE, decode_registration
from papayapick.platform.workers import WorkerClient
from papayapick.pool.events import JOB_TAKEN, JOB_UNUSABLE, RECORD_REFUSED
from papayapick.pool.records.job_reader import JobReader
from papayapick.pool.records.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.partitions import job_partitions
from papayapick.pool.records.record_rows import read_records
from papayapick.pool.workers.connections import IdleAllowance
from papayapick.pool.workers.events import WORKER_GONE, WORKER_MOVED
from papayapick.pool.workers.links import WorkerLink

__all__ = ["StoreSync", "check_readable"]

# Each worker rewrites its entry about every second, mostly unchanged: one call for each
# change would be most of an owner's load on the store. A leaving worker stays for some
# seconds, so a delayed change still ends new tasks well before it exits.
_WORKERS_GATHER_SECONDS = 0.4
# A new owner begins to poll its workers in groups of this size, one after the other.
_POLLED_AT_ONCE = 50
_POLL_DELAY_SECONDS = 0.02


def _document(value, record):
    """Return the document of a job, without its steps if the job is finished.

    A finished job starts nothing any more. After a restart of all hosts, nine of ten
    jobs that are read are finished, and skipping their steps shortens the takeover.
    """
    if record is not None and record.get("status") in JobStatus.FINAL:
        return JobDocument.from_record_of_ended(value)
    return JobDocument.from_record(value)


def _newest_acceptance(rows):
    """Return when the newest job was accepted, in Unix seconds; None without jobs."""
    # An unreadable row must not prevent loading the other jobs.
    values = [row.value for row in rows if isinstance(row.value, dict)]
    times = [value.get("accepted_at") for value in values]
    return max((time for time in times if isinstance(time, int | float)), default=None)


def _accepted_at(row):
    """Return when the job of a row was accepted, or 0.0 for other rows."""
    value = row.value if isinstance(row.value, dict) else {}
    found = value.get("accepted_at")
    return found if isinstance(found, int | float) else 0.0


def check_readable(host, pool):
    """Read one row of each partition that a new owner of a pool needs.

    Partitions can be unavailable one by one. A host that takes over a pool whose state
    it can't read would stop an owner that has that state, and release the pool again.

    Raises
    ------
    TableUnavailable
        If one of the partitions can't be read.
    """
    needed = [(JOBS_TABLE, partition) for partition in job_partitions(pool)]
    needed += [(PROGRESS_TABLE, pool), (WORKERS_TABLE, "")]
    list(host.executor.map(lambda place: host.store.read(*place, limit=1), needed))


class StoreSync:
    """Copy jobs and workers from the store into an owner's job registry and rooms.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_complete_at", "_owner", "_reader", "_unpolled")

    def __init__(self, owner):
        self._owner = owner
        self._reader = JobReader(owner.host, owner.pool)
        self._complete_at = float("-inf")
        # Links of the loaded workers that have not been polled yet.
        self._unpolled = []

    @property
    def complete_at(self):
        """Return the monotonic time as of which the registry has all accepted jobs."""
        return self._complete_at

    def is_refused(self, identifier):
        """Return whether a job, or its progress, could not be read."""
        return self._reader.is_refused(identifier)

    def load(self):
        """Read the whole state; return the version from which to follow the jobs."""
        store = self._owner.host.store
        progress = self._reader.read_progress()
        requested_at = self._owner.now()
        jobs, version = self._reader.read()
        workers, _ = store.read_all(WORKERS_TABLE, "")
        self._owner.journal.resume(progress)
        with self._owner.lock:
            self._apply_job_rows(jobs, read_records(progress), _newest_acceptance(jobs))
            self._complete_at = requested_at
            for row in workers:
                self._apply_registration(row)
            for registration in self._owner.roster.restore(progress):
                link = self._owner.links_by_worker.get(registration.worker)
                if link is None:
                    self._add_link(registration, is_listed=False)
                elif registration.is_later_than(link.registration):
                    self._owner.kinds.follow(link, registration)
            self._forget_gone_workers()
            self._owner.memory.restore(progress)
            self._owner.reconciliation.hold_tasks()
        return version

    def follow_jobs(self, version):
        """Apply new jobs and cancellations until the owner stops."""
        self._owner.host.follow(
            JOBS_TABLE,
            version,
            self._note_job_rows,
            self._reader.read_again,
            self._owner.stopping,
            on_complete=self._note_complete,
        )

    def _note_complete(self, requested_at):
        with self._owner.lock:
            self._complete_at = requested_at
            self._owner.report_handler.settle_unknown()

    def _note_job_rows(self, rows):
        own, records = self._reader.with_records(rows)
        with self._owner.lock:
            self._apply_job_rows(own, records)
            # Before a round places tasks of these jobs.
            self._owner.report_handler.settle_unknown()
            self._owner.orders.stop_unneeded()
        self._owner.wake()

    def _apply_job_rows(self, rows, records, newest=None):
        """Apply rows of jobs and cancellations.

        Parameters
        ----------
        rows : list of StoredRow
        records : dict of str to dict
            Progress by job.
        newest : float, optional
            Unix seconds at which the newest of all jobs was accepted. At a takeover,
            the age of a job is counted back from this time. Without an age, jobs that
            are of no use any more would seem new after each takeover and keep others
            waiting. This host's clock is not used, as it may be ahead: all jobs would
            seem too late. Without this argument, jobs are as old as their arrival here.
        """
        now = self._owner.now()
        cancelled = []
        # In this order, so that a new owner finds the same jobs within the rates of
        # their teams as the last one did.
        for row in sorted(rows, key=_accepted_at):
            if row.value is None:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            elif row.key not in self._owner.job_registry:
                self._add_job(row, records.get(row.key), now, newest)
        for identifier in cancelled:
            self._owner.job_registry.cancel(identifier, now)

    def _add_job(self, row, record, now, newest):
        try:
            job = self._add_readable(row, record, now, newest)
        except (AttributeError, KeyError, TypeError, ValueError, IndexError):
            # One unreadable record must not stop all other jobs, on one host after
            # another. This job stays in the store until an operator repairs it.
            RECORD_REFUSED.write_failure(request_id=row.key)
            self._owner.job_registry.remove(row.key)
            self._reader.note_refused(row.key)
            return
        self._reader.note_added(row.key)
        if not job.is_final:
            self._log_job_taken(job)
        self._owner.advice_manager.request_for_job(job, now)

    def _add_readable(self, row, record, now, newest):
        try:
            document = _document(row.value, record)
        except RecordInvalid as error:
            return self._fail_unusable(row, now, error)
        queue = self._owner.host.queue_of(document)
        age = 0.0 if newest is None else newest - document.accepted_at
        self._owner.reconciliation.note_new_job(document.identifier, now)
        job = self._owner.job_registry.add(document, queue, now, record, age)
        job.is_owed = self._owner.entitlements.is_owed(
            document.team, document.accepted_at
        )
        return job

    def _fail_unusable(self, row, now, error):
        """Fail a job that no version can run, which its caller would wait for."""
        JOB_UNUSABLE.write(request_id=row.key, pool=self._owner.pool, reason=str(error))
        document = JobDocument.from_record_of_ended(row.value)
        queue = self._owner.host.queue_of(document)
        job = self._owner.job_registry.add(document, queue, now)
        self._owner.job_registry.finish(job, JobStatus.FAILED, now)
        return job

    def _log_job_taken(self, job):
        JOB_TAKEN.write(
            request_id=job.identifier,
            queue=job.queue.name,
            priority=job.queue.priority,
            steps=len(job.document.steps),
            status=job.status,
            pool=self._owner.pool,
            epoch=self._owner.row.epoch,
        )

    def follow_workers(self, version):
        """Apply registrations of workers until the owner stops."""
        self._owner.host.follow(
            WORKERS_TABLE,
            version,
            self.note_worker_rows,
            lambda: self._owner.host.store.read_all(WORKERS_TABLE, ""),
            self._owner.stopping,
            _WORKERS_GATHER_SECONDS,
        )

    def note_worker_rows(self, rows):
        """Apply rows of the list of workers."""
        with self._owner.lock:
            for row in rows:
                self._apply_registration(row)
        self._owner.wake()

    def _apply_registration(self, row):
        registration = decode_registration(row.key, row.value)
        link = self._owner.links_by_worker.get(row.key)
        if registration is None or registration.pool != self._owner.pool:
            if link is not None:
                link.is_listed = False
                link.registration.is_leaving = True
                self._owner.report_handler.update_availability(link)
            return
        if link is not None:
            link.is_listed = True
            link.registration.is_leaving = registration.is_leaving
            self._owner.kinds.follow(link, registration)
            if registration.address != link.registration.address:
                self._move(link, registration.address)
            self._owner.report_handler.update_availability(link)
            return
        self._owner.roster.add(registration)
        self._add_link(registration, is_listed=True)

    def _move(self, link, address):
        """Call a worker at another address, where it has restarted under its id.

        It would stay unused, and a successor could take another worker that has its
        earlier address for a sign that it is gone.
        """
        WORKER_MOVED.write(
            worker=link.worker, address=address, before=link.registration.address
        )
        link.registration.address = address
        link.client = self._client(link.registration)
        self._owner.roster.add(link.registration)

    def _client(self, registration):
        return WorkerClient(
            registration.worker,
            registration.address,
            self._owner.host.worker_pool,
            IdleAllowance(self._owner, registration),
        )

    def _add_link(self, registration, is_listed):
        if self._owner.is_stopped:
            return
        worker = registration.worker
        host = self._owner.host
        client = self._client(registration)
        epoch, listener = self._owner.row.epoch, self._owner.report_handler
        limit = host.settings.lease_limit_seconds
        link = WorkerLink(registration, client, epoch, host.clock, listener, limit)
        link.is_listed = is_listed
        self._owner.links_by_worker[worker] = link
        self._owner.rooms.add(WorkerRoom(registration))
        self._owner.knowledge.speeds.add_worker(registration)
        if self._owner.has_read_state:
            self._owner.link_threads.add(link)
        else:
            self._unpolled.append(link)

    def begin_polls(self):
        """Begin to poll the workers that the loaded state has, in groups.

        Guards against a new owner whose heartbeats come too late, while it starts a
        thread for each of a thousand workers and all of them connect: other hosts
        would take the pool, and the next ones again. The caller must not hold the
        lock, which reports of workers need.
        """
        while self._unpolled and not self._owner.is_stopped:
            group = self._unpolled[:_POLLED_AT_ONCE]
            del self._unpolled[:_POLLED_AT_ONCE]
            for link in group:
                self._owner.link_threads.add(link)
            if self._unpolled:
                self._owner.pause(_POLL_DELAY_SECONDS)

    def _forget_gone_workers(self):
        for job in self._owner.job_registry.live_jobs():
            job.keep_workers(self._owner.links_by_worker)

    def drop_link(self, link):
        """Remove a worker that is silent, no longer listed, and past its lease."""
        link.stop()
        del self._owner.links_by_worker[link.worker]
        self._owner.rooms.remove(link.worker)
        self._owner.roster.remove(link.worker)
        self._owner.run_monitor.forget(link.worker)
        self._forget_gone_workers()
        WORKER_GONE.write(worker=link.worker)
