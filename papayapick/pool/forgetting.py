"""Drop finished jobs from the store when their time is over."""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import RowWrite
from papayapick.jobs.state import JobStatus
from papayapick.pool.events import JOBS_KEPT
from papayapick.pool.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.partitions import job_partition

__all__ = ["forget_jobs"]

# Each job has up to three rows, and a transaction takes 100 entries.
_JOBS_PER_CALL = 30
# Callers may ask for a state for so much longer than the platform demands.
_KEEP_SLACK_SECONDS = 30.0


def forget_jobs(owner, host, now):
    """Remove the rows of jobs that finished long ago; one batch.

    Parameters
    ----------
    owner : PoolOwner
    host : EntryHost
    now : float
    """
    keep = host.settings.status_seconds + _KEEP_SLACK_SECONDS
    with owner.lock:
        old = [
            job.identifier
            for job in owner.book.jobs()
            if job.durable_status in JobStatus.FINAL and now - job.finished_at > keep
        ][:_JOBS_PER_CALL]
    if not old:
        return
    writes = []
    for identifier in old:
        partition = job_partition(owner.pool, identifier)
        # All at once: a job whose progress alone is gone would run again.
        writes += [
            RowWrite(JOBS_TABLE, partition, identifier, None),
            RowWrite(JOBS_TABLE, partition, identifier + CANCEL_SUFFIX, None),
            RowWrite(PROGRESS_TABLE, owner.pool, identifier, None),
        ]
    try:
        host.store.transact([owner.row.expectation], writes, spans_partitions=True)
    except (ConditionFailed, TableUnavailable) as error:
        JOBS_KEPT.write(pool=owner.pool, jobs=len(old), error=str(error))
        return
    with owner.lock:
        for identifier in old:
            owner.book.remove(identifier)
            owner.advising.forget(identifier)
