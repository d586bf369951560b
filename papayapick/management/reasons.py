"""Explain from the store why a job of steps waits, or where it was placed."""

from papayapick.jobs.state import JobStatus
from papayapick.management.times import format_utc
from papayapick.placer.explanations import Reason

__all__ = ["explain_job"]

_ENDED_CODES = {
    JobStatus.COMPLETED: "ended.done",
    JobStatus.FAILED: "ended.failed",
    JobStatus.CANCELLED: "ended.cancelled",
}


def explain_job(job, owner, is_owner_reached, workers):
    """Return the reasons for the state of a job, the decisive ones first.

    Parameters
    ----------
    job : JobView
    owner : PoolRow
        Of the job's pool.
    is_owner_reached : bool
    workers : list of Registration
        Of the job's pool.

    Returns
    -------
    list of Reason
        At least one.
    """
    status = JobStatus.CANCELLED if job.is_cancelled else job.status
    if status in JobStatus.FINAL:
        return [Reason(_ENDED_CODES[status], _describe_end(job, status))]
    reasons = []
    if not is_owner_reached:
        name = owner.owner or "nobody"
        reasons.append(
            Reason(
                "waits.owner-missing",
                f"pool {owner.pool} is owned by {name}, which can't be reached",
            )
        )
    reasons += [_placement_reason(step) for step in job.steps if step.places]
    reasons += _capacity_reasons(job, workers)
    reasons += _due_time_reasons(job)
    return reasons or [
        Reason(
            "waits.for-turn",
            f"no task is placed; the log of {owner.owner} shows whether advice or "
            "room is missing (step waits)",
        )
    ]


def _describe_end(job, status):
    if status == JobStatus.CANCELLED:
        return "cancelled by a caller"
    failures = [
        f"step {step.number} task {index} failed {count} times"
        for step in job.steps
        for index, count in step.failures.items()
    ]
    return ", ".join([status, *failures])


def _placement_reason(step):
    places = [f"task {task} on {worker}" for task, worker in step.places.items()]
    return Reason(
        "placed.on",
        f"occurrence {step.occurrence} step {step.number}, {step.done} of "
        f"{step.tasks} done: {', '.join(places)}",
    )


def _capacity_reasons(job, workers):
    reasons = []
    for number, step in enumerate(job.document.steps):
        is_able = any(
            step.room_demand.fits_in(worker.capacity)
            and (not step.label or step.label in worker.labels)
            for worker in workers
        )
        if not is_able:
            label = f" and label {step.label}" if step.label else ""
            reasons.append(
                Reason(
                    "waits.never-fits-pool",
                    f"step {number}: none of {len(workers)} workers has "
                    f"{step.room_demand}{label}",
                )
            )
    return reasons


def _due_time_reasons(job):
    document = job.document
    if not document.is_timed or job.steps:
        return []
    due = format_utc(document.due_at(0))
    return [Reason("waits.for-due-time", f"its first occurrence is due {due} UTC")]
