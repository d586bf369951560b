"""Read the state of a pool, and follow its jobs and workers."""

from papayapick.jobs.documents import JobDocument
from papayapick.jobs.state import JobStatus
from papayapick.placement.rooms import WorkerRoom
from papayapick.platform.workers import (
    WORKERS_TABLE,
    WorkerClient,
    decode_registration,
)
from papayapick.pool.events import JOB_TAKEN, RECORD_REFUSED, WORKER_GONE
from papayapick.pool.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.links import WorkerLink
from papayapick.pool.partitions import job_partitions

__all__ = ["Sources", "check_readable"]

# Each worker writes its entry every second or so, and hardly any has news: a call for
# each change would be most of what an owner asks of the store. A worker that leaves is
# given nothing new well within the seconds that it stays.
_GATHER_SECONDS = 0.4


def _document(value, record):
    """Return the document of a job; of one that is over without its steps.

    Nothing of it is started any more, and after a restart of all hosts nine of ten
    jobs that are read are over: a takeover is quicker without their steps.
    """
    is_over = record is not None and record.get("status") in JobStatus.FINAL
    return JobDocument.from_record({**value, "steps": []} if is_over else value)


def _newest_acceptance(rows):
    """Return when the newest of the jobs was accepted, or None where there are none."""
    # A row that can't be read must not stop all other jobs.
    values = [row.value for row in rows if isinstance(row.value, dict)]
    moments = [value.get("accepted_at") for value in values]
    return max((one for one in moments if isinstance(one, int | float)), default=None)


def check_readable(host, pool):
    """Read a row of each partition that a new owner of a pool needs.

    Partitions can be away one by one. A host that took the pool and could not read
    it would stop an owner that knows the state, and give the pool up again.

    Raises
    ------
    TableUnavailable
    """
    places = [(JOBS_TABLE, partition) for partition in job_partitions(pool)]
    places += [(PROGRESS_TABLE, pool), (WORKERS_TABLE, "")]
    list(host.executor.map(lambda place: host.store.read(*place, limit=1), places))


class Sources:
    """Bring jobs and workers from the store into an owner's book and rooms.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_complete_at", "_job_partitions", "_owner")

    def __init__(self, owner):
        self._owner = owner
        self._job_partitions = job_partitions(owner.pool)
        self._complete_at = float("-inf")

    @property
    def complete_at(self):
        """Return the monotonic time as of which all accepted jobs were taken in."""
        return self._complete_at

    def load(self):
        """Read the whole state; return the version after which to follow jobs."""
        store = self._owner.host.store
        progress, _ = store.read_all(PROGRESS_TABLE, self._owner.pool)
        asked_at = self._owner.now()
        jobs, version = self._read_jobs()
        workers, _ = store.read_all(WORKERS_TABLE, "")
        # A row that can't be read is no sign that the job has not begun.
        records = {row.key: row.value or {} for row in progress}
        self._owner.journal.resume(progress)
        with self._owner.lock:
            self._take_jobs(jobs, records, _newest_acceptance(jobs))
            self._complete_at = asked_at
            for row in workers:
                self._take_registration(row)
            for registration in self._owner.roster.restore(progress):
                if registration.worker not in self._owner.links_by_worker:
                    self._add_link(registration, is_listed=False)
            self._owner.settling.begin()
        return version

    def _read_jobs(self):
        """Return the rows of all jobs, and a version that is not newer than any."""
        store = self._owner.host.store
        pages = list(
            self._owner.host.executor.map(
                lambda partition: store.read_all(JOBS_TABLE, partition),
                self._job_partitions,
            )
        )
        rows = [row for found, _ in pages for row in found]
        return rows, min(version for _, version in pages)

    def follow_jobs(self, version):
        """Take in jobs and cancellations until the owner stops."""
        self._owner.host.follow(
            JOBS_TABLE,
            version,
            self._note_job_rows,
            self._read_jobs,
            self._owner.stopping,
            on_complete=self._note_complete,
        )

    def _note_complete(self, asked_at):
        with self._owner.lock:
            self._complete_at = asked_at

    def _note_job_rows(self, rows):
        with self._owner.lock:
            own = self._job_partitions
            self._take_jobs([row for row in rows if row.partition in own], {})
            self._owner.orders.stop_unneeded()
        self._owner.wake()

    def _take_jobs(self, rows, records, newest=None):
        """Take in jobs and cancellations.

        Parameters
        ----------
        rows : list of StoredRow
        records : dict of str to dict
            Progress by job.
        newest : float, optional
            When the newest of all jobs was accepted, in Unix seconds. What was there at
            a takeover is so much older than that one: else jobs that nobody has a use
            for any more would seem fresh after each takeover and keep others waiting.
            Not compared with this host's clock, which may be ahead: all jobs would
            seem too late. What comes by the feed counts from now.
        """
        now = self._owner.now()
        cancelled = []
        for row in rows:
            if row.value is None:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            elif row.key not in self._owner.book:
                self._take_job(row, records.get(row.key), now, newest)
        for identifier in cancelled:
            self._owner.book.cancel(identifier, now)

    def _take_job(self, row, record, now, newest):
        try:
            document = _document(row.value, record)
            queue = self._owner.host.queue_of(document)
            age = 0.0 if newest is None else newest - document.accepted_at
            job = self._owner.book.add(document, queue, now, record, age)
        except (KeyError, TypeError, ValueError, IndexError):
            # One record that can't be read must not stop all other jobs, on each
            # host in turn; this job stays as it is until somebody mends it.
            RECORD_REFUSED.write_failure(request_id=row.key)
            self._owner.book.remove(row.key)
            return
        if not job.is_final:
            self._note_taken(job)
        self._owner.advising.want_first(job, now)

    def _note_taken(self, job):
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
        """Take in registrations until the owner stops."""
        self._owner.host.follow(
            WORKERS_TABLE,
            version,
            self.note_worker_rows,
            lambda: self._owner.host.store.read_all(WORKERS_TABLE, ""),
            self._owner.stopping,
            _GATHER_SECONDS,
        )

    def note_worker_rows(self, rows):
        """Take in rows of the list of workers."""
        with self._owner.lock:
            for row in rows:
                self._take_registration(row)
        self._owner.wake()

    def _take_registration(self, row):
        registration = decode_registration(row.key, row.value)
        link = self._owner.links_by_worker.get(row.key)
        if registration is None or registration.pool != self._owner.pool:
            if link is not None:
                link.is_listed = False
                link.registration.is_leaving = True
                self._owner.lists.open_or_close(link)
            return
        if link is not None:
            link.is_listed = True
            link.registration.is_leaving = registration.is_leaving
            self._owner.lists.open_or_close(link)
            return
        self._owner.roster.note(registration)
        self._add_link(registration, is_listed=True)

    def _add_link(self, registration, is_listed):
        if self._owner.is_stopped:
            return
        worker = registration.worker
        host = self._owner.host
        client = WorkerClient(worker, registration.address, host.worker_pool)
        epoch, lists = self._owner.row.epoch, self._owner.lists
        link = WorkerLink(registration, client, epoch, host.clock, lists)
        link.is_listed = is_listed
        self._owner.links_by_worker[worker] = link
        self._owner.rooms.add(WorkerRoom(registration))
        self._owner.submit(worker, link.run)

    def drop_link(self, link):
        """Forget a worker that is silent, off the list, and past its lease."""
        link.stop()
        del self._owner.links_by_worker[link.worker]
        self._owner.rooms.remove(link.worker)
        self._owner.roster.forget(link.worker)
        self._owner.laggards.forget(link.worker)
        WORKER_GONE.write(worker=link.worker)
