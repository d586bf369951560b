"""Go on without a job that fails a round."""

from papayapick.pool.events import JOB_SET_ASIDE
from papayapick.pool.metrics import LEFT_OUT

__all__ = ["set_aside_job"]


def set_aside_job(owner, job):
    """Queue no further task of a job that has raised an exception in a round.

    Its runs are followed to their ends, and it can be cancelled.

    Guards against one job that ends the owner, and as it is stored, each next one: no
    other job of the pool would run any more. Called while the exception is handled, by
    the holder of the owner's lock.

    Parameters
    ----------
    owner : PoolOwner
    job : JobState
    """
    LEFT_OUT.labels("job").inc()
    JOB_SET_ASIDE.write_failure(
        request_id=job.identifier, pool=owner.pool, epoch=owner.row.epoch
    )
    job.is_set_aside = True
    for step in job.steps():
        owner.job_registry.dequeue_step(step)
