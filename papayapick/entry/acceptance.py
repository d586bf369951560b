"""Accept jobs, cancel them and report their states."""

from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.events import JOB_KNOWN
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    JobUnknown,
    QueueFull,
    StateUnknown,
)
from papayapick.jobs.state import JobStatus
from papayapick.pool.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.partitions import job_partition

__all__ = ["Acceptance"]

_ANSWER_TIMEOUT_SECONDS = 2.6


class Acceptance:
    """Serve callers' requests about jobs.

    Parameters
    ----------
    store : RelayedStore
    writer : GroupWriter
    job_states : JobStateCache
    """

    __slots__ = ("_job_states", "_store", "_writer")

    def __init__(self, store, writer, job_states):
        self._store = store
        self._writer = writer
        self._job_states = job_states

    def submit(self, document):
        """Store a job; a repeated id denotes the same job.

        Returns
        -------
        bool
            False if a job with this id was accepted before.

        Raises
        ------
        QueueFull, NotAccepted, AcceptanceUnknown, StateUnknown
        """
        identifier = document.identifier
        if self._job_states.state(identifier) is not None:
            JOB_KNOWN.write(request_id=identifier, queue=document.queue, source="board")
            return False
        partition = job_partition(document.pool, identifier)
        retry_after = self._job_states.retry_after(document.pool, document.queue)
        if retry_after and not self._is_stored(partition, identifier):
            raise QueueFull(queue=document.queue, retry_after=retry_after)
        expectation = Expectation(JOBS_TABLE, partition, identifier, 0)
        write = RowWrite(JOBS_TABLE, partition, identifier, document.as_record())
        is_new = _wait_for(self._writer.submit(expectation, write))
        if not is_new:
            JOB_KNOWN.write(request_id=identifier, queue=document.queue, source="store")
        self._job_states.note_accepted(identifier)
        return is_new

    def cancel(self, queue, identifier):
        """Store the cancellation of a job.

        Returns
        -------
        bool
            False if the job had ended or was cancelled already.

        Raises
        ------
        JobUnknown, StateUnknown, NotAccepted, AcceptanceUnknown
        """
        if self._job_states.state(identifier) in JobStatus.FINAL:
            return False
        partition = job_partition(queue.pool, identifier)
        rows = self._read(JOBS_TABLE, partition, identifier, CANCEL_SUFFIX + "~")
        versions = {row.key: row.version for row in rows}
        if identifier not in versions:
            raise JobUnknown(identifier=identifier)
        if identifier + CANCEL_SUFFIX in versions:
            return False
        # Conditional on the job's row: the cancellation row of a job that was removed
        # in the meantime would never be removed.
        expectation = Expectation(
            JOBS_TABLE, partition, identifier, versions[identifier]
        )
        write = RowWrite(JOBS_TABLE, partition, identifier + CANCEL_SUFFIX, {})
        return _wait_for(self._writer.submit(expectation, write))

    def status(self, queue, identifier):
        """Return the status of a job.

        Raises
        ------
        JobUnknown, StateUnknown
        """
        status = self._job_states.state(identifier)
        if status is not None:
            return status
        partition = job_partition(queue.pool, identifier)
        jobs = self._read(JOBS_TABLE, partition, identifier, "~")
        if not any(row.key == identifier for row in jobs):
            raise JobUnknown(identifier=identifier)
        status = JobStatus.WAITING
        for row in self._read(PROGRESS_TABLE, queue.pool, identifier, "~"):
            if row.value is not None:
                status = row.value["status"]
        is_cancelled = any(row.key != identifier for row in jobs)
        if is_cancelled and status not in JobStatus.FINAL:
            status = JobStatus.CANCELLED
        self._job_states.note_statuses({identifier: status})
        return status

    def _is_stored(self, partition, identifier):
        """Return whether a job with this id was accepted.

        A caller whose first attempt had no answer repeats the request. If it were
        refused as not accepted, its job would run nevertheless.
        """
        rows = self._read(JOBS_TABLE, partition, identifier, "~")
        return any(row.key == identifier for row in rows)

    def _read(self, table, partition, identifier, end):
        try:
            return self._store.read(table, partition, identifier, identifier + end, 3)
        except TableUnavailable as error:
            raise StateUnknown() from error


def _wait_for(future):
    try:
        return future.result(_ANSWER_TIMEOUT_SECONDS)
    except FutureTimeout as error:
        raise AcceptanceUnknown() from error
