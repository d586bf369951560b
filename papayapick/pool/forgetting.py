"""Drop finished jobs from the store when their time is over."""

from papayapick.clients.exceptions import TableUnavailable
from papayapick.jobs.state import JobStatus
from papayapick.observability.logs import get_logger
from papayapick.platform.exceptions import ConditionFailed
from papayapick.platform.store import RowWrite
from papayapick.pool.journal import JOBS_TABLE, PROGRESS_TABLE

__all__ = ["forget_jobs"]

_LOG = get_logger(__name__)

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
    writes = [
        RowWrite(table, owner.pool, key, None)
        for identifier in old
        for table, key in (
            (JOBS_TABLE, identifier),
            (JOBS_TABLE, identifier + "!cancel"),
            (PROGRESS_TABLE, identifier),
        )
    ]
    try:
        host.store.transact([owner.row.expectation], writes)
    except (ConditionFailed, TableUnavailable) as error:
        _LOG.info("old jobs kept for now", extra={"error": str(error)})
        return
    with owner.lock:
        for identifier in old:
            owner.book.forget(identifier)
