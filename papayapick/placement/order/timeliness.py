"""Classify waiting steps by whether their jobs can still be completed in time.

Guards against load above the capacity of the pool. Served in the order of arrival,
every job would wait for the whole backlog, and soon each job would be completed too
late to be useful. Steps whose jobs can be completed in time come first, by their latest
start; then those whose jobs will be late, but still useful; those that are too late in
any case come last, if there is room.
"""

import enum

__all__ = [
    "Timeliness",
    "due_at",
    "has_deadline",
    "latest_start",
    "least_patience",
    "saved_seconds",
    "saved_share",
    "useful_seconds",
    "useful_seconds_of",
]

# A job that takes up to this multiple of its objective is late, but useful, by the
# users' rules for the value of a job.
_LATE_FACTOR = 3.0


class Timeliness(enum.IntEnum):
    """Whether a job can be completed in time if its step starts now."""

    IN_TIME = 0
    # It can, but others would be late then that cost less.
    YIELDING = 1
    LATE = 2
    OVERDUE = 3


def latest_start(step, now):
    """Return the timeliness of a step, and its latest start.

    Lasting jobs have no end, and the objective of jobs with due times is not counted
    from their arrival. Both are served as if in time, by their arrival.

    Parameters
    ----------
    step : StepState
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of (Timeliness, float)
        Sorts in the order of service of the steps of one priority. The time is the
        arrival of the job if the latest start does not apply.
    """
    job = step.job
    if not has_deadline(step):
        return Timeliness.IN_TIME, job.arrived_at
    objective = _objective(job)
    remaining = job.critical_paths[step.key.step] - saved_seconds(step)
    for timeliness, factor in (
        (Timeliness.IN_TIME, 1.0),
        (Timeliness.LATE, _LATE_FACTOR),
    ):
        latest = job.arrived_at + factor * objective - remaining
        if now <= latest:
            if job.is_yielding and timeliness == Timeliness.IN_TIME:
                return Timeliness.YIELDING, latest
            return timeliness, latest
    return Timeliness.OVERDUE, job.arrived_at


def saved_seconds(step):
    """Return the time that all waiting tasks of a step need not run again.

    A task that was stopped for urgent work resumes from its checkpoint. Were its job
    taken for late because its step began late, it would be served last.
    """
    if not step.saved_shares or not step.waiting:
        return 0.0
    least = min(saved_share(step, index) for index in step.waiting)
    return step.step.estimate_seconds * least


def saved_share(step, index):
    """Return the share of a task's work that it had done when it was stopped.

    It is 0 without a checkpoint: the worker was lost before it told of the stop.

    Parameters
    ----------
    step : StepState
    index : int
    """
    return step.saved_shares.get(index, 0.0) if step.tasks[index].checkpoint else 0.0


def has_deadline(step):
    """Return whether the job of a step has a time by which it should be completed."""
    return not (step.job.document.is_timed or step.step.is_lasting)


def due_at(job):
    """Return the monotonic seconds by which a job should be completed.

    Parameters
    ----------
    job : JobState
        Neither lasting nor with due times.
    """
    return job.arrived_at + _objective(job)


def useful_seconds(job):
    """Return for how long after its acceptance a job is useful to its caller.

    The time is infinite for lasting jobs and jobs with due times.

    Parameters
    ----------
    job : JobState
    """
    if job.document.is_timed or job.document.is_lasting:
        return float("inf")
    return useful_seconds_of(job.queue, job.critical_path_seconds)


def useful_seconds_of(queue, critical_path_seconds):
    """Return for how long a job of a queue with a critical path is useful.

    Parameters
    ----------
    queue : Queue
    critical_path_seconds : float
    """
    return _LATE_FACTOR * _objective_of(queue, critical_path_seconds)


def least_patience(queue):
    """Return the seconds that any job of a queue may wait and still be useful.

    The longer its critical path, the longer a job may wait, unless the queue allows
    less time than the path takes.

    Parameters
    ----------
    queue : Queue
    """
    if _LATE_FACTOR * queue.stretch < 1:
        return 0.0
    return useful_seconds_of(queue, 0.0)


def _objective(job):
    return _objective_of(job.queue, job.critical_path_seconds)


def _objective_of(queue, critical_path_seconds):
    return queue.stretch * critical_path_seconds + queue.objective_seconds
