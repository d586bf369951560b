"""Read a pool's jobs, and the progress of those that may have been run before."""

from papayapick.clients.exceptions import TableUnavailable
from papayapick.pool.events import RECORD_REFUSED
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.partitions import job_partitions
from papayapick.pool.records.record_rows import read_records

__all__ = ["JobReader"]


class JobReader:
    """Read the rows of the jobs of one pool.

    Parameters
    ----------
    host : EntryHost
    pool : str
    """

    __slots__ = ("_host", "_partitions", "_pool", "_records", "_refused")

    def __init__(self, host, pool):
        self._host = host
        self._pool = pool
        self._partitions = job_partitions(pool)
        # Progress by job, if it was read just before all jobs.
        self._records = None
        # Jobs that could not be read, or whose progress could not.
        self._refused = set()

    def read_progress(self):
        """Return all rows of the pool's partition of the progress table."""
        rows, _ = self._host.store.read_all(PROGRESS_TABLE, self._pool)
        return rows

    def read(self):
        """Return the rows of all jobs and the oldest version of their partitions."""
        store = self._host.store
        pages = list(
            self._host.executor.map(
                lambda partition: store.read_all(JOBS_TABLE, partition),
                self._partitions,
            )
        )
        rows = [row for found, _ in pages for row in found]
        return rows, min(version for _, version in pages)

    def read_again(self):
        """Return as ``read``, and keep the progress for jobs that are added.

        Guards against a job that runs again from its start, since the owner lacks it
        though it was run before: its record could not be read, or it is over and is
        deleted while all jobs are read. Read after the jobs, its progress might have
        been deleted with it.
        """
        records = read_records(self.read_progress())
        found = self.read()
        self._records = records
        return found

    def with_records(self, rows):
        """Return the rows to apply, and the progress of jobs that were run before.

        A job that a single change brings is new, unless it could not be read before.

        Parameters
        ----------
        rows : list of StoredRow
            Rows of all pools, from the feed or as returned by ``read_again``.
        """
        rows = [row for row in rows if row.partition in self._partitions]
        records, self._records = self._records, None
        refused = [row.key for row in rows if row.key in self._refused]
        if records is not None or not refused:
            return rows, records or {}
        try:
            return rows, read_records(self.read_progress())
        except TableUnavailable:
            for identifier in refused:
                RECORD_REFUSED.write_failure(request_id=identifier)
            return [row for row in rows if row.key not in refused], {}

    def is_refused(self, identifier):
        """Return whether a job, or its progress, could not be read."""
        return identifier in self._refused

    def note_refused(self, identifier):
        """Record that a job, or its progress, can't be read."""
        self._refused.add(identifier)

    def note_added(self, identifier):
        """Record that a job and its progress were read."""
        self._refused.discard(identifier)
