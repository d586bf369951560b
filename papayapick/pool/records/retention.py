"""Delete finished jobs from the store after their retention period."""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import RowWrite
from papayapick.jobs.state import JobStatus
from papayapick.pool.events import JOBS_KEPT
from papayapick.pool.records.journal import CANCEL_SUFFIX, JOBS_TABLE, PROGRESS_TABLE
from papayapick.pool.records.partitions import job_partition

__all__ = ["delete_expired_jobs"]

# Each job has up to three rows, and a transaction takes 100 entries.
_JOBS_PER_CALL = 30
# Added to the period for which the platform requires that callers can read a status.
_RETENTION_SLACK_SECONDS = 30.0


def delete_expired_jobs(owner, host, now):
    """Delete the rows of one batch of jobs whose retention period is over.

    Parameters
    ----------
    owner : PoolOwner
    host : EntryHost
    now : float
        Monotonic seconds.
    """
    retention = host.settings.status_seconds + _RETENTION_SLACK_SECONDS
    with owner.lock:
        expired = [
            job.identifier
            for job in owner.job_registry.jobs()
            if job.durable_status in JobStatus.FINAL
            and now - job.finished_at > retention
        ][:_JOBS_PER_CALL]
    if not expired:
        return
    writes = []
    for identifier in expired:
        partition = job_partition(owner.pool, identifier)
        # In one transaction: a job that has lost only its progress would run again.
        writes += [
            RowWrite(JOBS_TABLE, partition, identifier, None),
            RowWrite(JOBS_TABLE, partition, identifier + CANCEL_SUFFIX, None),
            RowWrite(PROGRESS_TABLE, owner.pool, identifier, None),
        ]
    try:
        host.store.transact([owner.row.expectation], writes, spans_partitions=True)
    except (ConditionFailed, TableUnavailable) as error:
        JOBS_KEPT.write(pool=owner.pool, jobs=len(expired), error=str(error))
        return
    with owner.lock:
        for identifier in expired:
            owner.job_registry.remove(identifier)
            owner.advice_manager.forget(identifier)
