"""Tell which waiting work can still be done in time.

Answers a load above what the pool can do. Served in the order of arrival, every job
then waits as long as the backlog is old, and soon each is finished when nobody has a
use for it any more. Work that can still be done in time goes first, by the time at
which it must begin at the latest; then work that will be late, but still counts; work
that is too late in any case comes last, when there is room.
"""

import enum

__all__ = ["Timeliness", "latest_start", "useful_seconds"]

# A job that takes up to so many times its objective is late, but of use (the users'
# rules for what a job earns).
_LATE_FACTOR = 3.0


class Timeliness(enum.IntEnum):
    """Tell whether work that begins now can be done in time."""

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


def latest_start(step, now):
    """Return whether a step can be done in time, and when it must begin for it.

    Lasting jobs have no end and those with due times are not counted from their
    arrival: both are served as if in time, by their arrival.

    Parameters
    ----------
    step : StepState
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of (Timeliness, float)
        Sorts in the order in which steps of one priority are served.
    """
    job = step.job
    if job.document.is_timed or step.step.is_lasting:
        return Timeliness.IN_TIME, job.arrived
    objective = _objective(job)
    rest = job.chains[step.key.step]
    for kind, factor in ((Timeliness.IN_TIME, 1.0), (Timeliness.LATE, _LATE_FACTOR)):
        latest = job.arrived + factor * objective - rest
        if now <= latest:
            return kind, latest
    return Timeliness.OVERDUE, job.arrived


def useful_seconds(job):
    """Return how long after it was accepted a job is of use; endless for some.

    Parameters
    ----------
    job : JobState
    """
    if job.document.is_timed or job.document.is_lasting:
        return float("inf")
    return _LATE_FACTOR * _objective(job)


def _objective(job):
    return job.queue.stretch * job.chain_seconds + job.queue.objective_seconds
